package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/database/lead"
	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/objectapi"
	"github.com/bronzeloft/bronzeloft/position"
	"github.com/bronzeloft/bronzeloft/statement"
)

// listingPlatform decodes the store's entries of databases.
type listingPlatform struct{ *fakePlatform }

func (listingPlatform) DecodeDatabase(_ string, value []byte) (db routes.Database, err error) {
	err = json.Unmarshal(value, &db)
	return db, err
}

// leaseCounter counts the reads and the writes of leases.
type leaseCounter struct {
	objectapi.Objects
	reads, writes atomic.Int64
	onRead        func() // called before the read of a lease, if it is set
	onUpdate      func() // called before the update of a lease that records an order, if it is set
}

func (s *leaseCounter) Get(ctx context.Context, kind, name string) (objectapi.Object, error) {
	if kind == kindLeases {
		s.reads.Add(1)
		if s.onRead != nil {
			s.onRead()
		}
	}
	return s.Objects.Get(ctx, kind, name)
}

func (s *leaseCounter) Update(ctx context.Context, kind, name string, version uint64, value []byte) (objectapi.Object, error) {
	if kind == kindLeases {
		s.writes.Add(1)
		var l succession.Lease
		if s.onUpdate != nil && json.Unmarshal(value, &l) == nil && l.Ordered != "" {
			s.onUpdate()
		}
	}
	return s.Objects.Update(ctx, kind, name, version, value)
}

// slowLists is a store that does not list a kind before the caller gives up.
type slowLists struct {
	objectapi.Objects
	kind      string
	group     *group
	deaf      bool // it reports no changes
	compacted bool
}

