package gateway

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/customer/fair"
	"github.com/bronzeloft/bronzeloft/customer/intake"
	"github.com/bronzeloft/bronzeloft/database/floor"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/position"
	"github.com/bronzeloft/bronzeloft/statement"
)

var _ = Describe("a session", func() {
	var (
		dbs *group
		g   *Gateway
	)

	BeforeEach(func() {
		dbs = newGroup("a", "b", "c")
		g = newTestGateway(newFakePlatform(dbs))
	})

	// served fails the spec if the answer is an error, and returns the answer.
	served := func(a statement.Answer) statement.Answer {
		GinkgoHelper()
		if a.Err != nil {
			Fail("statement failed: " + a.Err.Error())
		}
		return a
	}

	It("reads its own write only from databases that have received it", func() {
		s := newTestSession(g, "own")
		served(s.serve(request(statement.Read)))
		dbs.withLock(func() { dbs.databases["b"].notReplicating = true })
		w := served(s.serve(request(statement.Write)))
		for range 6 {
			r := served(s.serve(request(statement.Read)))
			Expect(r.Position.Before(w.Position)).To(BeFalse())
		}
	})

	It("reserves no memory before it has sent its startup message", func() {
		Expect(errkind.Of(newSession(g, nil).holdMessage(1 << 19))).To(Equal(errkind.TooLarge))
		everything := g.memory.Account()
		Expect(everything.HoldMessage(2 << 20)).To(Succeed())
		everything.Close()
	})

	// A caller that is told that its message is too large never sends it again.
	It("is told to come again when other callers hold the memory for its message or its state", func() {
		others := g.memory.Account()
		DeferCleanup(others.Close)
		Expect(others.HoldState(intake.MinMemory / 4)).To(Succeed())
		s := newTestSession(g, "own")
		a := s.serve(request(statement.Set, "name", strings.Repeat("x", 20<<10)))
		Expect(a.Err).To(HaveField("Kind", errkind.QueueFull))
		Expect(s.state.Values).To(BeEmpty())

		Expect(others.HoldMessage(1 << 20)).To(Succeed())
		Expect(errkind.Of(s.holdMessage(1 << 20))).To(Equal(errkind.QueueFull))
	})

	// The position lies in the log of another service's databases.
	It("does not wait for its own commit in the databases of another service that its route moves to", func() {
		s := newTestSession(g, "own")
		w := served(s.serve(request(statement.Write)))
		config := *g.config.Load().Configuration
		config.Services = maps.Clone(config.Services)
		config.Services["stock-db"] = routes.Service{Name: "stock-db", MaxConns: 40, SyncReplicas: 1}
		g.config.Store(&loadedConfiguration{Configuration: &config})
		dbs.withLock(func() {
			dbs.primary = "x"
			dbs.databases["x"] = &standin{group: dbs, id: "x", end: position.Position{Term: 1, Index: 3}}
		})
		databases := map[string]routes.Database{"x": {ID: "x", Service: "stock-db", Address: "x", DataCentre: "dc-a", Slots: 4, Primary: true}}
		for _, id := range []string{"a", "b", "c"} {
			databases[id] = routes.Database{ID: id, Service: testService, Address: id, DataCentre: "dc-a", Slots: 4, Primary: id == "a"}
		}
		g.setDatabases(databases)
		g.updateRoute("own", func(r *routes.Route) { r.Service = "stock-db" })
		Expect(served(s.serve(request(statement.Read))).Position.Index).To(BeEquivalentTo(3))

		By("moving back")
		dbs.withLock(func() {
			dbs.primary = "a"
			dbs.databases["b"].end.Index, dbs.databases["c"].end.Index = 10, 10
		})
		g.updateRoute("own", func(r *routes.Route) { r.Service = testService })
		Expect(served(s.serve(request(statement.Read))).Position.Before(w.Position)).To(BeFalse())
	})

	It("reads on a current route in a read-write transaction on the primary", func() {
		s := newTestSession(g, "current")
		a := served(s.serve(request(statement.Read)))
		Expect(a.State).To(Equal(statement.Idle))
		dbs.withLock(func() {
			Expect(dbs.databases["a"].reads).To(Equal(1))
			Expect(dbs.databases["a"].received).To(ContainElement(statement.Begin))
		})
	})

	It("refuses a read, without sending it to a replica, when the newest sample is older than its route accepts", func() {
		s := newTestSession(g, "bounded")
		svc := g.service(testService)
		dbs.withLock(func() { dbs.databases["a"].unresponsive = true })
		svc.mu.Lock()
		svc.samples.Add(floor.Sample{Position: position.Position{Term: 1, Index: 10}, At: time.Now().Add(-2 * time.Second)})
		svc.mu.Unlock()
		a := s.serve(request(statement.Read))
		Expect(a.Err).To(HaveOccurred())
		Expect(a.Err.Kind.Answer().Outcome).To(Equal(errkind.NotRun))
		dbs.withLock(func() { Expect(dbs.databases["b"].reads + dbs.databases["c"].reads).To(BeZero()) })
	})

	It("reports no success when the database's answer has no signature", func() {
		dbs.withLock(func() {
			for _, db := range dbs.databases {
				db.unsigned = true
			}
		})
		a := newTestSession(g, "own").serve(request(statement.Read))
		Expect(a.Err).To(HaveOccurred())
		a = newTestSession(g, "own").serve(request(statement.Write))
		Expect(a.Err).To(HaveOccurred())
		Expect(a.Err.Kind).To(Equal(errkind.OutcomeUnknown))
	})

	It("never serves a current read from a former primary", func() {
		s := newTestSession(g, "current")
		served(s.serve(request(statement.Read)))
		dbs.withLock(func() { dbs.term, dbs.primary = 2, "b" })
		a := served(s.serve(request(statement.Read)))
		Expect(a.Signature).To(Equal("signed-b"))
	})

	It("retries a write on the new primary when the former primary refuses it", func() {
		s := newTestSession(g, "own")
		served(s.serve(request(statement.Write)))
		dbs.withLock(func() { dbs.term, dbs.primary = 2, "c" })
		req := request(statement.Write)
		Expect(served(s.serve(req)).Signature).To(Equal("signed-c"))
		dbs.withLock(func() { Expect(dbs.ran).To(HaveLen(2)) })
	})

	It("reports an unknown outcome for a write without an answer and does not retry it", func() {
		s := newTestSession(g, "own")
		dbs.withLock(func() { dbs.databases["a"].loseNextAnswer = true })
		req := request(statement.Write)
		a := s.serve(req)
		Expect(a.Err.Kind).To(Equal(errkind.OutcomeUnknown))
		dbs.withLock(func() { Expect(dbs.ran).To(Equal([]string{req.ID})) })
	})

	It("reports that a transaction was aborted when its primary was replaced", func() {
		s := newTestSession(g, "own")
		served(s.serve(request(statement.Begin)))
		served(s.serve(request(statement.Write)))
		dbs.withLock(func() { dbs.term, dbs.primary = 2, "b" })
		a := s.serve(request(statement.Write))
		Expect(a.Err.Kind).To(Equal(errkind.TransactionAborted))
		Expect(a.State).To(Equal(statement.Failed))
		Expect(s.serve(request(statement.Read)).Err.Kind).To(Equal(errkind.OutOfPlace))
		Expect(s.serve(request(statement.Commit)).Err.Kind).To(Equal(errkind.TransactionAborted))
		Expect(s.tx).To(BeNil())
		dbs.withLock(func() { Expect(dbs.ran).To(BeEmpty()) })
	})

	It("reports an unknown outcome for a commit without an answer", func() {
		s := newTestSession(g, "own")
		served(s.serve(request(statement.Begin)))
		served(s.serve(request(statement.Write)))
		dbs.withLock(func() { dbs.databases["a"].loseNextAnswer = true })
		a := s.serve(request(statement.Commit))
		Expect(a.Err.Kind).To(Equal(errkind.OutcomeUnknown))
		Expect(a.State).To(Equal(statement.Idle))
	})

	It("runs a read-only transaction and its commit on one database", func() {
		s := newTestSession(g, "own")
		served(s.serve(request(statement.BeginRead)))
		first := served(s.serve(request(statement.Read)))
		second := served(s.serve(request(statement.Read)))
		end := served(s.serve(request(statement.Commit)))
		Expect([]string{second.Signature, end.Signature}).To(HaveEach(first.Signature))
		Expect(end.State).To(Equal(statement.Idle))
	})

	It("keeps the values and prepared statements of sessions apart on shared connections", func() {
		one, two := newTestSession(g, "bounded"), newTestSession(g, "bounded")
		served(one.serve(request(statement.Set, "colour", "red")))
		prepare := request(statement.Prepare, "p")
		prepare.Shape = "q1"
		served(one.serve(prepare))
		prepare.Shape = "q2"
		served(two.serve(prepare))
		for range 4 {
			Expect(served(one.serve(request(statement.Execute, "p", "1"))).Rows).To(Equal([]string{"colour=red q1"}))
			Expect(served(two.serve(request(statement.Execute, "p", "1"))).Rows).To(Equal([]string{" q2"}))
		}
		served(two.serve(request(statement.Deallocate, "p")))
		Expect(two.serve(request(statement.Execute, "p", "1")).Err.Kind).To(Equal(errkind.UnknownStatement))
	})

	It("restores the session's state on a connection after a statement that got no slot", func() {
		s := newTestSession(g, "bounded")
		served(s.serve(request(statement.Set, "colour", "red")))
		op, err := s.newOperation(request(statement.Read))
		Expect(err).NotTo(HaveOccurred())
		p := g.service(testService).pools["b"]
		c, err := p.acquire(context.Background(), op.queueItem())
		Expect(err).NotTo(HaveOccurred())
		cancelled, cancel := context.WithCancel(context.Background())
		cancel()
		c.freeSlot()
		p.slots.SetSlots(0)
		_, err = c.runStatement(cancelled, op, position.Position{})
		Expect(err).To(HaveOccurred())
		p.slots.SetSlots(2)
		answers, err := c.runStatement(context.Background(), op, position.Position{})
		Expect(err).NotTo(HaveOccurred())
		Expect(lastAnswer(answers).Rows).To(Equal([]string{"colour=red "}))
		p.release(c)
	})

	// Guards against a statement that runs in another caller's transaction (PINNED): a
	// connection went back to the pool while a transaction was open on it.
	It("passes on no connection on which a transaction is open", func() {
		s := newTestSession(g, "own")
		served(s.serve(request(statement.Read)))
		served(s.serve(request(statement.Set, "colour", "red")))
		dbs.withLock(func() {
			for _, db := range dbs.databases {
				db.refuseNextSet = true
			}
		})
		served(s.serve(request(statement.BeginRead)))
		s.serve(request(statement.Read)) // Begin succeeds on a connection whose Set was refused
		s.serve(request(statement.Rollback))
		for _, p := range g.service(testService).allPools() {
			Eventually(p.inUse).Should(BeZero())
			for _, c := range p.idle {
				Expect(c.Connection.(*link).open).To(BeFalse(), "idle connection to "+p.db.ID)
			}
		}
	})

	// Guards against a statement that runs in another caller's transaction (PINNED): a
	// database that sends an error twice, the second time late.
	It("passes on no connection on which a statement was refused", func() {
		idle := func(id string) []*conn {
			p := g.service(testService).pools[id]
			p.mu.Lock()
			defer p.mu.Unlock()
			return slices.Clone(p.idle)
		}
		s := newTestSession(g, "own")
		served(s.serve(request(statement.Write)))
		used := idle("a")
		Expect(used).To(HaveLen(1))
		dbs.withLock(func() { dbs.term, dbs.primary = 2, "b" })
		time.Sleep(sampleMinInterval)
		served(s.serve(request(statement.Write))) // refused by a, retried on b
		Expect(idle("a")).NotTo(ContainElement(used[0]))

		By("writing to a database that refused a sample before it became the primary")
		g.service(testService).sample(g.service(testService).pools["c"])
		sampled := idle("c")
		Expect(slices.ContainsFunc(sampled, func(c *conn) bool { return c.refused })).To(BeTrue())
		dbs.withLock(func() { dbs.term, dbs.primary = 3, "c" })
		g.service(testService).recordPrimary("c", position.Position{}, time.Now())
		served(s.serve(request(statement.Write)))
		for _, c := range sampled {
			Expect(c.refused && slices.Contains(idle("c"), c)).To(BeFalse())
		}
	})

	It("fails the open transaction when one of its statements is refused before it is sent", func() {
		s := newTestSession(g, "own")
		served(s.serve(request(statement.Begin)))
		served(s.serve(request(statement.Write)))
		g.mu.Lock()
		services := g.services
		g.services = nil
		g.mu.Unlock()
		Expect(s.serve(request(statement.Write)).State).To(Equal(statement.Failed))
		g.mu.Lock()
		g.services = services
		g.mu.Unlock()
		Expect(s.serve(request(statement.Commit)).Err.Kind).To(Equal(errkind.TransactionAborted))
		dbs.withLock(func() { Expect(dbs.ran).To(BeEmpty()) })
	})

	It("cancels the slow attempt of a hedged read before it returns the faster answer", func() {
		s := newTestSession(g, "bounded")
		served(s.serve(request(statement.Read))) // takes a sample for the floor and shows which database is tried first
		var first *standin
		hold := make(chan struct{})
		dbs.withLock(func() {
			for _, db := range dbs.databases {
				if db.reads > 0 {
					first = db
				}
			}
			first.holdReads = hold
		})
		a := served(s.serve(request(statement.Read)))
		Expect(a.Signature).NotTo(Equal("signed-" + first.id))
		dbs.withLock(func() {
			Expect(first.resets).To(Equal(1))
			Expect(first.reads).To(Equal(1))
		})
		close(hold)
	})

	It("limits hedged reads when every database is slow", func() {
		s := newTestSession(g, "bounded")
		served(s.serve(request(statement.Read)))
		hold := make(chan struct{})
		dbs.withLock(func() {
			for _, db := range dbs.databases {
				db.holdReads = hold
			}
		})
		const readers = 40
		done := make(chan struct{}, readers)
		for range readers {
			slow := newTestSession(g, "bounded")
			go func() {
				defer func() { done <- struct{}{} }()
				slow.serve(requestWithFixedID(statement.Read))
			}()
		}
		for range readers {
			<-done
		}
		dbs.withLock(func() {
			resets := 0
			for _, db := range dbs.databases {
				resets += db.resets
			}
			Expect(resets).To(BeNumerically("<=", 40))
		})
		close(hold)
	})

	It("refuses the next statement after its key is withdrawn", func() {
		s := newTestSession(g, "own")
		served(s.serve(request(statement.Read)))
		config := *g.config.Load().Configuration
		config.Version, config.Customers = 2, nil
		config.IndexKeys()
		g.config.Store(&loadedConfiguration{Configuration: &config})
		Expect(s.serve(request(statement.Read)).Err.Kind).To(Equal(errkind.KeyWithdrawn))
	})

	// Guards against a withdrawn key that goes on in an open transaction (CONFIG): the key
	// was not checked if its route was removed by the same version.
	It("refuses the next statement of a transaction after its key is withdrawn, also if its route is removed", func() {
		for _, removeRoute := range []bool{false, true} {
			s := newTestSession(g, "own")
			served(s.serve(request(statement.Begin)))
			served(s.serve(request(statement.Write)))
			before := g.config.Load()
			config := *before.Configuration
			config.Version, config.Customers = 2, nil
			if removeRoute {
				config.Routes = nil
			}
			config.IndexKeys()
			g.config.Store(&loadedConfiguration{Configuration: &config})
			Expect(s.serve(request(statement.Commit)).Err.Kind).To(Equal(errkind.KeyWithdrawn))
			Expect(s.tx).To(BeNil())
			g.config.Store(before)
		}
		dbs.withLock(func() { Expect(dbs.committed).To(BeEmpty()) })
	})

	It("finishes a transaction whose route is removed", func() {
		s := newTestSession(g, "own")
		served(s.serve(request(statement.Begin)))
		served(s.serve(request(statement.Write)))
		config := *g.config.Load().Configuration
		config.Version, config.Routes = 2, nil
		g.config.Store(&loadedConfiguration{Configuration: &config})
		served(s.serve(request(statement.Commit)))
		Expect(s.serve(request(statement.Read)).Err.Kind).To(Equal(errkind.UnknownDatabase))
	})

	It("refuses a read within its timeout when the primary cannot be sampled", func() {
		dbs.withLock(func() { dbs.databases["a"].unresponsive = true })
		s := newTestSession(g, "bounded")
		began := time.Now()
		a := s.serve(request(statement.Read))
		Expect(a.Err.Kind.Answer().Outcome).To(Equal(errkind.NotRun))
		Expect(time.Since(began)).To(BeNumerically("<", 1200*time.Millisecond))
	})

	It("refuses statements at once, with a retry delay, when no primary has been reachable for failFastAfter", func() {
		dbs.withLock(func() { dbs.databases["a"].unresponsive = true })
		svc := g.service(testService)
		svc.mu.Lock()
		svc.table.RecordFailure("a", time.Now().Add(-time.Minute), true)
		svc.table.RecordFailure("a", time.Now().Add(-time.Minute), true)
		svc.unreachableSince = time.Now().Add(-failFastAfter)
		svc.mu.Unlock()
		for _, route := range []string{"own", "bounded", "current"} {
			s := newTestSession(g, route)
			began := time.Now()
			a := s.serve(request(statement.Read))
			Expect(a.Err).NotTo(BeNil())
			Expect(a.Err.Kind.Answer().Outcome).To(Equal(errkind.NotRun))
			Expect(time.Since(began)).To(BeNumerically("<", 400*time.Millisecond))
		}
		w := newTestSession(g, "own").serve(request(statement.Write))
		Expect(w.Err.Kind).To(Equal(errkind.NoPrimary))
		Expect(w.Err.Detail).To(ContainSubstring("retry after"))
	})

	// Guards against statements that reach a database long after it has announced its
	// shutdown (DRAIN), when no successor can be chosen.
	It("sends nothing more to a database that announced its shutdown DatabaseDrain ago, except to end a transaction", func() {
		g.opt.DatabaseDrain = drainMargin + 300*time.Millisecond
		dbs.withLock(func() { dbs.databases["b"].unresponsive, dbs.databases["c"].unresponsive = true, true })
		g.setDatabases(map[string]routes.Database{
			"a": {ID: "a", Service: testService, Address: "a", DataCentre: "dc-a", Slots: 4, Primary: true, Leaving: true},
		})
		open := newTestSession(g, "own")
		served(open.serve(request(statement.Begin)))
		served(open.serve(request(statement.Read)))
		time.Sleep(300 * time.Millisecond)
		var before int
		dbs.withLock(func() { before = dbs.databases["a"].reads })
		for _, route := range []string{"current", "own"} {
			for _, kind := range []statement.Kind{statement.Write, statement.Read} {
				a := newTestSession(g, route).serve(request(kind))
				Expect(a.Err).NotTo(BeNil())
				Expect(a.Err.Kind.Answer().Outcome).To(Equal(errkind.NotRun))
			}
			s := newTestSession(g, route)
			served(s.serve(request(statement.Begin)))
			Expect(s.serve(request(statement.Write)).Err).NotTo(BeNil())
		}
		dbs.withLock(func() {
			Expect(dbs.databases["a"].reads).To(Equal(before))
			Expect(dbs.ran).To(BeEmpty())
		})
		served(open.serve(request(statement.Read)))
		served(open.serve(request(statement.Commit)))
	})

	It("refuses a queued statement as not run when its deadline passes", func() {
		op := &operation{svc: g.service(testService), customer: testCustomer}
		p := g.service(testService).pools["b"]
		p.turns.SetSlots(0)
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
		defer cancel()
		op.deadline = g.now().Add(30 * time.Millisecond)
		_, err := p.acquire(ctx, fair.Item{Customer: testCustomer, Deadline: op.deadline})
		Expect(errkind.Of(err).Answer().Outcome).To(Equal(errkind.NotRun))
	})
})

// requestWithFixedID is like request, but safe for concurrent use: all its
// requests have the same id.
func requestWithFixedID(kind statement.Kind) statement.Request {
	return statement.Request{ID: "r", Statement: statement.Statement{Kind: kind, Text: "text"}}
}
