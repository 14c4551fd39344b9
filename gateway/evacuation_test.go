package gateway

import (
	"maps"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/link/gossippb"
	"github.com/bronzeloft/bronzeloft/position"
	"github.com/bronzeloft/bronzeloft/statement"
)

// Guards against requests that reach a database of an evacuated data centre later than the limit
// after the store's acknowledgement (EVAC), and against commits that its replacement loses (LOST).
var _ = Describe("the evacuation of a data centre", func() {
	places := map[string]string{"a": "dc-b", "b": "dc-b", "c": "dc-a", "d": "dc-a"}

	It("replaces the primary under load before the limit, and databases are used again when it is taken back", func() {
		s := newEvacuationSite(places).start()
		led := map[string]position.Position{}
		s.dbs.promoteHook = func(o succession.Order) error {
			s.dbs.withLock(func() { led[o.Database] = s.dbs.databases[o.Database].end })
			return s.dbs.applyOrder(o)
		}
		c := s.load(4, 4)
		time.Sleep(500 * time.Millisecond)
		acked := s.evacuate("dc-b")
		Eventually(func() bool { return s.g.evacuations.evacuated("dc-b") }).WithPolling(time.Millisecond).Should(BeTrue())
		for _, p := range s.svc.readers(testCustomer) {
			Expect(p.db.DataCentre).To(Equal("dc-a"), "reads leave at once")
		}
		Eventually(s.primary).WithTimeout(evacuationLimit - time.Second).Should(BeElementOf("c", "d"))
		first := s.primary()
		time.Sleep(time.Until(acked.Add(evacuationLimit + 500*time.Millisecond)))
		Expect(s.lastRequest("a", "b")).To(BeTemporally("<", acked.Add(evacuationLimit)))
		s.takeBack("dc-b")
		Eventually(func() int { return len(s.svc.readers(testCustomer)) }).Should(Equal(4))
		time.Sleep(300 * time.Millisecond)
		c.end()
		Expect(s.orders()).To(Equal(1))
		Expect(s.primary()).To(Equal(first), "nothing goes back by itself")
		for _, at := range c.acked {
			if at.Term == 1 {
				Expect(led[first].Before(at)).To(BeFalse(), "acknowledged commit %s, successor's log %s", at, led[first])
			}
		}
		Expect(c.writes).To(BeNumerically(">", 100))
		Expect(c.pause).To(BeNumerically("<", 800*time.Millisecond), "a statement waits for so long")
	})

	It("sends nothing on after the limit where no log elsewhere may lead, and replaces the primary once one may", func() {
		s := newEvacuationSite(places).start()
		s.dbs.withLock(func() { s.dbs.databases["c"].notReplicating, s.dbs.databases["d"].notReplicating = true, true })
		a, _ := s.write()
		s.dbs.withLock(func() { Expect(s.dbs.databases["b"].end).To(Equal(position.Position{Term: 1, Index: 11})) })
		tx := newTestSession(s.g, "current")
		Expect(tx.serve(request(statement.Begin)).Err).To(BeNil())
		Expect(tx.serve(request(statement.Write)).Err).To(BeNil())
		acked := s.evacuate("dc-b")
		Eventually(func() bool { return s.svc.pools["a"].isClosed() }).WithTimeout(evacuationLimit).Should(BeTrue())

		By("refusing at once what only the primary can run")
		for range 5 {
			refused, took := s.write()
			Expect(refused.Err).NotTo(BeNil())
			Expect(refused.Err.Kind).To(Equal(errkind.NoPrimary))
			Expect(took).To(BeNumerically("<", 200*time.Millisecond))
		}
		commit := tx.serve(request(statement.Commit))
		Expect(commit.Err).NotTo(BeNil())
		Expect(commit.Err.Kind.Answer().Outcome).To(Equal(errkind.NotRun))
		s.dbs.withLock(func() {
			Expect(s.dbs.committed).To(BeEmpty())
			Expect(s.dbs.databases["a"].resets).To(BeNumerically(">", 0), "which rolls back")
		})
		time.Sleep(time.Until(acked.Add(evacuationLimit + 500*time.Millisecond)))
		Expect(s.lastRequest("a", "b")).To(BeTemporally("<", acked.Add(evacuationLimit)))
		Expect(s.orders()).To(BeZero(), "a commit that was acknowledged is in none of the logs elsewhere: %v", a.Err)

		By("receiving the log")
		s.dbs.withLock(func() {
			for _, id := range []string{"c", "d"} {
				s.dbs.databases[id].notReplicating, s.dbs.databases[id].end = false, s.dbs.databases["a"].end
			}
		})
		Eventually(s.primary).WithTimeout(evacuationMaxPause).Should(BeElementOf("c", "d"))
		Eventually(func() error {
			if a, _ := s.write(); a.Err != nil {
				return a.Err
			}
			return nil
		}).WithTimeout(3 * time.Second).Should(Succeed())
	})

	It("refuses at once everything of a service all of whose databases are evacuated, and serves it when one is taken back", func() {
		s := newEvacuationSite(places).start()
		Expect(s.g.servicesAwaitingEvacuation()).To(BeZero())
		s.evacuate("dc-a")
		s.evacuate("dc-b")
		Eventually(func() bool { return s.svc.pools["a"].isClosed() && s.svc.pools["c"].isClosed() }).WithTimeout(evacuationLimit).Should(BeTrue())
		Expect(s.g.servicesAwaitingEvacuation()).To(Equal(1))
		time.Sleep(1100 * time.Millisecond) // the samples are older than the reads' routes accept
		before := s.lastRequest("a", "b", "c", "d")
		for route, kind := range map[string]statement.Kind{"current": statement.Write, "own": statement.Read, "bounded": statement.Read} {
			from := time.Now()
			a := newTestSession(s.g, route).serve(request(kind))
			Expect(a.Err).NotTo(BeNil())
			Expect(a.Err.Kind.Answer().Outcome).To(Equal(errkind.NotRun))
			Expect(time.Since(from)).To(BeNumerically("<", 200*time.Millisecond), route)
		}
		Expect(s.lastRequest("a", "b", "c", "d")).To(Equal(before))
		Expect(s.orders()).To(BeZero())
		s.takeBack("dc-b")
		Eventually(func() bool { a, _ := s.write(); return a.Err == nil }).Should(BeTrue())
	})

	It("of two data centres one after the other moves the primary to the third", func() {
		s := newEvacuationSite(map[string]string{"a": "dc-b", "c": "dc-c", "d": "dc-a"}).start()
		s.evacuate("dc-b")
		Eventually(s.primary).WithTimeout(evacuationLimit).Should(BeElementOf("c", "d"))
		last := map[string]string{"c": "d", "d": "c"}[s.primary()]
		acked := s.evacuate(s.svc.pools[s.primary()].db.DataCentre)
		Eventually(s.primary).WithTimeout(evacuationLimit).Should(Equal(last))
		Eventually(func() bool { a, _ := s.write(); return a.Err == nil }).WithTimeout(3 * time.Second).Should(BeTrue())
		time.Sleep(time.Until(acked.Add(evacuationLimit + 300*time.Millisecond)))
		former := map[string]string{"c": "d", "d": "c"}[last]
		Expect(s.lastRequest("a", former)).To(BeTemporally("<", acked.Add(evacuationLimit)))
	})

	It("that is taken back while the replacement is ordered lets that end, and orders nothing more", func() {
		s := newEvacuationSite(places)
		s.dbs.promoteHook = func(o succession.Order) error {
			s.takeBack("dc-b")
			time.Sleep(100 * time.Millisecond)
			return s.dbs.applyOrder(o)
		}
		s.start().evacuate("dc-b")
		Eventually(s.primary).WithTimeout(evacuationLimit).Should(BeElementOf("c", "d"))
		Eventually(func() bool { a, _ := s.write(); return a.Err == nil }).WithTimeout(3 * time.Second).Should(BeTrue())
		time.Sleep(time.Second)
		Expect(s.orders()).To(Equal(1))
	})

	It("of the data centre of a successor whose promotion is under way replaces that one in turn", func() {
		s := newEvacuationSite(map[string]string{"a": "dc-b", "c": "dc-c", "d": "dc-a"})
		s.dbs.withLock(func() {
			s.dbs.databases["c"].end.Index = 12 // the longest log: it must lead
			s.dbs.databases["a"].unresponsive = true
		})
		var once sync.Once
		s.dbs.promoteHook = func(o succession.Order) error {
			once.Do(func() {
				s.evacuate("dc-c")
				time.Sleep(50 * time.Millisecond)
			})
			return s.dbs.applyOrder(o)
		}
		s.start()
		s.svc.recordPrimary("a", position.Position{Term: 1, Index: 10}, time.Now())
		for range 3 { // a fails, as callers find
			s.write()
		}
		Eventually(s.orders).WithTimeout(8 * time.Second).Should(BeNumerically(">", 0))
		s.dbs.withLock(func() {
			Expect(s.dbs.orders[0].Database).To(Equal("c"))
			s.dbs.databases["d"].end = s.dbs.databases["c"].end
			s.dbs.databases["a"].unresponsive = false
		})
		Eventually(s.primary).WithTimeout(8 * time.Second).Should(Equal("d"))
	})

	It("binds while the store is away, and the primary is replaced when it is back", func() {
		s := newEvacuationSite(places).start()
		acked := s.evacuate("dc-b")
		Eventually(func() bool { return s.g.evacuations.evacuated("dc-b") }).WithPolling(time.Millisecond).Should(BeTrue())
		s.store.away.Store(true)
		time.Sleep(time.Until(acked.Add(evacuationLimit)))
		if s.primary() == "a" {
			a, took := s.write()
			Expect(a.Err).NotTo(BeNil())
			Expect(took).To(BeNumerically("<", 200*time.Millisecond))
		}
		time.Sleep(300 * time.Millisecond)
		Expect(s.lastRequest("a", "b")).To(BeTemporally("<", acked.Add(evacuationLimit)))
		s.store.away.Store(false)
		Eventually(s.primary).WithTimeout(evacuationMaxPause).Should(BeElementOf("c", "d"))
		Eventually(func() bool { a, _ := s.write(); return a.Err == nil }).WithTimeout(3 * time.Second).Should(BeTrue())
	})

	It("binds a route that the configuration moves to a service there meanwhile", func() {
		s := newEvacuationSite(places).start()
		s.evacuate("dc-b")
		Eventually(s.primary).WithTimeout(evacuationLimit).Should(BeElementOf("c", "d"))
		Eventually(func() bool { return s.svc.pools["a"].isClosed() }).WithTimeout(evacuationLimit).Should(BeTrue())
		config := *s.g.config.Load().Configuration
		config.Services = maps.Clone(config.Services)
		config.Services["stock-db"] = routes.Service{Name: "stock-db", MaxConns: 40}
		s.g.config.Store(&loadedConfiguration{Configuration: &config})
		s.dbs.withLock(func() { s.dbs.databases["x"] = &standin{group: s.dbs, id: "x"} })
		s.g.mu.Lock()
		list := maps.Clone(s.g.databases)
		s.g.mu.Unlock()
		list["x"] = routes.Database{ID: "x", Service: "stock-db", Address: "x", DataCentre: "dc-b", Slots: 4, Primary: true}
		s.g.listMu.Lock()
		s.g.setDatabases(list)
		s.g.listMu.Unlock()
		session := newTestSession(s.g, "current")
		move := func(service string) statement.Answer {
			s.g.updateRoute("current", func(r *routes.Route) { r.Service = service })
			return session.serve(request(statement.Write))
		}
		from := time.Now()
		a := move("stock-db")
		Expect(a.Err).NotTo(BeNil())
		Expect(a.Err.Kind).To(Equal(errkind.NoPrimary))
		Expect(time.Since(from)).To(BeNumerically("<", 200*time.Millisecond))
		s.dbs.withLock(func() { Expect(s.dbs.databases["x"].received).NotTo(ContainElement(statement.Write)) })
		Eventually(func() bool { return move(testService).Err == nil }).WithTimeout(3 * time.Second).Should(BeTrue())
	})

	It("leaves a host that the store turns away the new primary to find, once the former one may not be asked", func() {
		s := newEvacuationSite(places).start()
		s.evacuate("dc-b")
		Eventually(func() bool { return s.g.evacuations.evacuated("dc-b") }).WithPolling(time.Millisecond).Should(BeTrue())
		s.store.away.Store(true)
		Eventually(func() bool { return s.svc.pools["a"].isClosed() }).WithTimeout(evacuationLimit).Should(BeTrue())
		s.dbs.withLock(func() { s.dbs.term, s.dbs.primary = s.dbs.term+1, "c" }) // another host has replaced it
		Eventually(func() string {
			s.svc.mu.Lock()
			defer s.svc.mu.Unlock()
			leader, _ := s.svc.table.Leader()
			return leader.ID
		}).WithTimeout(2 * time.Second).Should(Equal("c"))
		Eventually(func() bool { return newTestSession(s.g, "bounded").serve(request(statement.Read)).Err == nil }).WithTimeout(2 * time.Second).Should(BeTrue())
	})

	It("that a host cut off from the store and all hosts learns of late binds there at once", func() {
		s := newEvacuationSite(places).start()
		Expect(newTestSession(s.g, "current").serve(request(statement.Write)).Err).To(BeNil())
		s.store.away.Store(true)
		time.Sleep(300 * time.Millisecond) // the watch that is held has ended
		s.evacuate("dc-b")
		time.Sleep(evacuationLimit)
		Expect(s.g.evacuations.evacuated("dc-b")).To(BeFalse())
		Expect(newTestSession(s.g, "current").serve(request(statement.Write)).Err).To(BeNil(), "it cannot know")

		By("the primary being replaced by another host")
		s.dbs.withLock(func() { s.dbs.term, s.dbs.primary = 2, "c" })
		Eventually(func() (term uint64) {
			s.write() // it is not acknowledged in the new term: this host cannot read the lease
			s.dbs.withLock(func() { term = s.dbs.databases["c"].end.Term })
			return term
		}).WithTimeout(3 * time.Second).Should(BeEquivalentTo(2))
		ran := 0
		s.dbs.withLock(func() { ran = len(s.dbs.databases["a"].received) })
		s.write()
		s.dbs.withLock(func() { Expect(s.dbs.databases["a"].received[ran:]).NotTo(ContainElement(statement.Write)) })

		By("reaching the store again")
		s.store.away.Store(false)
		Eventually(func() bool { return s.g.evacuations.evacuated("dc-b") }).WithTimeout(3 * time.Second).Should(BeTrue())
		Expect(s.svc.pools["a"].isClosed()).To(BeTrue())
	})

	It("makes no attempt earlier than any other one after a RESUME that may still be carried out", func() {
		s := newEvacuationSite(map[string]string{"a": "dc-b", "b": "dc-b"}).start() // none may lead elsewhere
		s.evacuate("dc-b")
		Eventually(func() bool { return s.g.evacuations.evacuated("dc-b") }).Should(BeTrue())
		after := func(unanswered bool) time.Duration {
			s.svc.mu.Lock()
			from := s.g.now()
			s.svc.startAttempt(s.svc.newReplacement(succession.Leaving, position.Position{}, from), func(a *replacement) { a.pausing.unanswered = unanswered })
			s.svc.mu.Unlock()
			Eventually(func() bool {
				s.svc.mu.Lock()
				defer s.svc.mu.Unlock()
				return s.svc.promotion.running
			}).Should(BeFalse())
			s.svc.mu.Lock()
			defer s.svc.mu.Unlock()
			return s.svc.promotion.nextAttempt.Sub(from)
		}
		Expect(after(true)).To(BeNumerically(">=", leaseTerm))
		Expect(after(false)).To(BeNumerically("<", leaseTerm))
	})

	It("replaces a primary that one host alone can't reach only once it is closed: it may serve the others", func() {
		s := newEvacuationSite(places)
		sequence := uint64(0)
		reason := func() (reason succession.Reason, unreachable, closed bool) {
			sequence++
			s.g.peers.handleMessage(&gossippb.Gossip{Host: "near", Address: "127.0.0.1:9", DataCentre: "dc-a", Boot: 1, Sequence: sequence,
				Groups: []*gossippb.Group{{Service: testService, Primary: "a", Watching: true}}})
			time.Sleep(20 * time.Millisecond)
			s.svc.mu.Lock()
			defer s.svc.mu.Unlock()
			view := s.svc.primaryView(s.g.now())
			return s.svc.promotion.reason, view.Unreachable, s.svc.pools["a"].isClosed()
		}
		reason()
		s.start()
		s.dbs.withLock(func() { s.dbs.databases["a"].unresponsive = true })
		Eventually(func() bool {
			go s.write()
			_, unreachable, _ := reason()
			return unreachable
		}).WithTimeout(5 * time.Second).Should(BeTrue())
		s.evacuate("dc-b")
		Eventually(func() bool { return s.g.evacuations.evacuated("dc-b") }).WithPolling(time.Millisecond).Should(BeTrue())
		checks := 0
		for why, unreachable, closed := reason(); !closed; why, unreachable, closed = reason() {
			Expect(unreachable).To(BeTrue())
			Expect(why).To(Equal(succession.None))
			checks++
		}
		Expect(checks).To(BeNumerically(">", 10))
		Eventually(func() succession.Reason { why, _, _ := reason(); return why }).Should(Equal(succession.Leaving))
	})

	It("chooses no successor of a primary that does not answer an attempt, while callers may use it", func() {
		s := newEvacuationSite(places)
		s.otherWatches(true)
		s.g.startWorker(s.g.watchEvacuations)
		DeferCleanup(func() {
			s.g.Close()
			s.g.workers.Wait()
		})
		Eventually(s.g.evacuations.known).Should(BeTrue())
		s.svc.recordPrimary("a", position.Position{Term: 1, Index: 10}, time.Now())
		s.dbs.withLock(func() { s.dbs.databases["a"].unresponsive = true })
		s.evacuate("dc-b")
		Eventually(func() bool { return s.g.evacuations.evacuated("dc-b") }).WithPolling(time.Millisecond).Should(BeTrue())
		attempt := func() {
			s.svc.mu.Lock()
			a := s.svc.newReplacement(succession.Leaving, position.Position{}, s.g.now())
			s.svc.mu.Unlock()
			a.run()
		}
		attempt()
		Expect(s.orders()).To(BeZero())
		Eventually(func() bool { return s.svc.pools["a"].isClosed() }).WithTimeout(evacuationLimit).Should(BeTrue())
		attempt()
		Expect(s.orders()).To(Equal(1))
	})

	It("costs no call while the store does not answer the host's other watches", func() {
		s := newEvacuationSite(places).start()
		s.otherWatches(false)
		time.Sleep(300 * time.Millisecond) // the watch that is held has ended
		before := s.store.calls.Load()
		s.evacuate("dc-b")
		time.Sleep(time.Second)
		Expect(s.store.calls.Load()).To(Equal(before))
		s.otherWatches(true)
		Eventually(func() bool { return s.g.evacuations.evacuated("dc-b") }).WithTimeout(time.Second).Should(BeTrue())
	})

	It("is learned from a host of another data centre, with its age", func() {
		far := newEvacuationSite(places).start()
		far.evacuate("dc-b")
		Eventually(func() bool { return far.g.evacuations.evacuated("dc-b") }).Should(BeTrue())
		near := newEvacuationSite(places)
		near.store.away.Store(true)
		Expect(near.g.synced()).To(BeFalse())
		tell := func(sequence uint64) {
			near.g.peers.handleMessage(&gossippb.Gossip{Host: "far", Address: far.g.peers.conn.LocalAddr().String(), DataCentre: "dc-c", Boot: 1, Sequence: sequence,
				Evacuations: far.g.peers.message(nil, time.Now()).Evacuations})
		}
		tell(1)
		Eventually(near.g.synced).Should(BeTrue())
		Expect(near.g.evacuations.evacuated("dc-b")).To(BeTrue())
		age := func(g *Gateway) time.Duration {
			g.evacuations.mu.Lock()
			defer g.evacuations.mu.Unlock()
			return g.evacuations.table.Ages(time.Now())["dc-b"]
		}
		Expect(age(near.g)).To(And(BeNumerically(">=", age(far.g)), BeNumerically("<", age(far.g)+time.Second)))
		far.takeBack("dc-b")
		Eventually(func() bool { return far.g.evacuations.evacuated("dc-b") }).Should(BeFalse())
		tell(2)
		Eventually(func() bool { return near.g.evacuations.evacuated("dc-b") }).Should(BeFalse())
		Expect(near.g.peers.summarise(&gossippb.Gossip{Evacuations: 7}, time.Now()).Evacuations).To(BeEquivalentTo(7))
	})
})
