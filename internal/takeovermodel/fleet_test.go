package takeovermodel_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/internal/takeovermodel"
)

// Some hosts run the former protocol, with pauses, and others the one with evidence.
var _ = Describe("a fleet with hosts of both protocols", func() {
	type bounds = takeovermodel.Bounds
	type rules = takeovermodel.Rules
	// Each host has one attempt; it may end in it.
	acker := bounds{Databases: 3, Takers: 1, Commits: 1, Attempts: 1, Calls: 2, Expiry: true, Stops: true, LateJoin: true, OlderAcker: true, StartsEarly: true}
	starts := bounds{Databases: 3, Takers: 1, Commits: 1, Attempts: 1, Calls: 2, Expiry: true, Stops: true, SwitchAcker: true, Switches: 1}
	taker := bounds{Databases: 3, Takers: 1, Commits: 1, Attempts: 1, Calls: 2, Expiry: true, Stops: true, LateJoin: true, OlderTakers: 1, LateCalls: 1}
	// The bounds within which the former protocol loses nothing by itself.
	two := bounds{Databases: 3, Takers: 2, Commits: 1, Attempts: 2, Calls: 2, OlderAcker: true, StartsEarly: true}

	explore := func(r rules, b bounds, lost bool) {
		for _, current := range []bool{false, true} {
			b.CurrentTerm = current
			found := takeovermodel.Model{Rules: r, Bounds: b}.Explore(stateLimit)
			GinkgoWriter.Printf("%d states, depth %d, complete: %t\n%s", found.States, found.Depth, found.Complete, found)
			Expect(found.Lost()).To(Equal(lost), "%d states, complete: %t\n%s", found.States, found.Complete, found)
			Expect(found.Complete).To(BeTrue(), "%d states", found.States)
		}
	}

	DescribeTable("loses no acknowledged commit when", func(b bounds) {
		explore(rules{Unpaused: true}, b, false)
		if wide || !b.SwitchTakers {
			explore(rules{}, with(b, func(b *bounds) { b.CutAtCall = true }), false)
		}
	},
		Entry("the acknowledging host runs the former one", acker),
		Entry("and an order is not answered", with(acker, func(b *bounds) { b.LateCalls = 1 })),
		Entry("and a leaving primary is replaced", with(acker, func(b *bounds) { b.Leaving, b.Commits = 2, 2 })),
		Entry("and two hosts make attempts", two),
		Entry("and two hosts make attempts, one of them under the former one", with(two, func(b *bounds) { b.OlderTakers = 1 })),
		Entry("the acknowledging host starts with the other one, and again", with(starts, func(b *bounds) { b.Switches = 2 })),
		Entry("any host starts with the other one", with(two, func(b *bounds) {
			b.OlderAcker, b.StartsEarly, b.SwitchAcker, b.SwitchTakers, b.Switches = false, false, true, true, 1
		})),
		Entry("the host that replaces the primary runs the former one", taker),
	)

	It("loses no acknowledged commit when a host replaces the primary and then starts with the other protocol", func() {
		b := with(taker, func(b *bounds) { b.SwitchTakers, b.Switches, b.Attempts, b.LateCalls = true, 1, 2, 0 })
		r := takeovermodel.Model{Rules: rules{Unpaused: true}, Bounds: b}.Explore(stateLimit)
		GinkgoWriter.Printf("%d states, complete: %t\n%s", r.States, r.Complete, r)
		Expect(r.Lost()).To(BeFalse(), r.String())
		Expect(r.Complete).To(BeTrue())
	})

	DescribeTable("loses an acknowledged commit", func(r rules, b bounds) {
		r.Unpaused = true
		explore(r, b, true)
	},
		Entry("if replicas are not paused for hosts of the former protocol", rules{NoPausing: true}, acker),
		Entry("if replicas are resumed that have not joined the primary's term", rules{ResumeStale: true}, acker),
		Entry("if the hosts' entries are read before the lease is taken",
			rules{LookBefore: true, LookOnce: true}, with(starts, func(b *bounds) { b.SwitchIdle, b.Stops = true, false })),
		Entry("if they are not read again while a promotion is under way", rules{LookOnce: true}, starts),
		Entry("if a lease that a host of the former protocol wrote is settled", rules{FormerSettled: true}, taker),
	)

	It("loses none if the entries are read once, under the lease, and no host starts later", func() {
		explore(rules{Unpaused: true, LookOnce: true}, with(starts, func(b *bounds) { b.SwitchIdle, b.Stops = true, false }), false)
	})

	// What the protocol does not withstand.
	DescribeTable("loses an acknowledged commit when", func(b bounds) { explore(rules{Unpaused: true}, b, true) },
		Entry("a host of the former one starts to acknowledge before the host that replaces the primary has looked for it", with(starts, func(b *bounds) { b.StartsEarly = true })),
		Entry("a RESUME is carried out late", with(acker, func(b *bounds) { b.LateResume, b.Attempts = true, 2 })),
		Entry("several orders take effect, and the acknowledging host runs the former one", with(acker, func(b *bounds) { b.LateCalls, b.Attempts = 1, 2 })),
	)

	if wide {
		// The rule on the number of entries hides this one.
		It("loses an acknowledged commit if the floor is kept in the lease only", func() {
			b := bounds{Databases: 3, Takers: 2, Commits: 1, Attempts: 3, Calls: 1, Expiry: true, LateJoin: true, OlderTakers: 2, OlderStop: true, CurrentTerm: true}
			r := takeovermodel.Model{Rules: rules{Unpaused: true, AnyIndex: true, ForgetFloor: true}, Bounds: b}.Explore(stateLimit)
			Expect(r.Lost()).To(BeTrue())
			r = takeovermodel.Model{Rules: rules{Unpaused: true, AnyIndex: true}, Bounds: b}.Explore(stateLimit)
			GinkgoWriter.Printf("%d states, complete: %t\n%s", r.States, r.Complete, r)
			Expect(r.Lost()).To(BeFalse(), r.String())
			Expect(r.Complete).To(BeTrue())
		})
	}
})
