package takeovermodel_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/internal/takeovermodel"
)

// Databases go down and return with their logs; their entries lapse meanwhile, and their
// addresses refuse connections.
var _ = Describe("a takeover while databases are away", func() {
	type bounds = takeovermodel.Bounds
	type rules = takeovermodel.Rules
	away := bounds{Databases: 3, Takers: 1, Commits: 1, Attempts: 1, Calls: 1, Expiry: true, Unplanned: true, CutAtCall: true, Outages: 2, AckedFirst: true}
	serving := with(away, func(b *bounds) { b.AckedFirst = false })
	once := with(away, func(b *bounds) { b.Outages, b.Removals = 1, 1 })
	fresh := with(away, func(b *bounds) { b.Unrecorded = true })
	added := with(serving, func(b *bounds) { b.Outages, b.Removals, b.Unrecorded = 1, 1, true })
	unlisted := with(added, func(b *bounds) { b.Outages, b.Lapses, b.Unlisted = 0, 1, true })
	removed := with(away, func(b *bounds) { b.Removed, b.Lapses = true, 1 })
	departing := with(away, func(b *bounds) { b.Outages, b.Leaving, b.Newcomer, b.Departing = 1, 2, true, true })
	attempts := with(departing, func(b *bounds) { b.Outages, b.Attempts, b.AckedFirst, b.CutAtCall = 0, 2, false, false })

	losesIn := func(r rules, b bounds) {
		GinkgoHelper()
		found := takeovermodel.Model{Rules: r, Bounds: b}.Explore(stateLimit)
		GinkgoWriter.Printf("%d states, depth %d\n%s", found.States, found.Depth, found)
		Expect(found.Lost()).To(BeTrue(), "no loss in %d states, complete: %t", found.States, found.Complete)
	}
	holdsIn := func(r rules, b bounds) {
		GinkgoHelper()
		found := takeovermodel.Model{Rules: r, Bounds: b}.Explore(stateLimit)
		GinkgoWriter.Printf("%d states, depth %d, complete: %t\n%s", found.States, found.Depth, found.Complete, found)
		Expect(found.Lost()).To(BeFalse(), found.String())
		Expect(found.Complete).To(BeTrue(), "%d states", found.States)
	}
	recorded := func(change func(*rules)) rules {
		r := rules{Recorded: true}
		change(&r)
		return r
	}

	Describe("without the roster", func() {
		heard := with(away, func(b *bounds) { b.Heard = true })

		It("loses a commit that the taker knows to be acknowledged if databases that are gone count as ended", func() {
			losesIn(rules{GoneEnd: true}, heard)
			holdsIn(rules{}, heard)
		})

		It("loses one that the taker does not know to be acknowledged", func() { losesIn(rules{}, away) })
	})

	DescribeTable("loses no acknowledged commit with the roster when", func(b bounds) { holdsUnder(rules{Recorded: true}, b) },
		Entry("two of three databases are away at once", serving),
		Entry("one is taken off the roster", once),
		Entry("one is not on the roster yet", fresh),
		Entry("one that is running is not on the roster and left unread", with(fresh, func(b *bounds) { b.Unlisted = true })),
		Entry("hosts have forgotten one that was taken off the roster", removed),
		Entry("a leaving one is fenced and taken off the roster for one that hosts do not know", departing),
		Entry("the same, and commits are written during two attempts", attempts),
	)

	DescribeTable("loses an acknowledged commit with the roster", func(change func(*rules), b bounds, kept bool) {
		losesIn(recorded(change), b)
		if kept {
			r := explored(rules{Recorded: true}, b)
			Expect(r.Lost()).To(BeFalse(), r.String())
			Expect(r.Complete).To(BeTrue(), "%d states", r.States)
		}
	},
		Entry("if a recorded database is left unread", func(r *rules) { r.LeaveUnread = true }, away, true),
		Entry("if one copy counts on a replica that is not recorded", func(r *rules) { r.OneCopyUnrecorded = true }, fresh, true),
		Entry("if one copy counts on a replica that is retiring", func(r *rules) { r.RetiringCounts = true }, once, true),
		Entry("if one copy counts on a replica that was recorded before the commit", func(r *rules) { r.RosterBeforeCommit = true }, removed, true),
		Entry("if a database is removed in one step", func(r *rules) { r.RemoveAtOnce = true }, once, true),
		Entry("if a database is removed while no primary leads", func(r *rules) { r.RemoveUnled = true }, with(once, func(b *bounds) { b.Outages = 2 }), wide),
		Entry("if a database is removed without another that holds the primary's log", func(r *rules) { r.RemoveUnheld = true }, once, true),
		Entry("if a process that has restarted empty counts as the recorded one", func(r *rules) { r.AnyStart = true }, with(away, func(b *bounds) {
			b.Outages, b.Restarts, b.LoseLastCopy = 0, 1, true
		}), true),
		// Hosts that do not count it acknowledge what all others hold.
		Entry("if a database was removed for one that hosts do not know", func(r *rules) { r.IgnoreUnlisted = true }, with(removed, func(b *bounds) { b.Newcomer = true }), true),
		Entry("if a leaving database is taken off for one that hosts do not know, and is not fenced", func(r *rules) { r.RemoveUnknown = true }, departing, true),
		Entry("if a fenced database that was away counts before the roster is read again", func(r *rules) { r.LeaseAlone = true }, departing, true),
		Entry("if attempts resume a fenced database", func(r *rules) { r.ResumeLeaving = true }, attempts, true),
		Entry("if the roster is read after the lease was found settled", func(r *rules) { r.RosterAfterLease = true }, added, wide),
		Entry("if the roster is read before the lease is taken, and not again before the order", func(r *rules) { r.RosterBeforeLease, r.NoRosterCheck = true, true }, added, wide),
		Entry("if hosts forget a recorded database that is away, and find the lease settled without reading the roster", func(r *rules) { r.ForgetRecorded, r.LeaseAlone = true, true }, removed, true),
	)

	// A database that has returned is not paused any more.
	It("loses an acknowledged commit if the lease is not read again after replicas were away", func() {
		losesIn(rules{Recorded: true, AwayUnsettled: true}, serving)
	})

	if wide {
		DescribeTable("loses no acknowledged commit with the roster within wider bounds when", func(b bounds) { holdsIn(rules{Recorded: true}, b) },
			Entry("two are away, one is taken off the roster and forgotten", with(serving, func(b *bounds) { b.Removals, b.Lapses = 1, 1 })),
			Entry("a replica is added to the roster", added),
			Entry("a leaving one is fenced, and commits are written during an attempt", with(departing, func(b *bounds) { b.AckedFirst = false })),
		)

		DescribeTable("loses none without rules that are not needed within these bounds", func(change func(*rules), b bounds) { holdsIn(recorded(change), b) },
			Entry("the lease is settled again after a database was forgotten", func(r *rules) { r.ForgetUnsettled = true }, with(serving, func(b *bounds) { b.Removals, b.Lapses = 1, 1 })),
			Entry("the same, and databases that run are forgotten", func(r *rules) { r.ForgetUnsettled = true }, unlisted),
			Entry("the roster is read again before the order", func(r *rules) { r.NoRosterCheck = true }, added),
			Entry("the roster is read under the lease, if it is read again before the order", func(r *rules) { r.RosterBeforeLease = true }, added),
			Entry("the roster is read after the report, if it is read after the commit was written", func(r *rules) { r.RosterBeforeReport = true }, with(once, func(b *bounds) { b.Outages = 2 })),
			Entry("the database that holds the primary's log is not retiring", func(r *rules) { r.HolderRetiring = true }, with(once, func(b *bounds) { b.Removals = 2 })),
			Entry("a fence needs a settled lease, without late orders", func(r *rules) { r.FenceUnsettled = true }, attempts),
			Entry("a fence counts in its term only, without late orders", func(r *rules) { r.FenceAnyTerm = true }, attempts),
			Entry("the lease is settled again after a roster without a database was read, without late orders", func(r *rules) { r.KeepSettled = true }, attempts),
			Entry("one holder of all copies is recorded, if hosts forget no recorded database", func(r *rules) { r.AllCopiesUnlisted = true }, with(fresh, func(b *bounds) { b.Lapses = 1 })),
		)

		// What is acknowledged during an attempt by a host that does not count its successor any more.
		It("loses an acknowledged commit if the lease is not read again after a host has forgotten a database, or one was away", func() {
			losesIn(rules{Recorded: true, ForgetUnsettled: true, AwayUnsettled: true}, with(serving, func(b *bounds) { b.Removals, b.Lapses, b.CutAtCall = 1, 1, false }))
		})
	}
})
