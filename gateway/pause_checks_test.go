package gateway

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/position"
)

// Each spec fails if one mechanism of the pauses is left out.
var _ = Describe("the pauses of a replacement", func() {
	var (
		dbs   *group
		p     *fakePlatform
		store *leaseCounter
		g     *Gateway
		svc   *service
	)

	BeforeEach(func() {
		dbs = newGroup("a", "b", "c")
		p = newFakePlatform(dbs)
		store = &leaseCounter{Objects: p.api}
		p.api = store
		g = newTestGateway(p)
		svc = g.service(testService)
		svc.recordPrimary("a", position.Position{Term: 1, Index: 10}, time.Now())
	})

	orders := func() (n int) {
		dbs.withLock(func() { n = len(dbs.orders) })
		return n
	}
	pausedTo := func(id string) (term uint64) {
		dbs.withLock(func() { term = dbs.databases[id].paused })
		return term
	}
	addReplica := func(id string) {
		databases := map[string]routes.Database{}
		dbs.withLock(func() {
			dbs.databases[id] = &standin{group: dbs, id: id, end: position.Position{Term: 1, Index: 12}}
			for id := range dbs.databases {
				databases[id] = routes.Database{ID: id, Service: testService, Address: id, DataCentre: "dc-a", Slots: 4, Primary: dbs.primary == id}
			}
		})
		g.setDatabases(databases)
	}

	It("record no order if a replica answers PAUSE and receives on", func() {
		recorded := false
		store.onUpdate = func() { recorded = true }
		dbs.withLock(func() { dbs.databases["c"].ignoresPause = true })
		runAttempt(svc, succession.Stalled)
		Expect(recorded).To(BeFalse())
		Expect(orders()).To(BeZero())
	})

	DescribeTable("end in no order if a log may have grown since it was read",
		func(change func()) {
			changed := false
			store.onUpdate = func() {
				if !changed {
					changed = true
					change()
				}
			}
			runAttempt(svc, succession.Stalled)
			Expect(changed).To(BeTrue())
			Expect(orders()).To(BeZero())
		},
		Entry("that of a replica that was listed after the choice", func() { addReplica("d") }),
		Entry("that of a replica which was resumed and paused again", func() {
			dbs.withLock(func() { dbs.databases["b"].end.Index = 12 })
		}),
	)

	// An unanswered call may have taken effect: another one shows that it is accepted.
	It("do not keep an order from being repeated that took effect without an answer", func() {
		dbs.withLock(func() {
			dbs.promoteHook = func(o succession.Order) error {
				err := dbs.applyOrder(o)
				if orders() == 1 {
					return errStandinTimeout
				}
				return err
			}
		})
		runAttempt(svc, succession.Stalled)
		Expect(orders()).To(Equal(2))
	})

	It("include a replica that is listed while the order is under way", func() {
		dbs := dbs
		dbs.withLock(func() {
			dbs.promoteHook = func(o succession.Order) error {
				addReplica("d")
				time.AfterFunc(time.Second, func() { _ = dbs.applyOrder(o) })
				return nil
			}
		})
		done := make(chan struct{})
		go func() {
			defer close(done)
			runAttempt(svc, succession.Stalled)
		}()
		Eventually(func() bool {
			known := false
			dbs.withLock(func() { known = dbs.databases["d"] != nil })
			return known
		}).WithTimeout(2 * time.Second).Should(BeTrue())
		Eventually(func() uint64 { return pausedTo("d") }).WithTimeout(800 * time.Millisecond).WithPolling(5 * time.Millisecond).Should(BeEquivalentTo(2))
		Eventually(done).WithTimeout(6 * time.Second).Should(BeClosed())
	})

	// Commits stall because of them, and not because of the primary.
	It("that a host has left do not lead to a promotion", func() {
		dbs.withLock(func() { dbs.databases["b"].paused, dbs.databases["c"].paused = 2, 2 })
		runAttempt(svc, succession.Stalled)
		Expect(orders()).To(BeZero())
		Expect(pausedTo("b") + pausedTo("c")).To(BeZero())
	})

	It("are not begun again before a RESUME that had no answer is over", func() {
		dbs.withLock(func() {
			dbs.promoteHook = func(succession.Order) error {
				dbs.withLock(func() { dbs.databases["c"].unresponsive = true })
				return succession.ErrRefused
			}
		})
		svc.mu.Lock()
		svc.startAttempt(svc.newReplacement(succession.Stalled, position.Position{}, time.Now()), (*replacement).run)
		svc.mu.Unlock()
		running := func() bool {
			svc.mu.Lock()
			defer svc.mu.Unlock()
			return svc.promotion.running
		}
		Eventually(running).WithTimeout(6 * time.Second).Should(BeFalse())
		svc.mu.Lock()
		defer svc.mu.Unlock()
		Expect(time.Until(svc.promotion.nextAttempt)).To(BeNumerically(">", leaseTerm-time.Second))
	})
})

// S7 of issue 36: rolled back replicas are busy for a moment, in which term and log of their
// reports may not fit together.
var _ = Describe("a replica that reports a new term before it has rolled back", func() {
	var (
		dbs *group
		g   *Gateway
		svc *service
	)

	BeforeEach(func() {
		dbs = newGroup("a", "b", "c")
		dbs.withLock(func() {
			dbs.term, dbs.primary = 2, "b"
			dbs.databases["b"].end = position.Position{Term: 2, Index: 11}
			dbs.databases["c"].end = position.Position{Term: 1, Index: 15}
		})
		g = newTestGateway(newFakePlatform(dbs))
		svc = g.service(testService)
		svc.recordPrimary("b", position.Position{Term: 2, Index: 11}, time.Now())
	})

	It("does not count as holding a commit of that term", func() {
		ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
		defer cancel()
		Expect(svc.acknowledge(ctx, commit{primary: "b", at: position.Position{Term: 2, Index: 11}, after: position.Position{Term: 2, Index: 10}, term: 2})).NotTo(Succeed())
	})

	It("is not promoted, nor another one before it has rolled back", func() {
		dbs.withLock(func() {
			dbs.databases["b"].unresponsive = true
			dbs.databases["a"].end = position.Position{Term: 2, Index: 11}
		})
		runAttempt(svc, succession.Silent)
		dbs.withLock(func() {
			Expect(dbs.orders).To(BeEmpty())
			dbs.databases["c"].end = position.Position{Term: 1, Index: 10}
		})
		runAttempt(svc, succession.Silent)
		dbs.withLock(func() { Expect(dbs.primary).To(Equal("a")) })
	})
})
