package takeovermodel_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bronzeloft/bronzeloft/internal/takeovermodel"
)

var _ = Describe("random walks under the protocol with evidence", func() {
	large := takeovermodel.Bounds{
		Databases: 4, Takers: 3, Commits: 5, Attempts: 5, Calls: 3, Expiry: true, Stops: true, LateCalls: 2, LateJoin: true, OldViews: true, Newcomer: true,
	}

	// Steps that end what is under way are taken more rarely, so that walks get further.
	rare := map[takeovermodel.Kind]bool{
		takeovermodel.Stop: true, takeovermodel.Abandon: true, takeovermodel.GiveUp: true, takeovermodel.LoseWrite: true, takeovermodel.LoseCall: true, takeovermodel.TimeOut: true,
	}

	It("lose no acknowledged commit", func() {
		steps, acknowledged, promoted, longest := 0, 0, 0, 0
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			bounds := large
			bounds.CurrentTerm = rapid.Bool().Draw(t, "current term")
			bounds.Leaving = rapid.IntRange(0, 4).Draw(t, "leaving")
			m := takeovermodel.Model{Bounds: bounds}
			for range 35 {
				s := m.Initial()
				length := 0
				for ; length < 150; length++ {
					var steps []takeovermodel.Line
					m.Next(s, func(a takeovermodel.Action, to takeovermodel.State) {
						if !rare[a.Kind] || rapid.IntRange(0, 29).Draw(t, "rare") == 0 {
							steps = append(steps, takeovermodel.Line{Action: a, State: to})
						}
					})
					if len(steps) == 0 {
						break
					}
					next := rapid.SampledFrom(steps).Draw(t, "step")
					s = next.State
					if commit, lost := s.Lost(); lost {
						t.Fatalf("commit %v is lost: %s", commit, s)
					}
					switch next.Action.Kind {
					case takeovermodel.Acknowledge:
						acknowledged++
					case takeovermodel.TakeEffect:
						promoted++
					}
				}
				steps += length
				longest = max(longest, length)
			}
		})
		GinkgoWriter.Printf("%d steps, longest walk %d, %d commits acknowledged, %d orders took effect\n", steps, longest, acknowledged, promoted)
		Expect(steps).To(BeNumerically(">=", 200_000))
		Expect(acknowledged).To(BeNumerically(">", 1000))
		Expect(promoted).To(BeNumerically(">", 500))
	})
})
