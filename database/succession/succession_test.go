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

	// Guards against the loss of commits (LOST) that only a database held that was down for some
	// seconds, with its entry lapsed and its address refusing.
	DescribeTable("waits for each log that may hold the only copy of an acknowledged commit",
		func(change func(*succession.Candidate), acked uint64, want bool) {
			unread := succession.Candidate{ID: "b", Refused: true}
			change(&unread)
			all := []succession.Candidate{{ID: "a", Answered: true, Listed: true, Recorded: true, Received: pos(5)}, unread}
			for _, primaryGone := range []bool{false, true} {
				_, ok := succession.Choose(all, pos(acked), pos(5), primaryGone)
				Expect(ok).To(Equal(want), "the primary seems gone: %t", primaryGone)
			}
		},
		Entry("one that the roster has", func(c *succession.Candidate) { c.Recorded = true }, uint64(5), false),
		Entry("one that is listed", func(c *succession.Candidate) { c.Listed = true }, uint64(5), false),
		Entry("not the primary that is replaced", func(c *succession.Candidate) { c.Recorded, c.Listed, c.Replaced = true, true, true }, uint64(5), true),
		Entry("not one that no commit rests on", func(c *succession.Candidate) {}, uint64(5), true),
		Entry("not one that was given up", func(c *succession.Candidate) { c.Recorded, c.Abandoned = true, true }, uint64(5), true),
		Entry("not one that was given up, though more was acknowledged", func(c *succession.Candidate) { c.Recorded, c.Abandoned = true, true }, uint64(6), true),
		Entry("nor the primary if that was given up, though more was acknowledged", func(c *succession.Candidate) { c.Replaced, c.Recorded, c.Abandoned = true, true, true }, uint64(6), true),
	)

	DescribeTable("chooses none that lacks an acknowledged position, or the floor, unless each log that is unread was given up",
		func(others []succession.Candidate, want bool) {
			all := append([]succession.Candidate{{ID: "a", Answered: true, Listed: true, Recorded: true, Received: pos(5)}}, others...)
			for _, primaryGone := range []bool{false, true} {
				_, ok := succession.Choose(all, pos(6), pos(0), primaryGone)
				Expect(ok).To(Equal(want))
				_, ok = succession.Choose(all, pos(0), pos(6), primaryGone)
				Expect(ok).To(Equal(want))
			}
		},
		Entry("all have answered", []succession.Candidate{{ID: "b", Answered: true, Recorded: true}}, false),
		Entry("a former database is unread", []succession.Candidate{{ID: "b", Refused: true}}, false),
		Entry("the primary is unread", []succession.Candidate{{ID: "p", Replaced: true}}, false),
		Entry("the primary is unread, a replica was given up", []succession.Candidate{{ID: "p", Replaced: true}, {ID: "b", Recorded: true, Abandoned: true}}, false),
		Entry("the primary and a replica were given up", []succession.Candidate{{ID: "p", Replaced: true, Recorded: true, Abandoned: true}, {ID: "b", Recorded: true, Abandoned: true}}, true),
		Entry("one was given up and has answered", []succession.Candidate{{ID: "b", Answered: true, Recorded: true, Abandoned: true}}, false),
	)

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

	// A commit is acknowledged once one replica that the roster has holds it. Whichever replicas
	// answer, and whatever is known to be acknowledged, the successor's log must hold
	// every acknowledged commit.
	It("never loses an acknowledged commit", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			var acked uint64
			var all []succession.Candidate
			for i := range rapid.IntRange(1, 4).Draw(t, "replicas") {
				c := succession.Candidate{
					ID: string(rune('a' + i)), Received: pos(rapid.Uint64Range(0, 9).Draw(t, "received")),
					Answered: rapid.Bool().Draw(t, "answered"), Listed: rapid.Bool().Draw(t, "listed"), CutOff: rapid.Bool().Draw(t, "cutOff"),
					Refused: rapid.Bool().Draw(t, "refused"), Recorded: rapid.Bool().Draw(t, "recorded"),
				}
				all = append(all, c)
				if c.Recorded {
					acked = max(acked, c.Received.Index)
				}
			}
			known := append([]succession.Candidate(nil), all...)
			for i := range known {
				if !known[i].Answered {
					known[i].Received = position.Position{}
				}
			}
			knownAcked := pos(rapid.Uint64Range(0, acked).Draw(t, "knownAcked"))
			best, ok := succession.Choose(known, knownAcked, pos(0), rapid.Bool().Draw(t, "primaryGone"))
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

	// Guards against a commit that a host acknowledged by the replicas that it knows, of which the
	// senior one is the last that all hosts may be taken to know.
	DescribeTable("prefers one outside of evacuated data centres, unless Choose would not take it",
		func(change func(best, other *succession.Candidate), want string) {
			best := succession.Candidate{ID: "a", Answered: true, Received: pos(7), Established: true, Known: true, Evacuated: true, StartMillis: 1}
			other := succession.Candidate{ID: "b", Answered: true, Received: pos(7), Established: true, Known: true, StartMillis: 2}
			change(&best, &other)
			all := []succession.Candidate{best, other}
			_, ok := succession.Choose(all, pos(7), pos(7), false)
			Expect(ok).To(BeTrue())
			Expect(succession.Outside(best, all).ID).To(Equal(want))
		},
		Entry("the same", func(_, _ *succession.Candidate) {}, "b"),
		Entry("the best is outside", func(best, _ *succession.Candidate) { best.Evacuated = false }, "a"),
		Entry("both are evacuated", func(_, other *succession.Candidate) { other.Evacuated = true }, "a"),
		Entry("a shorter log", func(_, other *succession.Candidate) { other.Received = pos(6) }, "a"),
		Entry("neither is known to all hosts, and the other is junior", func(best, other *succession.Candidate) { best.Known, other.Known = false, false }, "a"),
	)
})

