package gateway

import (
	"context"
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/database/lead"
	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/position"
)

// Guards against the loss of an acknowledged commit (LOST): what a database has shown at
// one time was taken to hold at a later one.
var _ = Describe("what a database has shown", func() {
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

	entry := func(id string) routes.Database {
		return routes.Database{ID: id, Service: testService, Address: id, DataCentre: "dc-a", Slots: 4}
	}
	storeLease := func(value string) {
		_, err := p.api.Create(context.Background(), kindLeases, testService, []byte(value))
		Expect(err).NotTo(HaveOccurred())
	}
	putEntry := func(db routes.Database) {
		value, err := json.Marshal(db)
		Expect(err).NotTo(HaveOccurred())
		held, err := p.api.Get(context.Background(), p.DatabasesKind(), db.ID)
		if err != nil {
			_, err = p.api.Create(context.Background(), p.DatabasesKind(), db.ID, value)
		} else {
			_, err = p.api.Update(context.Background(), p.DatabasesKind(), db.ID, held.Version, value)
		}
		Expect(err).NotTo(HaveOccurred())
	}
	orders := func() (n int) {
		dbs.withLock(func() { n = len(dbs.orders) })
		return n
	}
	const unanswered = `{"holder":"host-1","claim":"x","ordered":"c","term":1,"rules":1}`
	attempt := func(reason succession.Reason) {
		svc.mu.Lock()
		a := svc.newReplacement(reason, position.Position{}, time.Now())
		svc.mu.Unlock()
		a.run()
	}

	// The answer to a Begin names the position when it is written. The database may have
	// lost the lead since it carried out the Begin, and be a replica of that term.
	It("does not make it the primary of the term that its answer to a Begin names", func() {
		dbs.withLock(func() {
			dbs.databases["a"].beginHook = func() {
				dbs.term, dbs.primary = 2, "b"
				for _, db := range dbs.databases {
					db.end = position.Position{Term: 2, Index: 11}
				}
			}
		})
		svc.sample(svc.pools["a"])
		svc.sample(svc.pools["b"])
		Expect(svc.syncRoster()).To(Succeed())

		By("reading the log of the replica that alone holds a commit of that term, on another host")
		dbs.withLock(func() {
			delete(dbs.databases, "b")
			dbs.databases["a"].end.Index = 12
			dbs.databases["a"].unresponsive = true
		})
		svc = newService(g, testService)
		svc.setDatabasesAgo(time.Minute, entry("a"), entry("c"))
		svc.table.RecordTerm(2)
		attempt(succession.Absent)
		Expect(orders()).To(BeZero())
	})

	It("does not make it the primary of a newer term that this host has heard of", func() {
		dbs.withLock(func() {
			dbs.term, dbs.primary = 2, "b"
			dbs.databases["a"].unresponsive = true
			dbs.databases["a"].end = position.Position{Term: 2, Index: 12} // no other replica has it
			dbs.databases["c"].end = position.Position{Term: 2, Index: 11}
			delete(dbs.databases, "b")
		})
		svc.setDatabasesAgo(time.Minute, entry("a"), entry("c"))
		svc.table.Expire(time.Now().Add(time.Minute))
		for range 2 {
			attempt(succession.Silent)
		}
		Expect(orders()).To(BeZero())
	})

	It("does not make a former primary that answers as a replica the one that has ended", func() {
		replicas := []routes.Database{entry("b"), entry("c"), entry("a")}
		replicas[0].StartMillis, replicas[1].StartMillis, replicas[2].StartMillis = 1, 2, 3
		svc = newService(g, testService)
		g.ago(2*lead.EstablishedAfter+lead.MissingRetention, func() { svc.setDatabases(append(replicas, entry("e")), 4) })
		Expect(svc.syncRoster()).To(Succeed())
		g.ago(lead.MissingRetention, func() { svc.setDatabases(replicas, 4) })
		dbs.withLock(func() {
			dbs.term, dbs.primary = 2, "e"
			dbs.databases["c"].end.Index++ // the others do not catch up
			dbs.databases["e"] = &standin{group: dbs, id: "e", unresponsive: true}
		})
		svc.recordPrimary("a", position.Position{Term: 1, Index: 10}, time.Now())
		svc.mu.Lock()
		svc.table.Expire(time.Now())
		svc.table.RecordTerm(2)
		svc.mu.Unlock()
		attempt(succession.Silent)
		Expect(orders()).To(BeZero())
	})

	It("does not make it the primary after a commit when it reported that before", func() {
		dbs.withLock(func() { dbs.databases["c"].unresponsive = true }) // the attempt waits for it
		svc.mu.Lock()
		svc.promotion.running = true
		svc.mu.Unlock()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			attempt(succession.Silent)
		}()
		time.Sleep(150 * time.Millisecond)
		kept := position.Position{Term: 1, Index: 11}
		dbs.withLock(func() {
			dbs.primary = "d"
			dbs.databases["a"].unresponsive = true
			dbs.databases["a"].end, dbs.databases["b"].end = kept, kept // another session's
		})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		Expect(svc.acknowledge(ctx, commit{primary: "a", at: kept, after: position.Position{Term: 1, Index: 10}, term: 1})).NotTo(Succeed())
		<-ended
	})

	It("does not order its promotion after it has restarted while its entry had lapsed", func() {
		g.platform = listingPlatform{p}
		for _, id := range []string{"a", "b"} {
			putEntry(entry(id))
		}
		dbs.withLock(func() {
			dbs.databases["a"].unresponsive = true
			dbs.databases["c"].end.Index++
		})
		store := &leaseCounter{Objects: p.api}
		store.onUpdate = func() {
			store.onUpdate = nil
			again := entry("c")
			again.StartMillis = 5
			putEntry(again)
		}
		p.api = store
		attempt(succession.Silent)
		Expect(orders()).To(BeZero())
	})

	// A former primary may not have heard yet that another database leads.
	It("does not make it the one to be ordered again when a newer term is known", func() {
		storeLease(`{"holder":"host-1","claim":"x","ordered":"c","term":1,"rules":1}`)
		ordered := entry("c")
		ordered.Leaving = true // the order is not given again
		svc.setDatabasesAgo(time.Minute, entry("a"), entry("b"), ordered)
		dbs.withLock(func() {
			dbs.term, dbs.primary = 2, "b"
			dbs.databases["a"].unaware = true
			for _, id := range []string{"b", "c"} {
				dbs.databases[id].end = position.Position{Term: 2, Index: 12}
			}
		})
		svc.recordPrimary("b", position.Position{Term: 2, Index: 12}, time.Now())
		attempt(succession.Unsettled)
		dbs.withLock(func() {
			Expect(dbs.orders).To(HaveLen(1))
			Expect(dbs.orders[0].Database).To(Equal("b"))
			Expect(dbs.primary).To(Equal("b"))
		})

		By("hearing of the newer term only from a replica")
		dbs.withLock(func() { dbs.databases["b"].unresponsive = true })
		attempt(succession.Unsettled)
		Expect(orders()).To(Equal(1))
	})

	// An order that had no answer may have been accepted just before the one for the
	// present primary, and be late.
	It("does not show that an order without an answer was not accepted, and is late", func() {
		storeLease(`{"holder":"host-1","claim":"x","released":true,"ordered":"c","term":1,"rules":1}`)
		dbs.withLock(func() { dbs.databases["c"].notReplicating = true })
		svc.mu.Lock()
		svc.promotion.unsettled = true
		svc.mu.Unlock()
		promoted := time.After(succession.PromotionLimit + 500*time.Millisecond)
		acked := false
		for waiting := true; waiting; {
			svc.maybeReplacePrimary(time.Now())
			select {
			case <-promoted:
				waiting = false
			case <-time.After(20 * time.Millisecond):
				acked = acked || orders() > 0 && svc.leaseSettled(1)
			}
		}
		Expect(acked).To(BeFalse())
	})

	DescribeTable("decides whether a pending order is given again",
		func(lease string, prepare func(), acked uint64, want string) {
			storeLease(lease)
			dbs.withLock(prepare)
			svc.mu.Lock()
			a := svc.newReplacement(succession.Unsettled, position.Position{Term: 1, Index: acked}, time.Now())
			svc.mu.Unlock()
			a.settle()
			dbs.withLock(func() { Expect(dbs.orders).To(HaveExactElements(HaveField("Database", want))) })
		},
		Entry("if nothing is lost", unanswered, func() {}, uint64(10), "c"),
		Entry("unless a replica does not answer", unanswered, func() { dbs.databases["b"].unresponsive = true }, uint64(10), "a"),
		Entry("unless another replica holds more", unanswered, func() { dbs.databases["b"].end.Index = 11 }, uint64(10), "a"),
		Entry("unless more has been acknowledged", unanswered, func() {}, uint64(11), "a"),
		Entry("unless its database does not answer", unanswered, func() { dbs.databases["c"].unresponsive = true }, uint64(10), "a"),
		Entry("unless another order is pending", `{"holder":"host-1","claim":"x","ordered":"c","unseen":true,"term":1,"rules":1}`, func() {}, uint64(10), "a"),
		Entry("if it was accepted, though another replica holds more", `{"holder":"host-1","claim":"x","ordered":"c","accepted":true,"term":1,"rules":1}`,
			func() { dbs.databases["b"].end.Index = 11 }, uint64(10), "c"),
		Entry("unless more has been acknowledged, though it was accepted", `{"holder":"host-1","claim":"x","ordered":"c","accepted":true,"term":1,"rules":1}`,
			func() { dbs.databases["b"].end.Index = 11 }, uint64(11), "a"),
		Entry("unless a replica does not answer, though it was accepted", `{"holder":"host-1","claim":"x","ordered":"c","accepted":true,"term":1,"rules":1}`,
			func() { dbs.databases["b"].unresponsive = true }, uint64(10), "a"),
	)

	It("does not show that an order without an answer was not accepted if it is not given again", func() {
		storeLease(`{"holder":"host-1","claim":"x","released":true,"ordered":"c","term":1,"rules":1}`)
		dbs.withLock(func() {
			dbs.databases["c"].notReplicating = true
			dbs.databases["b"].end.Index = 11
		})
		svc.mu.Lock()
		svc.promotion.unsettled = true
		svc.mu.Unlock()
		var first time.Time
		settled := func() bool {
			svc.maybeReplacePrimary(time.Now())
			if first.IsZero() && orders() > 0 {
				first = time.Now()
			}
			return !first.IsZero() && svc.leaseSettled(1)
		}
		Eventually(settled).WithTimeout(12 * time.Second).WithPolling(20 * time.Millisecond).Should(BeTrue())
		Expect(time.Since(first)).To(BeNumerically(">=", succession.VoidRounds*succession.PromotionLimit))
		dbs.withLock(func() { Expect(dbs.orders).To(HaveEach(HaveField("Database", "a"))) })
	})
})
