package succession_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/position"
)

func TestSuccession(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "database/succession")
}

func pos(index uint64) position.Position { return position.Position{Term: 1, Index: index} }

var _ = Describe("the reason to replace a primary", func() {
	silent := succession.View{Primary: "a", Unreachable: true}
	healthy := succession.View{Primary: "a"}
	unknown := succession.View{}
	stalled := succession.View{Primary: "a", Stalled: true}
	other := succession.View{Primary: "b"}

	DescribeTable("requires the agreement of at least half of the other hosts with a view of it",
		func(own succession.View, leaving bool, others []succession.View, want succession.Reason) {
			Expect(succession.ReasonToReplace(own, leaving, others)).To(Equal(want))
		},
		Entry("the primary is healthy", healthy, false, []succession.View{healthy, healthy}, succession.None),
		Entry("only this host cannot reach it", silent, false, []succession.View{healthy, healthy, healthy}, succession.None),
		Entry("half of the others cannot reach it either", silent, false, []succession.View{silent, healthy}, succession.Silent),
		Entry("no views of other hosts", silent, false, nil, succession.Silent),
		Entry("views of another primary do not count", silent, false, []succession.View{other, other, silent}, succession.Silent),
		Entry("it is leaving", healthy, true, []succession.View{healthy}, succession.Leaving),
		Entry("no primary is known anywhere", unknown, false, []succession.View{unknown, unknown}, succession.Absent),
		Entry("most other hosts know a primary", unknown, false, []succession.View{other, other, unknown}, succession.None),
		Entry("commits stall on this host only", stalled, false, []succession.View{healthy, healthy, healthy}, succession.None),
		Entry("commits stall on all hosts", stalled, false, []succession.View{stalled, stalled}, succession.Stalled),
	)
})

