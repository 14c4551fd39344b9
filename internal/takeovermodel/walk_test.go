package takeovermodel_test

import (
	"os"
	"strconv"

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
		takeovermodel.PauseLate: true, takeovermodel.ResumeLate: true, takeovermodel.LoseResume: true,
	}

	// TAKEOVERMODEL_WALKS is how many times as many walks are made.
	times, _ := strconv.Atoi(os.Getenv("TAKEOVERMODEL_WALKS"))

	DescribeTable("lose no acknowledged commit", func(rules takeovermodel.Rules, large takeovermodel.Bounds) {
		steps, acknowledged, promoted, longest := 0, 0, 0, 0
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			bounds := large
			bounds.CurrentTerm = rapid.Bool().Draw(t, "current term")
			bounds.Leaving = rapid.IntRange(0, 4).Draw(t, "leaving")
			m := takeovermodel.Model{Rules: rules, Bounds: bounds}
			for range 35 * max(1, times) {
				s := m.Initial()
				var trace takeovermodel.Result
				for len(trace.Trace) < 150 {
					var next []takeovermodel.Line
					m.Next(s, func(a takeovermodel.Action, to takeovermodel.State) {
						if !rare[a.Kind] || rapid.IntRange(0, 29).Draw(t, "rare") == 0 {
							next = append(next, takeovermodel.Line{Action: a, State: to})
						}
					})
					if len(next) == 0 {
						break
					}
					line := rapid.SampledFrom(next).Draw(t, "step")
					s = line.State
					trace.Trace = append(trace.Trace, line)
					if commit, lost := s.Lost(); lost {
						t.Fatalf("commit %v is lost:\n%s", commit, trace)
					}
					switch line.Action.Kind {
					case takeovermodel.Acknowledge:
						acknowledged++
					case takeovermodel.TakeEffect:
						promoted++
					}
				}
				steps += len(trace.Trace)
				longest = max(longest, len(trace.Trace))
			}
		})
		GinkgoWriter.Printf("%d steps, longest walk %d, %d commits acknowledged, %d orders took effect\n", steps, longest, acknowledged, promoted)
		Expect(steps).To(BeNumerically(">=", 200_000))
		Expect(acknowledged).To(BeNumerically(">", 1000))
		Expect(promoted).To(BeNumerically(">", 500))
	},
		Entry("without pauses", unpaused, large),
		Entry("with pauses", takeovermodel.Rules{}, with(large, func(b *takeovermodel.Bounds) { b.CutAtCall, b.LateResume, b.LatePause = true, true, true })),
	)
})
