package datacentre_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/datacentre"
	"github.com/bronzeloft/bronzeloft/link/peerpb"
)

// inForceBound is the time within which a version is in force on every
// connected host.
const inForceBound = 2 * time.Second

// isolate cuts the data centre off from all others.
func (s *sim) isolate(centre string) {
	s.cut = func(a, b *simHost) bool { return (a.centre == centre) != (b.centre == centre) }
}

// block cuts the hosts of a data centre off from the platform.
func (s *sim) block(centre string) {
	for _, h := range s.hosts {
		if h.centre == centre {
			s.platform.blocked[h] = true
		}
	}
}

func (s *sim) heal() {
	s.cut = func(_, _ *simHost) bool { return false }
	clear(s.platform.blocked)
	s.platform.down = false
	s.platform.lag = 0
	s.loss = 0
	s.drop = nil
}

func in(centre string) func(*simHost) bool {
	return func(h *simHost) bool { return h.centre == centre }
}

// spreads expects the version everywhere within the bound.
func (s *sim) spreads(version uint64, pick func(*simHost) bool) {
	GinkgoHelper()
	_, ok := s.until(inForceBound, s.allAt(version, pick))
	Expect(ok).To(BeTrue(), "version %d within %s", version, inForceBound)
	Expect(s.faults).To(BeEmpty())
}

func liveAddresses(h *simHost, now time.Time) []string {
	var list []string
	for _, m := range h.table.Live(now) {
		list = append(list, m.Address)
	}
	return list
}

var today = datacentre.Limits{}

// ringed makes a small fleet choose its peers as a large one does.
var ringed = datacentre.Limits{FullMesh: 5, LocalMesh: 5}

