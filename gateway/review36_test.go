package gateway

import (
	"context"
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/position"
	"github.com/bronzeloft/bronzeloft/statement"
)

var _ = Describe("pauses that another attempt has left or ends", func() {
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

	attempt := func(reason succession.Reason) *replacement { return runAttempt(svc, reason) }
	write := func() bool { return newTestSession(g, "own").serve(request(statement.Write)).Err == nil }
	storedLease := func() (l succession.Lease) {
		held, err := p.api.Get(context.Background(), kindLeases, testService)
		Expect(err).NotTo(HaveOccurred())
		_ = json.Unmarshal(held.Value, &l)
		return l
	}
	paused := func() (n int) {
		dbs.withLock(func() {
			for _, db := range dbs.databases {
				if db.paused > dbs.term {
					n++
				}
			}
		})
		return n
	}

	// A host that has renewed its lease to resume them may stand still until another one has
	// paused them again and ordered a promotion; so may its RESUMEs on their way. That the lease
	// was settled in the term shows nothing of orders that were given in it since.
	lateResume := func(beforeIt func(*Gateway), by func() *Gateway) {
		dbs := dbs // a host may go on settling the lease after the spec has ended
		host := by()
		send := func() bool { return newTestSession(host, "own").serve(request(statement.Write)).Err == nil }
		Expect(send()).To(BeTrue(), "the lease has been read as settled")
		acknowledged, last := false, position.Position{}
		dbs.withLock(func() {
			dbs.promoteHook = func(o succession.Order) error {
				beforeIt(host)
				dbs.withLock(func() {
					for _, db := range dbs.databases {
						db.paused = 0
					}
				})
				ok := send()
				dbs.withLock(func() { acknowledged, last = acknowledged || ok, dbs.databases["a"].end })
				return dbs.applyOrder(o)
			}
		})
		attempt(succession.Stalled)
		dbs.withLock(func() {
			dbs.promoteHook = nil
			Expect(dbs.primary).NotTo(Equal("a"))
			if acknowledged {
				Expect(dbs.databases[dbs.primary].end.Index).To(BeNumerically(">=", last.Index), "lost")
			}
		})
	}
	another := func() *Gateway {
		other := newTestGateway(p)
		other.service(testService).recordPrimary("a", position.Position{Term: 1, Index: 10}, time.Now())
		return other
	}
	none := func(*Gateway) {}

	It("do not let a commit be lost that all replicas received after a late RESUME, by the host that has paused them", func() {
		lateResume(none, func() *Gateway { return g })
	})

	It("do not let a commit be lost that all replicas received after a late RESUME, by a host that has seen the pause", func() {
		lateResume(func(host *Gateway) {
			s := host.service(testService)
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			Expect(s.acknowledge(ctx, commit{primary: "a", at: position.Position{Term: 1, Index: 12}, term: 1})).NotTo(Succeed())
		}, another)
	})

	It("do not let a commit be lost that all replicas received after a late RESUME, by a host that has not seen the pause", func() {
		lateResume(none, another)
	})

	// A refusal shows that the RESUME is not carried out late.
	It("do not keep the lease held because an overloaded replica refused a RESUME", func() {
		dbs.withLock(func() {
			dbs.promoteHook = func(succession.Order) error {
				dbs.withLock(func() {
					dbs.databases["b"].busyFor, dbs.databases["c"].busyFor = statement.Resume, statement.Resume
				})
				return succession.ErrRefused
			}
		})
		a := attempt(succession.Stalled)
		Expect(a.pausing.unanswered).To(BeFalse())
		Expect(storedLease().Settled(1)).To(BeTrue())

		By("resuming them soon after")
		Expect(paused()).To(Equal(2))
		dbs.withLock(func() {
			dbs.databases["b"].busyFor, dbs.databases["c"].busyFor = 0, 0
		})
		Eventually(func() int {
			svc.maybeReplacePrimary(time.Now())
			return paused()
		}).WithTimeout(2 * time.Second).WithPolling(20 * time.Millisecond).Should(BeZero())
		Expect(write()).To(BeTrue())
	})

	// A closed connection still delivers what its buffers hold.
	It("are not ended later by a RESUME whose connection was given up", func() {
		dbs.withLock(func() {
			dbs.promoteHook = func(succession.Order) error {
				dbs.withLock(func() { dbs.databases["c"].unresponsive = true })
				return succession.ErrRefused
			}
		})
		a := attempt(succession.Stalled)
		Expect(a.pausing.unanswered).To(BeTrue())
		dbs.withLock(func() { Expect(dbs.databases["c"].resets).To(BeNumerically(">", 0)) })
	})

	// The others wait until its lease has expired.
	It("do not outlast a host that is stopped as planned while its order is under way", func() {
		dbs := dbs
		dbs.withLock(func() {
			dbs.promoteHook = func(o succession.Order) error {
				time.AfterFunc(time.Second, func() { _ = dbs.applyOrder(o) })
				return nil
			}
		})
		g.opt.Grace = 10 * time.Second
		svc.mu.Lock()
		svc.startAttempt(svc.newReplacement(succession.Stalled, position.Position{}, time.Now()), (*replacement).run)
		svc.mu.Unlock()
		Eventually(paused).Should(Equal(2))
		g.drainClock.wait = func(ctx context.Context, d time.Duration) bool {
			time.Sleep(min(d, 50*time.Millisecond)) // the delay of the rotation is not the point
			return ctx.Err() == nil
		}
		g.Drain(context.Background())
		g.Close()
		Expect(storedLease().Settled(2)).To(BeTrue())
	})

	DescribeTable("do not keep commits of a service that is promoted four times from being acknowledged, or lose one",
		func(hook func(n int, o succession.Order) error) {
			n := 0
			dbs.withLock(func() {
				dbs.promoteHook = func(o succession.Order) error {
					n++
					return hook(n, o)
				}
			})
			last := position.Position{}
			for range 4 {
				before := ""
				dbs.withLock(func() { before = dbs.primary })
				Eventually(func() string {
					attempt(succession.Stalled)
					id := ""
					dbs.withLock(func() { id = dbs.primary })
					return id
				}).WithTimeout(12 * time.Second).ShouldNot(Equal(before))
				dbs.withLock(func() { Expect(dbs.databases[dbs.primary].end.Index).To(BeNumerically(">=", last.Index), "lost") })
				Eventually(func() bool {
					svc.maybeReplacePrimary(time.Now())
					return write()
				}).WithTimeout(12 * time.Second).Should(BeTrue())
				dbs.withLock(func() { last = dbs.databases[dbs.primary].end })
			}
			Expect(paused()).To(BeZero())
		},
		Entry("by orders that are answered", func(_ int, o succession.Order) error { return dbs.applyOrder(o) }),
		Entry("by orders every second of which has no answer", func(n int, o succession.Order) error {
			err := dbs.applyOrder(o)
			if n%2 == 0 {
				return errStandinTimeout
			}
			return err
		}),
		Entry("by orders whose effect is late", func(_ int, o succession.Order) error {
			time.AfterFunc(700*time.Millisecond, func() { _ = dbs.applyOrder(o) })
			return nil
		}),
	)

	// Other hosts have acknowledged commits that it holds and the ordered one lacks.
	It("do not end by an order given again while the store lists a replica with a longer log that this host has not heard of", func() {
		g.platform = listingPlatform{p}
		for _, id := range []string{"a", "b", "c", "d"} {
			value, err := json.Marshal(routes.Database{ID: id, Service: testService, Address: id, DataCentre: "dc-a", Slots: 4})
			Expect(err).NotTo(HaveOccurred())
			_, err = p.api.Create(context.Background(), p.DatabasesKind(), id, value)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := p.api.Create(context.Background(), kindLeases, testService, []byte(`{"holder":"host-1","claim":"x","released":true,"ordered":"b","term":1,"rules":1}`))
		Expect(err).NotTo(HaveOccurred())
		dbs.withLock(func() {
			dbs.databases["d"] = &standin{group: dbs, id: "d", end: position.Position{Term: 1, Index: 12}}
		})
		svc.mu.Lock()
		a := svc.newReplacement(succession.Unsettled, position.Position{}, time.Now())
		svc.promotion.running = true
		svc.mu.Unlock()
		a.settle()
		dbs.withLock(func() {
			Expect(dbs.orders).NotTo(BeEmpty())
			Expect(dbs.orders).NotTo(ContainElement(HaveField("Database", "b")))
		})
	})

	DescribeTable("are not left out when a lease is settled although its database has led for long",
		func(lease string) {
			_, err := p.api.Create(context.Background(), kindLeases, testService, []byte(lease))
			Expect(err).NotTo(HaveOccurred())
			dbs.withLock(func() {
				dbs.term = 2
				for _, db := range dbs.databases {
					db.end.Term = 2
				}
			})
			g.ago(succession.PromotionLimit+time.Second, func() { svc.recordPrimary("a", position.Position{Term: 2, Index: 10}, g.now()) })
			during := 0
			dbs.withLock(func() {
				dbs.promoteHook = func(o succession.Order) error {
					during = max(during, paused())
					return dbs.applyOrder(o)
				}
			})
			svc.mu.Lock()
			a := svc.newReplacement(succession.Unsettled, position.Position{}, time.Now())
			svc.promotion.running = true
			svc.mu.Unlock()
			a.settle()
			Expect(during).To(Equal(2))
		},
		Entry("if an order for another one may be pending too", `{"holder":"host-1","claim":"x","ordered":"a","unseen":true,"term":1,"rules":1}`),
		Entry("if the order was given in the term that it leads", `{"holder":"host-1","claim":"x","ordered":"a","term":2,"rules":1}`),
		Entry("if the order is for another one", `{"holder":"host-1","claim":"x","ordered":"z","term":1,"rules":1}`),
	)

	It("go on in the new term while an earlier order for another database may take effect", func() {
		_, err := p.api.Create(context.Background(), kindLeases, testService, []byte(`{"holder":"host-1","claim":"x","ordered":"z","term":1,"rules":1}`))
		Expect(err).NotTo(HaveOccurred())
		done := make(chan struct{})
		go func() {
			defer close(done)
			attempt(succession.Stalled)
		}()
		Eventually(func() uint64 {
			least := uint64(0)
			dbs.withLock(func() {
				for id, db := range dbs.databases {
					if id != dbs.primary && dbs.term == 2 && (least == 0 || db.paused < least) {
						least = db.paused
					}
				}
			})
			return least
		}).WithTimeout(1500 * time.Millisecond).WithPolling(5 * time.Millisecond).Should(Equal(uint64(3)))
		Eventually(done).WithTimeout(6 * time.Second).Should(BeClosed())
	})

	// A replica lacks the commit, and the lease is held.
	DescribeTable("keep a commit from being acknowledged that a prepared statement has written",
		func(forwarded, inTransaction bool) {
			_, err := p.api.Create(context.Background(), kindLeases, testService, []byte(`{"holder":"host-2","claim":"x","rules":1}`))
			Expect(err).NotTo(HaveOccurred())
			dbs.withLock(func() { dbs.databases["b"].notReplicating = true })
			var st statement.Request
			sess := newTestSession(g, "own")
			prepare := request(statement.Prepare, "w")
			prepare.Writes, prepare.Shape = true, "q1"
			Expect(sess.serve(prepare).Err).To(BeNil())
			jobs := &jobStream{g: g, runner: newLocal(g), ended: true}
			run := func(kind statement.Kind) error {
				st = request(kind, "w", "1")
				if !forwarded {
					if a := sess.serve(st); a.Err != nil {
						return a.Err
					}
					return nil
				}
				op, err := sess.newOperation(st)
				Expect(err).NotTo(HaveOccurred())
				op.inTransaction, op.began = inTransaction, op.arrived
				transaction := uint64(0)
				if inTransaction {
					transaction = 1
				}
				_, err = op.applyResult(jobs.run(context.Background(), op.job(g.now(), transaction)))
				return err
			}
			if !inTransaction {
				Expect(run(statement.Execute)).To(HaveOccurred())
			} else {
				if !forwarded {
					Expect(run(statement.Begin)).To(Succeed())
				}
				Expect(run(statement.Execute)).To(Succeed())
				Expect(run(statement.Commit)).To(HaveOccurred())
			}
			dbs.withLock(func() { Expect(dbs.ran).NotTo(BeEmpty(), "the commit took effect") })
		},
		Entry("on its own", false, false),
		Entry("in a transaction", false, true),
		Entry("on its own on the home host", true, false),
		Entry("in a transaction on the home host", true, true),
	)

	// S6 of issue 36. Each database confirms again, and the primary ends soon.
	It("do not last while a leaving primary serves and a silent replica cannot be read, although an order is pending", func() {
		_, err := p.api.Create(context.Background(), kindLeases, testService, []byte(`{"holder":"host-1","claim":"x","released":true,"ordered":"b","term":1,"rules":1}`))
		Expect(err).NotTo(HaveOccurred())
		dbs.withLock(func() {
			dbs.databases["b"].paused, dbs.databases["c"].paused = 2, 2
			dbs.databases["a"].end.Index = 12 // confirmed by no replica
			dbs.databases["c"].unresponsive = true
		})
		db := func(id string, leaving bool) routes.Database {
			return routes.Database{ID: id, Service: testService, Address: id, DataCentre: "dc-a", Slots: 4, Primary: id == "a", Leaving: leaving}
		}
		svc.setDatabases([]routes.Database{db("a", true), db("b", false), db("c", false)}, 4)
		state := func() (primary string, paused uint64) {
			svc.maybeReplacePrimary(time.Now())
			dbs.withLock(func() { primary, paused = dbs.primary, dbs.databases["b"].paused })
			return primary, paused
		}
		Eventually(func() bool {
			primary, paused := state()
			return paused == 0 || primary == "b"
		}).WithTimeout(8 * time.Second).WithPolling(50 * time.Millisecond).Should(BeTrue())
		dbs.withLock(func() {
			if dbs.primary == "b" {
				Expect(dbs.databases["b"].end.Index).To(BeNumerically(">=", 12), "the log of the primary, which answers, holds more")
			}
		})
	})
})