func (s *slowLists) List(ctx context.Context, kind string) ([]objectapi.Object, uint64, error) {
	if kind != s.kind {
		return s.Objects.List(ctx, kind)
	}
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

func (s *slowLists) Changes(ctx context.Context, kind string, version uint64) ([]objectapi.Event, uint64, error) {
	switch {
	case s.compacted:
		return nil, 0, objectapi.ErrCompacted
	case s.deaf:
		return nil, version, nil
	}
	return s.Objects.Changes(ctx, kind, version)
}

var _ = Describe("the evidence of a commit and the choice of a successor", func() {
	var (
		dbs   *group
		p     *fakePlatform
		store *leaseCounter
		g     *Gateway
		svc   *service
	)

	entry := func(id string) routes.Database {
		return routes.Database{ID: id, Service: testService, Address: id, DataCentre: "dc-a", Slots: 4}
	}
	list := func(entries ...routes.Database) {
		databases := map[string]routes.Database{}
		for _, db := range entries {
			databases[db.ID] = db
		}
		g.setDatabases(databases)
	}
	leaving := func(db routes.Database) routes.Database { db.Leaving = true; return db }
	announced := func(db routes.Database) routes.Database { db.Primary = true; return db }

	BeforeEach(func() {
		dbs = newGroup("a", "b", "c")
		p = newFakePlatform(dbs)
		store = &leaseCounter{Objects: p.api}
		p.api = store
		g = newTestGateway(p)
		svc = g.service(testService)
		svc.recordPrimary("a", position.Position{Term: 1, Index: 10}, time.Now())
	})

	storeLease := func(value string) {
		_, err := p.api.Create(context.Background(), kindLeases, testService, []byte(value))
		Expect(err).NotTo(HaveOccurred())
	}
	storedLease := func() (l succession.Lease) {
		held, err := p.api.Get(context.Background(), kindLeases, testService)
		Expect(err).NotTo(HaveOccurred())
		_ = json.Unmarshal(held.Value, &l)
		return l
	}
	attempt := func(reason succession.Reason) {
		svc.mu.Lock()
		a := svc.newReplacement(reason, position.Position{}, time.Now())
		svc.mu.Unlock()
		a.primary = "a"
		a.run()
	}
	write := func() *errkind.Error { return newTestSession(g, "own").serve(request(statement.Write)).Err }
	primary := func() (id string) {
		dbs.withLock(func() { id = dbs.primary })
		return id
	}
	orders := func() (n int) {
		dbs.withLock(func() { n = len(dbs.orders) })
		return n
	}

	// Other hosts have known "d" for long enough to rely on its copy alone.
	It("promotes no replica while the store lists one with a longer log that this host has not heard of", func() {
		listing := listingPlatform{p}
		g.platform = listing
		for _, id := range []string{"a", "b", "c", "d"} {
			value, err := json.Marshal(entry(id))
			Expect(err).NotTo(HaveOccurred())
			_, err = p.api.Create(context.Background(), p.DatabasesKind(), id, value)
			Expect(err).NotTo(HaveOccurred())
		}
		dbs.withLock(func() {
			dbs.databases["a"].unresponsive = true
			dbs.databases["d"] = &standin{group: dbs, id: "d", end: position.Position{Term: 1, Index: 12}}
		})
		attempt(succession.Silent)
		Expect(storedLease().Holder).To(Equal("host-1"))
		GinkgoWriter.Println("lease", storedLease(), "orders", orders())
		Expect(primary()).NotTo(BeElementOf("b", "c"))
	})

	// A list that holds large entries of another writer takes longer than an attempt has.
	DescribeTable("replaces a primary although the store's list of the databases takes too long",
		func(change func(*slowLists), want string) {
			g.platform = listingPlatform{p}
			put := func(ids ...string) {
				for _, id := range ids {
					value, err := json.Marshal(entry(id))
					Expect(err).NotTo(HaveOccurred())
					_, err = p.api.Create(context.Background(), p.DatabasesKind(), id, value)
					Expect(err).NotTo(HaveOccurred())
				}
			}
			put("a", "b", "c")
			objects, version, err := p.api.List(context.Background(), p.DatabasesKind())
			Expect(err).NotTo(HaveOccurred())
			g.applyDatabaseObjects(objects, version)
			put("d") // this host does not hear of it
			dbs.withLock(func() {
				dbs.databases["a"].unresponsive = true
				dbs.databases["c"].end.Index = 11
				dbs.databases["d"] = &standin{group: dbs, id: "d", end: position.Position{Term: 1, Index: 10}}
			})
			slow := &slowLists{Objects: p.api, kind: p.DatabasesKind(), group: dbs}
			change(slow)
			p.api = slow
			attempt(succession.Silent)
			Expect(primary()).To(Equal(want))
		},
		Entry("once it has read the changes since its own", func(*slowLists) {}, "c"),
		Entry("but not while a database that only the changes show does not answer", func(s *slowLists) {
			s.group.withLock(func() { s.group.databases["d"].unresponsive = true })
		}, "a"),
		Entry("but not on changes of before the lease", func(s *slowLists) { s.deaf = true }, "a"),
		Entry("but not if the store has dropped the changes", func(s *slowLists) { s.compacted = true }, "a"),
	)

	It("does not settle the lease while its order is under way because the successor is announced as the primary", func() {
		dbs := dbs // the order is carried out after the spec has ended
		dbs.withLock(func() {
			dbs.promoteHook = func(o succession.Order) error {
				// The entry of a former primary returns as it was.
				list(entry("a"), entry("c"))
				list(entry("a"), announced(entry(o.Database)), entry("c"))
				time.AfterFunc(time.Second, func() { _ = dbs.applyOrder(o) })
				return nil
			}
		})
		attempt(succession.Leaving)
		if l := storedLease(); primary() == "a" {
			Expect(l.Settled(1)).To(BeFalse(), "%+v", l)
		}
	})

	It("does not acknowledge a commit on one replica if the order that the lease records cannot be decoded", func() {
		dbs.withLock(func() { dbs.databases["b"].notReplicating = true })
		storeLease(`{"holder":"host-2","claim":"x","released":true,"ordered":7,"term":1,"rules":1}`)
		Expect(write()).NotTo(BeNil())
	})

	// A leaving database may be cut off from the store, so that its entry lapses, and be
	// promoted by an order that was given before.
	It("does not acknowledge a commit on all listed replicas without a settled lease after a leaving one vanished", func() {
		storeLease(`{"holder":"host-2","claim":"x","ordered":"b"}`)
		list(entry("a"), leaving(entry("b")), entry("c"))
		dbs.withLock(func() { dbs.databases["b"].notReplicating = true })
		svc.mu.Lock()
		svc.table.SetDatabases([]routes.Database{entry("a"), entry("c")}, time.Now().Add(-5*time.Second))
		svc.table.Expire(time.Now())
		svc.mu.Unlock()
		err := write()
		Expect(err).NotTo(BeNil())
	})

	It("does not acknowledge a commit that only a leaving replica holds", func() {
		list(entry("a"), entry("b"), leaving(entry("c")))
		dbs.withLock(func() { dbs.databases["b"].notReplicating = true })
		Expect(write()).NotTo(BeNil())
	})

	It("replaces a leaving primary by a replica that has its log although a more senior one receives nothing", func() {
		senior, junior := entry("b"), entry("c")
		senior.StartMillis, junior.StartMillis = 1, 2
		fresh := newService(g, testService)
		fresh.setDatabasesAgo(time.Minute, entry("a"), senior, junior)
		svc = fresh
		svc.recordPrimary("a", position.Position{Term: 1, Index: 12}, time.Now())
		dbs.withLock(func() {
			dbs.databases["a"].end = position.Position{Term: 1, Index: 12}
			dbs.databases["c"].end = position.Position{Term: 1, Index: 12}
		})
		for range 3 {
			attempt(succession.Leaving)
		}
		Expect(primary()).To(Equal("c"))
	})

	It("replaces a primary after it has read in the lease of a newer term than any database reports", func() {
		storeLease(`{"holder":"host-2","claim":"x","released":true,"term":2,"rules":1}`)
		dbs.withLock(func() { dbs.databases["a"].unresponsive = true })
		for range 4 {
			attempt(succession.Silent)
		}
		Expect(orders()).To(Equal(1))
	})

	It("does not take a released lease of a newer term to settle it", func() {
		dbs.withLock(func() { dbs.databases["b"].notReplicating = true })
		storeLease(`{"holder":"host-2","claim":"x","released":true,"term":2,"rules":1}`)
		Expect(write()).NotTo(BeNil())
		Expect(store.writes.Load()).To(BeZero())
	})

	It("replaces a silent primary by none shorter than the floor, and again once its replica holds its log", func() {
		storeLease(`{"holder":"host-2","claim":"x","released":true,"term":1,"rules":1,"floor":{"Term":1,"Index":20}}`)
		dbs.withLock(func() { delete(dbs.databases, "a") })
		svc = newService(g, testService)
		svc.setDatabasesAgo(time.Minute, entry("b"), entry("c"))
		svc.table.RecordTerm(1)
		attempt(succession.Absent)
		Expect(orders()).To(BeZero(), "the primary may return with its log")
		dbs.withLock(func() {
			for _, db := range dbs.databases {
				db.end = position.Position{Term: 1, Index: 20}
			}
		})
		attempt(succession.Absent)
		Expect(orders()).To(Equal(1))
		first := primary()
		Expect(first).To(BeElementOf("b", "c"))
		dbs.withLock(func() {
			for _, db := range dbs.databases {
				db.end = position.Position{Term: 2, Index: 22}
			}
			dbs.databases[first].unresponsive = true
		})
		svc.mu.Lock()
		a := svc.newReplacement(succession.Silent, position.Position{}, time.Now())
		svc.mu.Unlock()
		a.primary = first
		a.run()
		Expect(orders()).To(Equal(2))
		Expect(primary()).NotTo(Equal(first))
	})

	// The primary may have confirmed commits up to the end of a replica's log whose answers
	// reach this host only after that replica has restarted without its log.
	It("does not acknowledge a commit because of a settled lease after the replica that held it has restarted", func() {
		dbs.withLock(func() {
			dbs.databases["b"].notReplicating = true
			dbs.databases["d"] = &standin{group: dbs, id: "d", end: position.Position{Term: 1, Index: 10}} // not listed
		})
		Expect(write()).To(BeNil())
		svc.mu.Lock()
		svc.replication.settled.Index += 10 // the end of the log of "c"
		svc.mu.Unlock()
		restarted := entry("c")
		restarted.StartMillis = 5
		dbs.withLock(func() {
			dbs.databases["c"].notReplicating = true
			dbs.databases["c"].end = position.Position{}
		})
		list(entry("a"), entry("b"), restarted)
		Expect(write()).NotTo(BeNil())
	})

	It("does not rely, on a host that has just started, on a replica that has just started too", func() {
		dbs.withLock(func() { dbs.databases["b"].notReplicating = true })
		fresh := newService(g, testService)
		young := entry("c")
		young.StartMillis = time.Now().UnixMilli()
		fresh.setDatabases([]routes.Database{entry("a"), entry("b"), young}, 4)
		g.mu.Lock()
		g.services[testService] = fresh
		g.mu.Unlock()
		fresh.recordPrimary("a", position.Position{Term: 1, Index: 10}, time.Now())
		Expect(write()).NotTo(BeNil())
	})

	// Such a host takes no replica for established, so that one copy is not enough.
	DescribeTable("acknowledges a commit on all replicas on a host that has just started, if the lease is settled", func(lease string, acknowledges bool) {
		storeLease(lease)
		fresh := newService(g, testService)
		fresh.setDatabases([]routes.Database{entry("a"), entry("b"), entry("c")}, 4)
		g.mu.Lock()
		g.services[testService] = fresh
		g.mu.Unlock()
		fresh.recordPrimary("a", position.Position{Term: 1, Index: 10}, time.Now())
		Expect(write() == nil).To(Equal(acknowledges))
	},
		Entry("released without an order", `{"holder":"host-2","claim":"x","released":true,"term":1,"rules":1}`, true),
		Entry("held by another host", `{"holder":"host-2","claim":"x","term":1,"rules":1}`, false),
	)

	// Commits that wait for a lease to be settled share the host's calls of the store
	// with the attempts that settle it.
	It("leaves calls of the store to attempts while commits wait for a lease that another host holds", func() {
		limited := &leaseCounter{Objects: objectapi.NewClient(objectapi.ClientConfig{BaseURL: p.store.URL(), CallsPerSecond: 20, Burst: 20})}
		storeLease(`{"holder":"host-2","claim":"x"}`)
		p.api = limited
		dbs.withLock(func() { dbs.databases["b"].notReplicating = true })
		services := []*service{svc}
		for range 3 {
			other := newService(g, testService)
			other.setDatabasesAgo(time.Minute, entry("a"), entry("b"), entry("c"))
			other.recordPrimary("a", position.Position{Term: 1, Index: 10}, time.Now())
			services = append(services, other)
		}
		var at position.Position
		_ = write()
		dbs.withLock(func() { at = dbs.databases["c"].end })
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		for _, s := range services {
			go func() { _ = s.acknowledge(ctx, commit{primary: "a", at: at, term: 1}) }()
		}
		refused := 0
		for ctx.Err() == nil {
			if _, err := limited.Objects.Get(ctx, "bronzeloft-other", "x"); errors.Is(err, objectapi.ErrBudget) {
				refused++
			}
			time.Sleep(250 * time.Millisecond)
		}
		GinkgoWriter.Println("refused", refused, "lease reads", limited.reads.Load())
		Expect(refused).To(BeZero())
	})

	It("queries a replica that lacks a commit, and reads the lease, at a bounded rate", func() {
		dbs.withLock(func() {
			dbs.databases["b"].notReplicating = true
			dbs.databases["b"].received = nil
		})
		storeLease(`{"holder":"host-2","claim":"x"}`)
		Expect(write()).NotTo(BeNil()) // waits for the route's timeout, 0.8 s
		queries := 0
		dbs.withLock(func() {
			for _, kind := range dbs.databases["b"].received {
				if kind == statement.Status {
					queries++
				}
			}
		})
		GinkgoWriter.Println("queries", queries, "lease reads", store.reads.Load())
		Expect(queries).To(BeNumerically("<=", 20))
		Expect(store.reads.Load()).To(BeNumerically("<=", 8))
	})

	// The order names only the id of a database, which may have lost its log since it was
	// read.
	DescribeTable("does not order a promotion after a replica has restarted while the logs were read",
		func(restarted string) {
			g.platform = listingPlatform{p}
			put := func(db routes.Database, version uint64) {
				value, err := json.Marshal(db)
				Expect(err).NotTo(HaveOccurred())
				if version == 0 {
					_, err = p.api.Create(context.Background(), p.DatabasesKind(), db.ID, value)
				} else {
					_, err = p.api.Update(context.Background(), p.DatabasesKind(), db.ID, version, value)
				}
				Expect(err).NotTo(HaveOccurred())
			}
			for _, id := range []string{"a", "b", "c"} {
				put(entry(id), 0)
			}
			dbs.withLock(func() {
				dbs.databases["a"].unresponsive = true
				dbs.databases["c"].end.Index++
			})
			store.onUpdate = func() {
				store.onUpdate = nil
				held, err := p.api.Get(context.Background(), p.DatabasesKind(), restarted)
				Expect(err).NotTo(HaveOccurred())
				again := entry(restarted)
				again.StartMillis = 5
				put(again, held.Version)
			}
			attempt(succession.Silent)
			Expect(orders()).To(BeZero())
			Expect(storedLease().Settled(1)).To(BeTrue())
			attempt(succession.Silent)
			Expect(orders()).To(Equal(1))
		},
		Entry("if it is the successor", "c"),
		Entry("if it is another one, whose log may have held a commit, and the primary may return", "b"),
	)

	DescribeTable("does not acknowledge a commit because of a settled lease after the only replica that held it has ended or is about to",
		func(end func()) {
			dbs.withLock(func() {
				dbs.databases["b"].notReplicating = true
				dbs.databases["d"] = &standin{group: dbs, id: "d", end: position.Position{Term: 1, Index: 10}} // not listed
			})
			Expect(write()).To(BeNil())
			svc.mu.Lock()
			svc.replication.settled.Index += 10 // the end of the log of "c"
			svc.mu.Unlock()
			end()
			Expect(write()).NotTo(BeNil())
		},
		Entry("as the list no longer has it", func() {
			list(entry("a"), entry("b"))
			dbs.withLock(func() { dbs.databases["c"].notReplicating = true })
		}),
		Entry("as it announces its end", func() {
			list(entry("a"), entry("b"), leaving(entry("c")))
		}),
		Entry("as nothing listens at its address", func() {
			svc.recordFailure("c", time.Now(), true)
			dbs.withLock(func() { dbs.databases["c"].notReplicating = true })
		}),
	)

	It("does not acknowledge a commit because of a lease that was read while the replica that held it ended", func() {
		dbs.withLock(func() { dbs.databases["b"].notReplicating = true })
		store.onRead = func() {
			svc.recordFailure("c", time.Now(), true)
			dbs.withLock(func() { dbs.databases["c"].unresponsive = true })
		}
		Expect(write()).NotTo(BeNil())
	})

	It("does not acknowledge a commit on the copies of replicas that have ended since they reported it", func() {
		Expect(write()).To(BeNil()) // the lease is settled in this term
		storeLease(`{"holder":"host-2","claim":"x"}`)
		var at position.Position
		dbs.withLock(func() {
			at = position.Position{Term: 1, Index: 12}
			for _, db := range dbs.databases {
				db.end = at
			}
		})
		Expect(svc.acknowledge(context.Background(), commit{primary: "a", at: at, term: 1})).To(Succeed())
		dbs.withLock(func() { dbs.databases["c"].unresponsive = true })
		svc.recordFailure("c", time.Now(), true)
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		Expect(svc.acknowledge(ctx, commit{primary: "a", at: at, term: 1})).NotTo(Succeed())
	})

	formerAndFloor := func() {
		storeLease(`{"holder":"host-2","claim":"x","released":true,"term":1,"rules":1,"floor":{"Term":1,"Index":20}}`)
		list(entry("b"), entry("c"))
		svc.mu.Lock()
		svc.table.Expire(time.Now().Add(time.Minute))
		svc.mu.Unlock()
	}

	It("does not replace a primary that seems to have ended, as another database does, by one that lacks its last commits", func() {
		dbs.withLock(func() { delete(dbs.databases, "a") })
		list(entry("a"), entry("b"), entry("c"), entry("e")) // "e" never runs
		formerAndFloor()
		attempt(succession.Silent)
		Expect(orders()).To(BeZero())
		dbs.withLock(func() { dbs.databases["c"].end.Index = 20 })
		attempt(succession.Silent)
		Expect(orders()).To(Equal(1), "no commit rests on the log of the other one, which the roster lacks")
	})

	It("does not replace a primary that has ended while another former database, which may hold its last commits, is silent", func() {
		dbs.withLock(func() {
			delete(dbs.databases, "a")
			dbs.databases["e"] = &standin{group: dbs, id: "e", unresponsive: true}
		})
		list(entry("a"), entry("b"), entry("c"), entry("e"))
		formerAndFloor()
		attempt(succession.Silent)
		Expect(orders()).To(BeZero())
	})

	It("does not leave the log of a replica unread because that has announced itself as the primary", func() {
		fresh := newService(g, testService)
		g.ago(time.Minute, func() { fresh.setDatabases([]routes.Database{announced(entry("b")), entry("c")}, 4) })
		svc = fresh
		dbs.withLock(func() {
			delete(dbs.databases, "a")
			dbs.databases["b"].unresponsive = true
			dbs.databases["b"].end.Index += 5
		})
		svc.mu.Lock()
		svc.table.RecordTerm(1)
		a := svc.newReplacement(succession.Silent, position.Position{}, time.Now())
		svc.mu.Unlock()
		Expect(a.primary).To(Equal("b"))
		a.run()
		Expect(orders()).To(BeZero())
	})

	It("does not take a primary that it does not know for ended while a former database is silent", func() {
		young := []routes.Database{entry("b"), entry("c")}
		young[0].StartMillis, young[1].StartMillis = 1, 2
		fresh := newService(g, testService)
		g.ago(2*lead.EstablishedAfter+lead.MissingRetention, func() { fresh.setDatabases(append(young, entry("e")), 4) })
		Expect(fresh.syncRoster()).To(Succeed())
		g.ago(lead.MissingRetention, func() { fresh.setDatabases(young, 4) })
		svc = fresh
		dbs.withLock(func() {
			delete(dbs.databases, "a")
			dbs.databases["c"].end.Index++ // "b" does not catch up
			dbs.databases["e"] = &standin{group: dbs, id: "e", unresponsive: true}
		})
		svc.mu.Lock()
		svc.table.Expire(time.Now())
		svc.table.RecordTerm(1)
		a := svc.newReplacement(succession.Absent, position.Position{}, time.Now())
		svc.mu.Unlock()
		a.run()
		Expect(orders()).To(BeZero())
	})
})