var _ = Describe("configuration in force", func() {
	It("reaches a data centre that is cut off from the platform through its peers", func() {
		s := settled(2, 3, 5, today)
		s.block("dc1")
		s.spreads(s.publish(), nil)
	})

	It("reaches a data centre that was cut off from all within 2 s of healing", func() {
		s := settled(3, 3, 5, today)
		s.isolate("dc1")
		s.block("dc1")
		version := s.publish()
		s.run(30 * time.Second)
		Expect(s.allAt(version-1, in("dc1"))()).To(BeTrue(), "it goes on with what it has")
		s.heal()
		s.spreads(version, nil)
	})

	It("heals a ringed fleet too after a long cut", func() {
		s := settled(4, 3, 12, ringed)
		s.isolate("dc1")
		s.block("dc1")
		version := s.publish()
		s.run(time.Minute)
		s.heal()
		s.platform.down = true // only peers can tell it
		took, ok := s.until(10*time.Second, s.allAt(version, nil))
		Expect(ok).To(BeTrue())
		Expect(took).To(BeNumerically("<", 5*time.Second), "a probe finds the others")
	})

	It("does not depend on any one message", func() {
		s := settled(5, 3, 5, today)
		s.loss = 0.3
		s.spreads(s.publish(), nil)
	})

	It("heals a lost announcement by the next digest", func() {
		s := settled(6, 1, 5, datacentre.Limits{Watchers: 1, MaxWatchers: 1})
		s.platform.version++
		lose := true
		s.drop = func(*peerpb.Envelope) bool { return lose }
		s.run(400 * time.Millisecond)
		Expect(s.watchers("dc0")[0].table.InForce().Version()).To(Equal(s.platform.version))
		lose = false
		_, ok := s.until(time.Second, s.allAt(s.platform.version, nil))
		Expect(ok).To(BeTrue())
	})

	It("is learnt from peers by a host that starts during an outage", func() {
		s := settled(7, 3, 5, today)
		s.platform.down = true
		h := s.hosts[4]
		s.start(h)
		s.spreads(s.platform.version, func(x *simHost) bool { return x == h })
		Expect(h.table.InForce().Source()).NotTo(Equal("platform"))
	})

	It("stays when a lagging platform answers with old data", func() {
		s := settled(8, 3, 5, today)
		for range 3 {
			s.spreads(s.publish(), nil)
		}
		version := s.platform.version
		s.platform.lag = 2
		h := s.hosts[2]
		s.start(h) // an empty host that may hear the platform first
		s.run(5 * time.Second)
		Expect(s.allAt(version, nil)()).To(BeTrue())
		Expect(s.faults).To(BeEmpty())
		Expect(h.table.InForce().Fresh(s.now)).To(BeNumerically(">", 4*time.Second), "old data confirms nothing")
	})

	It("ends with the higher of two versions that operators published at once", func() {
		s := settled(9, 3, 5, today)
		first, second := s.publish(), s.publish()
		// Each data centre reads another one of the two first.
		for _, h := range s.hosts {
			if h.centre == "dc0" {
				h.table.InForce().Offer(s.snapshot(second), "platform", s.now)
			} else {
				h.table.InForce().Offer(s.snapshot(first), "platform", s.now)
			}
		}
		s.platform.down = true
		s.spreads(second, nil)
	})

	It("survives the death of all watchers", func() {
		s := settled(10, 3, 5, today)
		for _, centre := range []string{"dc0", "dc1", "dc2"} {
			for _, h := range s.watchers(centre) {
				h.down = true
			}
		}
		version := s.publish()
		took, ok := s.until(10*time.Second, s.allAt(version, nil))
		Expect(ok).To(BeTrue())
		Expect(took).To(BeNumerically("<", datacentre.DefaultSilentAfter+inForceBound))
	})

	It("finds other watchers when those that live are cut off from the platform", func() {
		s := settled(11, 1, 10, today)
		for _, h := range s.watchers("dc0") {
			s.platform.blocked[h] = true
		}
		version := s.publish()
		took, ok := s.until(10*time.Second, s.allAt(version, nil))
		Expect(ok).To(BeTrue())
		Expect(took).To(BeNumerically("<", datacentre.DefaultEscalateEvery+inForceBound))
	})

	It("asks another peer when the first one does not answer", func() {
		table, now := lone()
		for i := range 2 {
			hear(table, peerAddress(i), now)
		}
		out := table.HandleDigest(peerAddress(0), &peerpb.Digest{ConfigVersion: 7, Sequence: 1}, now)
		Expect(out.FetchFrom).To(Equal(peerAddress(0)))
		out = table.HandleDigest(peerAddress(1), &peerpb.Digest{ConfigVersion: 7, Sequence: 1}, now)
		Expect(out.FetchFrom).To(BeEmpty(), "one request at a time")
		now = now.Add(datacentre.DefaultFetchTimeout)
		Expect(table.Tick(now).FetchFrom).To(Equal(peerAddress(1)))
	})

	It("is not waited for from one peer behind a cut after another", func() {
		table, now := lone()
		for i := range 4 {
			hear(table, peerAddress(i), now)
		}
		for i := range 3 {
			table.HandleDigest(peerAddress(i), &peerpb.Digest{ConfigVersion: 9, Sequence: 1}, now)
		}
		later := now.Add(500 * time.Millisecond) // the other three are cut off
		table.HandleDigest(peerAddress(3), &peerpb.Digest{ConfigVersion: 8, Sequence: 1}, later)
		now = now.Add(datacentre.DefaultFetchTimeout)
		Expect(table.Tick(now).FetchFrom).To(Equal(peerAddress(3)))
	})

	It("is not replaced by a peer's lower or equal version", func() {
		c := datacentre.NewConfig(0)
		s := &sim{}
		now := epoch
		Expect(c.Offer(s.snapshot(5), "a", now)).To(BeTrue())
		Expect(c.Offer(s.snapshot(4), "b", now)).To(BeFalse())
		Expect(c.Offer(s.snapshot(5), "b", now)).To(BeFalse())
		Expect(c.Offer(nil, "b", now)).To(BeFalse())
		Expect(c.Version()).To(Equal(uint64(5)))
		Expect(c.Source()).To(Equal("a"))
	})
})

