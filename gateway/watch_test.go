package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/datacentre/placement"
	"github.com/bronzeloft/bronzeloft/link/gossippb"
	"github.com/bronzeloft/bronzeloft/objectapi"
)

// rankNames returns names in the order of a ranking.
func rankNames(rank func([]placement.Host), names ...string) []string {
	hosts := make([]placement.Host, len(names))
	for i, name := range names {
		hosts[i].Name = name
	}
	rank(hosts)
	out := make([]string, len(hosts))
	for i, h := range hosts {
		out[i] = h.Name
	}
	return out
}

// countingStore is an empty store that counts calls and never reports a change.
type countingStore struct {
	objectapi.Objects
	lists, watches atomic.Int64
}

func (s *countingStore) List(context.Context, string) ([]objectapi.Object, uint64, error) {
	s.lists.Add(1)
	return nil, 5, nil
}

func (s *countingStore) Watch(ctx context.Context, _ string, version uint64) ([]objectapi.Event, uint64, error) {
	s.watches.Add(1)
	select {
	case <-ctx.Done():
	case <-time.After(50 * time.Millisecond):
	}
	return nil, version, nil
}

// Guards against a configuration that comes into force seconds late (CONFIG): the store
// had dropped its history, the watches of all hosts, which had started together, heard
// nothing of it, and ended together.
var _ = Describe("the time of a watch", func() {
	It("differs from watch to watch, so that those of several hosts do not end together", func() {
		limit := 5 * time.Second
		residual := func(at time.Duration) time.Duration { // of a host's watch, after it has watched for a while
			for {
				wait := WatchWait(limit)
				Expect(wait).To(And(BeNumerically(">=", limit/2), BeNumerically("<=", limit)))
				if at < wait {
					return wait - at
				}
				at -= wait
			}
		}
		late := 0
		for range 1000 {
			first := limit
			for range 6 { // two hosts in each of three data centres
				first = min(first, residual(time.Minute))
			}
			if first > limit/2 {
				late++
			}
		}
		Expect(late).To(BeNumerically("<", 10))
	})
})

// Guards against requests that a host refuses for lack of databases while it reports
// that it is ready.
var _ = Describe("a host that has the configuration before the list of databases", func() {
	It("is not ready until it has the list", func() {
		g := newTestGateway(newFakePlatform(newGroup("a", "b")))
		g.started = g.started.Add(-peerDiscoveryTimeout)
		databases := g.databases
		g.databases, g.listed, g.services = map[string]routes.Database{}, false, map[string]*service{}
		g.addConfiguredServices()
		Expect(g.Ready()).To(BeFalse())
		g.setDatabases(databases)
		Expect(g.Ready()).To(BeTrue())
		Expect(g.service(testService)).NotTo(BeNil())
	})
})