var _ = Describe("the evidence for a commit", func() {
	commit := position.Position{Term: 2, Index: 7}
	holding := succession.Copy{Established: true, Recorded: true, Answered: true, Term: 2, Received: commit}
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
	unrecorded := with(func(c *succession.Copy) { c.Recorded = false })

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
		Entry("all hold it, the roster has one of them", succession.AllCopies, holding, unrecorded),
		Entry("all hold it, the roster has none of them", succession.OneCopy, unrecorded, unrecorded),
		Entry("all hold it, the roster has a new one only", succession.OneCopy, unrecorded, started),
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
	db := func(id, dataCentre string) routes.Database {
		return routes.Database{ID: id, Service: "orders", Address: id + ":1", DataCentre: dataCentre, StartMillis: 7}
	}
	leaving := func(db routes.Database) routes.Database { db.Leaving = true; return db }
	restarted := func(db routes.Database) routes.Database { db.StartMillis++; return db }
	at := func(id, address string, start int64) routes.Database {
		return routes.Database{ID: id, Service: "orders", Address: address, DataCentre: "y", StartMillis: start}
	}
	a, b, c := db("a", "x"), db("b", "y"), db("c", "y")
	full, _ := succession.Roster{}.Update([]routes.Database{a, b, c}, "a", 3)

	It("adds what is present, and keeps the last primary", func() {
		Expect(full.Databases).To(HaveLen(3))
		Expect(full.Primary).To(Equal("a"))
		r, changed := full.Update([]routes.Database{a, b, c}, "", 0, "a", "b", "c")
		Expect(changed).To(BeFalse())
		Expect(r.Missing("orders", []routes.Database{b})).To(ConsistOf(a, c))
		r, changed = full.Update([]routes.Database{a, b, c}, "b", 2)
		Expect(changed).To(BeFalse())
		Expect(r.Primary).To(Equal("a"), "of the newest term")
		r, _ = full.Update(nil, "b", 4)
		Expect(r.Primary).To(Equal("b"))
	})

	It("adds what it lacks without a change of the others", func() {
		moved := restarted(a)
		r, changed := full.Add([]routes.Database{moved, db("d", "x"), leaving(db("e", "x"))})
		Expect(changed).To(BeTrue())
		Expect(r.Databases).To(HaveLen(4))
		Expect(r.Databases["a"].StartMillis).To(Equal(a.StartMillis))
		_, changed = full.Add([]routes.Database{moved, leaving(b)})
		Expect(changed).To(BeFalse())
	})

	// Guards against the loss of commits (LOST) of a database that was taken off the record
	// while it was down for some seconds.
	DescribeTable("retires a database in one step, and removes it in another one once its log is held elsewhere",
		func(present []routes.Database, countsAgain bool, want map[string]int64) {
			first, changed := full.Update(present, "a", 3, "a", "b", "c")
			Expect(changed).To(BeTrue())
			Expect(first.RetiringIDs()).To(Equal([]string{"c"}), "though others hold the logs of those that retired before")
			place := first.Databases["c"]
			Expect(append(place.FormerStarts, place.StartMillis)).To(ContainElement(c.StartMillis))
			Expect(first.Counts("c", c.StartMillis)).To(BeFalse())
			Expect(first.Counts("c", c.StartMillis+1)).To(Equal(countsAgain))
			_, changed = first.Update(present, "a", 3)
			Expect(changed).To(BeFalse())
			second, changed := first.Update(present, "a", 3, "a", "b", "c")
			Expect(changed).To(BeTrue())
			starts := map[string]int64{}
			for id, place := range second.Databases {
				starts[id] = place.StartMillis
			}
			Expect(starts).To(Equal(want))
			Expect(second.RetiringIDs()).To(BeEmpty())
		},
		Entry("one that has gone", []routes.Database{a, b}, false, map[string]int64{"a": 7, "b": 7}),
		Entry("one that is leaving", []routes.Database{a, b, leaving(c)}, false, map[string]int64{"a": 7, "b": 7}),
		Entry("the former process of one that has restarted", []routes.Database{a, b, restarted(c)}, true, map[string]int64{"a": 7, "b": 7, "c": 8}),
	)

	It("keeps each process of a database that has restarted twice, and that retired before", func() {
		twice := restarted(restarted(c))
		r, _ := full.Update([]routes.Database{a, b}, "", 0)
		r, _ = r.Update([]routes.Database{a, b, restarted(c)}, "", 0)
		r, _ = r.Update([]routes.Database{a, b, twice}, "", 0)
		Expect(r.Databases["c"].FormerStarts).To(Equal([]int64{7, 8}))
		Expect(r.Counts("c", 9)).To(BeTrue())
		r, _ = r.Update([]routes.Database{a, b, twice}, "", 0, "a", "b", "c")
		Expect(r.Databases["c"].FormerStarts).To(BeEmpty())
	})

	It("has a database that is back as another process given up until the former one is removed", func() {
		r, _ := full.Update([]routes.Database{a, b}, "", 0)
		place := r.Databases["c"]
		place.Abandoned = true
		r.Databases["c"] = place
		r, _ = r.Update([]routes.Database{a, b, restarted(c)}, "", 0)
		Expect(r.Databases["c"].Abandoned).To(BeTrue())
		Expect(r.Counts("c", 8)).To(BeFalse())
		r, _ = r.Update([]routes.Database{a, b, restarted(c)}, "", 0, "a", "b", "c")
		Expect(r.Counts("c", 8)).To(BeTrue())
	})

	It("no longer retires a database that is back with the same start, and takes up one that was given up", func() {
		gone, _ := full.Update([]routes.Database{a, b}, "", 0)
		place := gone.Databases["c"]
		place.Abandoned = true
		gone.Databases["c"] = place
		back, changed := gone.Update([]routes.Database{a, b, c}, "", 0, "a", "b", "c")
		Expect(changed).To(BeTrue())
		Expect(back.Counts("c", c.StartMillis)).To(BeTrue())
		still, _ := gone.Update([]routes.Database{a, b}, "", 0)
		Expect(still.Databases["c"].Abandoned).To(BeTrue())
	})

	Context("with a retiring database", func() {
		r, _ := full.Update([]routes.Database{a, b}, "a", 3)
		end := position.Position{Term: 3, Index: 9}
		led := succession.LogReport{ID: "a", StartMillis: 7, Primary: true, Term: 3, Received: end}
		other := succession.LogReport{ID: "b", StartMillis: 7, Known: true, Term: 3, Received: end}
		held := func(want bool) []string {
			if want {
				return []string{"c"}
			}
			return nil
		}

		DescribeTable("has what its log may hold elsewhere only if the primary has proved its lead and another database holds its log",
			func(change func(led, other *succession.LogReport), newest uint64, want bool) {
				led, other := led, other
				change(&led, &other)
				Expect(r.HeldElsewhere(led, []succession.LogReport{other}, newest, nil)).To(Equal(held(want)))
			},
			Entry("they have", func(led, other *succession.LogReport) {}, uint64(3), true),
			Entry("in a newer term than the roster names", func(led, other *succession.LogReport) { led.Term, other.Term = 4, 4 }, uint64(4), true),
			Entry("no primary", func(led, other *succession.LogReport) { led.Primary = false }, uint64(3), false),
			Entry("a primary of before", func(led, other *succession.LogReport) { led.Term, other.Term = 2, 2 }, uint64(0), false),
			Entry("a newer term is known", func(led, other *succession.LogReport) {}, uint64(4), false),
			Entry("the other lacks a commit", func(led, other *succession.LogReport) { other.Received.Index-- }, uint64(3), false),
			Entry("the other has joined the term and lacks entries", func(led, other *succession.LogReport) {
				led.Received.Term, other.Received.Index = 2, 8
			}, uint64(3), false),
			Entry("the other is in another term", func(led, other *succession.LogReport) { other.Term = 2 }, uint64(3), false),
			Entry("the other is a primary", func(led, other *succession.LogReport) { other.Primary = true }, uint64(3), false),
			Entry("hosts may not know the other", func(led, other *succession.LogReport) { other.Known = false }, uint64(3), false),
			Entry("the other has restarted", func(led, other *succession.LogReport) { other.StartMillis++ }, uint64(3), false),
			Entry("the other retires too", func(led, other *succession.LogReport) { other.ID = "c" }, uint64(3), false),
			Entry("there is only the primary", func(led, other *succession.LogReport) { *other = *led; other.Primary = false }, uint64(3), false),
			Entry("the roster lacks the other", func(led, other *succession.LogReport) { other.ID = "d" }, uint64(3), false),
		)

		// Guards against a service that waits for the log of a former process for ever, because
		// its databases keep being replaced before they are known to all hosts.
		DescribeTable("has it with a database that hosts may not know only if its process has ended",
			func(present []routes.Database, want bool) {
				other := other
				other.Known = false
				Expect(r.HeldElsewhere(led, []succession.LogReport{other}, 3, present)).To(Equal(held(want)))
			},
			Entry("it is not listed", []routes.Database{a, b}, false),
			Entry("it is listed as leaving", []routes.Database{a, b, leaving(c)}, false),
			Entry("a later process has its id", []routes.Database{a, b, restarted(c)}, true),
			Entry("a later process has its address under another id", []routes.Database{a, b, at("d", c.Address, 8)}, true),
			Entry("an earlier process has its address under another id", []routes.Database{a, b, at("d", c.Address, 6)}, false),
			Entry("a later process has another address and id", []routes.Database{a, b, at("d", "127.0.0.9:1", 8)}, false),
		)
	})
})
