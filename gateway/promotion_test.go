package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"github.com/bronzeloft/bronzeloft/contract/routes"
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

	attempt := func(reason succession.Reason) takeoverOutcome {
		svc.mu.Lock()
		term := svc.table.Term()
		svc.mu.Unlock()
		a := &replacement{s: svc, log: g.log, reason: reason, primary: "a", term: max(1, term), started: time.Now()}
		return a.run()
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
		dbs.withLock(func() { Expect(dbs.databases["b"].paused).To(BeFalse()) })
	})

	It("logs and counts each order with its fence, its answer and the sends that got none", func() {
		dbs.withLock(func() {
			dbs.databases["a"].unresponsive = true
			dbs.databases["b"].lostOrders = 1
		})
		attempt(succession.Silent)
		Expect(p.logs).To(gbytes.Say(`"Control order."[^\n]* order=pause order_term=2 fence=\d+ database=b outcome=answered unanswered_sends=1 refused_sends=0 [^\n]* term=1 received=1/10 paused=2\n`))
		Expect(p.logs).To(gbytes.Say(`"Control order."[^\n]* order=resume order_term=0 fence=\d+ database=a outcome=unsent`))
		Expect(g.counter(`bronzeloft_control_orders_total{order="pause",outcome="answered"}`)).To(BeEquivalentTo(2))
		Expect(g.counter(`bronzeloft_control_orders_total{order="resume",outcome="answered"}`)).To(BeEquivalentTo(2))
		Expect(g.counter(`bronzeloft_control_orders_total{order="resume",outcome="unsent"}`)).To(BeEquivalentTo(1))
		Expect(g.counter(`bronzeloft_promotion_orders_total{outcome="accepted"}`)).To(BeEquivalentTo(1))
	})

	It("logs and counts an order that no send of which was answered as unanswered", func() {
		dbs.withLock(func() {
			dbs.databases["a"].unresponsive = true
			dbs.databases["b"].lostOrders = 1000
		})
		attempt(succession.Silent)
		Expect(p.logs).To(gbytes.Say(`"Control order."[^\n]* order=pause [^\n]* database=b outcome=unanswered unanswered_sends=[1-9]`))
		Expect(g.counter(`bronzeloft_control_orders_total{order="pause",outcome="unanswered"}`)).To(BeEquivalentTo(1))
	})

	It("reports the outcome of each attempt", func() {
		Expect(attempt(succession.Silent)).To(Equal(takeoverNotNeeded))
		dbs.withLock(func() { dbs.databases["a"].unresponsive, dbs.databases["c"].unresponsive = true, true })
		Expect(attempt(succession.Silent)).To(Equal(takeoverNoSuccessor))
		dbs.withLock(func() {
			dbs.databases["c"].unresponsive = false
			dbs.promoteHook = func(succession.Order) error { return succession.ErrRefused }
		})
		Expect(attempt(succession.Silent)).To(Equal(takeoverRefused))
		dbs.withLock(func() { dbs.promoteHook = func(succession.Order) error { return errors.New("no answer") } })
		Expect(attempt(succession.Silent)).To(Equal(takeoverPending))
		Expect(g.counter(`bronzeloft_promotion_orders_total{outcome="unanswered"}`)).To(BeNumerically(">", 0))
		dbs.withLock(func() { dbs.promoteHook = nil })
		Expect(attempt(succession.Silent)).To(Equal(takeoverPromoted))
	})

	It("promotes no replica while a listed replica does not answer", func() {
		dbs.withLock(func() { dbs.databases["a"].unresponsive, dbs.databases["c"].unresponsive = true, true })
		attempt(succession.Silent)
		Expect(primary()).To(Equal("a"))
		dbs.withLock(func() { Expect(dbs.databases["b"].paused).To(BeFalse()) })
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
		dbs.withLock(func() { Expect(dbs.orders).To(HaveLen(1)) })
	})

	It("pauses a replica that appears while the promotion is in progress", func() {
		paused := make(chan bool, 1)
		dbs.withLock(func() {
			dbs.databases["a"].unresponsive = true
			dbs.promoteHook = func(o succession.Order) error {
				go func() {
					dbs.withLock(func() { dbs.databases["d"] = &standin{group: dbs, id: "d", end: position.Position{Term: 1, Index: 10}} })
					databases := map[string]routes.Database{}
					for id := range map[string]bool{"a": true, "b": true, "c": true, "d": true} {
						databases[id] = routes.Database{ID: id, Service: testService, Address: id, DataCentre: "dc-a", Slots: 4}
					}
					g.setDatabases(databases)
					time.Sleep(300 * time.Millisecond)
					dbs.withLock(func() { paused <- dbs.databases["d"].paused })
					_ = dbs.applyOrder(o)
				}()
				return nil
			}
		})
		attempt(succession.Silent)
		Expect(<-paused).To(BeTrue())
		dbs.withLock(func() { Expect(dbs.databases["d"].paused).To(BeFalse()) })
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

	It("pauses all replicas except the successor of a leaving primary, so that the successor has every acknowledged commit", func() {
		var paused []string
		dbs.withLock(func() {
			dbs.promoteHook = func(o succession.Order) error {
				dbs.withLock(func() {
					for id, db := range dbs.databases {
						if db.paused {
							paused = append(paused, id)
						}
					}
				})
				return dbs.applyOrder(o)
			}
		})
		attempt(succession.Leaving)
		Expect(primary()).NotTo(Equal("a"))
		Expect(paused).To(HaveLen(1))
		Expect(paused).NotTo(ContainElement(primary()))
	})

	It("demotes a leaving primary before replacing it if a replica is cut off, which could receive further commits", func() {
		dbs.withLock(func() { dbs.databases["c"].unresponsive = true })
		attempt(succession.Leaving)
		Expect(primary()).To(Equal("b"))
		dbs.withLock(func() { Expect(dbs.databases["a"].received).To(ContainElement(statement.Demote)) })
	})

	It("keeps a leaving primary if its successor lacks a commit", func() {
		dbs.withLock(func() {
			dbs.databases["c"].unresponsive = true
			dbs.databases["a"].end = position.Position{Term: 1, Index: 12}
		})
		attempt(succession.Leaving)
		Expect(primary()).To(Equal("a"))
	})

	It("keeps the replicas paused while an order may still take effect, and resumes them after a later order was answered", func() {
		dbs.withLock(func() {
			dbs.databases["a"].unresponsive = true
			dbs.promoteHook = func(succession.Order) error { return errors.New("no answer") }
		})
		attempt(succession.Silent)
		dbs.withLock(func() {
			Expect(dbs.databases["b"].paused).To(BeTrue())
			Expect(dbs.databases["c"].paused).To(BeTrue())
			dbs.promoteHook = nil
			dbs.databases["a"].unresponsive = false // the primary answers again
		})
		late := dbs.orders[0]

		attempt(succession.Stalled)
		Expect(dbs.applyOrder(late)).To(MatchError(succession.ErrRefused))
		dbs.withLock(func() {
			for _, db := range dbs.databases {
				Expect(db.paused).To(BeFalse())
			}
		})
	})

	It("voids a pending order before it resumes the replicas under the current primary", func() {
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
		attempt(succession.Silent) // finds that "a" is still the primary
		Expect(primary()).To(Equal("a"))
		Expect(dbs.applyOrder(late)).To(MatchError(succession.ErrRefused))
		dbs.withLock(func() { Expect(dbs.databases["b"].paused).To(BeFalse()) })
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

		It("promotes a replica once it was in contact with their data centre and none of them runs", func() {
			g.peers.mu.Lock()
			g.peers.contacts["dc-b"] = contact{since: time.Now().Add(-time.Minute), last: time.Now().Add(time.Minute)}
			g.peers.mu.Unlock()
			attemptOfNewHost()
			Expect(orders()).To(Equal(1))
		})

		It("takes a database off the record once it accepts no connection, is not listed and its data centre is in contact", func() {
			names := func() []string {
				_, roster, err := svc.readRoster(context.Background())
				Expect(err).NotTo(HaveOccurred())
				return slices.Sorted(maps.Keys(roster.Databases))
			}
			dbs.withLock(func() { dbs.databases["a"].unresponsive = false }) // it runs, and is cut off from the store only
			Expect(svc.syncRoster()).To(Succeed())
			age := func() {
				svc.mu.Lock()
				svc.rosterOutdated(time.Now().Add(-missingCheckEvery - time.Second))
				svc.mu.Unlock()
			}
			age()
			Expect(svc.syncRoster()).To(Succeed())
			Expect(names()).To(Equal([]string{"a", "b", "c"}), "no contact with the data centre")
			g.peers.mu.Lock()
			g.peers.contacts["dc-b"] = contact{since: time.Now().Add(-time.Minute), last: time.Now().Add(time.Minute)}
			g.peers.mu.Unlock()
			svc.mu.Lock()
			svc.roster.missing = nil
			svc.mu.Unlock()
			age()
			Expect(svc.syncRoster()).To(Succeed())
			Expect(names()).To(Equal([]string{"a", "b"}))
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
		Eventually(func() string { return recorded().Primary }).Should(Equal("b"))
	})

	Context("with replicas that an attempt has left paused", func() {
		var order succession.Order // the unanswered order of the attempt

		storeLease := func(l lease) {
			value, err := json.Marshal(l)
			Expect(err).NotTo(HaveOccurred())
			held, err := p.api.Create(context.Background(), kindLeases, testService, value)
			Expect(err).NotTo(HaveOccurred())
			order = succession.Order{Service: testService, Database: "b", Holder: l.Holder, Fence: held.Version}
			dbs.withLock(func() { dbs.databases["b"].paused, dbs.databases["c"].paused = true, true })
			svc.recordPrimary("a", position.Position{Term: 1, Index: 10}, time.Now())
			svc.mu.Lock()
			svc.homeRank = 0
			svc.mu.Unlock()
		}
		stillPaused := func() bool {
			svc.maybeReplacePrimary(time.Now())
			still := false
			dbs.withLock(func() { still = dbs.databases["b"].paused || dbs.databases["c"].paused })
			return still
		}

		It("resumes them once no host holds the lease, and voids the attempt's order", func() {
			storeLease(lease{Holder: "host-2", Claim: "x", Released: true, Ordered: "b"})
			Eventually(stillPaused).WithTimeout(5 * time.Second).Should(BeFalse())
			Expect(dbs.applyOrder(order)).To(MatchError(succession.ErrRefused))
			Expect(primary()).To(Equal("a"))
		})

		It("does not resume them while another host holds the lease", func() {
			storeLease(lease{Holder: "host-2", Claim: "x"})
			Consistently(stillPaused).WithTimeout(2 * time.Second).Should(BeTrue())
			dbs.withLock(func() { Expect(dbs.orders).To(BeEmpty()) })
			svc.mu.Lock()
			svc.promotion.observedLease.at = time.Now().Add(-leaseTerm)
			svc.mu.Unlock()
			Eventually(stillPaused).WithTimeout(5 * time.Second).Should(BeFalse())
		})
	})

	It("releases the lease if its order is not answered, and records the order in it", func() {
		dbs.withLock(func() {
			dbs.databases["a"].unresponsive = true
			dbs.promoteHook = func(succession.Order) error { return errors.New("no answer") }
		})
		attempt(succession.Silent)
		held, err := p.api.Get(context.Background(), kindLeases, testService)
		Expect(err).NotTo(HaveOccurred())
		var l lease
		Expect(json.Unmarshal(held.Value, &l)).To(Succeed())
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
		held, err := p.api.Get(context.Background(), kindLeases, testService)
		Expect(err).NotTo(HaveOccurred())
		var l lease
		Expect(json.Unmarshal(held.Value, &l)).To(Succeed())
		Expect(l.Released).To(BeTrue())
		Expect(l.Ordered).To(Equal(dbs.orders[0].Database))
	})

	It("keeps the replicas paused after a lease that cannot be decoded, which may have recorded an order", func() {
		_, err := p.api.Create(context.Background(), kindLeases, testService, []byte("7"))
		Expect(err).NotTo(HaveOccurred())
		dbs.withLock(func() { dbs.databases["a"].unresponsive, dbs.databases["c"].unresponsive = true, true })
		attempt(succession.Silent)
		svc.mu.Lock()
		svc.promotion.observedLease.at = time.Now().Add(-leaseTerm)
		svc.mu.Unlock()
		attempt(succession.Silent)
		dbs.withLock(func() { Expect(dbs.databases["b"].paused).To(BeTrue()) })
	})

	It("orders a promotion only while it holds the lease", func() {
		other, err := json.Marshal(lease{Holder: "host-2", Claim: "x"})
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

	It("orders no promotion and pauses no replica while the store is down", func() {
		dbs.withLock(func() { dbs.databases["a"].unresponsive = true })
		p.store.SetDown(true)
		attempt(succession.Silent)
		dbs.withLock(func() {
			Expect(dbs.orders).To(BeEmpty())
			Expect(dbs.databases["b"].received).NotTo(ContainElement(statement.Pause))
		})
	})
})
