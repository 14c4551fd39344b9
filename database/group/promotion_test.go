package group_test

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/database/group"
	"github.com/bronzeloft/bronzeloft/database/groupsql"
	"github.com/bronzeloft/bronzeloft/position"
)

var errTimeout = errors.New("timeout")

// quiet lets the named members answer every probe for d, and returns what the
// table asked for besides.
func (r *rig) quiet(d time.Duration, answers map[string]groupsql.Report) []group.Action {
	var out []group.Action
	for end := r.now.Add(d); r.now.Before(end); {
		r.pass(5 * ms)
		queue := r.Tick(r.now)
		for len(queue) > 0 {
			a := queue[0]
			queue = queue[1:]
			s, ok := a.(group.Send)
			rep, answered := answers[sendTo(a)]
			if ok && answered && s.Op.Kind == groupsql.OpPosition {
				queue = append(queue, r.OpResult(s.Database, s.Op, r.now, rep, nil, r.now)...)
				continue
			}
			out = append(out, a)
		}
	}
	return out
}

func sendTo(a group.Action) string {
	if s, ok := a.(group.Send); ok {
		return s.Database
	}
	return ""
}

func replica(index uint64) groupsql.Report {
	return groupsql.Report{OK: true, Role: groupsql.Replica, Accepted: 5, Position: at(5, index)}
}

// fences returns the fence operations among actions, by database.
func fences(actions []group.Action) map[string]groupsql.Op {
	out := make(map[string]groupsql.Op)
	for _, a := range actions {
		if s, ok := a.(group.Send); ok && s.Op.Kind == groupsql.OpFence {
			out[s.Database] = s.Op
		}
	}
	return out
}

func (r *rig) fenced(id string, op groupsql.Op, p position.Position) []group.Action {
	rep := groupsql.Report{OK: true, Role: groupsql.Fenced, Accepted: op.Term, Claimant: op.Claimant, Position: p}
	return r.OpResult(id, op, r.now, rep, nil, r.now)
}

// claiming returns a rig whose primary a is gone and which has begun to fence.
func claiming() (*rig, groupsql.Op) {
	GinkgoHelper()
	r := newRig().healthy()
	out := r.quiet(600*ms, map[string]groupsql.Report{"b": replica(10), "c": replica(9)})
	Expect(r.State()).To(Equal(group.Fencing))
	op, ok := fences(out)["b"]
	Expect(ok).To(BeTrue())
	Expect(op.Term).To(BeEquivalentTo(6))
	return r, op
}

