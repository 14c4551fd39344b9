package gateway

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/customer/fair"
	"github.com/bronzeloft/bronzeloft/database/lead"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/position"
	"github.com/bronzeloft/bronzeloft/statement"
)

// Guards against the loss of an acknowledged commit (LOST): a commit was acknowledged
// though nothing showed that a replica holds it.
var _ = Describe("a commit without proof", func() {
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

	// It acknowledged nothing more in its term.
	It("is none of a primary that has come back under another id, and leads the same term", func() {
		write := func() bool { return newTestSession(g, "own").serve(request(statement.Write)).Err == nil }
		Expect(write()).To(BeTrue())
		dbs.withLock(func() {
			dbs.databases["a2"] = &standin{group: dbs, id: "a2", end: dbs.databases["a"].end}
			dbs.primary = "a2"
			delete(dbs.databases, "a")
		})
		g.setDatabases(map[string]routes.Database{
			"a2": {ID: "a2", Service: testService, Address: "a", DataCentre: "dc-a", Slots: 4, Primary: true},
			"b":  {ID: "b", Service: testService, Address: "b", DataCentre: "dc-a", Slots: 4},
			"c":  {ID: "c", Service: testService, Address: "c", DataCentre: "dc-a", Slots: 4},
		})
		svc.recordPrimary("a2", position.Position{Term: 1, Index: 11}, time.Now())
		Expect(write()).To(BeTrue())
	})

	onlyUnlistedReceives := func() {
		dbs.withLock(func() {
			dbs.databases["b"].notReplicating, dbs.databases["c"].notReplicating = true, true
			dbs.databases["d"] = &standin{group: dbs, id: "d", end: position.Position{Term: 1, Index: 10}}
		})
	}
	configure := func(services map[string]routes.Service) {
		config := *g.config.Load().Configuration
		config.Services = services
		g.config.Store(&loadedConfiguration{Configuration: &config})
		g.addConfiguredServices()
	}
	// storeDatabases stores the databases' entries, and a lease that another host holds.
	storeDatabases := func() {
		for id := range dbs.databases {
			value, err := json.Marshal(routes.Database{ID: id, Service: testService, Address: id, DataCentre: "dc-a", Slots: 4})
			Expect(err).NotTo(HaveOccurred())
			_, err = p.api.Create(context.Background(), p.DatabasesKind(), id, value)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := p.api.Create(context.Background(), kindLeases, testService, []byte(`{"holder":"host-2","claim":"x"}`))
		Expect(err).NotTo(HaveOccurred())
	}
	outcome := func() string {
		err := newTestSession(g, "own").serve(request(statement.Write)).Err
		if err == nil {
			return "acknowledged"
		}
		return err.Kind.String()
	}

	DescribeTable("is not acknowledged when the configuration in force",
		func(services map[string]routes.Service) {
			onlyUnlistedReceives()
			configure(services)
			Expect(outcome()).To(Equal(errkind.OutcomeUnknown.String()))
		},
		Entry("lacks the service", map[string]routes.Service{}),
		Entry("no longer requires replicas of the service", map[string]routes.Service{testService: {Name: testService, MaxConns: 40}}),
	)

	It("is not acknowledged when its answer names no position", func() {
		onlyUnlistedReceives()
		dbs.withLock(func() { dbs.databases["a"].unpositioned = true })
		g = newTestGateway(p) // has seen no term of the service
		Expect(outcome()).To(Equal(errkind.OutcomeUnknown.String()))
	})

	// A database that has lost the lead may be rolled back after it has confirmed a commit
	// and before it names the end of its log, which other databases hold.
	DescribeTable("is not acknowledged when its database was rolled back before it answered",
		func(rollBack func()) {
			_, err := p.api.Create(context.Background(), kindLeases, testService, []byte(`{"holder":"host-2","claim":"x","released":true,"term":2,"rules":1}`))
			Expect(err).NotTo(HaveOccurred())
			dbs.withLock(func() { dbs.databases["a"].commitHook = rollBack })
			Expect(outcome()).To(Equal(errkind.OutcomeUnknown.String()))
		},
		Entry("and has joined the term of another one", func() {
			dbs.term, dbs.primary = 2, "b"
			for _, db := range dbs.databases {
				db.end = position.Position{Term: 2, Index: 11}
			}
		}),
		Entry("and names an entry of another session that it kept", func() {
			dbs.primary = "d"
			for _, db := range dbs.databases {
				db.end = position.Position{Term: 1, Index: 11}
			}
		}),
		Entry("and has become the primary again", func() {
			dbs.term = 3
			for _, db := range dbs.databases {
				db.end = position.Position{Term: 3, Index: 11}
			}
		}),
		Entry("and names the last entry that it kept", func() {
			dbs.primary = "d" // other replicas have not joined its term yet
			for _, db := range dbs.databases {
				db.end = position.Position{Term: 1, Index: 10}
			}
		}),
	)

	It("is not acknowledged when its answer names a position that was reported before it was sent", func() {
		dbs.withLock(func() {
			dbs.databases["a"].commitHook = func() {
				for _, db := range dbs.databases {
					db.end = position.Position{Term: 1, Index: 10}
				}
			}
		})
		Expect(outcome()).To(Equal(errkind.OutcomeUnknown.String()))
	})

	// No newer term is known, which would end the wait too.
	DescribeTable("is not waited for until its deadline once its database is known not to lead any more",
		func(replace func()) {
			dbs.withLock(func() { replace() })
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			started := time.Now()
			err := svc.acknowledge(ctx, commit{primary: "a", at: position.Position{Term: 1, Index: 10}, after: position.Position{Term: 1, Index: 9}, term: 1})
			Expect(errkind.Of(err)).To(Equal(errkind.OutcomeUnknown))
			Expect(time.Since(started)).To(BeNumerically("<", 2*time.Second))
		},
		Entry("as it reports itself", func() { dbs.primary = "d" }),
		Entry("as another one reports that leads its term", func() {
			dbs.databases["a"].unresponsive = true
			time.AfterFunc(50*time.Millisecond, func() {
				svc.mu.Lock()
				svc.table.RecordLed(1, "b")
				svc.mu.Unlock()
				svc.wake()
			})
		}),
	)

	// A host that is not the home host has two connections to each database.
	DescribeTable("is acknowledged soon though statements wait for every connection", func(busy ...string) {
		var working sync.WaitGroup
		ctx, stop := context.WithCancel(context.Background())
		for _, id := range busy {
			p := svc.pools[id]
			p.setMax(spareConns)
			for range 3 * spareConns {
				working.Go(func() {
					for ctx.Err() == nil {
						c, err := p.acquire(ctx, fair.Item{Customer: testCustomer, Deadline: time.Now().Add(time.Second)})
						if err == nil {
							time.Sleep(20 * time.Millisecond)
							p.release(c)
						}
					}
				})
			}
		}
		time.Sleep(50 * time.Millisecond)
		started := time.Now()
		for i := range 5 {
			svc.mu.Lock()
			clear(svc.replication.copies)
			svc.mu.Unlock()
			Expect(svc.acknowledge(ctx, commit{primary: "a", at: position.Position{Term: 1, Index: uint64(i + 6)}, after: position.Position{Term: 1, Index: 5}, term: 1})).To(Succeed())
		}
		stop()
		working.Wait()
		Expect(time.Since(started)).To(BeNumerically("<", time.Second))
	},
		Entry("to its database", "a"),
		Entry("to the replicas", "b", "c"),
	)

	It("is acknowledged on a host that learns with the commit that its database leads the term", func() {
		g = newTestGateway(p)
		Expect(outcome()).To(Equal("acknowledged"))
	})

	It("is not acknowledged on all replicas of a list that may be outdated", func() {
		g.ago(-lead.ListMaxAge, func() {
			p.store.SetDown(true)
			Expect(outcome()).To(Equal(errkind.OutcomeUnknown.String()))
		})
	})

	It("is acknowledged on all replicas once the list is read from the store", func() {
		Expect(outcome()).To(Equal("acknowledged")) // the lease is settled in this term
		g.platform = listingPlatform{p}
		storeDatabases()
		g.ago(-lead.ListMaxAge, func() { Expect(outcome()).To(Equal("acknowledged")) })
	})

	It("is not acknowledged on all listed replicas while the store lists one that this host has not heard of", func() {
		g.platform = listingPlatform{p}
		dbs.withLock(func() {
			dbs.databases["d"] = &standin{group: dbs, id: "d", end: position.Position{Term: 1, Index: 10}, notReplicating: true}
		})
		storeDatabases()
		g.ago(-lead.ListMaxAge, func() { Expect(outcome()).To(Equal(errkind.OutcomeUnknown.String())) })
	})
})
