package gateway

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/position"
	"github.com/bronzeloft/bronzeloft/statement"
)

// Guards against the loss of an acknowledged commit (LOST) by a promotion that another
// host had ordered before. Its order was lost or accepted late, or a replica that it had
// stopped was started again by an older order; the commit was acknowledged on a replica
// that was not the successor.
var _ = Describe("a commit beside a replacement of its primary", func() {
	var (
		dbs *group
		p   *fakePlatform
		g   *Gateway
		svc *service
	)

	BeforeEach(func() {
		dbs = newGroup("a", "b", "c")
		p = newFakePlatform(dbs)
		g = newTestGateway(p)
		svc = g.service(testService)
		svc.recordPrimary("a", position.Position{Term: 1, Index: 10}, time.Now())
	})

	onlyCReceives := func() {
		dbs.withLock(func() { dbs.databases["b"].notReplicating = true })
	}
	storeLease := func(value string) {
		_, err := p.api.Create(context.Background(), kindLeases, testService, []byte(value))
		Expect(err).NotTo(HaveOccurred())
	}
	entriesOf := func(ids ...string) map[string]routes.Database {
		databases := map[string]routes.Database{}
		for _, id := range ids {
			databases[id] = routes.Database{ID: id, Service: testService, Address: id, DataCentre: "dc-a", Slots: 4, Primary: id == "a"}
		}
		return databases
	}
	acknowledged := func() bool { return newTestSession(g, "own").serve(request(statement.Write)).Err == nil }
	write := func() *errkind.Error { return newTestSession(g, "own").serve(request(statement.Write)).Err }

	// writeUntil writes, in transactions and without, while the periodic work runs, and
	// returns the ids of the writes that were acknowledged by then. Soon after, an attempt
	// may have settled the lease.
	writeUntil := func(end time.Time) map[string]bool {
		acked := map[string]bool{}
		for time.Now().Before(end) {
			svc.maybeReplacePrimary(time.Now())
			s := newTestSession(g, "own")
			w := request(statement.Write)
			if s.serve(w).Err == nil && time.Now().Before(end) {
				acked[w.ID] = true
			}
			Expect(s.serve(request(statement.Begin)).Err).To(BeNil())
			Expect(s.serve(request(statement.Write)).Err).To(BeNil())
			w = request(statement.Commit)
			if s.serve(w).Err == nil && time.Now().Before(end) {
				acked[w.ID] = true
			}
		}
		return acked
	}

	// "b" receives nothing and may be promoted at any time.
	DescribeTable("is not acknowledged on a replica that may not be the successor",
		func(value string) {
			onlyCReceives()
			storeLease(value)
			end := time.Now().Add(1500 * time.Millisecond)
			acked := writeUntil(end)
			dbs.withLock(func() {
				b := dbs.databases["b"].end
				Expect(b).To(Equal(position.Position{Term: 1, Index: 10}))
				Expect(acked).To(BeEmpty(), "acknowledged beyond the end of the successor's log, %s", b)
			})
		},
		Entry("while a host holds the lease, although an older order resumed a replica that it had paused",
			`{"holder":"host-2","claim":"x","ordered":"b"}`),
		Entry("while a host that has not ordered a promotion yet holds the lease", `{"holder":"host-2","claim":"x"}`),
		Entry("while an order that was given under a released lease is carried out, although later ones are answered",
			`{"holder":"host-2","claim":"x","released":true,"ordered":"b"}`),
		Entry("while the lease of this host's previous process is not released", `{"holder":"host-1","claim":"x","ordered":"b"}`),
		Entry("while the lease cannot be decoded", `7`),
		Entry("when the lease was released in a later term", `{"holder":"host-2","claim":"x","released":true,"term":2,"rules":1}`),
	)

	It("is not acknowledged on one replica while the store is down, but on all of them", func() {
		Expect(write()).To(BeNil())
		p.store.SetDown(true)
		Expect(write()).To(BeNil())
		onlyCReceives()
		Expect(write().Kind).To(Equal(errkind.OutcomeUnknown))
	})

	It("is acknowledged on all replicas while a host holds the lease that was settled in the same term", func() {
		Expect(write()).To(BeNil())
		storeLease(`{"holder":"host-2","claim":"x","ordered":"b"}`)
		Expect(write()).To(BeNil())
	})

	// An order that was given in an earlier term, for the primary of that time, may take
	// effect with a log of before the commit.
	DescribeTable("is not acknowledged on all replicas when the lease has not been settled in its term",
		func(value string) {
			storeLease(value)
			end := time.Now().Add(1200 * time.Millisecond)
			Expect(writeUntil(end)).To(BeEmpty())
		},
		Entry("since an order is pending", `{"holder":"host-2","claim":"x","ordered":"a","term":1,"rules":1}`),
		Entry("since a host holds the lease", `{"holder":"host-2","claim":"x","term":1,"rules":1}`),
	)

	It("is not acknowledged on all replicas when the lease was settled in an earlier term only", func() {
		storeLease(`{"holder":"host-2","claim":"x","released":true,"term":1,"rules":1}`)
		Expect(write()).To(BeNil())
		dbs.withLock(func() { dbs.term = 2 })
		svc.recordPrimary("a", position.Position{Term: 2, Index: 11}, time.Now())
		p.store.SetDown(true)
		Expect(acknowledged()).To(BeFalse())
		p.store.SetDown(false)
		Eventually(acknowledged).WithTimeout(5 * time.Second).Should(BeTrue())
	})

	It("is acknowledged on one replica if the lease is settled", func() {
		onlyCReceives()
		storeLease(`{"holder":"host-2","claim":"x","released":true,"term":1,"rules":1}`)
		Expect(write()).To(BeNil())
	})

	It("is not acknowledged on all listed replicas without a settled lease, after one vanished without an announcement", func() {
		storeLease(`{"holder":"host-2","claim":"x","ordered":"b"}`)
		svc.mu.Lock()
		svc.table.SetDatabases(slices.DeleteFunc(svc.table.All(), func(db routes.Database) bool { return db.ID == "b" }), time.Now().Add(-5*time.Second))
		svc.table.Expire(time.Now())
		svc.mu.Unlock()
		Expect(write().Kind).To(Equal(errkind.OutcomeUnknown))
	})

	It("is acknowledged again after a lease without a pending order was left unsettled", func() {
		onlyCReceives()
		storeLease(`{"holder":"host-2","claim":"x","term":1,"rules":1}`)
		Expect(write().Kind).To(Equal(errkind.OutcomeUnknown))
		svc.mu.Lock()
		svc.promotion.observedLease.at = time.Now().Add(-leaseTerm)
		svc.mu.Unlock()
		Eventually(acknowledged).WithTimeout(5 * time.Second).Should(BeTrue())
		dbs.withLock(func() { Expect(dbs.orders).To(BeEmpty()) })
	})

	It("is acknowledged again only when an order that was given can take effect no more", func() {
		onlyCReceives()
		storeLease(`{"holder":"host-2","claim":"x","released":true,"ordered":"b"}`)
		var ordered time.Time
		dbs.withLock(func() {
			dbs.promoteHook = func(o succession.Order) error {
				if ordered.IsZero() {
					ordered = time.Now()
				}
				return dbs.applyOrder(o)
			}
		})
		Expect(acknowledged()).To(BeFalse(), "the host that has released the lease is to settle it first")
		svc.mu.Lock()
		svc.promotion.observedLease.at = time.Now().Add(-leaseTerm)
		svc.mu.Unlock()
		// "b" lacks what "c" holds, so that its order is not given again.
		Eventually(acknowledged).WithTimeout(12 * time.Second).Should(BeTrue())
		Expect(time.Since(ordered)).To(BeNumerically(">=", succession.VoidRounds*succession.PromotionLimit))
		dbs.withLock(func() {
			Expect(dbs.orders).To(HaveLen(succession.VoidRounds))
			Expect(dbs.orders).To(HaveEach(HaveField("Database", "a")))
			Expect(dbs.primary).To(Equal("a"))
		})
	})

	It("is not acknowledged on one replica while this host replaces the primary", func() {
		dbs.withLock(func() {
			dbs.promoteHook = func(o succession.Order) error {
				dbs.withLock(func() {
					for id, db := range dbs.databases {
						db.notReplicating = id == o.Database
					}
				})
				if err := write(); err == nil || err.Kind != errkind.OutcomeUnknown {
					return fmt.Errorf("write during the replacement: %v", err)
				}
				return dbs.applyOrder(o)
			}
		})
		svc.mu.Lock()
		svc.startAttempt(svc.newReplacement(succession.Leaving, position.Position{}, time.Now()), (*replacement).run)
		svc.mu.Unlock()
		Eventually(func() (id string) {
			dbs.withLock(func() { id = dbs.primary })
			return id
		}).WithTimeout(3 * time.Second).Should(BeElementOf("b", "c"))
	})

	It("does not settle a lease while the primary should be replaced, since the replacement does", func() {
		storeLease(`{"holder":"host-1","claim":"x","released":true,"ordered":"b"}`)
		svc.mu.Lock()
		defer svc.mu.Unlock()
		svc.promotion.reason = succession.Leaving
		svc.startSettling(time.Now())
		Expect(svc.promotion.running).To(BeFalse())
		svc.promotion.reason = succession.None
		svc.startSettling(time.Now())
		Expect(svc.promotion.running).To(BeTrue())
	})

	It("does not leave a lease with a pending order, though no commit waits for it", func() {
		dbs.withLock(func() {
			dbs.databases["a"].unresponsive = true
			dbs.promoteHook = func(succession.Order) error { return errors.New("no answer") }
		})
		svc.mu.Lock()
		svc.startAttempt(svc.newReplacement(succession.Silent, position.Position{}, time.Now()), (*replacement).run)
		svc.mu.Unlock()
		running := func() bool {
			svc.mu.Lock()
			defer svc.mu.Unlock()
			return svc.promotion.running
		}
		Eventually(running).WithTimeout(4 * time.Second).Should(BeFalse())
		dbs.withLock(func() { dbs.databases["a"].unresponsive, dbs.promoteHook = false, nil })
		Eventually(func() bool {
			svc.maybeReplacePrimary(time.Now())
			return svc.leaseSettled(2)
		}).WithTimeout(5 * time.Second).Should(BeTrue())
		dbs.withLock(func() { Expect(dbs.primary).To(Equal(dbs.orders[0].Database)) })
	})

	It("is not acknowledged on one replica while an accepted order is late and the former primary answers again", func() {
		dbs := dbs // the order is carried out after the attempt has ended
		const late = 2*succession.PromotionLimit - 500*time.Millisecond
		dbs.withLock(func() {
			dbs.databases["a"].unresponsive = true
			dbs.promoteHook = func(o succession.Order) error {
				time.AfterFunc(late, func() { _ = dbs.applyOrder(o) })
				dbs.withLock(func() {
					dbs.databases["a"].unresponsive, dbs.databases[o.Database].notReplicating = false, true
					dbs.promoteHook = nil
				})
				return nil
			}
		})
		svc.mu.Lock()
		a := svc.newReplacement(succession.Silent, position.Position{}, time.Now())
		svc.startAttempt(a, (*replacement).run)
		svc.mu.Unlock()
		Eventually(func() bool {
			svc.mu.Lock()
			defer svc.mu.Unlock()
			return svc.promotion.running
		}).WithTimeout(4 * time.Second).Should(BeFalse())
		acked := acknowledged()
		Expect(acked).To(BeFalse())

		By("giving the order again")
		Eventually(func() bool {
			svc.maybeReplacePrimary(time.Now())
			return svc.leaseSettled(2)
		}).WithTimeout(10 * time.Second).Should(BeTrue())
		dbs.withLock(func() {
			Expect(dbs.orders).To(HaveLen(2))
			Expect(dbs.orders[1].Database).To(Equal(dbs.orders[0].Database))
			Expect(dbs.primary).To(Equal(dbs.orders[0].Database))
		})
	})

	DescribeTable("is acknowledged again after an order has shown no effect and its database has ended", func(value string) {
		dbs.withLock(func() { delete(dbs.databases, "b") })
		onlyC := entriesOf("a", "c")
		g.ago(time.Minute, func() { g.setDatabases(onlyC) })
		storeLease(value)
		svc.mu.Lock()
		svc.promotion.unsettled = true
		svc.mu.Unlock()
		Eventually(func() bool {
			svc.maybeReplacePrimary(time.Now())
			return svc.leaseSettled(1)
		}).WithTimeout(20 * time.Second).WithPolling(50 * time.Millisecond).Should(BeTrue())
		dbs.withLock(func() {
			Expect(dbs.orders).To(HaveLen(succession.VoidRounds))
			Expect(dbs.orders[0].Database).To(Equal("a"))
		})
	},
		Entry("that was accepted", `{"holder":"host-1","claim":"x","ordered":"b","unseen":true,"term":1,"rules":1}`),
		Entry("that had no answer", `{"holder":"host-1","claim":"x","ordered":"b","term":1,"rules":1}`),
		Entry("that a host of older rules rewrote", `{"holder":"host-1","claim":"x","ordered":"a","term":1}`),
	)

	It("waits for the settling of one attempt before another one of the same host starts", func() {
		svc.mu.Lock()
		svc.promotion.running = true
		svc.startSettling(time.Now())
		svc.mu.Unlock()
		_, err := p.api.Get(context.Background(), kindLeases, testService)
		Expect(err).To(HaveOccurred(), "no attempt has taken the lease")
	})
})
