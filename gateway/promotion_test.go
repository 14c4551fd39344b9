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
	"github.com/bronzeloft/bronzeloft/objectapi"
	"github.com/bronzeloft/bronzeloft/position"
	"github.com/bronzeloft/bronzeloft/statement"
)

// unansweredStore answers the first update. The second takes effect but is not
// answered, and the later ones are answered again.
type unansweredStore struct {
	objectapi.Objects
	updates atomic.Int64
}

func (s *unansweredStore) Update(ctx context.Context, kind, name string, version uint64, value []byte) (objectapi.Object, error) {
	o, err := s.Objects.Update(ctx, kind, name, version, value)
	if s.updates.Add(1) != 2 {
		return o, err
	}
	<-ctx.Done()
	return objectapi.Object{}, objectapi.ErrUnavailable
}

var _ = Describe("replacing a primary", func() {
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
	})

	attempt := func(reason succession.Reason) {
		svc.mu.Lock()
		term := svc.table.Term()
		svc.mu.Unlock()
		a := &replacement{s: svc, log: g.log, reason: reason, primary: "a", proven: true, term: max(1, term), started: time.Now()}
		a.run()
	}
	list := func(ids ...string) {
		databases := map[string]routes.Database{}
		for _, id := range ids {
			databases[id] = routes.Database{ID: id, Service: testService, Address: id, DataCentre: "dc-a", Slots: 4}
		}
		g.setDatabases(databases)
	}
	storedLease := func() (l succession.Lease) {
		held, err := p.api.Get(context.Background(), kindLeases, testService)
		Expect(err).NotTo(HaveOccurred())
		_ = json.Unmarshal(held.Value, &l)
		return l
	}
	primary := func() (id string) {
		dbs.withLock(func() { id = dbs.primary })
		return id
	}

	It("promotes the replica with the longest log", func() {
		dbs.withLock(func() {
			dbs.databases["a"].unresponsive = true
			dbs.databases["c"].end = position.Position{Term: 1, Index: 12}
		})
		attempt(succession.Silent)
		Expect(primary()).To(Equal("c"))
	})

	It("promotes no replica while a listed replica does not answer", func() {
		dbs.withLock(func() { dbs.databases["a"].unresponsive, dbs.databases["c"].unresponsive = true, true })
		attempt(succession.Silent)
		Expect(primary()).To(Equal("a"))
		Expect(storedLease().Settled(1)).To(BeTrue())
	})

	It("promotes no replica while another may be cut off together with the primary", func() {
		// The primary and one replica are in a data centre from which no messages
		// arrive. Their entries have expired, and they keep acknowledging commits.
		dbs.withLock(func() { dbs.databases["a"].unresponsive, dbs.databases["c"].unresponsive = true, true })
		remoteDatabase := func(id string) routes.Database {
			return routes.Database{ID: id, Service: testService, Address: id, DataCentre: "dc-b", Slots: 4}
		}
		localDatabase := routes.Database{ID: "b", Service: testService, Address: "b", DataCentre: "dc-a", Slots: 4}
		g.setDatabases(map[string]routes.Database{"a": remoteDatabase("a"), "b": localDatabase, "c": remoteDatabase("c")})
		svc.recordPrimary("a", position.Position{Term: 1, Index: 10}, time.Now())
		Expect(svc.syncRoster()).To(Succeed())
		g.setDatabases(map[string]routes.Database{"b": localDatabase})
		svc.mu.Lock()
		svc.table.Expire(time.Now().Add(time.Minute))
		svc.mu.Unlock()
		attempt(succession.Absent)
		dbs.withLock(func() { Expect(dbs.orders).To(BeEmpty()) })

		By("receiving a message from the data centre again just now")
		g.peers.mu.Lock()
		g.peers.recordContact("dc-b", time.Now())
		g.peers.mu.Unlock()
		attempt(succession.Absent)
		dbs.withLock(func() { Expect(dbs.orders).To(BeEmpty()) })

		By("having been in contact with it for a minute")
		g.peers.mu.Lock()
		g.peers.contacts["dc-b"] = contact{since: time.Now().Add(-time.Minute), last: time.Now()}
		g.peers.mu.Unlock()
		attempt(succession.Absent)
		dbs.withLock(func() { Expect(dbs.orders).To(BeEmpty()) })

		By("reading the log of the other replica")
		dbs.withLock(func() { dbs.databases["c"].unresponsive = false })
		attempt(succession.Absent)
		dbs.withLock(func() { Expect(dbs.orders).To(HaveLen(1)) })
	})

	It("promotes a replica that other hosts know rather than one that has just appeared with a longer log, if it catches up", func() {
		dbs.withLock(func() {
			dbs.databases["a"].unresponsive = true
			dbs.databases["d"] = &standin{group: dbs, id: "d", end: position.Position{Term: 1, Index: 12}}
		})
		list("a", "b", "c", "d")
		time.AfterFunc(100*time.Millisecond, func() {
			dbs.withLock(func() {
				for _, id := range []string{"b", "c"} {
					dbs.databases[id].end = position.Position{Term: 1, Index: 12}
				}
			})
		})
		attempt(succession.Silent)
		Expect(primary()).To(BeElementOf("b", "c"))
	})

	It("promotes a replica with a longer log than the others, which has just appeared, only once hosts know it", func() {
		dbs.withLock(func() {
			dbs.databases["a"].unresponsive = true
			dbs.databases["d"] = &standin{group: dbs, id: "d", end: position.Position{Term: 1, Index: 12}}
		})
		list("a", "b", "c", "d")
		attempt(succession.Silent)
		Expect(primary()).To(Equal("a"))
		time.Sleep(lead.EstablishedAfter)
		attempt(succession.Silent)
		Expect(primary()).To(Equal("a"), "hosts may have an older list")
		g.ago(-lead.KnownAfter, func() { attempt(succession.Silent) })
		Expect(primary()).To(Equal("d"))
	})

	It("promotes no replica that lacks an acknowledged commit while the primary may return", func() {
		dbs.withLock(func() { dbs.databases["a"].unresponsive = true })
		svc.mu.Lock()
		a := svc.newReplacement(succession.Silent, position.Position{Term: 1, Index: 11}, time.Now())
		svc.mu.Unlock()
		a.primary, a.term = "a", 1
		a.run()
		dbs.withLock(func() { Expect(dbs.orders).To(BeEmpty()) })
	})

	It("promotes no replica while one whose entry has just vanished does not answer", func() {
		dbs.withLock(func() { dbs.databases["a"].unresponsive, dbs.databases["c"].unresponsive = true, true })
		list("a", "b")
		attempt(succession.Silent)
		dbs.withLock(func() { Expect(dbs.orders).To(BeEmpty()) })
	})

	It("does not replace a primary that another host has promoted in the meantime", func() {
		dbs.withLock(func() { dbs.term, dbs.primary = 2, "b" })
		attempt(succession.Silent)
		dbs.withLock(func() { Expect(dbs.orders).To(BeEmpty()) })
		Expect(primary()).To(Equal("b"))
	})

	It("does not replace a primary that answers the attempt's query", func() {
		attempt(succession.Silent)
		dbs.withLock(func() { Expect(dbs.orders).To(BeEmpty()) })
	})

	It("promotes a successor of a leaving primary once it has received the primary's log", func() {
		dbs.withLock(func() { dbs.databases["a"].end = position.Position{Term: 1, Index: 12} })
		time.AfterFunc(100*time.Millisecond, func() {
			dbs.withLock(func() {
				for _, id := range []string{"b", "c"} {
					dbs.databases[id].end = position.Position{Term: 1, Index: 12}
				}
			})
		})
		attempt(succession.Leaving)
		Expect(primary()).To(BeElementOf("b", "c"))
	})

	// Guards against a leaving primary that serves beyond its drain time (DRAIN).
	It("promotes another replica in place of a leaving primary if the senior one lags, and voids no earlier order when none has its log", func() {
		dbs.withLock(func() {
			for _, id := range []string{"a", "c"} {
				dbs.databases[id].end = position.Position{Term: 1, Index: 12}
			}
		})
		g.setDatabases(map[string]routes.Database{})
		var present []routes.Database
		for i, id := range []string{"a", "b", "c"} {
			present = append(present, routes.Database{ID: id, Service: testService, Address: id, DataCentre: "dc-a", Slots: 4, StartMillis: int64(1 + i)})
		}
		svc.mu.Lock()
		svc.table = lead.New()
		svc.table.SetDatabases(present, time.Now().Add(-time.Minute))
		svc.mu.Unlock()
		attempt(succession.Leaving)
		Expect(primary()).To(Equal("c"))

		By("having an order pending that none of the replicas may follow")
		dbs.withLock(func() { dbs.databases["c"].end = position.Position{Term: 2, Index: 20} })
		value, err := json.Marshal(succession.Lease{Holder: "host-1", Claim: "x", Released: true, Ordered: "b", Term: 2, Rules: succession.Rules})
		Expect(err).NotTo(HaveOccurred())
		held, err := p.api.Get(context.Background(), kindLeases, testService)
		Expect(err).NotTo(HaveOccurred())
		_, err = p.api.Update(context.Background(), kindLeases, testService, held.Version, value)
		Expect(err).NotTo(HaveOccurred())
		orders := len(dbs.orders)
		a := &replacement{s: svc, log: g.log, reason: succession.Leaving, primary: "c", term: 2, started: time.Now()}
		a.run()
		Expect(dbs.orders).To(HaveLen(orders))
		Expect(storedLease().Ordered).To(Equal("b"))
	})

	It("replaces a leaving primary although a replica is cut off, only after some time, without stopping any database but replicas from receiving", func() {
		dbs.withLock(func() { dbs.databases["c"].unresponsive = true })
		leaving := []routes.Database{
			{ID: "a", Service: testService, Address: "a", DataCentre: "dc-a", Slots: 4, Leaving: true},
			{ID: "b", Service: testService, Address: "b", DataCentre: "dc-a", Slots: 4},
			{ID: "c", Service: testService, Address: "c", DataCentre: "dc-a", Slots: 4},
		}
		svc.setDatabasesAgo(0, leaving...)
		attempt(succession.Leaving)
		Expect(primary()).To(Equal("a"))
		g.ago(-unpausedPatience, func() { attempt(succession.Leaving) })
		Expect(primary()).To(Equal("b"))
		dbs.withLock(func() {
			for _, db := range dbs.databases {
				for _, kind := range db.received {
					Expect(kind).To(BeElementOf(statement.Status, statement.Begin, statement.Rollback, statement.Pause, statement.Resume))
				}
				if db.id != "c" {
					Expect(db.paused).To(BeNumerically("<=", dbs.term), "left paused")
				}
			}
		})
	})

	It("promotes no successor of a leaving primary that does not answer while a replica is cut off", func() {
		dbs.withLock(func() { dbs.databases["a"].unresponsive, dbs.databases["c"].unresponsive = true, true })
		attempt(succession.Leaving)
		dbs.withLock(func() { Expect(dbs.orders).To(BeEmpty()) })
	})

	It("keeps a leaving primary if its successor lacks a commit", func() {
		dbs.withLock(func() {
			dbs.databases["c"].unresponsive = true
			dbs.databases["a"].end = position.Position{Term: 1, Index: 12}
		})
		attempt(succession.Leaving)
		Expect(primary()).To(Equal("a"))
	})

	It("settles the lease only once a later order for the same database than an unanswered one was answered and PromotionLimit has passed", func() {
		dbs.withLock(func() {
			dbs.databases["a"].unresponsive = true
			dbs.databases["b"].end.Index = 12 // it is chosen each time
			dbs.promoteHook = func(succession.Order) error { return errors.New("no answer") }
		})
		attempt(succession.Silent)
		Expect(storedLease().Settled(2)).To(BeFalse())
		dbs.withLock(func() {
			dbs.promoteHook = nil
			dbs.databases["a"].unresponsive = false // the primary answers again
		})
		late := dbs.orders[0]
		Expect(late.Database).To(Equal("b"))

		started := time.Now()
		attempt(succession.Stalled)
		Expect(dbs.applyOrder(late)).To(MatchError(succession.ErrRefused))
		Expect(storedLease().Settled(2)).To(BeTrue())
		Expect(storedLease().Settled(1)).To(BeFalse(), "term 2 has begun")
		Expect(time.Since(started)).To(BeNumerically(">=", succession.PromotionLimit))
	})

	It("gives a pending order again before it settles the lease though the primary answers again, if nothing is lost by it", func() {
		dbs.withLock(func() {
			dbs.databases["a"].unresponsive = true
			dbs.promoteHook = func(succession.Order) error { return errors.New("no answer") }
		})
		attempt(succession.Silent)
		late := dbs.orders[0]
		dbs.withLock(func() {
			dbs.promoteHook = nil
			dbs.databases["a"].unresponsive = false
		})
		started := time.Now()
		attempt(succession.Silent) // finds that "a" is still the primary
		Expect(primary()).To(Equal(late.Database))
		Expect(dbs.applyOrder(late)).To(MatchError(succession.ErrRefused))
		Expect(storedLease().Settled(1)).To(BeFalse())
		Expect(storedLease().Settled(2)).To(BeTrue())
		Expect(time.Since(started)).To(BeNumerically(">=", succession.PromotionLimit))
	})

	It("voids a pending order by VoidRounds orders for the current primary if its database lacks what another one holds", func() {
		dbs.withLock(func() {
			dbs.databases["a"].unresponsive = true
			dbs.promoteHook = func(succession.Order) error { return errors.New("no answer") }
		})
		attempt(succession.Silent)
		late, before := dbs.orders[0], len(dbs.orders)
		dbs.withLock(func() {
			dbs.promoteHook = nil
			dbs.databases["a"].unresponsive = false
			for id, db := range dbs.databases {
				if id != late.Database {
					db.end.Index = 12
				}
			}
		})
		started := time.Now()
		for round := 1; round <= succession.VoidRounds; round++ {
			Expect(storedLease().Settled(1)).To(BeFalse())
			attempt(succession.Silent)
			Expect(dbs.orders[before:]).To(HaveLen(round))
			Expect(dbs.orders[before:]).To(HaveEach(HaveField("Database", "a")))
		}
		Expect(primary()).To(Equal("a"))
		Expect(dbs.applyOrder(late)).To(MatchError(succession.ErrRefused))
		Expect(storedLease().Settled(1)).To(BeTrue())
		Expect(time.Since(started)).To(BeNumerically(">=", succession.VoidRounds*succession.PromotionLimit))
	})

	It("does not settle the lease at a successor's effect while an order for another database may be late", func() {
		dbs.withLock(func() {
			dbs.databases["a"].unresponsive = true
			dbs.databases["c"].end.Index = 12
		})
		value, err := json.Marshal(succession.Lease{Holder: "host-1", Claim: "x", Ordered: "b", Term: 1, Rules: succession.Rules})
		Expect(err).NotTo(HaveOccurred())
		_, err = p.api.Create(context.Background(), kindLeases, testService, value)
		Expect(err).NotTo(HaveOccurred())
		started := time.Now()
		attempt(succession.Silent)
		Expect(primary()).To(Equal("c"))
		Expect(storedLease().Settled(2)).To(BeFalse())
		for range succession.VoidRounds - 1 {
			Expect(storedLease().Settled(2)).To(BeFalse())
			attempt(succession.Unsettled)
		}
		Expect(storedLease().Settled(2)).To(BeTrue())
		Expect(primary()).To(Equal("c"))
		Expect(time.Since(started)).To(BeNumerically(">=", succession.VoidRounds*succession.PromotionLimit))
	})

	It("counts the orders for the present primary anew after one for another database", func() {
		dbs.withLock(func() {
			dbs.databases["a"].unresponsive = true
			dbs.promoteHook = func(succession.Order) error { return errors.New("no answer") }
		})
		value, err := json.Marshal(succession.Lease{Holder: "host-1", Claim: "x", Ordered: "a", Unseen: true, Rounds: succession.VoidRounds - 1, Term: 1, Rules: succession.Rules})
		Expect(err).NotTo(HaveOccurred())
		_, err = p.api.Create(context.Background(), kindLeases, testService, value)
		Expect(err).NotTo(HaveOccurred())
		attempt(succession.Silent)
		Expect(storedLease()).To(And(HaveField("Ordered", Not(Equal("a"))), HaveField("Unseen", BeTrue()), HaveField("Rounds", 0)))
	})

	// The platform accepts an order of the present primary while an earlier order is
	// carried out, and carries out both.
	It("does not settle the lease of a term that ended while the order was being voided", func() {
		dbs.withLock(func() {
			dbs.databases["a"].unresponsive = true
			dbs.promoteHook = func(succession.Order) error { return errors.New("no answer") }
		})
		attempt(succession.Silent)
		late := dbs.orders[0].Database
		dbs.withLock(func() {
			dbs.databases["a"].unresponsive = false
			for id, db := range dbs.databases {
				if id != late {
					db.end.Index = 12 // the order is not given again
				}
			}
			dbs.promoteHook = func(o succession.Order) error {
				time.AfterFunc(300*time.Millisecond, func() { _ = dbs.applyOrder(succession.Order{Database: late, Fence: o.Fence}) })
				return nil
			}
		})
		attempt(succession.Silent)
		Expect(primary()).To(Equal(late))
		Expect(storedLease().Settled(1)).To(BeFalse())
		dbs.withLock(func() { dbs.promoteHook = nil })
		for range succession.VoidRounds - 1 {
			attempt(succession.Unsettled)
			Expect(storedLease().Settled(1)).To(BeFalse())
		}
		Expect(primary()).To(Equal(late))
		Expect(storedLease().Settled(2)).To(BeTrue())
	})

	It("leaves the lease to expire with its order if no database becomes the primary", func() {
		dbs.withLock(func() {
			dbs.databases["a"].unresponsive = true
			dbs.promoteHook = func(succession.Order) error { return nil }
		})
		attempt(succession.Silent)
		l := storedLease()
		Expect(l.Released).To(BeFalse())
		Expect(l.Ordered).NotTo(BeEmpty())
	})

	Context("on a host that started after the entries of databases that are cut off had expired", func() {
		// "a" is the primary. It and "c" are in a data centre that was cut off, from
		// the store too.
		var remote routes.Database

		BeforeEach(func() {
			in := func(id, dataCentre string) routes.Database {
				return routes.Database{ID: id, Service: testService, Address: id, DataCentre: dataCentre, Slots: 4}
			}
			remote = in("c", "dc-b")
			g.setDatabases(map[string]routes.Database{"a": in("a", "dc-b"), "b": in("b", "dc-a"), "c": remote})
			svc.recordPrimary("a", position.Position{Term: 1, Index: 10}, time.Now())
			Expect(svc.syncRoster()).To(Succeed())

			started := newTestGateway(p)
			svc = newService(started, testService)
			svc.setDatabases([]routes.Database{in("b", "dc-a")}, 4)
			g = started
			dbs.withLock(func() { dbs.databases["a"].unresponsive, dbs.databases["c"].unresponsive = true, true })
		})

		attemptOfNewHost := func() {
			a := &replacement{s: svc, log: g.log, reason: succession.Absent, started: time.Now()}
			a.run() // learns the term
			a = &replacement{s: svc, log: g.log, reason: succession.Absent, term: 1, started: time.Now()}
			a.run()
		}
		orders := func() (n int) {
			dbs.withLock(func() { n = len(dbs.orders) })
			return n
		}

		It("promotes no replica while they may acknowledge commits among themselves, or the primary serves again", func() {
			attemptOfNewHost()
			Expect(orders()).To(BeZero())
			dbs.withLock(func() { dbs.databases["a"].unresponsive = false })
			attemptOfNewHost()
			Expect(orders()).To(BeZero())
		})

		// A data centre in contact, a lapsed entry and a dead address do not show that a log is gone.
		It("promotes no replica while one that is down may hold the only copy of a commit, and one again once it is back", func() {
			g.peers.mu.Lock()
			g.peers.contacts["dc-b"] = contact{since: time.Now().Add(-time.Minute), last: time.Now().Add(time.Minute)}
			g.peers.mu.Unlock()
			dbs.withLock(func() { delete(dbs.databases, "a"); delete(dbs.databases, "c") })
			attemptOfNewHost()
			Expect(orders()).To(BeZero())
			dbs.withLock(func() {
				dbs.databases["c"] = &standin{group: dbs, id: "c", end: position.Position{Term: 1, Index: 12}}
			})
			attemptOfNewHost()
			Expect(orders()).To(Equal(1))
			dbs.withLock(func() { Expect(dbs.orders[0].Database).To(Equal("c")) })
		})
	})

	It("keeps a record of the databases that it knows on the first host in rank", func() {
		g.started = g.started.Add(-time.Minute)
		svc.recordPrimary("a", position.Position{Term: 1, Index: 10}, time.Now())
		recorded := func() succession.Roster {
			svc.maybeReplacePrimary(time.Now())
			_, roster, err := svc.readRoster(context.Background())
			Expect(err).NotTo(HaveOccurred())
			return roster
		}
		Eventually(func() map[string]succession.Place { return recorded().Databases }).Should(And(HaveLen(3), HaveKey("a")))
		Expect(recorded().Primary).To(Equal("a"))
		svc.recordPrimary("b", position.Position{Term: 2, Index: 11}, time.Now())
		Expect(recorded().Primary).To(Equal("a"), "another database may lead the term that was only named")
		svc.recordPrimary("b", position.Position{Term: 2, Index: 11}, time.Now())
		Eventually(func() string { return recorded().Primary }).Should(Equal("b"))
	})

	Context("with a lease that an attempt has left unsettled", func() {
		var order succession.Order // the unanswered order of the attempt

		storeLease := func(l succession.Lease) {
			value, err := json.Marshal(l)
			Expect(err).NotTo(HaveOccurred())
			held, err := p.api.Create(context.Background(), kindLeases, testService, value)
			Expect(err).NotTo(HaveOccurred())
			order = succession.Order{Service: testService, Database: "b", Holder: l.Holder, Fence: held.Version}
			svc.recordPrimary("a", position.Position{Term: 1, Index: 10}, time.Now())
		}
		settled := func() bool {
			svc.mu.Lock()
			svc.startSettling(time.Now())
			svc.mu.Unlock()
			return storedLease().Settled(1)
		}

		It("settles it once no host holds it, and voids the attempt's order", func() {
			storeLease(succession.Lease{Holder: "host-2", Claim: "x", Released: true, Ordered: "b"})
			Eventually(settled).WithTimeout(leaseTerm + 9*time.Second).Should(BeTrue())
			Expect(dbs.applyOrder(order)).To(MatchError(succession.ErrRefused))
			Expect(primary()).To(Equal("a"))
		})

		It("does not settle it while another host holds it", func() {
			storeLease(succession.Lease{Holder: "host-2", Claim: "x"})
			Consistently(settled).WithTimeout(2 * time.Second).Should(BeFalse())
			dbs.withLock(func() { Expect(dbs.orders).To(BeEmpty()) })
			svc.mu.Lock()
			svc.promotion.observedLease.at = time.Now().Add(-leaseTerm)
			svc.mu.Unlock()
			Eventually(settled).WithTimeout(9 * time.Second).Should(BeTrue())
		})

		It("does not settle it while no database reports that it is the primary", func() {
			storeLease(succession.Lease{Holder: "host-1", Claim: "x", Released: true, Ordered: "b"})
			dbs.withLock(func() { dbs.databases["a"].unresponsive = true })
			Consistently(settled).WithTimeout(2 * time.Second).Should(BeFalse())
			dbs.withLock(func() { Expect(dbs.orders).To(BeEmpty()) })
			Expect(storedLease().Ordered).To(Equal("b"))
		})
	})

	It("releases the lease if its order is not answered, and records the order in it", func() {
		dbs.withLock(func() {
			dbs.databases["a"].unresponsive = true
			dbs.promoteHook = func(succession.Order) error { return errors.New("no answer") }
		})
		attempt(succession.Silent)
		l := storedLease()
		Expect(l.Released).To(BeTrue())
		Expect(l.Ordered).To(Equal(dbs.orders[0].Database))
	})

	It("releases the lease if the attempt's time ends while a write of the lease is not answered", func() {
		dbs.withLock(func() {
			dbs.databases["a"].unresponsive = true
			dbs.promoteHook = func(succession.Order) error { return errors.New("no answer") }
		})
		p.api = &unansweredStore{Objects: p.api} // the first update records the first order
		attempt(succession.Silent)
		l := storedLease()
		Expect(l.Released).To(BeTrue())
		Expect(l.Ordered).To(Equal(dbs.orders[0].Database))
	})

	It("does not settle a lease that follows one that cannot be decoded, which may have recorded an order", func() {
		_, err := p.api.Create(context.Background(), kindLeases, testService, []byte("7"))
		Expect(err).NotTo(HaveOccurred())
		dbs.withLock(func() { dbs.databases["a"].unresponsive, dbs.databases["c"].unresponsive = true, true })
		attempt(succession.Silent)
		svc.mu.Lock()
		svc.promotion.observedLease.at = time.Now().Add(-leaseTerm)
		svc.mu.Unlock()
		attempt(succession.Silent)
		l := storedLease()
		Expect(l.Holder).To(Equal("host-1"))
		Expect(l.Settled(1)).To(BeFalse())
	})

	It("orders a promotion only while it holds the lease", func() {
		other, err := json.Marshal(succession.Lease{Holder: "host-2", Claim: "x"})
		Expect(err).NotTo(HaveOccurred())
		_, err = p.api.Create(context.Background(), kindLeases, testService, other)
		Expect(err).NotTo(HaveOccurred())
		dbs.withLock(func() { dbs.databases["a"].unresponsive = true })
		attempt(succession.Silent)
		dbs.withLock(func() { Expect(dbs.orders).To(BeEmpty()) })
		svc.mu.Lock()
		svc.promotion.observedLease.at = time.Now().Add(-leaseTerm)
		svc.mu.Unlock()
		attempt(succession.Silent)
		dbs.withLock(func() { Expect(dbs.orders).To(HaveLen(1)) })
	})

	It("orders no promotion and queries no replica while the store is down", func() {
		dbs.withLock(func() { dbs.databases["a"].unresponsive = true })
		p.store.SetDown(true)
		attempt(succession.Silent)
		dbs.withLock(func() {
			Expect(dbs.orders).To(BeEmpty())
			Expect(dbs.databases["b"].received).To(BeEmpty())
		})
	})
})
