package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/link/gossippb"
)

// Guards against statements to a database that is shutting down (DRAIN): a host that had
// been cut off counted the time from when it learned of the shutdown itself.
var _ = Describe("a database whose shutdown a host learns of late", func() {
	const start = 5

	var g *Gateway
	BeforeEach(func() {
		g = newTestGateway(newFakePlatform(newGroup("a", "b")))
		g.opt.DatabaseDrain = 7 * time.Second
	})

	list := func(start int64, leaving bool) {
		g.setDatabases(map[string]routes.Database{
			"a": {ID: "a", Service: testService, Address: "a", DataCentre: "dc-a", Slots: 4, Primary: true, Leaving: leaving, StartMillis: start},
		})
	}
	drained := func() bool {
		s := g.service(testService)
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.pools["a"].drained()
	}
	reports := func(start int64, age time.Duration) []*gossippb.Group {
		return []*gossippb.Group{{Service: testService, Host: "far", Watching: true, Leaving: []*gossippb.Leaving{
			{Database: "a", Start: start, AgeMs: uint32(age.Milliseconds())},
		}}}
	}
	sequence := uint64(0)
	near := func(groups []*gossippb.Group) {
		sequence++
		g.peers.handleMessage(&gossippb.Gossip{Host: "near", Address: "127.0.0.1:9", DataCentre: "dc-a", Boot: 1, Sequence: sequence, Groups: groups})
	}
	// far passes on a report that another data centre made the given time ago.
	far := func(groups []*gossippb.Group, ago time.Duration) {
		sequence++
		g.peers.handleMessage(&gossippb.Gossip{Host: "near", Address: "127.0.0.1:9", DataCentre: "dc-a", Boot: 1, Sequence: sequence,
			Centres: []*gossippb.Centre{{Name: "dc-b", Hosts: 1, AgeMs: uint32(ago.Milliseconds()), Groups: groups}}})
	}

	It("is sent nothing more in time after any host learned of it", func() {
		list(start, true)
		near(reports(start, 5500*time.Millisecond))
		Expect(drained()).To(BeFalse())
		near(reports(start, 6100*time.Millisecond))
		Expect(drained()).To(BeTrue())
		near(reports(start, time.Second))
		Expect(drained()).To(BeTrue(), "a host that learned of it later changes nothing")
		list(start, true)
		Expect(drained()).To(BeTrue())
	})

	It("is sent nothing more in time after a host of another data centre learned of it", func() {
		list(start, true)
		far(reports(start, 5500*time.Millisecond), 600*time.Millisecond)
		Expect(drained()).To(BeTrue())
	})

	It("is sent nothing more in time even if this host's list lags behind", func() {
		list(start, false)
		near(reports(start, 6100*time.Millisecond))
		Expect(drained()).To(BeTrue())
		list(start, false)
		Expect(drained()).To(BeTrue())
		list(start, true)
		Expect(drained()).To(BeTrue())
	})

	It("is used again after it has restarted or taken back its announcement", func() {
		list(start, true)
		near(reports(start, 6100*time.Millisecond))
		list(start+1, false)
		Expect(drained()).To(BeFalse())
		near(reports(start, 6500*time.Millisecond))
		Expect(drained()).To(BeFalse(), "the report is of its previous life")
		list(start+1, true)
		near(reports(start+1, 6100*time.Millisecond))
		Expect(drained()).To(BeTrue())
		list(start+1, false)
		Expect(drained()).To(BeFalse())
	})

	It("is reported with the time since the first host learned of it", func() {
		list(start, true)
		near(reports(start, 4*time.Second))
		now := g.now()
		report := g.service(testService).groupReport(now)
		Expect(report.Leaving).To(HaveLen(1))
		Expect(report.Leaving[0].Start).To(BeEquivalentTo(start))
		Expect(report.Leaving[0].AgeMs).To(BeNumerically("~", 4000, 300))

		summary := g.peers.summarise(&gossippb.Gossip{}, now.Add(time.Second))
		Expect(summary.Groups).To(HaveLen(1))
		Expect(summary.Groups[0].Leaving[0].AgeMs).To(BeNumerically("~", 5000, 300), "the report is a second old")

		list(start, false)
		near(reports(start, 4*time.Second))
		Expect(g.service(testService).groupReport(g.now()).Leaving).To(BeEmpty(), "a host reports only what its own list shows")
	})
})
