package gateway

import (
	"bytes"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/link/gossippb"
	"github.com/bronzeloft/bronzeloft/statement"
)

var _ = Describe("a home host in one of three data centres, with 72 connections to a database", func() {
	const even = 12
	var (
		g   *Gateway
		svc *service
	)
	configure := func(customers int) {
		config := *g.config.Load().Configuration
		config.Services = map[string]routes.Service{testService: {Name: testService, MaxConns: 72, SyncReplicas: 1}}
		config.Customers = map[string]routes.Customer{testCustomer: {Name: testCustomer, Keys: []string{testKey}}}
		for i := range customers - 1 {
			name := fmt.Sprint("customer-", i)
			config.Customers[name] = routes.Customer{Name: name}
		}
		config.IndexKeys()
		g.config.Store(&loadedConfiguration{Configuration: &config})
	}
	maxOf := func(id string) int {
		p := svc.pools[id]
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.max
	}
	// hear passes on the rounds of the other data centres' home hosts, which know this host.
	hear := func(round uint64, demand float32) {
		echo := g.allotments.announcements()[0].Sender
		for _, centre := range []string{"dc-b", "dc-c"} {
			a := &gossippb.Allotment{
				Service: testService, DataCentre: centre, Echoes: []*gossippb.HomeRound{echo},
				Sender:    &gossippb.HomeRound{DataCentre: centre, Host: "home-" + centre, Tenure: 1, Round: round},
				Databases: []*gossippb.Connections{{Database: "a", PerSecond: demand, Loans: []*gossippb.Loan{{DataCentre: "dc-a", Connections: 1}}}},
			}
			g.peers.handleMessage(&gossippb.Gossip{Host: "delegate", Address: "127.0.0.1:9", DataCentre: "dc-a", Boot: 1, Sequence: 2*round + uint64(centre[3]-'b'),
				Centres: []*gossippb.Centre{{Name: centre, Hosts: 1, Allotments: []*gossippb.Allotment{a}}}})
		}
	}

	BeforeEach(func() {
		g = newTestGateway(newFakePlatform(newGroup("a", "b", "c")))
		g.opt.Centres = []string{"dc-a", "dc-b", "dc-c"}
		svc = g.service(testService)
	})

	It("holds the even share if its customers are 8", func() {
		configure(8)
		g.sizePools()
		g.allotments.exchange(g.now())
		Expect(maxOf("a")).To(Equal(even))
		Expect(g.allotments.announcements()).To(BeEmpty())
		Expect(svc.pools["a"].usage).To(BeNil())
	})

	It("holds it after its start if they are 75, and lends and borrows when the others have answered", func() {
		configure(75)
		g.sizePools()
		g.allotments.exchange(g.now())
		Expect(maxOf("a")).To(Equal(even))
		hear(1, 31)
		g.allotments.exchange(g.now())
		Expect(maxOf("b")).To(Equal(even), "nobody demands it")
		Expect(maxOf("a")).To(Equal(even/3 + 2))
		summary := g.peers.summarise(&gossippb.Gossip{Allotments: g.allotments.announcements()}, g.now())
		Expect(summary.Allotments).To(HaveLen(1))
		lent := uint32(0)
		for _, c := range summary.Allotments[0].Databases {
			for _, l := range c.Loans {
				Expect(c.Database).To(Equal("a"))
				lent += l.Connections
			}
		}
		Expect(lent).To(BeNumerically("==", even-even/3))
		configure(8)
		g.allotments.exchange(g.now())
		Expect(maxOf("a")).To(Equal(even))
	})

	It("gives up the idle connection of the customer that uses it least", func() {
		configure(75)
		g.allotments.exchange(g.now())
		p := svc.pools["a"]
		now := g.now().Add(-time.Second)
		for range 20 {
			p.usage.CheckOut("often", now)
		}
		p.usage.CheckOut("once", now)
		p.idle, p.open = []*conn{{customer: "often"}, {customer: "once"}}, p.max
		Expect(p.evictIdle(false).customer).To(Equal("once"))
		p.idle, p.open = nil, 0
	})

	It("tells callers that are refused together for want of a primary to return one after the other", func() {
		configure(75)
		g.allotments.exchange(g.now())
		delays := func() map[time.Duration]bool {
			svc.mu.Lock()
			defer svc.mu.Unlock()
			out := map[time.Duration]bool{}
			for range 20 {
				out[svc.retryAfter().Round(time.Millisecond)] = true
			}
			return out
		}
		svc.pools["a"].usage.CheckIn(320 * time.Millisecond) // a mean of 20 ms
		Expect(len(delays())).To(BeNumerically(">=", 15))
		configure(8)
		g.allotments.exchange(g.now())
		Expect(delays()).To(Equal(map[time.Duration]bool{noPrimaryRetryAfter: true}))
	})

	It("does not lend the connections of its open transactions", func() {
		configure(75)
		g.allotments.exchange(g.now())
		p := svc.pools["a"]
		p.open = 10
		hear(1, 31)
		g.allotments.exchange(g.now())
		Expect(maxOf("a")).To(BeNumerically(">=", 10))
		p.open = 0
	})

	It("holds its spare connections as soon as another host is the home host", func() {
		configure(75)
		g.allotments.exchange(g.now())
		svc.mu.Lock()
		svc.homeRank = 1
		svc.mu.Unlock()
		g.sizePools()
		Expect(maxOf("a")).To(Equal(spareConns))
	})

	It("sends the hosts their other state if the allotments of six data centres exceed a message", func() {
		sender, receiver := g.peers, newTestGateway(newFakePlatform(newGroup("a"))).peers
		msg := sender.message(nil, sender.g.now())
		msg.DataCentre = "dc-a"
		for i := range 6 { // 190 customers, 20 services with 3 databases each
			c := &gossippb.Centre{Name: fmt.Sprint("centre-", i), Hosts: 10}
			for j := range 190 {
				c.Demands = append(c.Demands, &gossippb.Demand{Customer: fmt.Sprint("customer-", j), PerSecond: 1})
			}
			for j := range 20 {
				a := &gossippb.Allotment{Service: fmt.Sprint("service-", j), DataCentre: c.Name}
				for k := range 6 {
					round := &gossippb.HomeRound{DataCentre: fmt.Sprint("centre-", k), Host: fmt.Sprint("host-of-centre-", k), Tenure: 1 << 40, Round: 1000}
					if a.Sender = round; k < 5 {
						a.Echoes = append(a.Echoes, round)
					}
				}
				for k := range 3 {
					db := &gossippb.Connections{Database: fmt.Sprint("service-", j, "-database-", k), PerSecond: 1}
					for l := range 5 {
						db.Loans = append(db.Loans, &gossippb.Loan{DataCentre: fmt.Sprint("centre-", l), Connections: 1})
					}
					a.Databases = append(a.Databases, db)
				}
				c.Allotments = append(c.Allotments, a)
			}
			msg.Centres = append(msg.Centres, c)
		}
		full := proto.Size(msg)
		Expect(full).To(BeNumerically(">", maxDatagram), "the case is none")
		sender.sendTo(msg, []*net.UDPAddr{receiver.conn.LocalAddr().(*net.UDPAddr)})
		Expect(receiver.conn.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
		buf := make([]byte, maxDatagram)
		n, _, err := receiver.conn.ReadFromUDP(buf)
		Expect(err).NotTo(HaveOccurred())
		AddReportEntry("bytes", fmt.Sprintf("%d with allotments, %d without", full, n))
	})

	It("logs a share that changes in each round at most once a second, and counts the rest", func() {
		var out bytes.Buffer
		g.log = slog.New(slog.NewTextHandler(&out, nil))
		now := g.now()
		for i := range 40 { // 12 s, between the even share and twice it
			g.allotments.logShare(svc, "a", even+even*(i%2), even, 1, now.Add(time.Duration(i)*gossipEvery))
		}
		// Every fifth round is the first that is a second later and has another share.
		Expect(strings.Count(out.String(), "Share of a database's connections changed.")).To(Equal(8))
		Expect(strings.Count(out.String(), "changes=5")).To(Equal(7))
		out.Reset()
		g.allotments.logShare(svc, "b", even+1, even, 1, now)
		Expect(out.String()).To(BeEmpty(), "too small a change")
	})

	It("holds its share of a database that has restarted", func() {
		configure(75)
		g.allotments.exchange(g.now())
		hear(1, 31)
		g.allotments.exchange(g.now())
		share := maxOf("a")
		Expect(share).To(BeNumerically("<", even))
		databases, before := maps.Clone(g.databases), svc.pools["a"]
		a := databases["a"]
		a.StartMillis = time.Now().UnixMilli()
		databases["a"] = a
		g.setDatabases(databases)
		Expect(svc.pools["a"]).NotTo(BeIdenticalTo(before))
		Expect(maxOf("a")).To(Equal(share))
	})

	It("still counts what it lent if it is the home host again a round later", func() {
		configure(75)
		g.allotments.exchange(g.now())
		hear(1, 31)
		g.allotments.exchange(g.now())
		for rank := 1; rank >= 0; rank-- {
			svc.mu.Lock()
			svc.homeRank = rank
			svc.mu.Unlock()
			g.allotments.exchange(g.now())
		}
		Expect(maxOf("a")).To(Equal(even / 3))
	})

	It("serves statements on scarce connections", func() {
		configure(75)
		g.allotments.exchange(g.now())
		Expect(newTestSession(g, "own").serve(request(statement.Write)).Err).NotTo(HaveOccurred())
	})
})
