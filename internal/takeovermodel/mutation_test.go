package takeovermodel_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/internal/takeovermodel"
	"github.com/bronzeloft/bronzeloft/position"
)

// Each rule is needed: without it, the model loses a commit.
var _ = Describe("the protocol with evidence and without pauses, one rule left out,", func() {
	again := takeovermodel.Bounds{Databases: 3, Takers: 1, Commits: 1, Attempts: 2, Calls: 2, Expiry: true, Stops: true, LateJoin: true, CurrentTerm: true}
	base := takeovermodel.Bounds{Databases: 3, Takers: 1, Commits: 1, Attempts: 1, Calls: 1, Expiry: true, LateJoin: true}

	loses := func(rules takeovermodel.Rules, bounds takeovermodel.Bounds, whole ...takeovermodel.Rules) {
		rules.Unpaused = true
		keptRules := unpaused
		for _, r := range whole {
			keptRules.AnyIndex = r.AnyIndex
		}
		r := takeovermodel.Model{Rules: rules, Bounds: bounds}.Explore(stateLimit)
		GinkgoWriter.Printf("%d states, depth %d, complete: %t\n%s", r.States, r.Depth, r.Complete, r)
		Expect(r.Lost()).To(BeTrue(), "no loss in %d states, complete: %t", r.States, r.Complete)
		kept := explored(keptRules, bounds)
		GinkgoWriter.Printf("with the rule: %d states, complete: %t\n", kept.States, kept.Complete)
		Expect(kept.Lost()).To(BeFalse(), kept.String())
		Expect(kept.Complete).To(BeTrue(), "%d states", kept.States)
	}

	DescribeTable("loses an acknowledged commit", loses,
		Entry("if a lease is settled while it is held", takeovermodel.Rules{Settled: func(l succession.Lease, term uint64) bool {
			l.Released = true
			return l.Settled(term)
		}}, base),
		Entry("if a lease is settled while an order is pending", takeovermodel.Rules{Settled: func(l succession.Lease, term uint64) bool {
			l.Ordered = ""
			return l.Settled(term)
		}}, with(base, func(b *takeovermodel.Bounds) { b.LateCalls = 1 })),
		Entry("if a lease of a newer term is settled", takeovermodel.Rules{Settled: func(l succession.Lease, term uint64) bool {
			return l.Settled(max(term, l.Term))
		}}, base),
		Entry("if one copy is enough without the lease", takeovermodel.Rules{OneCopyWithoutLease: true}, base),
		Entry("if the lease is read before the report", takeovermodel.Rules{LeaseBeforeReport: true}, base),
		Entry("if the logs are read before the lease is taken", takeovermodel.Rules{LogsBeforeLease: true}, base),
		Entry("if the lease is released before orders have ended", takeovermodel.Rules{ReleaseEarly: true}, with(base, func(b *takeovermodel.Bounds) { b.Attempts, b.LateCalls, b.LateJoin = 2, 1, false })),
		Entry("if a copy of another term counts", takeovermodel.Rules{Holds: func(c succession.Copy, commit position.Position) bool {
			c.Term = commit.Term
			return c.Holds(commit)
		}}, with(base, func(b *takeovermodel.Bounds) { b.Attempts, b.Calls, b.CurrentTerm = 2, 2, true })),
		Entry("if the lease is released on sight of the successor though other orders are under way", takeovermodel.Rules{ReleaseOnSight: true}, with(base, func(b *takeovermodel.Bounds) { b.Attempts, b.Calls, b.LateCalls, b.LateJoin = 2, 2, 1, false })),
		Entry("if the lease is released with the term known before the wait", takeovermodel.Rules{StaleTerm: true}, base),
		Entry("if a lease does not keep the term of the one before", takeovermodel.Rules{ForgetTerm: true}, with(base, func(b *takeovermodel.Bounds) { b.Attempts, b.OldViews = 2, true })),
		Entry("if a lease does not keep the order of the one before", takeovermodel.Rules{ForgetOrder: true}, with(base, func(b *takeovermodel.Bounds) { b.Attempts, b.LateCalls, b.LateJoin = 2, 1, false })),
		Entry("if a wait for the senior replica ignores a newer term", takeovermodel.Rules{CheckOnce: true}, with(base, func(b *takeovermodel.Bounds) { b.Attempts, b.Calls, b.Stops, b.CurrentTerm = 2, 2, true, true })),
		Entry("if a replica with fewer entries is chosen for its newer term", takeovermodel.Rules{AnyIndex: true}, with(base, func(b *takeovermodel.Bounds) {
			b.Attempts, b.Calls, b.Restarts, b.Stops, b.CurrentTerm = 2, 1, 1, true, true
		})),
		Entry("if replicas that hosts may not know are chosen", takeovermodel.Rules{AnyReplica: true}, with(base, func(b *takeovermodel.Bounds) { b.Newcomer, b.Commits = true, 2 })),
		Entry("if replicas count as established that become so while the logs are read", takeovermodel.Rules{EstablishedLate: true}, with(base, func(b *takeovermodel.Bounds) { b.Newcomer, b.Commits = true, 2 })),
		Entry("if established replicas that the acknowledging host may not know are chosen", takeovermodel.Rules{AnyEstablished: true}, with(base, func(b *takeovermodel.Bounds) { b.Newcomer, b.Commits, b.OldList = true, 2, true })),
		Entry("if the lease is settled although an order that was answered has shown no effect", takeovermodel.Rules{AnyPrimary: true}, with(base, func(b *takeovermodel.Bounds) { b.LateEffect = true })),
		Entry("if a replica that has restarted since its log was read is promoted", takeovermodel.Rules{IgnoreRestarts: true}, with(base, func(b *takeovermodel.Bounds) { b.Restarts, b.RestartChosen = 1, true })),
		Entry("if a replica that has restarted before its log was read is missed", takeovermodel.Rules{IgnoreRestarts: true}, with(base, func(b *takeovermodel.Bounds) { b.Restarts, b.RestartUnread = 1, true })),
		Entry("if the list of databases is not read under the lease", takeovermodel.Rules{OwnList: true}, with(base, func(b *takeovermodel.Bounds) { b.Newcomer, b.OldTakerList = true, true })),
		// The rule on the number of entries hides these two.
		Entry("if the floor is ignored", takeovermodel.Rules{AnyIndex: true, IgnoreFloor: true}, again, takeovermodel.Rules{AnyIndex: true}),
		Entry("if the floor's index is ignored", takeovermodel.Rules{AnyIndex: true, IgnoreIndex: true}, again, takeovermodel.Rules{AnyIndex: true}),
	)

	// A promotion's effect is not on the log that was read: what all replicas receive after
	// the log that will lead is fixed is acknowledged, and gone.
	It("loses an acknowledged commit if a promoted database leads with what it had received when it was ordered", func() {
		r := explored(unpaused, with(base, func(b *takeovermodel.Bounds) { b.LateJoin, b.CutAtCall = false, true }))
		GinkgoWriter.Printf("%d states, depth %d\n%s", r.States, r.Depth, r)
		Expect(r.Lost()).To(BeTrue())
	})

	It("loses none if it leads with what it has received when it leads, or receives nothing more", func() {
		r := explored(unpaused, with(base, func(b *takeovermodel.Bounds) { b.Deaf = true }))
		Expect(r.Lost()).To(BeFalse(), r.String())
		Expect(r.Complete).To(BeTrue())
	})

	if wide {
		DescribeTable("loses an acknowledged commit within wider bounds", loses,
			Entry("if a taker does not compare the lease's term with its view", takeovermodel.Rules{IgnoreLeaseTerm: true}, with(base, func(b *takeovermodel.Bounds) { b.Takers, b.Attempts, b.Calls, b.Crashes = 2, 2, 2, 1 })),
		)
	}
})