var _ = Describe("the age of a configuration's confirmation", func() {
	It("stays low everywhere while some host hears the platform", func() {
		s := settled(12, 3, 5, today)
		s.block("dc1")
		for range 20 {
			s.run(500 * time.Millisecond)
			for _, h := range s.hosts {
				Expect(h.table.InForce().Fresh(s.now)).To(BeNumerically("<", 5*time.Second))
			}
		}
	})

	It("grows in a data centre that hears neither the platform nor a peer that does", func() {
		s := settled(13, 3, 5, today)
		s.isolate("dc1")
		s.block("dc1")
		const cutFor = 20 * time.Second
		s.run(cutFor)
		for _, h := range s.hosts {
			age := h.table.InForce().Fresh(s.now)
			if h.centre == "dc1" {
				Expect(age).To(BeNumerically(">=", cutFor))
			} else {
				Expect(age).To(BeNumerically("<", 5*time.Second))
			}
		}
	})

	It("refuses after the operator's limit, and never by default", func() {
		limited, unlimited := datacentre.NewConfig(time.Minute), datacentre.NewConfig(0)
		now := epoch
		for _, c := range []*datacentre.Configuration{limited, unlimited} {
			Expect(c.Fresh(now)).To(Equal(datacentre.Never))
			c.Offer((&sim{}).snapshot(1), "platform", now)
			c.Confirm(1, now)
			Expect(c.Refuses(now.Add(time.Minute))).To(BeFalse())
		}
		late := now.Add(time.Minute + 1)
		Expect(limited.Refuses(late)).To(BeTrue())
		Expect(unlimited.Refuses(late)).To(BeFalse())
	})

	It("is judged from before the echoed digest was sent, however late the message", func() {
		table, now := lone()
		hear(table, peerAddress(0), now)
		table.InForce().Offer((&sim{}).snapshot(3), "platform", now)
		sequence := sequenceTo(table.Tick(now), peerAddress(0))
		age := uint64(200)
		digest := &peerpb.Digest{ConfigVersion: 3, Sequence: 1, Echo: sequence, NewsAgeMs: &age}
		late := now.Add(9 * time.Second) // the answer was held up
		table.HandleDigest(peerAddress(0), digest, late)
		Expect(table.InForce().Fresh(late)).To(Equal(9*time.Second + 200*time.Millisecond))
	})

	It("takes nothing from a digest that echoes none of this boot's", func() {
		table, now := lone()
		hear(table, peerAddress(0), now)
		age := uint64(0)
		table.HandleDigest(peerAddress(0), &peerpb.Digest{Sequence: 1, Echo: 77, NewsAgeMs: &age}, now)
		Expect(table.InForce().Fresh(now)).To(Equal(datacentre.Never))
	})

	It("takes nothing from a peer with a higher version", func() {
		table, now := lone()
		hear(table, peerAddress(0), now)
		sequence := sequenceTo(table.Tick(now), peerAddress(0))
		age := uint64(0)
		digest := &peerpb.Digest{ConfigVersion: 1, Sequence: 1, Echo: sequence, NewsAgeMs: &age}
		table.HandleDigest(peerAddress(0), digest, now)
		Expect(table.InForce().Fresh(now)).To(Equal(datacentre.Never))
	})
})

// lone returns a table that knows nobody.
func lone() (*datacentre.Table, time.Time) {
	return datacentre.New(datacentre.Config{Self: "10.9.9.9:7000", DataCentre: "dc0", BootID: "b"}), epoch
}

func peerAddress(i int) string { return fmt.Sprintf("10.0.0.%d:7000", i+1) }

func hear(table *datacentre.Table, address string, now time.Time) {
	table.ObserveHello(address, "dc0", "boot-"+address, now)
}

// sequenceTo returns the sequence of the last digest to an address.
func sequenceTo(out datacentre.Output, address string) uint64 {
	var sequence uint64
	for _, send := range out.Send {
		if send.To == address {
			sequence = send.Env.GetDigest().GetSequence()
		}
	}
	return sequence
}
