package succession_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/position"
)

func TestSuccession(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "database/succession")
}

func pos(index uint64) position.Position { return position.Position{Term: 1, Index: index} }

var _ = Describe("whether to replace a primary", func() {
	silent := succession.Opinion{Primary: "a", Unreachable: true}
	fine := succession.Opinion{Primary: "a"}
	none := succession.Opinion{}
	stuck := succession.Opinion{Primary: "a", Stuck: true}
	other := succession.Opinion{Primary: "b"}

	DescribeTable("follows most of the hosts that speak of it",
		func(own succession.Opinion, leaving bool, others []succession.Opinion, want succession.Reason) {
			Expect(succession.Judge(own, leaving, others)).To(Equal(want))
		},
		Entry("all is well", fine, false, []succession.Opinion{fine, fine}, succession.None),
		Entry("only this host cannot reach it", silent, false, []succession.Opinion{fine, fine, fine}, succession.None),
		Entry("half of the others cannot reach it either", silent, false, []succession.Opinion{silent, fine}, succession.Silent),
		Entry("nobody is heard", silent, false, nil, succession.Silent),
		Entry("hosts that know another primary do not count", silent, false, []succession.Opinion{other, other, silent}, succession.Silent),
		Entry("it leaves", fine, true, []succession.Opinion{fine}, succession.Leaving),
		Entry("no primary is known anywhere", none, false, []succession.Opinion{none, none}, succession.Absent),
		Entry("others know the primary", none, false, []succession.Opinion{other, other, none}, succession.None),
		Entry("commits are stuck here only", stuck, false, []succession.Opinion{fine, fine, fine}, succession.None),
		Entry("commits are stuck everywhere", stuck, false, []succession.Opinion{stuck, stuck}, succession.Stuck),
	)
})

var _ = Describe("the choice of a successor", func() {
	It("takes the longest log, and of equals one that stays", func() {
		best, ok := succession.Choose([]succession.Candidate{
			{ID: "a", Answered: true, Received: pos(3)},
			{ID: "b", Answered: true, Received: pos(5), Leaving: true},
			{ID: "c", Answered: true, Received: pos(5)},
		}, pos(5))
		Expect(ok).To(BeTrue())
		Expect(best.ID).To(Equal("c"))
	})

	It("takes none where nobody answers", func() {
		_, ok := succession.Choose([]succession.Candidate{{ID: "a"}}, position.Position{})
		Expect(ok).To(BeFalse())
	})

	// The primary acknowledges a commit when one replica has it. Whatever
	// replicas answer, the successor's log holds every commit that was
	// acknowledged, as long as a replica that is gone has nothing that no host
	// was told of.
	It("never loses an acknowledged commit", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			var acked, told uint64
			var all []succession.Candidate
			for i := range rapid.IntRange(1, 4).Draw(t, "replicas") {
				c := succession.Candidate{
					ID: string(rune('a' + i)), Received: pos(rapid.Uint64Range(0, 9).Draw(t, "received")),
					Answered: rapid.Bool().Draw(t, "answered"), Listed: rapid.Bool().Draw(t, "listed"), CutOff: rapid.Bool().Draw(t, "cutOff"),
				}
				all = append(all, c)
				acked = max(acked, c.Received.Index)
				if c.Answered || !c.Listed && !c.CutOff {
					told = max(told, c.Received.Index)
				}
			}
			hidden := append([]succession.Candidate(nil), all...)
			for i := range hidden {
				if !hidden[i].Answered {
					hidden[i].Received = position.Position{}
				}
			}
			best, ok := succession.Choose(hidden, pos(told))
			if ok && best.Received.Index < acked {
				t.Fatalf("%s has %s, %d was acknowledged: %+v", best.ID, best.Received, acked, all)
			}
		})
	})
})
