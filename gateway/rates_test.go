package gateway

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/customer/share"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/link/gossippb"
	"github.com/bronzeloft/bronzeloft/statement"
)

var _ = Describe("a customer's rate", func() {
	const burst = 10 // package share admits 20 more operations (burstSlack)

	var g *Gateway

	BeforeEach(func() {
		g = newTestGateway(newFakePlatform(newGroup("a", "b", "c")))
		config := *g.config.Load().Configuration
		config.Customers = map[string]routes.Customer{testCustomer: {Name: testCustomer, Keys: []string{testKey}, Rate: 0.01, Burst: burst}}
		config.IndexKeys()
		g.config.Store(&loadedConfiguration{Configuration: &config})
		g.rates.apply(&config, g.now())
	})

	// exhaust calls run until it is refused, and returns the number of calls
	// admitted.
	exhaust := func(run func() *errkind.Error) int {
		GinkgoHelper()
		for n := range 100 {
			if err := run(); err != nil {
				Expect(err.Kind).To(Equal(errkind.OverRate))
				Expect(err.Kind.Answer().Outcome).To(Equal(errkind.NotRun))
				return n
			}
		}
		Fail("none of 100 operations was refused")
		return 0
	}

	It("counts each statement that this host runs outside of a transaction", func() {
		s := newTestSession(g, "own")
		Expect(exhaust(func() *errkind.Error { return s.serve(request(statement.Read)).Err })).To(BeNumerically("~", burst+20, 1))
	})

	It("counts each transaction once", func() {
		s := newTestSession(g, "current")
		Expect(exhaust(func() *errkind.Error {
			Expect(s.serve(request(statement.Begin)).Err).NotTo(HaveOccurred())
			for range 4 {
				if err := s.serve(request(statement.Write)).Err; err != nil {
					s.serve(request(statement.Rollback))
					return err
				}
			}
			return s.serve(request(statement.Commit)).Err
		})).To(BeNumerically("~", burst+20, 1))
	})

	It("is divided among the hosts that are the home host of a service, and not among the others", func() {
		for i := range 30 {
			g.peers.handleMessage(&gossippb.Gossip{Host: fmt.Sprint("h", i), Address: "127.0.0.1:9", DataCentre: "dc-a", Access: "x", Boot: 1, Sequence: 1})
		}
		Expect(g.peers.admittingHosts()).To(HaveLen(1))
		g.peers.applyCentre(&gossippb.Centre{Name: "dc-b", Hosts: 30}, g.now())
		g.peers.updateAdmitting()
		g.rates.mu.Lock()
		g.rates.table = share.New(1)
		g.rates.mu.Unlock()
		g.rates.apply(g.config.Load().Configuration, g.now())
		g.peers.updateAdmitting()
		n := 0
		for ok := true; ok; n++ {
			ok, _ = g.rates.table.Admit(testCustomer, time.Now())
		}
		// Half of the burst and of burstSlack: one host admits in each of the two data
		// centres.
		Expect(n - 1).To(BeNumerically("~", (burst+20)/2, 2))
	})

	// Guards against a customer that exceeded its quota while hosts were cut off from the others
	// and still reached databases: the summary for other data centres left their demand out
	// after 1.2 s, while these hosts went on admitting their shares.
	It("is divided among silent hosts too, by the summary for other data centres, for as long as in their own", func() {
		message := func(host string, leaving bool) *gossippb.Gossip {
			return &gossippb.Gossip{
				Host: host, Address: "127.0.0.1:9", DataCentre: "dc-a", Boot: 1, Sequence: 1, Leaving: leaving,
				Demands: []*gossippb.Demand{{Customer: testCustomer, PerSecond: 5}},
			}
		}
		g.peers.handleMessage(message("silent", false))
		g.peers.handleMessage(message("left", true))
		now := g.now()
		demandAfter := func(d time.Duration) float32 {
			demands := g.peers.summarise(&gossippb.Gossip{}, now.Add(d)).Demands
			if len(demands) == 0 {
				return 0
			}
			return demands[0].PerSecond
		}
		Expect(demandAfter(0)).To(BeEquivalentTo(10))
		Expect(demandAfter(share.PeerExpiry - 100*time.Millisecond)).To(BeEquivalentTo(5))
		Expect(demandAfter(share.PeerExpiry + 100*time.Millisecond)).To(BeZero())
	})
})
