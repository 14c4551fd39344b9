package gateway

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/database/lead"
	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/position"
	"github.com/bronzeloft/bronzeloft/statement"
)

// Guards against the loss of acknowledged commits (LOST) that only a recorded process held, and
// against waits for one that has been read.
var _ = Describe("a recorded process of a database", func() {
	var (
		dbs    *group
		p      *fakePlatform
		g      *Gateway
		svc    *service
		holder *standin // the replica that alone holds the last commit
	)

	entry := func(id string) routes.Database {
		return routes.Database{ID: id, Service: testService, Address: id, DataCentre: "dc-a", Slots: 4}
	}
	restarted := func(db routes.Database) routes.Database { db.StartMillis = 5; return db }
	write := func() *errkind.Error { return newTestSession(g, "own").serve(request(statement.Write)).Err }
	list := func(entries ...routes.Database) {
		svc.setDatabases(entries, 4)
		svc.mu.Lock()
		svc.table.Expire(time.Now().Add(time.Minute))
		svc.mu.Unlock()
	}
	change := func(f func(*succession.Roster)) {
		object, roster, err := svc.readRoster(context.Background())
		Expect(err).NotTo(HaveOccurred())
		f(&roster)
		_, err = svc.writeRoster(context.Background(), object.Version, roster)
		Expect(err).NotTo(HaveOccurred())
	}
	orders := func() (ids []string) {
		dbs.withLock(func() {
			for _, o := range dbs.orders {
				ids = append(ids, o.Database)
			}
		})
		return ids
	}
	// fresh is an attempt by a host that knows of no acknowledged commit.
	fresh := func(listed ...routes.Database) {
		svc = newService(g, testService)
		svc.setDatabasesAgo(time.Minute, listed...)
		svc.table.RecordTerm(1)
		runAttempt(svc, succession.Absent)
	}

	// A commit is acknowledged on the primary "a" and the replica "c"; then "a" goes down.
	BeforeEach(func() {
		dbs = newGroup("a", "b", "c")
		p = newFakePlatform(dbs)
		g = newTestGateway(p)
		svc = g.service(testService)
		svc.recordPrimary("a", position.Position{Term: 1, Index: 10}, time.Now())
		Expect(svc.syncRoster()).To(Succeed())
		dbs.withLock(func() { dbs.databases["b"].notReplicating = true })
		Expect(write()).To(BeNil())
		dbs.withLock(func() {
			holder = dbs.databases["c"]
			delete(dbs.databases, "a")
		})
	})

	// The report does not say when its process started, and there is no entry that does.
	It("is not taken as read because one answers that has started empty under its id and is not listed", func() {
		dbs.withLock(func() { dbs.databases["c"] = &standin{group: dbs, id: "c"} })
		list(entry("b"))
		fresh(entry("b"))
		Expect(orders()).To(BeEmpty())
	})

	It("is not taken as read because one answers that has started empty under its id before it has replaced its entry", func() {
		dbs.withLock(func() { dbs.databases["c"] = &standin{group: dbs, id: "c"} })
		list(entry("b"), entry("c"))
		fresh(entry("b"), entry("c"))
		Expect(orders()).To(BeEmpty())
	})

	It("is not given up with an earlier one under its id", func() {
		change(func(r *succession.Roster) {
			place := r.Databases["c"]
			place.FormerStarts, place.Abandoned = []int64{-5}, true
			r.Databases["c"] = place
		})
		dbs.withLock(func() { holder.unresponsive = true })
		list(entry("b"), entry("c"))
		fresh(entry("b"), entry("c"))
		Expect(orders()).To(BeEmpty())
	})

	It("is not awaited by a host that knows only an earlier one, although it answers", func() {
		change(func(r *succession.Roster) {
			place := r.Databases["c"]
			place.StartMillis = 5
			r.Databases["c"] = place
		})
		list(entry("b")) // this host has had "c" listed with its earlier start; the entry of the later one has lapsed
		svc.mu.Lock()
		a := svc.newReplacement(succession.Silent, position.Position{}, time.Now())
		svc.mu.Unlock()
		a.primary, a.proven, a.provenTerm, a.term = "a", true, 1, 1
		a.run()
		Expect(a.conn("c").answered).To(BeTrue())
		for _, log := range a.allLogs() {
			Expect(log.MustBeRead()).To(BeFalse(), log.ID)
		}
	})

	It("is not awaited because a host with an outdated list has recorded it as a former one", func() {
		for _, present := range [][]routes.Database{{entry("a"), entry("b"), restarted(entry("c"))}, {entry("a"), entry("b"), entry("c")}, {entry("a"), entry("b"), restarted(entry("c"))}} {
			change(func(r *succession.Roster) { *r, _ = r.Update(present, "a", 1) })
		}
		change(func(r *succession.Roster) {
			place := r.Databases["c"]
			Expect(place.StartMillis).To(BeEquivalentTo(5))
			for _, start := range place.FormerStarts {
				Expect(start).NotTo(BeEquivalentTo(5))
			}
		})
	})

	DescribeTable("is not exempted as the primary that is replaced", func(change func(a *replacement), want bool) {
		svc.mu.Lock()
		a := svc.newReplacement(succession.Silent, position.Position{}, time.Now())
		svc.mu.Unlock()
		a.primary, a.proven, a.provenTerm, a.term = "c", true, 1, 1
		a.roster = succession.Roster{Primary: "c", Term: 1}
		a.conns = []*controlConn{{db: entry("b"), answered: true, report: statement.Report{Term: 1}}}
		change(a)
		Expect(a.isReplaced("c")).To(Equal(want))
	},
		Entry("unless nothing speaks against it", func(*replacement) {}, true),
		Entry("while a database reports a newer term", func(a *replacement) { a.conns[0].report.Term = 2 }, false),
		Entry("if the roster has another primary in a newer term", func(a *replacement) { a.roster = succession.Roster{Primary: "b", Term: 2} }, false),
		Entry("if it has not proved to be the primary", func(a *replacement) { a.proven, a.roster = false, succession.Roster{} }, false),
	)

	// The fleet has just started, and nobody has been known for long; "c" comes back under a new id
	// at its address, so that no process of the former id will ever answer.
	It("is taken off although no replica has been known for long, once a later one has its address", func() {
		dbs.withLock(func() {
			dbs.databases["a"] = &standin{group: dbs, id: "a", end: holder.end}
			dbs.databases["b"].end, dbs.databases["b"].notReplicating = holder.end, false
			delete(dbs.databases, "c")
			dbs.databases["d"] = &standin{group: dbs, id: "d", end: holder.end}
		})
		later := entry("d")
		later.Address, later.StartMillis = "c", 5
		svc = newService(g, testService)
		svc.setDatabasesAgo(lead.EstablishedAfter, entry("a"), entry("b"), later)
		svc.recordPrimary("a", holder.end, time.Now())
		Expect(svc.syncRoster()).To(Succeed())
		_, roster, err := svc.readRoster(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(roster.RetiringIDs()).To(BeEmpty())
	})

	It("is awaited by a host that has no configuration of the service", func() {
		dbs.withLock(func() { delete(dbs.databases, "c") })
		list(entry("b"))
		config := *g.config.Load().Configuration
		config.Services = map[string]routes.Service{}
		g.config.Store(&loadedConfiguration{Configuration: &config})
		fresh(entry("b"))
		Expect(orders()).To(BeEmpty())
	})

	// The commit was acknowledged while the service had replicas.
	It("is awaited by a host that has started since the configuration required no replica any more", func() {
		dbs.withLock(func() { delete(dbs.databases, "c") })
		list(entry("b"))
		config := *g.config.Load().Configuration
		config.Services = map[string]routes.Service{testService: {Name: testService, MaxConns: 40}}
		g.config.Store(&loadedConfiguration{Configuration: &config})
		fresh(entry("b"))
		Expect(orders()).To(BeEmpty())
	})

	It("is awaited although an accepted order for another one is pending", func() {
		dbs.withLock(func() { delete(dbs.databases, "c") })
		list(entry("b"))
		_, err := p.api.Create(context.Background(), kindLeases, testService, []byte(`{"holder":"host-2","claim":"x","released":true,"ordered":"b","accepted":true,"term":1,"rules":1}`))
		Expect(err).NotTo(HaveOccurred())
		fresh(entry("b"))
		Expect(orders()).To(BeEmpty())
	})

	It("may be away at a planned replacement only once the successor holds what the leaving primary does", func() {
		dbs.withLock(func() {
			dbs.databases["a"] = &standin{group: dbs, id: "a", end: holder.end}
			delete(dbs.databases, "c")
		})
		primary := entry("a")
		primary.Leaving = true
		attempt := func() {
			svc = newService(g, testService)
			svc.setDatabasesAgo(time.Minute, primary, entry("b"))
			svc.recordPrimary("a", position.Position{Term: 1, Index: 10}, time.Now())
			runAttempt(svc, succession.Leaving)
		}
		attempt()
		Expect(orders()).To(BeEmpty())
		dbs.withLock(func() {
			dbs.databases["b"].end, dbs.databases["b"].notReplicating = holder.end, false
		})
		attempt()
		Expect(orders()).To(Equal([]string{"b"}))
	})

	It("is not taken off by a host that has only retired it while the only other one with the commit is the primary", func() {
		dbs.withLock(func() {
			dbs.databases["a"] = &standin{group: dbs, id: "a", end: holder.end}
			delete(dbs.databases, "c")
		})
		list(entry("a"), entry("b"))
		Expect(svc.syncRoster()).To(Succeed())
		_, roster, err := svc.readRoster(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(roster.RetiringIDs()).To(Equal([]string{"c"}))
	})

	// 7315c1d does not write the fields that it does not know, and removes a database that is not
	// listed for 3 s and accepts no connection.
	It("is awaited although a host of an older version has rewritten the roster", func() {
		dbs.withLock(func() { delete(dbs.databases, "c") })
		list(entry("b"))
		change(func(r *succession.Roster) {
			for id, place := range r.Databases {
				r.Databases[id] = succession.Place{Address: place.Address, DataCentre: place.DataCentre, StartMillis: place.StartMillis}
			}
			delete(r.Databases, "c")
		})
		fresh(entry("b"))
		Expect(orders()).To(BeEmpty())
	})
})
