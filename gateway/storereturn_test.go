package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/objectapi"
	"github.com/bronzeloft/bronzeloft/position"
)

// configuringPlatform decodes the store's configuration.
type configuringPlatform struct{ *fakePlatform }

func (configuringPlatform) DecodeConfiguration(value []byte) (*routes.Configuration, error) {
	config := &routes.Configuration{}
	return config, json.Unmarshal(value, config)
}

// risingStore is a store that returns just after a host has recorded an order in the lease, with the copy of
// that moment. The host hears of the era from another one.
type risingStore struct {
	objectapi.Objects
	rise    func()
	written bool
}

func (s *risingStore) Update(ctx context.Context, kind, name string, version uint64, value []byte) (objectapi.Object, error) {
	o, err := s.Objects.Update(ctx, kind, name, version, value)
	var l succession.Lease
	if kind == kindLeases && err == nil && json.Unmarshal(value, &l) == nil && l.Ordered != "" {
		s.written = true
		s.rise()
	}
	return o, err
}

// Guards against what a store that returns from an older copy undoes: a fence used again (ONE), a
// takeover or an acknowledgement that rests on a lease or a record set back (LOST), and a host that
// hears of no change any more.
var _ = Describe("a store that has returned from an older copy", func() {
	var (
		dbs *group
		p   *fakePlatform
		g   *Gateway
		svc *service
	)

	// learnEra makes a host know the store's era, as of long ago.
	learnEra := func(p *fakePlatform, g *Gateway) {
		_, _, err := p.api.List(context.Background(), kindLeases)
		Expect(err).NotTo(HaveOccurred())
		long := time.Now().Add(-time.Minute)
		g.eraLearnedAt.Store(&long)
	}
	// knowPrimary makes a host know that a is the primary.
	knowPrimary := func(g *Gateway) {
		for range 2 {
			g.service(testService).recordPrimary("a", position.Position{Term: 1, Index: 10}, time.Now())
		}
	}
	// otherHost returns a host that has just started beside the first one.
	otherHost := func() (*fakePlatform, *Gateway) {
		api := objectapi.NewClient(objectapi.ClientConfig{BaseURL: p.store.URL(), CallsPerSecond: 1e4, Burst: 1e4})
		other := &fakePlatform{group: dbs, store: p.store, api: api, eras: api.Eras()}
		g := newLoggingTestGateway(other, slog.New(slog.NewTextHandler(GinkgoWriter, nil)))
		knowPrimary(g)
		return other, g
	}
	orders := func() (out []succession.Order) {
		dbs.withLock(func() { out = append(out, dbs.orders...) })
		return out
	}
	putLease := func(l succession.Lease) {
		l.Rules = succession.Rules
		value, err := json.Marshal(l)
		Expect(err).NotTo(HaveOccurred())
		_, err = p.store.Put(kindLeases, testService, value)
		Expect(err).NotTo(HaveOccurred())
	}

	BeforeEach(func() {
		dbs = newGroup("a", "b", "c")
		p = newFakePlatform(dbs)
		p.store.SetEra(1)
		g = newLoggingTestGateway(p, slog.New(slog.NewTextHandler(GinkgoWriter, nil)))
		svc = g.service(testService)
		knowPrimary(g)
		learnEra(p, g)
		putLease(succession.Lease{Holder: "host-0", Released: true, Era: 1, Term: 1})
	})

	It("gives out no fence that has been used", func() {
		p.store.Copy()
		for range 20 {
			putLease(succession.Lease{Holder: "host-0", Released: true, Era: 1, Term: 1})
		}
		dbs.withLock(func() { dbs.databases["a"].unresponsive = true })
		runAttempt(svc, succession.Silent)
		Expect(orders()).NotTo(BeEmpty())
		p.store.Return()
		former := orders()
		other, second := otherHost()
		learnEra(other, second)
		runAttempt(second.service(testService), succession.Silent)
		later := orders()[len(former):]
		Expect(later).NotTo(BeEmpty())
		for _, o := range later {
			Expect(o.Fence).To(BeNumerically(">", former[len(former)-1].Fence))
		}
	})

	It("is not ordered to promote by a host that learned of the return less than leaseTerm ago, nor by one whose lease is from before", func() {
		dbs.withLock(func() { dbs.databases["a"].unresponsive = true })
		other, second := otherHost()
		runAttempt(second.service(testService), succession.Silent)
		Expect(orders()).To(BeEmpty())
		learnEra(other, second)
		risen := &risingStore{Objects: other.api, rise: func() {
			p.store.Copy()
			p.store.Return()
			other.eras.Learn(2, "host host-2")
		}}
		other.api = risen
		runAttempt(second.service(testService), succession.Silent)
		Expect(risen.written).To(BeTrue())
		Expect(orders()).To(BeEmpty())
	})

	It("lets no host take a lease that has read an answer of a new era before it is told of the rise", func() {
		dbs.withLock(func() { dbs.databases["a"].unresponsive = true })
		eras := g.platform.Eras()
		eras.OnRise(func(uint64, uint64, string) {}) // the goroutine that learned of it has not come so far
		p.store.Copy()
		p.store.Return()
		runAttempt(svc, succession.Silent)
		Expect(eras.Newest()).To(BeNumerically("==", 2))
		Expect(orders()).To(BeEmpty())
		eras.OnRise(g.storeReturned)
		g.storeReturned(2, 1, objectapi.FromStore)
		Expect(g.justReturned()).To(BeTrue())
		long := time.Now().Add(-time.Minute)
		g.eraLearnedAt.Store(&long)
		Expect(g.justReturned()).To(BeFalse())
	})

	It("loses no record that a host read two eras before, though that of the era between is newer", func() {
		databases := func(ids ...string) (out []routes.Database) {
			for _, id := range ids {
				out = append(out, routes.Database{ID: id})
			}
			return out
		}
		between, _ := succession.Roster{Era: 2}.Add(databases("a"))
		known, _ := succession.Roster{Era: 1}.Add(databases("a", "d"))
		svc.rememberRoster(objectapi.VersionIn(1, 30), known)
		p.store.Copy()
		p.store.Return()
		p.store.Return()
		learnEra(p, g)
		read := svc.recordRosterRead(objectapi.VersionIn(3, 20), between)
		Expect(read.Databases).To(HaveKey("d"))
		between.Era, between.Base = 3, objectapi.VersionIn(2, 20)
		Expect(svc.recordRosterRead(objectapi.VersionIn(3, 21), between).Databases).To(HaveKey("d"))
	})

	It("changes no takeover while the store names no era", func() {
		plain := newFakePlatform(dbs)
		g := newLoggingTestGateway(plain, slog.New(slog.NewTextHandler(GinkgoWriter, nil)))
		knowPrimary(g)
		_, err := plain.store.Put(kindLeases, testService, []byte(`{"holder":"host-0","released":true}`))
		Expect(err).NotTo(HaveOccurred())
		g.service(testService).rememberFloor(succession.KeptFloor{Term: 9, Floor: position.Position{Term: 9, Index: 90}})
		dbs.withLock(func() { dbs.databases["a"].unresponsive = true })
		a := runAttempt(g.service(testService), succession.Silent)
		Expect(a.olderLease).To(BeTrue())
		Expect(a.leaseTerm).To(BeZero())
		Expect(orders()).NotTo(BeEmpty())
	})

	It("protects no commit with a lease set back, or missing, which may lack an order", func() {
		Expect(svc.leaseSettled(1)).To(BeTrue())
		p.store.Copy()
		putLease(succession.Lease{Holder: "host-0", Released: true, Ordered: "b", Era: 1, Term: 1})
		p.store.Return()
		Expect(svc.leaseSettled(1)).To(BeFalse())
		Expect(svc.leaseSettledIn(1)).To(BeFalse())
		svc.mu.Lock()
		waitedTerm := svc.replication.waitedTerm
		svc.mu.Unlock()
		Expect(waitedTerm).To(BeZero())
		Expect(p.store.Delete(kindLeases, testService)).To(Succeed())
		Expect(svc.leaseSettled(1)).To(BeFalse())
	})

	It("gets back the record of the databases, the term and the floor from a host that knows them, before another one takes over", func() {
		p.store.Copy()
		away := routes.Database{ID: "d", Service: testService, Address: "d", DataCentre: "dc-a", Slots: 4}
		roster, _ := succession.Roster{}.Add([]routes.Database{{ID: "a"}, {ID: "b"}, {ID: "c"}, away})
		_, err := svc.writeRoster(context.Background(), 0, roster)
		Expect(err).NotTo(HaveOccurred())
		floor := succession.KeptFloor{Term: 3, Floor: position.Position{Term: 3, Index: 40}}
		putLease(succession.Lease{Holder: "host-0", Released: true, Era: 1, Term: floor.Term, Floor: floor.Floor})
		Expect(svc.leaseSettled(3)).To(BeTrue())
		p.store.Return()
		g.platform.Eras().Learn(2, "host host-2")

		other, second := otherHost()
		stored := func() (databases map[string]succession.Place) {
			_, read, err := second.service(testService).readRoster(context.Background())
			Expect(err).NotTo(HaveOccurred())
			return read.Databases
		}
		Eventually(stored).WithTimeout(leaseTerm).Should(HaveKey("d"))
		learnEra(other, second)
		dbs.withLock(func() { dbs.databases["a"].unresponsive = true })
		a := runAttempt(second.service(testService), succession.Silent)
		Expect(a.leaseTerm).To(BeNumerically(">=", floor.Term))
		Expect(a.floor).To(Equal(floor.Floor))
		Expect(orders()).To(BeEmpty(), "the log of d may be the only copy of a commit")
	})

	It("has a configuration followed that the operator writes again with a lower version than the one in force, but not the copy's", func() {
		configured := configuringPlatform{p}
		g := New(Options{Name: "host-1", DataCentre: "dc-a", Centres: []string{"dc-a"}, Peers: "127.0.0.1:0", Platform: configured, Logger: slog.New(slog.DiscardHandler), Now: time.Now})
		var err error
		g.peers, err = listenPeers(g)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(g.Close)
		write := func(version uint64) {
			_, err := p.store.Put(p.ConfigurationKind(), p.ConfigurationName(), fmt.Appendf(nil, `{"Version": %d}`, version))
			Expect(err).NotTo(HaveOccurred())
		}
		inForce := func() uint64 { return g.config.Load().Version }
		write(5)
		p.store.Copy()
		write(7)
		g.startWorker(g.watchConfiguration)
		Eventually(inForce).WithTimeout(5 * time.Second).Should(BeNumerically("==", 7))
		p.store.Return()
		Consistently(inForce).WithTimeout(time.Second).Should(BeNumerically("==", 7))
		write(6)
		Eventually(inForce).WithTimeout(5 * time.Second).Should(BeNumerically("==", 6))
	})

	It("is followed again, though its versions are lower than before", func() {
		listing := listingPlatform{p}
		g := New(Options{Name: "host-1", DataCentre: "dc-a", Centres: []string{"dc-a"}, Peers: "127.0.0.1:0", Platform: listing, Logger: slog.New(slog.DiscardHandler), Now: time.Now})
		var err error
		g.peers, err = listenPeers(g)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(g.Close)
		announce := func(id string) {
			value, err := json.Marshal(routes.Database{ID: id, Service: testService})
			Expect(err).NotTo(HaveOccurred())
			_, err = p.store.Put(p.DatabasesKind(), id, value)
			Expect(err).NotTo(HaveOccurred())
		}
		announce("a")
		p.store.Copy()
		for range 20 {
			announce("b")
		}
		g.startWorker(g.watchDatabases)
		known := func() map[string]json.RawMessage { return g.databaseList().Entries }
		Eventually(known).WithTimeout(5 * time.Second).Should(HaveKey("b"))
		p.store.Return()
		announce("c")
		Eventually(known).WithTimeout(5 * time.Second).Should(HaveKey("c"))
	})
})
