package gateway

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/customer/fair"
	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/position"
	"github.com/bronzeloft/bronzeloft/statement"
)

var _ = Describe("urgent statements first", func() {
	const objective, timeout = 100 * time.Millisecond, 800 * time.Millisecond // of the test routes

	var (
		dbs *group
		g   *Gateway
		svc *service
	)

	BeforeEach(func() {
		dbs = newGroup("a", "b", "c")
		g = newTestGateway(newFakePlatform(dbs))
		g.opt.Features.UrgentFirst = true
		svc = g.service(testService)
		svc.mu.Lock()
		for id, p := range svc.pools {
			svc.pools[id] = newPool(g, svc, p.db, 8)
		}
		svc.mu.Unlock()
		svc.recordPrimary("a", position.Position{Term: 1, Index: 10}, time.Now())
	})

	// fill takes all slots of a database, as statements do that it does not answer.
	fill := func(id string) {
		for range svc.pools[id].window.Size() {
			_, err := svc.pools[id].slots.Acquire(context.Background(), fair.Item{Customer: "other", Deadline: g.now().Add(time.Hour)})
			Expect(err).NotTo(HaveOccurred())
		}
	}
	// write starts a write and returns its error, and how long it took, when it is answered.
	type result struct {
		err  *errkind.Error
		took time.Duration
	}
	write := func() <-chan result {
		done := make(chan result, 1)
		s, at := newTestSession(g, "current"), time.Now()
		go func() { done <- result{s.serve(request(statement.Write)).Err, time.Since(at)} }()
		return done
	}

	// A primary dies while its slots are taken and writes wait for them; another database leads
	// a while later, in time for them.
	It("sends the writes that waited for a primary that is gone to the next one", func() {
		fill("a")
		waiting := write()
		Eventually(svc.pools["a"].slots.Load).Should(BeNumerically(">", 1))
		Expect(dbs.applyOrder(succession.Order{Service: testService, Database: "b", Fence: 1})).To(Succeed())
		svc.recordNotPrimary("a", time.Now())
		svc.recordPrimary("b", position.Position{Term: 2, Index: 10}, time.Now())
		var got result
		Eventually(waiting, timeout/2).Should(Receive(&got))
		Expect(got.err).To(BeNil())
	})

	It("refuses a write at once while the shortest takeover cannot end before its deadline", func() {
		g.takeovers.record(2 * timeout)
		svc.recordNotPrimary("a", time.Now())
		dbs.withLock(func() { dbs.primary = "" })
		var got result
		Eventually(write(), timeout/2).Should(Receive(&got))
		Expect(got.err.Kind).To(Equal(errkind.NoPrimary))
		Expect(got.took).To(BeNumerically("<", objective))
		Expect(got.err.Detail).To(ContainSubstring("retry after 1"), "when the takeover may have ended")
	})

	It("waits for a primary that may still lead in time", func() {
		g.takeovers.record(timeout / 4)
		dbs.withLock(func() { dbs.primary = "" })
		svc.recordNotPrimary("a", time.Now())
		waiting := write()
		Consistently(waiting, timeout/8).ShouldNot(Receive())
		Expect(dbs.applyOrder(succession.Order{Service: testService, Database: "b", Fence: 1})).To(Succeed())
		svc.recordPrimary("b", position.Position{Term: 2, Index: 10}, time.Now())
		var got result
		Eventually(waiting, timeout).Should(Receive(&got))
		Expect(got.err).To(BeNil())
	})

	// Statements have taken ten seconds, and every slot is taken.
	It("refuses a read once no database has room for it in time, not at its deadline", func() {
		for id, p := range svc.pools {
			var slot uint64
			g.ago(10*time.Second, func() {
				slot, _ = p.slots.Acquire(context.Background(), fair.Item{Customer: testCustomer, Urgency: 0, Deadline: g.now().Add(time.Hour)})
			})
			p.slots.Release(slot)
			fill(id)
		}
		at := time.Now()
		err := newTestSession(g, "bounded").serve(request(statement.Read)).Err
		Expect(err.Kind).To(Equal(errkind.QueueFull))
		Expect(time.Since(at)).To(BeNumerically("<", objective))
	})

	// The other two data centres, with the primary, are cut off from this one.
	It("refuses writes at once in a data centre that is cut off without a primary", func() {
		g.peers.mu.Lock()
		for _, centre := range []string{"dc-b", "dc-c"} {
			g.peers.recordContact(centre, g.now().Add(-1100*time.Millisecond))
		}
		g.peers.mu.Unlock()
		Expect(newTestSession(g, "current").serve(request(statement.Write)).Err).To(BeNil(), "a primary that is reachable serves")
		svc.recordNotPrimary("a", time.Now())
		dbs.withLock(func() { dbs.primary = "" })
		var got result
		Eventually(write(), timeout/2).Should(Receive(&got))
		Expect(got.err.Kind).To(Equal(errkind.NoPrimary))
		Expect(got.took).To(BeNumerically("<", objective))
	})

	// The primary stands in the data centre that is cut off. Calls to it fail for a while.
	It("waits in a data centre that is cut off for its own primary", func() {
		g.peers.mu.Lock()
		for _, centre := range []string{"dc-b", "dc-c"} {
			g.peers.recordContact(centre, g.now().Add(-1100*time.Millisecond))
		}
		g.peers.mu.Unlock()
		Eventually(func() bool {
			svc.recordFailure("a", g.now(), true)
			svc.mu.Lock()
			defer svc.mu.Unlock()
			return svc.table.Unreachable("a", g.now())
		}).Should(BeTrue())
		waiting := write()
		Consistently(waiting, timeout/8).ShouldNot(Receive())
		svc.recordAnswer("a", time.Now())
		svc.recordPrimary("a", position.Position{Term: 1, Index: 10}, time.Now())
		var got result
		Eventually(waiting, timeout).Should(Receive(&got))
		Expect(got.err).To(BeNil())
	})

	It("lets no operation take a token that accrues after its deadline", func() {
		op := &operation{route: routes.Route{Objective: 8 * time.Second}, arrived: g.now()}
		op.deadline = op.arrived.Add(time.Second)
		Expect(op.patience(op.arrived)).To(BeNumerically("<=", time.Second))
		Expect(op.patience(op.deadline.Add(time.Millisecond))).To(BeZero())
	})

	It("lets an urgent operation wait for its customer's next token, and refuses others meanwhile", func() {
		config := *g.config.Load().Configuration
		config.Customers = map[string]routes.Customer{testCustomer: {Name: testCustomer, Keys: []string{testKey}, Rate: 40}}
		config.IndexKeys()
		g.config.Store(&loadedConfiguration{Configuration: &config})
		g.rates.apply(&config, g.now())
		g.updateRoute("bounded", func(r *routes.Route) { r.Urgency = 2 })
		for range 30 { // more than the burst
			newTestSession(g, "bounded").serve(request(statement.Read))
		}
		for range 5 {
			Expect(newTestSession(g, "current").serve(request(statement.Write)).Err).To(BeNil())
			Expect(newTestSession(g, "bounded").serve(request(statement.Read)).Err).To(HaveField("Kind", errkind.OverRate))
		}
	})
})