var _ = Describe("watching the store", func() {
	var (
		g     *Gateway
		store *countingStore
	)

	BeforeEach(func() {
		p := newFakePlatform(newGroup("a", "b"))
		store = &countingStore{}
		p.api = store
		g = newTestGateway(p)
	})

	// receiveFrom handles a message from each of the named hosts of the data centre.
	// answers is whether these report that the store answers their watches.
	receiveFrom := func(answers bool, names ...string) {
		for i, name := range names {
			g.peers.handleMessage(&gossippb.Gossip{Host: name, Address: "127.0.0.1:9", DataCentre: "dc-a", Boot: 1, Sequence: uint64(time.Now().UnixNano()) + uint64(i), StoreAnswers: answers})
		}
	}
	var many []string // hosts that come before this one for watching the store; all hosts serve
	for i := 0; len(many) < 7; i++ {
		if name := fmt.Sprint("h", i); rendezvousScore(storeWatchKey, name) > rendezvousScore(storeWatchKey, "host-1") {
			many = append(many, name)
		}
	}

	It("is done by two hosts of the data centre", func() {
		Expect(g.peers.shouldWatchStore()).To(BeTrue())
		receiveFrom(true, many...)
		Expect(g.peers.shouldWatchStore()).To(BeFalse())
		receiveFrom(false, many...)
		Expect(g.peers.shouldWatchStore()).To(BeTrue(), "when the store does not answer them")
	})

	It("is not done by a host that does not serve while a serving host's store answers", func() {
		large := func(answers bool) {
			for i := range 9 {
				g.peers.handleMessage(&gossippb.Gossip{Host: fmt.Sprint("large-", i), Address: "127.0.0.1:9", DataCentre: "dc-a", Boot: 1, Sequence: uint64(time.Now().UnixNano()),
					Capacity: 8, Serving: true, StoreAnswers: answers && i == 0})
			}
		}
		large(false)
		Expect(g.peers.serves()).To(BeFalse())
		Expect(g.peers.shouldWatchStore()).To(BeTrue())
		first := g.peers.servingHosts(g.now())[0]
		g.peers.handleMessage(&gossippb.Gossip{Host: first, Address: "127.0.0.1:9", DataCentre: "dc-a", Boot: 1, Sequence: uint64(time.Now().UnixNano()), Capacity: 8, Serving: true, StoreAnswers: true})
		Expect(g.peers.shouldWatchStore()).To(BeFalse())
	})

	It("waits at its start for the initial state from a serving host, and then reads it from the store", func() {
		g.config.Store(&loadedConfiguration{Configuration: &routes.Configuration{}})
		for i := range 9 {
			g.peers.addHost(fmt.Sprint("large-", i), hostEntry{Address: "127.0.0.1:9", DataCentre: "dc-a", Capacity: 8})
		}
		g.started = time.Now()
		go g.watchConfiguration()
		time.Sleep(initialStateTimeout - 200*time.Millisecond)
		Expect(store.lists.Load()).To(BeZero())
		Eventually(store.lists.Load).WithTimeout(2 * time.Second).Should(BeNumerically(">", 0))
	})

	It("starts only after peer discovery, and not if enough other hosts watch", func() {
		go g.watchConfiguration()
		Eventually(store.lists.Load).Should(BeEquivalentTo(1))
		time.Sleep(peerDiscoveryTimeout / 2)
		Expect(store.watches.Load()).To(BeZero())
		receiveFrom(true, many...)
		time.Sleep(peerDiscoveryTimeout)
		Expect(store.watches.Load()).To(BeZero())
	})

	It("does not list repeatedly while other hosts watch and no configuration is published", func() {
		receiveFrom(true, many...)
		g.config.Store(&loadedConfiguration{Configuration: &routes.Configuration{}})
		g.started = g.started.Add(-initialStateTimeout)
		go g.watchConfiguration()
		time.Sleep(300 * time.Millisecond)
		Expect(store.lists.Load()).To(BeEquivalentTo(1))
	})

	It("does not list repeatedly on a host that is leaving", func() {
		receiveFrom(true, many...)
		g.leaving.Store(true)
		go g.watchConfiguration()
		time.Sleep(200 * time.Millisecond)
		Expect(store.lists.Load()).To(BeNumerically("<=", 1))
	})

	It("ignores an older list from another host", func() {
		entries := map[string]json.RawMessage{}
		g.applyDatabaseList(databaseList{Version: 9, Entries: entries})
		g.applyDatabaseList(databaseList{Version: 8, Entries: map[string]json.RawMessage{"x": nil}})
		Expect(g.databaseList().Version).To(BeEquivalentTo(9))
		Expect(g.databaseList().Entries).To(BeEmpty())
	})
})

