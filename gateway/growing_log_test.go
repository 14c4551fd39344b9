package gateway

import (
	"context"
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/position"
	"github.com/bronzeloft/bronzeloft/statement"
)

// Guards against the loss of an acknowledged commit (LOST): all replicas received it
// between the call that promoted one of them and the effect, and that one led with what it
// had when the call was made. The platform does not state as of when it leads.
var _ = Describe("a promoted database that leads with its log of the call", func() {
	var (
		dbs *group
		p   *fakePlatform
		g   *Gateway
		svc *service
	)

	BeforeEach(func() {
		dbs = newGroup("a", "b", "c")
		dbs.cutAtCall = true
		p = newFakePlatform(dbs)
		g = newTestGateway(p)
		svc = g.service(testService)
		svc.recordPrimary("a", position.Position{Term: 1, Index: 10}, time.Now())
	})

	setRunning := func(running bool) {
		svc.mu.Lock()
		svc.promotion.running = running
		svc.mu.Unlock()
	}
	attempt := func(reason succession.Reason) *replacement { return runAttempt(svc, reason) }
	write := func() bool { return newTestSession(g, "own").serve(request(statement.Write)).Err == nil }
	// confirmed writes to a database and reports whether a replica confirmed it.
	confirmed := func(id string) bool {
		l, err := dbs.dial(id)
		Expect(err).NotTo(HaveOccurred())
		a, err := l.Run(time.Now().Add(time.Second), request(statement.Write))
		return err == nil && a[0].Err == nil
	}
	end := func(id string) (at position.Position) {
		dbs.withLock(func() { at = dbs.databases[id].end })
		return at
	}
	// during runs f between each call and its effect.
	during := func(f func(succession.Order)) {
		dbs.withLock(func() {
			dbs.promoteHook = func(o succession.Order) error {
				f(o)
				return dbs.applyOrder(o)
			}
		})
	}
	primary := func() (id string) {
		dbs.withLock(func() { id = dbs.primary })
		return id
	}

	DescribeTable("does not lack a commit that was acknowledged between the call and the effect",
		func(reason succession.Reason) {
			var last position.Position
			during(func(succession.Order) {
				if write() {
					last = end("a")
				}
			})
			attempt(reason)
			Expect(primary()).NotTo(Equal("a"))
			Expect(end(primary()).Index).To(BeNumerically(">=", last.Index))
			Expect(write()).To(BeTrue(), "replicas are left paused")
		},
		Entry("of a primary whose commits stall", succession.Stalled),
		Entry("of a leaving primary", succession.Leaving),
	)

	DescribeTable("does not lack a commit that its former primary has confirmed by then",
		func(reason succession.Reason) {
			got := true
			during(func(succession.Order) { got = confirmed("a") })
			attempt(reason)
			Expect(primary()).NotTo(Equal("a"))
			Expect(got).To(BeFalse())
		},
		Entry("of a primary whose commits stall", succession.Stalled),
		Entry("of a leaving primary", succession.Leaving),
	)

	// A RESUME of an earlier attempt may be carried out at any time.
	It("is not ordered after a replica has received more since it was chosen", func() {
		ctx := context.Background()
		setRunning(true)
		svc.mu.Lock()
		a := svc.newReplacement(succession.Stalled, position.Position{}, time.Now())
		svc.mu.Unlock()
		Expect(a.acquireLease(ctx)).To(Succeed())
		chosen, err := a.choose(ctx)
		Expect(err).NotTo(HaveOccurred())
		dbs.withLock(func() {
			for _, db := range dbs.databases {
				db.paused = 0
			}
		})
		Expect(confirmed("a")).To(BeTrue())
		Expect(a.order(ctx, chosen.ID)).To(MatchError(errNotPaused))
		dbs.withLock(func() { Expect(dbs.orders).To(BeEmpty()) })
	})

	It("is not ordered again after a replica has received more since the first call", func() {
		calls := 0
		dbs.withLock(func() {
			dbs.promoteHook = func(succession.Order) error {
				calls++
				dbs.withLock(func() {
					for _, db := range dbs.databases {
						db.paused = 0
					}
				})
				Expect(confirmed("a")).To(BeTrue())
				return errStandinTimeout
			}
		})
		a := attempt(succession.Stalled)
		Expect(calls).To(Equal(1))
		Expect(a.pending).To(BeTrue())
	})

	It("has its log kept from growing if a replica is resumed while the order is under way", func() {
		dbs := dbs // the order is carried out after the spec has ended if it fails
		dbs.withLock(func() {
			dbs.promoteHook = func(o succession.Order) error {
				dbs.withLock(func() {
					for _, db := range dbs.databases {
						db.paused = 0
					}
				})
				time.AfterFunc(600*time.Millisecond, func() { _ = dbs.applyOrder(o) })
				return nil
			}
		})
		done := make(chan struct{})
		go func() {
			defer close(done)
			attempt(succession.Stalled)
		}()
		Eventually(func() (n int) {
			dbs.withLock(func() {
				for _, db := range dbs.databases {
					if db.paused != 0 {
						n++
					}
				}
			})
			return n
		}).WithTimeout(400 * time.Millisecond).WithPolling(5 * time.Millisecond).Should(Equal(2))
		Eventually(done).WithTimeout(3 * time.Second).Should(BeClosed())
		Expect(write()).To(BeTrue(), "replicas are left paused")
	})

	It("is ordered although a replica's first answer to its pause was lost", func() {
		dbs.withLock(func() { dbs.databases["c"].losePauses = 1 })
		attempt(succession.Stalled)
		Expect(primary()).NotTo(Equal("a"))
		Expect(write()).To(BeTrue(), "replicas are left paused")
	})

	It("is chosen only among replicas that were all paused", func() {
		dbs.withLock(func() { dbs.databases["c"].ignoresPause = true })
		attempt(succession.Stalled)
		dbs.withLock(func() { Expect(dbs.orders).To(BeEmpty()) })
		Expect(write()).To(BeTrue(), "replicas are left paused")
	})

	// They cannot catch up with what the primary commits and nobody confirms.
	It("is ordered in place of a leaving primary although replicas have stayed paused for an earlier order", func() {
		dbs.withLock(func() {
			dbs.promoteHook = func(succession.Order) error { return errStandinTimeout }
		})
		attempt(succession.Leaving)
		dbs.withLock(func() { dbs.promoteHook = nil })
		Expect(confirmed("a")).To(BeFalse())
		attempt(succession.Leaving)
		Expect(primary()).NotTo(Equal("a"))
		Expect(write()).To(BeTrue(), "replicas are left paused")
	})

	DescribeTable("leads on without pauses while the lease of the host that has promoted it is settled, once no earlier order can take effect",
		func(ago time.Duration, want bool) {
			_, err := p.api.Create(context.Background(), kindLeases, testService, []byte(`{"holder":"host-1","claim":"x","ordered":"a","term":1,"rules":1}`))
			Expect(err).NotTo(HaveOccurred())
			dbs.withLock(func() {
				dbs.term = 2
				for _, db := range dbs.databases {
					db.end.Term = 2
				}
			})
			g.ago(ago, func() { svc.recordPrimary("a", position.Position{Term: 2, Index: 10}, g.now()) })
			got := !want
			during(func(succession.Order) { got = confirmed("a") })
			svc.mu.Lock()
			a := svc.newReplacement(succession.Unsettled, position.Position{}, time.Now())
			svc.mu.Unlock()
			a.settle()
			Expect(got).To(Equal(want))
			Expect(svc.leaseSettled(2)).To(BeTrue())
			Expect(confirmed("a")).To(BeTrue(), "replicas are left paused")
		},
		Entry("long ago", succession.PromotionLimit+time.Second, true),
		Entry("just now", time.Duration(0), false),
	)

	It("leaves replicas paused while its order may still take effect, and no longer", func() {
		dbs := dbs
		dbs.withLock(func() {
			dbs.promoteHook = func(succession.Order) error { return errStandinTimeout }
		})
		attempt(succession.Stalled)
		Expect(confirmed("a")).To(BeFalse())
		dbs.withLock(func() { dbs.promoteHook = nil })
		svc.mu.Lock()
		svc.promotion.unsettled = true
		svc.mu.Unlock()
		Eventually(func() bool {
			svc.maybeReplacePrimary(time.Now())
			return svc.leaseSettled(2)
		}).WithTimeout(8 * time.Second).WithPolling(50 * time.Millisecond).Should(BeTrue())
		Expect(confirmed(primary())).To(BeTrue())
	})

	// The platform states some hundred ms for a promotion. The lease stays unsettled for
	// longer, so that no commit is acknowledged on one copy.
	It("leaves replicas paused for PromotionLimit after an order that voids its own, and commits are acknowledged on all copies then", func() {
		dbs.withLock(func() {
			dbs.databases["c"].end.Index++ // so that the order for "b" is not given again
		})
		value, err := json.Marshal(succession.Lease{Holder: "host-1", Claim: "x", Ordered: "b", Term: 1, Rules: succession.Rules})
		Expect(err).NotTo(HaveOccurred())
		_, err = p.api.Create(context.Background(), kindLeases, testService, value)
		Expect(err).NotTo(HaveOccurred())
		got := true
		during(func(succession.Order) { got = confirmed("a") })
		svc.mu.Lock()
		a := svc.newReplacement(succession.Unsettled, position.Position{}, time.Now())
		svc.mu.Unlock()
		setRunning(true)
		started := time.Now()
		a.settle()
		Expect(got).To(BeFalse())
		Expect(time.Since(started)).To(BeNumerically(">=", succession.PromotionLimit))
		Expect(svc.leaseSettled(1)).To(BeFalse())
		Expect(write()).To(BeTrue())
		dbs.withLock(func() { dbs.databases["b"].notReplicating = true })
		Expect(write()).To(BeFalse())
		setRunning(false)
	})
})
