package gateway

import (
	"context"
	"maps"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/objectapi"
	"github.com/bronzeloft/bronzeloft/position"
	"github.com/bronzeloft/bronzeloft/statement"
)

// rosterHook calls a function before each read of a roster, and records the kinds read.
type rosterHook struct {
	objectapi.Objects
	before func()
	kinds  []string
}

func (s *rosterHook) Get(ctx context.Context, kind, name string) (objectapi.Object, error) {
	if kind == kindRosters && s.before != nil {
		s.before()
	}
	s.kinds = append(s.kinds, kind)
	return s.Objects.Get(ctx, kind, name)
}

// Guards against the loss of acknowledged commits (LOST) that only a database held that was down
// for some seconds when another one was promoted, and that returned with its log.
var _ = Describe("a database that does not answer while its log may hold the only copy of a commit", func() {
	var (
		dbs *group
		p   *fakePlatform
		g   *Gateway
		svc *service
	)

	entry := func(id string) routes.Database {
		return routes.Database{ID: id, Service: testService, Address: id, DataCentre: "dc-a", Slots: 4}
	}
	restarted := func(db routes.Database) routes.Database { db.StartMillis = 5; return db }
	leaving := func(db routes.Database) routes.Database { db.Leaving = true; return db }
	list := func(entries ...routes.Database) {
		svc.setDatabases(entries, 4)
		svc.mu.Lock()
		svc.table.Expire(time.Now().Add(time.Minute))
		svc.mu.Unlock()
	}
	write := func() *errkind.Error { return newTestSession(g, "own").serve(request(statement.Write)).Err }
	recorded := func() succession.Roster {
		_, roster, err := svc.readRoster(context.Background())
		Expect(err).NotTo(HaveOccurred())
		return roster
	}
	change := func(f func(*succession.Roster)) {
		object, roster, err := svc.readRoster(context.Background())
		Expect(err).NotTo(HaveOccurred())
		f(&roster)
		_, err = svc.writeRoster(context.Background(), object.Version, roster)
		Expect(err).NotTo(HaveOccurred())
	}
	mark := func(id string, f func(*succession.Place)) {
		change(func(r *succession.Roster) {
			place := r.Databases[id]
			f(&place)
			r.Databases[id] = place
		})
	}
	abandon := func(place *succession.Place) { place.Abandoned = true }
	orders := func() (ids []string) {
		dbs.withLock(func() {
			for _, o := range dbs.orders {
				ids = append(ids, o.Database)
			}
		})
		return ids
	}

	BeforeEach(func() {
		dbs = newGroup("a", "b", "c")
		p = newFakePlatform(dbs)
		g = newTestGateway(p)
		svc = g.service(testService)
		svc.recordPrimary("a", position.Position{Term: 1, Index: 10}, time.Now())
		Expect(svc.syncRoster()).To(Succeed())
	})

	Context("at a takeover", func() {
		var holder *standin            // the replica that alone holds the last commit
		var returned []routes.Database // that are listed again

		// The primary "a" and the replica "c" go down, their addresses refuse, and their entries lapse.
		BeforeEach(func() {
			returned = nil
			dbs.withLock(func() { dbs.databases["b"].notReplicating = true })
			Expect(write()).To(BeNil())
			dbs.withLock(func() {
				holder = dbs.databases["c"]
				delete(dbs.databases, "a")
				delete(dbs.databases, "c")
			})
			list(entry("b"))
		})
		knowing := func() {
			svc.mu.Lock()
			a := svc.newReplacement(succession.Silent, svc.acked, time.Now())
			svc.mu.Unlock()
			a.primary, a.proven, a.provenTerm, a.term = "a", true, 1, 1
			a.run()
		}
		fresh := func() {
			svc = newService(g, testService)
			svc.setDatabasesAgo(time.Minute, append(returned, entry("b"))...)
			svc.table.RecordTerm(1)
			svc.mu.Lock()
			a := svc.newReplacement(succession.Absent, position.Position{}, time.Now())
			svc.mu.Unlock()
			Expect(a.acked).To(BeZero())
			a.run()
		}
		returns := func(db *standin) {
			dbs.withLock(func() { dbs.databases[db.id] = db })
			returned = append(returned, entry(db.id))
			svc.setDatabasesAgo(time.Minute, append(returned, entry("b"))...)
		}

		DescribeTable("lets no other one be promoted until it is back",
			func(attempt func()) {
				attempt()
				Expect(orders()).To(BeEmpty())
				returns(holder)
				attempt()
				Expect(orders()).To(Equal([]string{"c"}))
			},
			Entry("by a host that knows the last acknowledged commit", knowing),
			Entry("by a host that knows of none", fresh),
		)

		DescribeTable("is not waited for once the primary is back",
			func(attempt func()) {
				attempt()
				returns(&standin{group: dbs, id: "a", end: holder.end})
				attempt()
				Expect(orders()).To(BeEmpty())
				svc.setDatabases([]routes.Database{entry("a"), entry("b")}, 4)
				dbs.withLock(func() { dbs.databases["b"].notReplicating = false })
				g.mu.Lock()
				g.services[testService] = svc
				g.mu.Unlock()
				Expect(newTestSession(g, "current").serve(request(statement.Read)).Err).To(BeNil())
			},
			Entry("by a host that knows the last acknowledged commit", knowing),
			Entry("by a host that knows of none", fresh),
		)

		DescribeTable("lets no replica be paused in vain", func(attempt func()) {
			attempt()
			dbs.withLock(func() { Expect(dbs.databases["b"].received).NotTo(ContainElement(statement.Pause)) })
		},
			Entry("by a host that knows the last acknowledged commit", knowing),
			Entry("by a host that knows of none", fresh),
		)

		It("lets another one be promoted only if an operator has given it and the primary up", func() {
			mark("c", abandon)
			knowing()
			Expect(orders()).To(BeEmpty(), "the primary may return with its log")
			mark("a", abandon)
			knowing()
			Expect(orders()).To(Equal([]string{"b"}))
		})

		It("lets another one be promoted by a host that knows of no commit once it was given up", func() {
			mark("c", abandon)
			fresh()
			Expect(orders()).To(Equal([]string{"b"}))
		})

		It("is not waited for if the primary confirms commits on its own", func() {
			config := *g.config.Load().Configuration
			config.Services = map[string]routes.Service{testService: {Name: testService, MaxConns: 40}}
			g.config.Store(&loadedConfiguration{Configuration: &config})
			svc.mu.Lock()
			svc.replicated = false
			svc.mu.Unlock()
			knowing()
			Expect(orders()).To(Equal([]string{"b"}))
		})

		It("is waited for after it has come back empty under its id", func() {
			list(entry("b"), restarted(entry("c")))
			dbs.withLock(func() { dbs.databases["c"] = &standin{group: dbs, id: "c"} })
			fresh := newService(g, testService)
			fresh.setDatabasesAgo(time.Minute, entry("b"), restarted(entry("c")))
			fresh.table.RecordTerm(1)
			svc = fresh
			runAttempt(svc, succession.Absent)
			Expect(orders()).To(BeEmpty())
		})

		It("lets none be promoted while the record of the databases cannot be decoded", func() {
			object, err := p.api.Get(context.Background(), kindRosters, testService)
			Expect(err).NotTo(HaveOccurred())
			_, err = p.api.Update(context.Background(), kindRosters, testService, object.Version, []byte("7"))
			Expect(err).NotTo(HaveOccurred())
			fresh()
			Expect(orders()).To(BeEmpty())
		})
	})

	Context("when a commit is acknowledged on one copy", func() {
		BeforeEach(func() {
			dbs.withLock(func() { dbs.databases["b"].notReplicating = true })
		})
		retire := func(place *succession.Place) { place.Retiring = true }

		DescribeTable("has to count on the roster",
			func(f func(*succession.Place)) {
				mark("c", f)
				Expect(write()).NotTo(BeNil())
				dbs.withLock(func() { dbs.databases["b"].notReplicating = false })
				Expect(write()).To(BeNil(), "all replicas hold it, and the roster has another one")
			},
			Entry("not as one that is retiring", retire),
			Entry("not as one that was given up", abandon),
			Entry("not as another process", func(place *succession.Place) { place.StartMillis = 5 }),
		)

		It("has to count on the roster after it has reported the commit, and before the lease is read", func() {
			store := &rosterHook{Objects: p.api}
			p.api = store
			Expect(write()).To(BeNil())
			Expect(store.kinds).To(Equal([]string{kindRosters, kindLeases}))
			time.Sleep(2 * leaseReadEvery)
			store.before = func() {
				store.before = nil
				mark("c", retire)
			}
			Expect(write()).NotTo(BeNil())
		})

		It("is added to the roster, where others count that lack the commit", func() {
			change(func(r *succession.Roster) { delete(r.Databases, "c") })
			Expect(write()).To(BeNil())
			Expect(recorded().Counts("c", 0)).To(BeTrue())
		})

		It("counts on no roster that cannot be read", func() {
			object, err := p.api.Get(context.Background(), kindRosters, testService)
			Expect(err).NotTo(HaveOccurred())
			_, err = p.api.Update(context.Background(), kindRosters, testService, object.Version, []byte("7"))
			Expect(err).NotTo(HaveOccurred())
			Expect(write()).NotTo(BeNil())
		})
	})

	It("does not rest with others that the roster lacks on the copies of all replicas", func() {
		change(func(r *succession.Roster) {
			for id, place := range r.Databases {
				place.Retiring = id != "a"
				r.Databases[id] = place
			}
		})
		Expect(write()).NotTo(BeNil())
		mark("b", func(place *succession.Place) { place.Retiring = false })
		Expect(write()).To(BeNil())
	})

	// The database for which a listed one was taken off the roster may be away.
	It("is one of all replicas until a roster without it was read, however long ago it was listed", func() {
		Expect(write()).To(BeNil())
		svc.mu.Lock()
		svc.table.SetDatabases([]routes.Database{entry("a"), entry("b")}, time.Now().Add(-time.Minute))
		svc.table.Expire(time.Now().Add(-2 * formerMayReturn))
		svc.mu.Unlock()
		p.store.SetDown(true)
		Expect(write()).NotTo(BeNil())
		p.store.SetDown(false)
		Expect(svc.syncRoster()).To(Succeed())
		Expect(recorded().Databases).To(HaveLen(2))
		Expect(write()).To(BeNil())
		p.store.SetDown(true)
		Expect(write()).To(BeNil())
	})

	// It is not paused any more, or may be about to be promoted.
	DescribeTable("makes a commit that all replicas hold wait until the lease is settled again", func(happens func()) {
		Expect(write()).To(BeNil())
		_, err := p.api.Create(context.Background(), kindLeases, testService, []byte(`{"holder":"host-2","claim":"x"}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(write()).To(BeNil())
		happens()
		Expect(write()).NotTo(BeNil())
	},
		Entry("after it was away", func() { svc.recordFailure("c", time.Now(), false) }),
		Entry("after its address refused", func() { svc.recordFailure("c", time.Now(), true) }),
		Entry("after it was forgotten", func() {
			svc.mu.Lock()
			svc.replication.forget("c")
			svc.mu.Unlock()
		}),
		Entry("after it was taken off the roster", func() {
			svc.mu.Lock()
			next := svc.replication.roster
			next.Databases = maps.Clone(next.Databases)
			delete(next.Databases, "c")
			svc.replication.recordRoster(next)
			svc.mu.Unlock()
		}),
	)

	It("counts again at once as another process, though no other replica is left that could hold its log", func() {
		svc.setDatabasesAgo(time.Minute, entry("a"), restarted(entry("b")), restarted(entry("c")))
		Expect(write()).NotTo(BeNil())
		Expect(svc.syncRoster()).To(Succeed())
		Expect(write()).To(BeNil())
	})

	It("is added to the roster by the host that acknowledges the first commit", func() {
		Expect(p.store.Delete(kindRosters, testService)).To(Succeed())
		Expect(write()).To(BeNil())
		Expect(recorded().Databases).To(HaveLen(3))
	})

	Context("and is to be taken off the roster", func() {
		again := func() error {
			svc.mu.Lock()
			svc.roster.nextRemoval = time.Time{}
			svc.mu.Unlock()
			return svc.syncRoster()
		}

		DescribeTable("is removed once another one holds what the primary does",
			func(present []routes.Database, remaining int) {
				svc.setDatabases(present, 4)
				svc.mu.Lock()
				svc.table.Expire(time.Now().Add(time.Minute))
				svc.mu.Unlock()
				dbs.withLock(func() {
					dbs.databases["a"].end.Index++
				})
				Expect(svc.syncRoster()).To(Succeed())
				Expect(recorded().RetiringIDs()).To(Equal([]string{"c"}), "b lacks a commit")
				dbs.withLock(func() { dbs.databases["b"].end.Index++ })
				Expect(again()).To(Succeed())
				Expect(recorded().RetiringIDs()).To(BeEmpty())
				Expect(recorded().Databases).To(HaveLen(remaining))
			},
			Entry("as it has gone", []routes.Database{entry("a"), entry("b")}, 2),
			Entry("as it is leaving", []routes.Database{entry("a"), entry("b"), leaving(entry("c"))}, 2),
			Entry("as it has restarted", []routes.Database{entry("a"), entry("b"), restarted(entry("c"))}, 3),
		)

		It("stays while no primary leads", func() {
			dbs.withLock(func() { delete(dbs.databases, "a") })
			list(entry("a"), entry("b"))
			Expect(svc.syncRoster()).To(Succeed())
			Expect(again()).To(Succeed())
			Expect(recorded().RetiringIDs()).To(Equal([]string{"c"}))
		})

		It("stays while only a former primary reports that it leads, which has not heard of the newer term", func() {
			_, err := p.api.Create(context.Background(), kindLeases, testService, []byte(`{"holder":"host-2","claim":"x","released":true,"term":2,"rules":1}`))
			Expect(err).NotTo(HaveOccurred())
			dbs.withLock(func() {
				dbs.term, dbs.primary = 2, "d"
				dbs.databases["a"].unaware, dbs.databases["b"].joinsLate = true, true
			})
			list(entry("a"), entry("b"))
			Expect(svc.syncRoster()).To(Succeed())
			Expect(recorded().RetiringIDs()).To(Equal([]string{"c"}))
		})

		It("stays while an order is under way", func() {
			_, err := p.api.Create(context.Background(), kindLeases, testService, []byte(`{"holder":"host-2","claim":"x","released":true,"ordered":"b","term":1,"rules":1}`))
			Expect(err).NotTo(HaveOccurred())
			list(entry("a"), entry("b"))
			Expect(svc.syncRoster()).To(Succeed())
			Expect(recorded().RetiringIDs()).To(Equal([]string{"c"}))
		})

		It("stays if it is back before", func() {
			dbs.withLock(func() { dbs.databases["a"].end.Index++ })
			list(entry("a"), entry("b"))
			Expect(svc.syncRoster()).To(Succeed())
			Expect(recorded().RetiringIDs()).To(Equal([]string{"c"}))
			svc.setDatabases([]routes.Database{entry("a"), entry("b"), entry("c")}, 4)
			dbs.withLock(func() { dbs.databases["b"].end.Index++ })
			Expect(again()).To(Succeed())
			Expect(recorded().Counts("c", 0)).To(BeTrue())
		})

		It("is not removed for what another host that kept the roster has seen before", func() {
			list(entry("a"), entry("b"))
			dbs.withLock(func() { dbs.databases["a"].end.Index++ })
			Expect(svc.syncRoster()).To(Succeed())
			svc.mu.Lock()
			state := svc.roster
			svc.mu.Unlock()
			mark("c", func(place *succession.Place) { place.Retiring = false }) // another host has
			Expect(svc.updateRoster(context.Background(), state, fencing{}, []string{"c"})).To(MatchError(objectapi.ErrConflict))
			Expect(recorded().Counts("c", 0)).To(BeTrue())
		})

		It("stays while the store is away", func() {
			list(entry("a"), entry("b"))
			p.store.SetDown(true)
			Expect(svc.syncRoster()).NotTo(Succeed())
			p.store.SetDown(false)
			Expect(recorded().RetiringIDs()).To(BeEmpty())
			Expect(recorded().Databases).To(HaveLen(3))
		})
	})
})