var _ = Describe("the choice of a successor", func() {
	It("chooses the longest log, and among equals a database that is not leaving", func() {
		best, ok := succession.Choose([]succession.Candidate{
			{ID: "a", Answered: true, Received: pos(3)},
			{ID: "b", Answered: true, Received: pos(5), Leaving: true},
			{ID: "c", Answered: true, Received: pos(5)},
		}, pos(5), position.Position{}, false)
		Expect(ok).To(BeTrue())
		Expect(best.ID).To(Equal("c"))
	})

	It("chooses none if no replica answers", func() {
		_, ok := succession.Choose([]succession.Candidate{{ID: "a"}}, position.Position{}, position.Position{}, true)
		Expect(ok).To(BeFalse())
	})

	It("prefers, among equal logs, a database that every host knows", func() {
		best, ok := succession.Choose([]succession.Candidate{
			{ID: "a", Answered: true, Received: pos(5)},
			{ID: "b", Answered: true, Received: pos(5), Established: true, Leaving: true},
		}, pos(5), position.Position{}, false)
		Expect(ok).To(BeTrue())
		Expect(best.ID).To(Equal("b"))
	})

	// The replica that held the commit has restarted without its log.
	It("chooses none that lacks an acknowledged commit until the primary is known to have ended", func() {
		all := []succession.Candidate{{ID: "a", Answered: true, Listed: true, Received: pos(5)}, {ID: "b", Answered: true, Listed: true}}
		_, ok := succession.Choose(all, pos(6), position.Position{}, false)
		Expect(ok).To(BeFalse())
		best, ok := succession.Choose(all, pos(6), position.Position{}, true)
		Expect(ok).To(BeTrue())
		Expect(best.ID).To(Equal("a"))
	})

	// Guards against the loss of the commits that only the last successor holds, when it
	// is replaced before the others have received its log.
	It("chooses none whose log is shorter than that of the last successor, whatever term it has joined", func() {
		all := []succession.Candidate{{ID: "c", Answered: true, Listed: true, Received: position.Position{Term: 2, Index: 4}}}
		_, ok := succession.Choose(all, position.Position{}, pos(5), false)
		Expect(ok).To(BeFalse())
		_, ok = succession.Choose(all, pos(5), position.Position{}, false)
		Expect(ok).To(BeFalse())
		all[0].Received.Index = 5
		_, ok = succession.Choose(all, pos(5), pos(5), false)
		Expect(ok).To(BeTrue())
	})

	It("knows a candidate with fewer entries than another one, although it has joined a newer term", func() {
		joined := succession.Candidate{ID: "a", Answered: true, Received: position.Position{Term: 2}}
		holder := succession.Candidate{ID: "c", Answered: true, Received: pos(1)}
		Expect(succession.Outgrown(joined, []succession.Candidate{joined, holder})).To(BeTrue())
		Expect(succession.Outgrown(holder, []succession.Candidate{joined, holder})).To(BeFalse())
		holder.Answered = false
		Expect(succession.Outgrown(joined, []succession.Candidate{joined, holder})).To(BeFalse())
	})

	// Guards against the loss of a commit that was acknowledged because all replicas that
	// a host knew held it.
	It("chooses none that hosts may not know while there is another one", func() {
		all := []succession.Candidate{{ID: "b", Answered: true, Established: true, Received: pos(5)}, {ID: "c", Answered: true, Received: pos(6)}}
		_, ok := succession.Choose(all, pos(5), pos(0), true)
		Expect(ok).To(BeFalse())
		best, ok := succession.Choose(all[1:], pos(5), pos(0), true)
		Expect(ok).To(BeTrue())
		Expect(best.ID).To(Equal("c"))
	})

	It("takes the established replica that started first for the senior one, unless it is leaving", func() {
		_, ok := succession.Senior([]succession.Candidate{{ID: "a", Established: true}, {ID: "b", Answered: true}})
		Expect(ok).To(BeFalse())
		senior, ok := succession.Senior([]succession.Candidate{
			{ID: "a", Answered: true, StartMillis: 1},
			{ID: "b", Answered: true, Established: true, StartMillis: 2, Leaving: true},
			{ID: "c", Answered: true, Established: true, StartMillis: 4},
			{ID: "d", Answered: true, Established: true, StartMillis: 3},
		})
		Expect(ok).To(BeTrue())
		Expect(senior.ID).To(Equal("d"))
	})

	// A commit is acknowledged once one replica has it. Whichever replicas answer,
	// the successor's log must hold every acknowledged commit, provided that a
	// replica that is down holds no acknowledged commit that the hosts have not
	// recorded.
	It("never loses an acknowledged commit", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			var acked, recorded uint64
			var all []succession.Candidate
			for i := range rapid.IntRange(1, 4).Draw(t, "replicas") {
				c := succession.Candidate{
					ID: string(rune('a' + i)), Received: pos(rapid.Uint64Range(0, 9).Draw(t, "received")),
					Answered: rapid.Bool().Draw(t, "answered"), Listed: rapid.Bool().Draw(t, "listed"), CutOff: rapid.Bool().Draw(t, "cutOff"),
				}
				all = append(all, c)
				acked = max(acked, c.Received.Index)
				if c.Answered || !c.Listed && !c.CutOff {
					recorded = max(recorded, c.Received.Index)
				}
			}
			known := append([]succession.Candidate(nil), all...)
			for i := range known {
				if !known[i].Answered {
					known[i].Received = position.Position{}
				}
			}
			best, ok := succession.Choose(known, pos(recorded), pos(0), rapid.Bool().Draw(t, "primaryGone"))
			if ok && best.Received.Index < acked {
				t.Fatalf("successor %s has log end %s, but index %d was acknowledged; candidates: %+v", best.ID, best.Received, acked, all)
			}
		})
	})

	DescribeTable("is the database of a pending order if that has the same log and is as well known",
		func(change func(*succession.Candidate), want string) {
			best := succession.Candidate{ID: "a", Answered: true, Received: pos(7), Established: true, Known: true}
			pending := best
			pending.ID = "b"
			change(&pending)
			Expect(succession.Prefer("b", best, []succession.Candidate{best, pending}).ID).To(Equal(want))
		},
		Entry("the same", func(*succession.Candidate) {}, "b"),
		Entry("a shorter log", func(c *succession.Candidate) { c.Received = pos(6) }, "a"),
		Entry("unread", func(c *succession.Candidate) { c.Answered = false }, "a"),
		Entry("leaving", func(c *succession.Candidate) { c.Leaving = true }, "a"),
		Entry("not established", func(c *succession.Candidate) { c.Established = false }, "a"),
		Entry("not known to all hosts", func(c *succession.Candidate) { c.Known = false }, "a"),
	)
})

