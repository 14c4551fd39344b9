package gateway

import (
	"context"
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/contract/routes"
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