var _ = Describe("detection", func() {
	alive := map[string]groupsql.Report{"b": replica(10), "c": replica(10)}

	It("asks peers first, and heeds one that hears the primary", func() {
		r := newRig().healthy()
		out := r.quiet(355*ms, alive)
		Expect(r.State()).To(Equal(group.AskingPeers))
		Expect(out).To(ContainElement(group.AskPeers{Database: "a"}))
		r.PeerReply("h9", "a", true, 20*ms, r.now)
		Expect(fences(r.quiet(200*ms, alive))).To(BeEmpty())
	})

	It("does not take an old sign of life for a new one", func() {
		r := newRig().healthy()
		r.quiet(355*ms, alive)
		r.PeerReply("h9", "a", true, 340*ms, r.now)
		Expect(fences(r.quiet(100*ms, alive))).NotTo(BeEmpty())
	})

	It("takes longer where no peer answers", func() {
		r := newRig().healthy()
		Expect(fences(r.quiet(500*ms, alive))).To(BeEmpty())
		Expect(fences(r.quiet(100*ms, alive))).NotTo(BeEmpty())
	})

	It("does nothing where this host reaches no majority", func() {
		r := newRig().healthy()
		Expect(fences(r.quiet(3*time.Second, map[string]groupsql.Report{"b": replica(10)}))).To(BeEmpty())
	})

	It("is sooner for a primary that refuses connections", func() {
		r := newRig().healthy()
		for range 4 {
			r.quiet(50*ms, alive)
			r.Unreachable("a", r.now)
		}
		r.quiet(10*ms, alive)
		Expect(r.State()).To(Equal(group.AskingPeers))
		r.PeerReply("h9", "a", false, 200*ms, r.now)
		Expect(fences(r.quiet(60*ms, alive))).NotTo(BeEmpty())
	})

	It("does not take errors that come late for refusals", func() {
		r := newRig().healthy()
		for range 4 {
			sent := r.now
			r.quiet(110*ms/2, alive)
			r.OpResult("a", groupsql.Op{}, sent.Add(-time.Second), groupsql.Report{}, errTimeout, r.now)
		}
		Expect(r.Status().Cause).To(Equal(group.CauseNone))
	})

	It("discounts this host's own pause", func() {
		r := newRig().healthy()
		r.quiet(60*ms, alive)
		r.pass(5 * time.Second)
		Expect(fences(r.quiet(200*ms, alive))).To(BeEmpty())
	})

	It("sees a replica's advance as a sign of life", func() {
		r := newRig().healthy()
		r.quiet(250*ms, alive)
		moved := map[string]groupsql.Report{"b": replica(11), "c": replica(11)}
		r.quiet(100*ms, moved)
		Expect(r.Status().Cause).To(Equal(group.CauseNone))
	})

	It("acts at once where half of an even group is fenced above the term", func() {
		four := append(three(), group.Member{ID: "d", Address: "10.0.4.1:5432", DataCentre: "dc3"})
		r := newRig(four...).healthy()
		stranded := replica(10)
		stranded.Role, stranded.Accepted = groupsql.Fenced, 7
		primary := replica(10)
		primary.Role = groupsql.Primary
		answers := map[string]groupsql.Report{"a": primary, "b": stranded, "c": replica(10), "d": stranded}
		out := r.quiet(300*ms, answers)
		Expect(fences(out)["a"].Term).To(BeEquivalentTo(8))
		_, _, ok := r.Primary()
		Expect(ok).To(BeFalse())
	})

	It("leaves alone a primary of a newer term that only peers hear", func() {
		r := newRig().healthy()
		newer := replica(12)
		newer.Accepted, newer.Position = 6, at(6, 12)
		answers := map[string]groupsql.Report{"b": newer, "c": newer}
		for range 200 {
			for _, a := range r.quiet(10*ms, answers) {
				Expect(sendTo(a)).NotTo(Equal("b"), "%v", a)
				if ask, ok := a.(group.AskPeers); ok {
					r.PeerReply("h9", ask.Database, true, 10*ms, r.now)
				}
			}
		}
	})

	It("waits longer on a host of a later rank", func() {
		r := newRig().healthy()
		r.SetRank(2)
		Expect(fences(r.quiet(640*ms, alive))).To(BeEmpty())
		Expect(fences(r.quiet(100*ms, alive))).NotTo(BeEmpty())
	})
})

