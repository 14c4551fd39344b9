package takeovermodel_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/internal/takeovermodel"
)

// The log that leads may be that of any moment from the order to its effect.
var _ = Describe("the protocol with evidence and pauses", func() {
	type bounds = takeovermodel.Bounds
	type rules = takeovermodel.Rules
	two := bounds{Databases: 3, Takers: 1, Commits: 1, Attempts: 2, Calls: 2, Expiry: true, Stops: true, CutAtCall: true}
	pair := bounds{Databases: 2, Takers: 1, Commits: 1, Attempts: 1, Calls: 2, Expiry: true, CutAtCall: true}
	hosts := bounds{Databases: 2, Takers: 2, Commits: 1, Attempts: 2, Calls: 2, Expiry: true, CutAtCall: true}
	unanswered := with(two, func(b *bounds) { b.LateCalls = 1 })
	lateResume := with(two, func(b *bounds) { b.LateResume = true })
	stalled := with(hosts, func(b *bounds) { b.StalledResume = true })

	loses := func(r rules, b bounds) {
		GinkgoHelper()
		found := takeovermodel.Model{Rules: r, Bounds: b}.Explore(stateLimit)
		GinkgoWriter.Printf("%d states, depth %d\n%s", found.States, found.Depth, found)
		Expect(found.Lost()).To(BeTrue(), "no loss in %d states, complete: %t", found.States, found.Complete)
	}

	DescribeTable("loses no acknowledged commit when", func(b bounds) { holdsUnder(rules{}, b) },
		Entry("another attempt follows", two),
		Entry("an order is not answered", unanswered),
		Entry("RESUMEs are carried out late, before the lease of their sender expires", lateResume),
		Entry("PAUSEs are not answered, and carried out late", with(two, func(b *bounds) { b.LatePause = true })),
		Entry("two hosts make attempts", hosts),
	)

	// The primary, which answers, holds what was acknowledged on the replica that does not.
	It("loses none if a leaving primary is replaced although a replica has not answered its PAUSE", func() {
		holdsUnder(rules{PlanUnread: true}, with(two, func(b *bounds) { b.LatePause = true }))
	})

	if wide {
		three := func(b bounds) bounds { b.Databases = 3; return b }
		DescribeTable("loses no acknowledged commit within wider bounds when", func(r rules, b bounds) { holdsUnder(r, b) },
			Entry("two hosts make attempts", rules{}, with(three(hosts), func(b *bounds) { b.Stops = true })),
			Entry("two hosts make attempts and an order is not answered", rules{}, with(three(hosts), func(b *bounds) { b.LateCalls = 1 })),
			Entry("replicas join late, answers of orders, PAUSEs and RESUMEs are late", rules{}, with(two, func(b *bounds) {
				b.LateJoin, b.LateCalls, b.LatePause, b.LateResume = true, 1, true, true
			})),
			Entry("a host stands still before its RESUMEs, and all copies need the lease as well", rules{SettledForAll: true}, with(three(stalled), func(b *bounds) { b.Stops = true })),
		)
	}

	DescribeTable("loses an acknowledged commit", func(r rules, b bounds) {
		loses(r, b)
		holdsUnder(rules{}, b)
	},
		Entry("if the successor is not paused", rules{UnpausedSuccessor: true}, pair),
		Entry("if a planned successor is not paused", rules{UnpausedPlanned: true}, pair),
		Entry("if the other replicas are not paused", rules{UnpausedOthers: true}, two),
		Entry("if a planned successor is resumed so that it catches up", rules{ResumePlanned: true}, hosts),
		Entry("if replicas are resumed while an order is pending", rules{ResumePending: true}, two),
		Entry("if the lease is not renewed before a RESUME", rules{ResumeWithoutLease: true}, hosts),
		Entry("if the lease is released although a RESUME was not answered", rules{ReleaseUnanswered: true}, lateResume),
		// An order for the present primary is a promotion if an earlier order takes effect first.
		Entry("if all copies are enough before the lease was settled in the term", rules{AllCopiesAtOnce: true}, two),
		Entry("if one copy is enough without the lease", rules{OneCopyWithoutLease: true}, two),
		Entry("if a lease is settled while an order is pending", rules{Settled: func(l succession.Lease, term uint64) bool {
			l.Ordered = ""
			return l.Settled(term)
		}}, with(unanswered, func(b *bounds) { b.Databases = 2 })),
		Entry("if a lease of a newer term is settled", rules{Settled: func(l succession.Lease, term uint64) bool {
			return l.Settled(max(term, l.Term))
		}}, two),
		Entry("if the lease is released before orders have ended", rules{ReleaseEarly: true}, two),
		Entry("if a lease does not keep the order of the one before", rules{ForgetOrder: true}, two),
	)

	// A replica that restarts is not paused any more, so that either check finds it.
	It("loses an acknowledged commit if neither restarts nor pauses are checked before the order", func() {
		restart := with(two, func(b *bounds) { b.Attempts, b.Restarts, b.RestartChosen = 1, 1, true })
		loses(rules{NoRecheck: true, IgnoreRestarts: true}, restart)
		for _, one := range []rules{{NoRecheck: true}, {IgnoreRestarts: true}} {
			r := takeovermodel.Model{Rules: one, Bounds: restart}.Explore(stateLimit)
			Expect(r.Lost()).To(BeFalse(), r.String())
			Expect(r.Complete).To(BeTrue())
		}
	})

	It("loses an acknowledged commit if a host stands still before its RESUMEs, unless all copies need the lease as well", func() {
		loses(rules{}, stalled)
		holdsUnder(rules{SettledForAll: true}, stalled)
	})

	It("loses an acknowledged commit if a pending order is repeated instead of the present primary's, and all copies are enough at once", func() {
		loses(rules{AllCopiesAtOnce: true, RepeatOrder: true}, unanswered)
	})

	Describe("and positions that mean something else", func() {
		positions := with(two, func(b *bounds) { b.Attempts, b.Commits = 1, 2 })
		gaps := with(positions, func(b *bounds) { b.Gaps = 1 })
		before := with(positions, func(b *bounds) { b.PositionBefore = true })
		never := func(succession.Lease, uint64) bool { return false }

		DescribeTable("loses an acknowledged commit", loses,
			Entry("on one copy with a gap", rules{}, gaps),
			Entry("on all copies with a gap", rules{Settled: never}, gaps),
			Entry("on one copy if a gap decides the choice, although the copy is asked with AFTER", rules{AskAfter: true}, gaps),
			Entry("if the answer names the position before", rules{}, before),
			Entry("on all copies if the answer names the position before", rules{Settled: never}, before),
			Entry("if the answer names the position before and replicas are asked with AFTER", rules{AskAfter: true}, before),
		)

		It("loses none on all copies if replicas that may have gaps are asked with AFTER", func() {
			r := takeovermodel.Model{Rules: rules{AskAfter: true, Settled: never}, Bounds: gaps}.Explore(stateLimit)
			GinkgoWriter.Printf("%d states\n%s", r.States, r)
			Expect(r.Lost()).To(BeFalse(), r.String())
			Expect(r.Complete).To(BeTrue())
		})
	})
})
