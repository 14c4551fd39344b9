package datacentre_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bronzeloft/bronzeloft/link/peerpb"
)

// story is a run of a fleet under drawn faults.
type story struct {
	*sim
	t *rapid.T
}

// anyHost draws a host.
func (s *story) anyHost() *simHost {
	return s.hosts[rapid.IntRange(0, len(s.hosts)-1).Draw(s.t, "host")]
}

func (s *story) anyCentre() string {
	return fmt.Sprintf("dc%d", rapid.IntRange(0, 2).Draw(s.t, "centre"))
}

// event is one drawn fault or act.
func (s *story) event() {
	switch rapid.IntRange(0, 13).Draw(s.t, "event") {
	case 0, 1:
		s.publish()
	case 2:
		s.race()
	case 3:
		s.isolate(s.anyCentre())
	case 4:
		s.block(s.anyCentre())
	case 5:
		s.cutOneWay(s.anyHost(), s.anyHost())
	case 6:
		s.platform.down = !s.platform.down
	case 7:
		s.platform.lag = rapid.Uint64Range(0, 3).Draw(s.t, "lag")
	case 8:
		s.anyHost().down = true
	case 9:
		s.start(s.anyHost())
	case 10:
		s.anyHost().frozen = true
	case 11:
		s.wake()
	case 12:
		s.loss = 0.4
	case 13:
		s.heal()
	}
}

// race publishes two versions, which two hosts read in the other order.
func (s *story) race() {
	first, second := s.publish(), s.publish()
	a, b := s.anyHost(), s.anyHost()
	a.table.InForce().Offer(s.snapshot(second), "platform", s.now)
	b.table.InForce().Offer(s.snapshot(first), "platform", s.now)
}

func (s *story) cutOneWay(a, b *simHost) {
	before := s.cut
	s.cut = func(x, y *simHost) bool { return (x == a && y == b) || before(x, y) }
}

func (s *story) wake() {
	for _, h := range s.hosts {
		if h.frozen && !h.down {
			s.thaw(h)
		}
	}
}

// settle mends everything and brings all hosts back.
func (s *story) settle() {
	s.heal()
	for _, h := range s.hosts {
		if h.down {
			s.start(h)
		}
	}
	s.wake()
}

// highest returns the highest version that a host runs.
func (s *sim) highest() uint64 {
	var version uint64
	for _, h := range s.hosts {
		version = max(version, h.table.InForce().Version())
	}
	return version
}

// tell runs one story on a small fleet and returns what the oracle found: each
// host's version only rises and was published; after all is mended, what any
// host runs is in force on all within 2 s, and the platform's newest once
// watchers were found.
func tell(t *rapid.T, prepare func(*sim)) []string {
	s := &story{t: t, sim: newSim(rapid.Uint64().Draw(t, "seed"), 3, 4, today)}
	if prepare != nil {
		prepare(s.sim)
	}
	s.list()
	s.publish()
	s.run(3 * time.Second)
	for range rapid.IntRange(1, 12).Draw(t, "events") {
		s.event()
		s.run(time.Duration(rapid.IntRange(0, 4000).Draw(t, "wait")) * time.Millisecond)
	}
	s.settle()
	atLeast := s.highest()
	s.platform.down = true // what a host runs must spread without the platform
	if _, ok := s.until(inForceBound, func() bool { return s.lowest() >= atLeast }); !ok {
		s.faults = append(s.faults, fmt.Sprintf("version %d is not in force on all within %s", atLeast, inForceBound))
	}
	s.platform.down = false
	const findWatchers = 10 * time.Second
	if _, ok := s.until(findWatchers, s.allAt(s.platform.version, nil)); !ok {
		s.faults = append(s.faults, "the newest version is not in force on all")
	}
	return s.faults
}

func (s *sim) lowest() uint64 {
	version := s.platform.version
	for _, h := range s.hosts {
		version = min(version, h.table.InForce().Version())
	}
	return version
}

// bites reports whether the oracle finds a fault in one of a few stories told
// on a broken fleet.
func bites(prepare func(*sim)) bool {
	stories := rapid.Custom(func(t *rapid.T) []string { return tell(t, prepare) })
	for seed := range 40 {
		if len(stories.Example(seed)) > 0 {
			return true
		}
	}
	return false
}

var _ = Describe("versions in force under drawn faults", func() {
	It("never revert and converge within 2 s of healing", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			if faults := tell(t, nil); len(faults) > 0 {
				t.Fatalf("%v", faults)
			}
		})
	})

	It("are found to revert when lower versions are accepted", func() {
		Expect(bites(func(s *sim) {
			s.onStart = func(h *simHost) { h.table.InForce().AcceptAnyVersion() }
			for _, h := range s.hosts {
				s.onStart(h)
			}
		})).To(BeTrue())
	})

	It("are found not to converge without digests", func() {
		Expect(bites(func(s *sim) {
			s.mute = func(env *peerpb.Envelope) bool { return env.GetDigest() != nil }
		})).To(BeTrue())
	})
})