var _ = Describe("a claim", func() {
	It("chooses the highest position of a fenced majority and tells it alone", func() {
		r, op := claiming()
		Expect(sends(r.fenced("c", op, at(5, 12)), groupsql.OpPromote)).To(BeEmpty(), "one is no majority")
		out := r.fenced("b", op, at(5, 11))
		Expect(sends(out, groupsql.OpPromote)).To(Equal([]string{"c"}))
		out = r.quiet(100*ms, nil)
		Expect(sends(out, groupsql.OpPromote)).NotTo(ContainElement("b"), "repeated to the same one only")
		Expect(sends(out, groupsql.OpPromote)).To(ContainElement("c"))
	})

	It("prefers a higher term to a longer log", func() {
		r, op := claiming()
		r.fenced("b", op, at(4, 900))
		Expect(sends(r.fenced("c", op, at(5, 1)), groupsql.OpPromote)).To(Equal([]string{"c"}))
	})

	It("repeats a fence whose answer was lost, under the same id", func() {
		r, op := claiming()
		r.OpResult("b", op, r.now, groupsql.Report{}, errTimeout, r.now)
		again := fences(r.quiet(40*ms, nil))
		Expect(again["b"]).To(Equal(op))
	})

	It("is given up when refused, and the next has a higher term and another id", func() {
		r, op := claiming()
		lost := groupsql.Report{Role: groupsql.Fenced, Accepted: 9, Claimant: "other", Position: at(5, 9)}
		r.OpResult("b", op, r.now, lost, nil, r.now)
		r.OpResult("c", op, r.now, lost, nil, r.now)
		Expect(r.State()).NotTo(Equal(group.Fencing))
		lost.OK = true
		out := r.quiet(2*time.Second, map[string]groupsql.Report{"b": lost, "c": lost})
		next := fences(out)["b"]
		Expect(next.Term).To(BeEquivalentTo(10))
		Expect(next.Claimant).NotTo(Equal(op.Claimant))
	})

	It("is given up after a pause of the claimant", func() {
		r, op := claiming()
		r.fenced("b", op, at(5, 11))
		r.pass(3 * time.Second)
		Expect(sends(r.fenced("c", op, at(5, 12)), groupsql.OpPromote)).To(BeEmpty())
	})

	It("does not count the success of another claimant of its term", func() {
		r, _ := claiming()
		out := r.OpResult("c", groupsql.Op{}, r.now, groupsql.Report{
			OK: true, Role: groupsql.Primary, Accepted: 6, Claimant: "other", Position: at(6, 12),
		}, nil, r.now)
		out = append(out, r.OpResult("b", groupsql.Op{}, r.now, groupsql.Report{
			OK: true, Role: groupsql.Replica, Accepted: 6, Claimant: "other", Position: at(6, 12),
		}, nil, r.now)...)
		id, term, ok := r.Primary()
		Expect(ok).To(BeTrue())
		Expect(id).To(Equal("c"))
		Expect(term).To(BeEquivalentTo(6))
		Expect(r.LastClaim().Confirmed.IsZero()).To(BeTrue())
		for _, a := range out {
			if p, ok := a.(group.Publish); ok {
				Expect(p.State.Claim).To(Equal("other"))
			}
		}
	})

	It("routes, publishes and ends only when the marker is on a majority", func() {
		r, op := claiming()
		r.fenced("b", op, at(5, 11))
		r.fenced("c", op, at(5, 12))
		promote := groupsql.Op{Kind: groupsql.OpPromote, Term: 6, Claimant: op.Claimant}
		rep := groupsql.Report{OK: true, Role: groupsql.Primary, Accepted: 6, Claimant: op.Claimant, Position: at(6, 13)}
		out := r.OpResult("c", promote, r.now, rep, nil, r.now)
		Expect(sends(out, groupsql.OpFollow)).To(Equal([]string{"b"}))
		Expect(r.State()).To(Equal(group.Marking))
		_, _, ok := r.Primary()
		Expect(ok).To(BeFalse())
		r.pass(ms).report("b", groupsql.Replica, 6, 5, 11)
		_, _, ok = r.Primary()
		Expect(ok).To(BeFalse())
		out = r.pass(ms).report("b", groupsql.Replica, 6, 6, 13)
		Expect(out).To(ContainElement(BeAssignableToTypeOf(group.Publish{})))
		Expect(r.State()).To(Equal(group.Watching))
		view, ok := r.View()
		Expect(ok).To(BeTrue())
		Expect(view).To(Equal(group.View{Term: 6, Primary: "c", Marker: 13}))
	})

	It("does not count a member that lost its log", func() {
		r, op := claiming()
		r.fenced("b", op, position.Position{})
		Expect(sends(r.fenced("c", op, at(5, 9)), groupsql.OpPromote)).To(BeEmpty())
		Expect(sends(r.fenced("a", op, at(5, 10)), groupsql.OpPromote)).To(Equal([]string{"a"}))
	})
})

var _ = Describe("follow orders", func() {
	It("go to a late returner and to one that restarted, not to one fenced above", func() {
		r := newRig().healthy()
		Expect(sends(r.pass(ms).report("c", groupsql.Primary, 4, 4, 99), groupsql.OpFollow)).To(Equal([]string{"c"}))
		r.pass(60 * ms)
		Expect(sends(r.report("b", groupsql.Fenced, 5, 5, 10), groupsql.OpFollow)).To(ContainElement("b"))
		r.pass(60 * ms)
		Expect(sends(r.report("c", groupsql.Fenced, 7, 5, 10), groupsql.OpFollow)).NotTo(ContainElement("c"))
	})

	It("become rarer to a replica that does not advance", func() {
		r := newRig().healthy()
		behind := map[string]groupsql.Report{
			"a": {OK: true, Role: groupsql.Primary, Accepted: 5, Position: at(5, 10)},
			"b": replica(10), "c": replica(3),
		}
		out := r.quiet(10*time.Second, behind)
		Expect(len(sends(out, groupsql.OpFollow))).To(BeNumerically("<=", 5))
	})
})