var _ = Describe("the evidence for a commit", func() {
	commit := position.Position{Term: 2, Index: 7}
	holding := succession.Copy{Established: true, Answered: true, Term: 2, Received: commit}
	with := func(change func(*succession.Copy)) succession.Copy {
		c := holding
		change(&c)
		return c
	}
	behind := with(func(c *succession.Copy) { c.Received.Index-- })
	silent := with(func(c *succession.Copy) { c.Answered = false })
	otherTerm := with(func(c *succession.Copy) { c.Term, c.Received.Term = 3, 3 })
	isPrimary := with(func(c *succession.Copy) { c.Primary = true })
	started := with(func(c *succession.Copy) { c.Established = false })

	DescribeTable("is that of all replicas only if each of them holds it in its term",
		func(want succession.Evidence, replicas ...succession.Copy) {
			Expect(succession.EvidenceFor(commit, replicas)).To(Equal(want))
		},
		Entry("all hold it", succession.AllCopies, holding, holding),
		Entry("one is behind", succession.OneCopy, holding, behind),
		Entry("one is silent", succession.OneCopy, silent, holding),
		Entry("one follows a later primary", succession.OneCopy, holding, otherTerm),
		Entry("one is the primary", succession.OneCopy, holding, isPrimary),
		Entry("all hold it, one of them new", succession.AllCopies, holding, started),
		Entry("only a new one holds it", succession.NoCopy, started, behind),
		Entry("only a new one exists", succession.NoCopy, started),
		Entry("none holds it", succession.NoCopy, behind, otherTerm, isPrimary),
		Entry("no replica is known", succession.NoCopy),
	)
})

var _ = Describe("a lease", func() {
	DescribeTable("is settled only if nothing can replace the primary of the term any more",
		func(l succession.Lease, want bool) { Expect(l.Settled(2)).To(Equal(want)) },
		Entry("released", succession.Lease{Holder: "a", Released: true, Term: 2, Rules: succession.Rules}, true),
		Entry("released in an earlier term", succession.Lease{Holder: "a", Released: true, Term: 1, Rules: succession.Rules}, true),
		Entry("held", succession.Lease{Holder: "a", Term: 2, Rules: succession.Rules}, false),
		Entry("released with an order pending", succession.Lease{Holder: "a", Released: true, Ordered: "b", Term: 2, Rules: succession.Rules}, false),
		Entry("released in a later term", succession.Lease{Holder: "a", Released: true, Term: 3, Rules: succession.Rules}, false),
		Entry("released by a version that states no rules", succession.Lease{Holder: "a", Released: true, Term: 2}, false),
		Entry("of unknown content", succession.Lease{}, false),
	)

	DescribeTable("shows that earlier orders were waited for if it is settled, or a round of voiding has passed in the same term",
		func(l succession.Lease, term uint64, want bool) {
			l.Rules = succession.Rules
			Expect(l.Waited(term)).To(Equal(want))
		},
		Entry("settled", succession.Lease{Released: true, Term: 2}, uint64(2), true),
		Entry("settled in an earlier term", succession.Lease{Released: true, Term: 2}, uint64(3), true),
		Entry("an order pending", succession.Lease{Released: true, Ordered: "a", Term: 2}, uint64(2), false),
		Entry("a round passed", succession.Lease{Ordered: "a", Unseen: true, Rounds: 1, Term: 2}, uint64(2), true),
		Entry("a round passed in an earlier term", succession.Lease{Ordered: "a", Unseen: true, Rounds: 1, Term: 2}, uint64(3), false),
		Entry("a round passed in a later term", succession.Lease{Ordered: "a", Unseen: true, Rounds: 1, Term: 3}, uint64(2), false),
	)
})

var _ = Describe("a roster", func() {
	none := func(string) bool { return false }
	db := func(id, dataCentre string) routes.Database {
		return routes.Database{ID: id, Service: "orders", Address: id + ":1", DataCentre: dataCentre, StartMillis: 7}
	}

	It("adds what is present and removes only what is gone", func() {
		r, changed := succession.Roster{}.Update([]routes.Database{db("a", "x"), db("b", "y")}, "a", 3, none)
		Expect(changed).To(BeTrue())
		Expect(r.Primary).To(Equal("a"))
		_, changed = r.Update([]routes.Database{db("b", "y")}, "", 0, none)
		Expect(changed).To(BeFalse())
		Expect(r.Missing("orders", []routes.Database{db("b", "y")})).To(Equal([]routes.Database{db("a", "x")}))
		r, changed = r.Update([]routes.Database{db("b", "y")}, "", 0, func(id string) bool { return id == "a" })
		Expect(changed).To(BeTrue())
		Expect(r.Databases).To(HaveLen(1))
		Expect(r.Primary).To(Equal("a"), "the last one known")
	})

	It("replaces the place of a database that has restarted, and the primary only by that of a later term", func() {
		r, _ := succession.Roster{}.Update([]routes.Database{db("a", "x")}, "a", 3, none)
		again := db("a", "x")
		again.Address = "a:2"
		r, changed := r.Update([]routes.Database{again}, "b", 2, none)
		Expect(changed).To(BeTrue())
		Expect(r.Databases["a"].Address).To(Equal("a:2"))
		Expect(r.Primary).To(Equal("a"))
		r, _ = r.Update(nil, "b", 4, none)
		Expect(r.Primary).To(Equal("b"))
	})
})
