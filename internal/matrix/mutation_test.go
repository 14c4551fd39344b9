package matrix

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/bronzeloft/bronzeloft/database/group"
	"github.com/bronzeloft/bronzeloft/position"
)

// mutationCases bounds the schedules within which a missing mechanism must show.
const mutationCases = 200

// caughtAfter returns the seed of a schedule in which the oracle reports a
// broken promise with the given hooks, and the report; nothing when none does.
func caughtAfter(h hooks) (uint64, string) {
	for i := 0; i < mutationCases; i += workers {
		var found [workers]*Failure
		var g errgroup.Group
		for j := range workers {
			g.Go(func() error {
				if f, ok := fuzz(uint64(fuzzSeed+i+j), h).(*Failure); ok && f.Broken {
					found[j] = f
				}
				return nil
			})
		}
		_ = g.Wait()
		for _, f := range found {
			if f != nil {
				return f.Seed, f.What
			}
		}
	}
	return 0, ""
}

// countReports is an acknowledgement by a majority of the reports that satisfy
// holds, whatever else they say.
func countReports(holds func(m group.MemberStatus, at, p position.Position) bool) func(*host, position.Position) group.AckState {
	return func(h *host, p position.Position) group.AckState {
		n := 0
		members := h.table.Status().Members
		for _, m := range members {
			at, err := position.Parse(m.Position)
			if err == nil && holds(m, at, p) {
				n++
			}
		}
		if n > len(members)/2 {
			return group.AckYes
		}
		return h.table.Acked(p)
	}
}

var _ = DescribeTable("a missing mechanism is found",
	func(change func(h *hooks)) {
		h := defaultHooks()
		change(&h)
		seed, what := caughtAfter(h)
		GinkgoWriter.Printf("seed %d: %s\n", seed, what)
		Expect(what).NotTo(BeEmpty())
	},
	Entry("majority acknowledgement", func(h *hooks) {
		h.acked = func(*host, position.Position) group.AckState { return group.AckYes }
	}),
	Entry("same-term check", func(h *hooks) {
		h.acked = countReports(func(_ group.MemberStatus, at, p position.Position) bool {
			return at.Index >= p.Index
		})
	}),
	Entry("marker", func(h *hooks) { h.noMarker = true }),
	Entry("fence", func(h *hooks) { h.ignoresFence = true }),
	Entry("token floor", func(h *hooks) {
		h.tokenFloor = func(position.Position) position.Position { return position.Position{} }
	}),
	Entry("comparison of the answer with the floor", func(h *hooks) {
		h.reaches = func(_, _ position.Position) bool { return true }
	}),
	Entry("confirmation by a majority", func(h *hooks) {
		h.confirmed = func(h *host, _ time.Time) (position.Position, bool) {
			view, ok := h.table.View()
			if !ok {
				return position.Position{}, false
			}
			return h.w.db(view.Primary).position(), true
		}
	}),
	Entry("a round that began after the request", func(h *hooks) {
		h.confirmed = func(h *host, since time.Time) (position.Position, bool) {
			return h.table.Confirmed(since.Add(-50 * time.Millisecond))
		}
	}),
	Entry("age of a sample", func(h *hooks) {
		h.aged = func(h *host, age time.Duration) (position.Position, bool) {
			floor, _, ok := h.table.AgeFloor(h.w.now, 4*age)
			return floor, ok
		}
	}),
	Entry("settling of fresh answers", func(h *hooks) {
		h.settled = func(*host, position.Position) (bool, bool) { return true, false }
	}),
)