var _ = Describe("messages between hosts", func() {
	It("carry the group reports and the last acknowledged position of another data centre in a summary, which only a newer one replaces", func() {
		g := newTestGateway(newFakePlatform(newGroup("a", "b")))
		summary := &gossippb.Centre{Name: "dc-b", Hosts: 3, AgeMs: 100,
			Demands: []*gossippb.Demand{{Customer: testCustomer, PerSecond: 5}},
			Groups:  []*gossippb.Group{{Service: testService, Primary: "a", Unreachable: true, Watching: true, Host: "far-1", AckedTerm: 1, AckedIndex: 44}}}
		g.peers.applyCentre(summary, g.now())
		others, acked, _ := g.peers.primaryViews(testService)
		Expect(others).To(HaveLen(1))
		Expect(others[0].Unreachable).To(BeTrue())
		Expect(acked.Index).To(BeEquivalentTo(44))
		Expect(g.peers.centres["dc-b"].hosts).To(Equal(3))
		Expect(g.peers.dataCentreCount()).To(Equal(2))

		older := &gossippb.Centre{Name: "dc-b", Hosts: 9, AgeMs: 900}
		g.peers.applyCentre(older, g.now())
		Expect(g.peers.centres["dc-b"].hosts).To(Equal(3))
	})

	It("are sent to the hosts that would be the delegates of a silent data centre, and to extraTargets others", func() {
		g := newTestGateway(newFakePlatform(newGroup("a")))
		var names []string
		for i := range 30 {
			name := fmt.Sprint("far-", i)
			names = append(names, name)
			g.peers.addHost(name, hostEntry{Address: fmt.Sprint("127.0.0.1:", 1000+i), DataCentre: "dc-b"})
		}
		names = g.peers.rankHosts(names)
		g.peers.mu.Lock()
		defer g.peers.mu.Unlock()
		for range 5 {
			targets := g.peers.crossCentreTargets(0, g.now())
			Expect(targets).To(HaveLen(delegatesPerCentre + extraTargets))
			for _, name := range names[:delegatesPerCentre] {
				Expect(targets).To(ContainElement(g.peers.hostsByName[name].address))
			}
		}
	})

	It("go from a delegate to the delegate of its rank in each other data centre", func() {
		g := newTestGateway(newFakePlatform(newGroup("a")))
		names := []string{"far-1", "far-2", "far-3"}
		for i, name := range names {
			g.peers.handleMessage(&gossippb.Gossip{Host: name, Address: fmt.Sprint("127.0.0.1:", 1000+i), DataCentre: "dc-b", Boot: 1, Sequence: 1, Access: "x"})
		}
		names = g.peers.rankHosts(names)
		g.peers.mu.Lock()
		defer g.peers.mu.Unlock()
		for rank := range delegatesPerCentre {
			Expect(g.peers.crossCentreTargets(rank, g.now())).To(ConsistOf(g.peers.hostsByName[names[rank]].address))
		}
		g.peers.hostsByName[names[0]].lastSeen = g.now().Add(-farDelegateTTL)
		g.peers.hostsByName[names[1]].lastSeen = g.now().Add(-farDelegateTTL)
		Expect(g.peers.crossCentreTargets(1, g.now())).To(ConsistOf(g.peers.hostsByName[names[2]].address), "the only one that still sends")
	})

	It("between data centres are sent by one delegate in each round, and by both as soon as their state changes", func() {
		var schedules [delegatesPerCentre]summarySchedule
		now := time.Now()
		for r := range schedules {
			Expect(schedules[r].due(r, now, now, 1)).To(BeTrue(), "the first")
		}
		for range 20 {
			now = now.Add(gossipEvery)
			sent := 0
			for r := range schedules {
				if schedules[r].due(r, now, now, 1) {
					sent++
				}
			}
			Expect(sent).To(Equal(1))
		}
		for r := range schedules {
			Expect(schedules[r].due(r, now, now, 2)).To(BeTrue(), "a change")
		}
		stuck := now.Add(-time.Hour).Truncate(delegatesPerCentre * gossipEvery) // a wall clock that jumps back each round
		sent := 0
		for range 9 {
			now = now.Add(gossipEvery)
			if schedules[1].due(1, now, stuck, 2) {
				sent++
			}
		}
		Expect(sent).To(BeNumerically(">=", 3), "also while it is never its turn")
	})

	It("carry the summaries of other data centres only to hosts that watch databases, and are sent to those last", func() {
		g := newTestGateway(newFakePlatform(newGroup("a")))
		receiveFrom := func(name, address, centre string, watching bool) {
			g.peers.handleMessage(&gossippb.Gossip{Host: name, Address: address, DataCentre: centre, Boot: 1, Sequence: 1, Access: "x",
				Groups: []*gossippb.Group{{Service: testService, Watching: watching}}})
		}
		var near []string // hosts that rank after this one; the first in rank is the other delegate
		for i := 0; len(near) < 4; i++ {
			name := fmt.Sprint("near-", i)
			if ranked := rankNames(placement.RankServing, name, g.opt.Name); ranked[1] == name {
				near = append(near, name)
			}
		}
		for i, name := range rankNames(placement.RankServing, near...) {
			receiveFrom(name, fmt.Sprint("127.0.0.1:", 10+i), "dc-a", i == 1)
		}
		receiveFrom("far-1", "127.0.0.1:3", "dc-b", true)
		var demands []*gossippb.Demand
		for i := range 80 {
			demands = append(demands, &gossippb.Demand{Customer: fmt.Sprint("customer-", i), PerSecond: 5})
		}
		g.peers.applyCentre(&gossippb.Centre{Name: "dc-b", Hosts: 30, Demands: demands}, g.now())

		out := g.peers.outgoingMessages(g.now())
		ports := func(p outgoingMessage) (out []int) {
			for _, to := range p.to {
				out = append(out, to.Port)
			}
			return out
		}
		Expect(ports(out[0])).To(ConsistOf(3))
		Expect(out[0].msg.Centres).To(ConsistOf(HaveField("Name", "dc-a")))
		Expect(ports(out[1])).To(ConsistOf(12, 13))
		Expect(out[1].msg.Groups).NotTo(BeEmpty())
		Expect(proto.Size(out[1].msg)).To(BeNumerically("<", 200))
		Expect(ports(out[2])).To(ConsistOf(10))
		Expect(out[2].msg.Centres).To(BeEmpty())
		Expect(out[2].msg.Groups).NotTo(BeEmpty())
		Expect(ports(out[3])).To(ConsistOf(11))
		Expect(out[3].msg.Centres).To(ConsistOf(HaveField("Name", "dc-b")))
	})

	It("are accepted from a restarted host whose clock went back, once its previous process is silent", func() {
		g := newTestGateway(newFakePlatform(newGroup("a")))
		msg := func(boot, seq, version uint64) *gossippb.Gossip {
			return &gossippb.Gossip{Host: "h1", Address: "127.0.0.1:9", DataCentre: "dc-a", Boot: boot, Sequence: seq, Access: "x"}
		}
		g.peers.handleMessage(msg(100, 50, 0))
		g.peers.handleMessage(msg(90, 1, 0)) // may be a delayed message of the previous process
		Expect(g.peers.hostsByName["h1"].boot).To(BeEquivalentTo(100))
		g.peers.hostsByName["h1"].lastSeen = time.Now().Add(-time.Second)
		g.peers.handleMessage(msg(90, 1, 0))
		Expect(g.peers.hostsByName["h1"].boot).To(BeEquivalentTo(90))
	})
})
