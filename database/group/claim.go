package group

import (
	"fmt"
	"time"

	"github.com/bronzeloft/bronzeloft/database/groupsql"
	"github.com/bronzeloft/bronzeloft/objectapi"
)

// maxBackoffShift bounds the doublings of the backoff after lost claims.
const maxBackoffShift = 4

// claim is this host's attempt to replace the primary. A claimant sends the
// promotion of one term to one database only; where that may have been lost it
// repeats it there or claims a newer term.
type claim struct {
	state    State // Fencing, Promoting or Marking; empty when none
	cause    Cause
	term     uint64
	id       string // unique claimant id
	times    ClaimTimes
	stepAt   time.Time // start of the present step
	sentAt   time.Time // last send of the present step
	majorAt  time.Time // when a majority was fenced
	fenced   map[string]groupsql.Report
	refused  map[string]bool
	chosen   string
	attempts int           // lost claims in a row
	backoff  time.Duration // random wait after lost claims, on top of the turn
}

// ClaimTimes are the moments of a claim; those not reached are zero.
type ClaimTimes struct {
	Term      uint64
	Cause     Cause
	Detected  time.Time // the cause was seen
	Claimed   time.Time // the claim began: peers asked, rank waited for
	Fenced    time.Time // a majority was fenced and the new primary chosen
	Promoted  time.Time // the new primary answered
	Confirmed time.Time // its marker was on a majority
}

func (c *claim) active() bool { return c.state != "" }

// startClaim claims the next term.
func (t *Table) startClaim(now time.Time) []Action {
	c := &t.claim
	*c = claim{state: Fencing, cause: t.det.cause, term: t.highest + 1, attempts: c.attempts}
	c.id = fmt.Sprintf("%s-%d-%016x", t.cfg.Self, c.term, t.cfg.Rand.Uint64())
	c.times = ClaimTimes{Term: c.term, Cause: c.cause, Detected: t.det.since, Claimed: now}
	c.stepAt = now
	c.fenced, c.refused = make(map[string]groupsql.Report), make(map[string]bool)
	t.draining = false
	if c.cause == CauseLeaving {
		t.switchAt = now
	}
	t.lastClaim = c.times
	return t.sendFences(now)
}

// sendFences fences every member that has not answered this claim.
func (t *Table) sendFences(now time.Time) []Action {
	c := &t.claim
	c.sentAt = now
	var out []Action
	for _, m := range t.members {
		if _, done := c.fenced[m.ID]; done || c.refused[m.ID] {
			continue
		}
		out = append(out, Send{Database: m.ID, Op: groupsql.Op{Kind: groupsql.OpFence, Term: c.term, Claimant: c.id}})
	}
	return out
}

// claimTick advances the claim in time.
func (t *Table) claimTick(now time.Time) []Action {
	c := &t.claim
	if !c.active() {
		return nil
	}
	if t.claimExpired(now) || t.overtaken() {
		t.loseClaim()
		return nil
	}
	if c.state == Fencing && t.fencingDone(now) {
		return t.promote(now)
	}
	if now.Sub(c.sentAt) < t.t.ProbeTimeout/2 {
		return nil
	}
	switch c.state {
	case Fencing:
		return t.sendFences(now)
	case Promoting:
		return t.sendPromote(now)
	}
	return nil
}

// claimExpired reports whether the present step takes too long. The marking
// goes on while replicas advance.
func (t *Table) claimExpired(now time.Time) bool {
	from := t.claim.stepAt
	if t.claim.state != Marking {
		return now.Sub(from) >= t.t.ClaimTimeout
	}
	for _, m := range t.members {
		if m.ID != t.claim.chosen {
			from = later(from, m.progressAt)
		}
	}
	return now.Sub(from) >= t.t.StallAfter
}

// overtaken reports whether a newer claim makes this one hopeless.
func (t *Table) overtaken() bool {
	c := &t.claim
	if t.established && t.view.Term >= c.term || t.blocked(c.term) {
		return true
	}
	if c.state == Fencing {
		return len(t.members)-len(c.refused) < t.majority()
	}
	target := t.member(c.chosen)
	return target == nil || target.known && target.report.Accepted > c.term
}

// loseClaim gives the claim up. The next one waits for a random time besides
// its turn: hosts that duel see the same signs, and so have the same turn.
func (t *Table) loseClaim() {
	attempts := t.claim.attempts + 1
	span := min(t.t.BackoffMin<<min(attempts, maxBackoffShift), t.t.BackoffMax)
	wait := t.t.BackoffMin + time.Duration(t.cfg.Rand.Int64N(int64(span)))
	t.claim = claim{attempts: attempts, backoff: wait}
	t.det = detection{}
}

// fencingDone reports whether a majority is fenced and the rest has answered
// or had time to.
func (t *Table) fencingDone(now time.Time) bool {
	c := &t.claim
	if !t.quorumFenced() {
		return false
	}
	if c.majorAt.IsZero() {
		c.majorAt = now
	}
	if now.Sub(c.majorAt) >= t.t.FenceGrace {
		return true
	}
	for _, m := range t.members {
		_, done := c.fenced[m.ID]
		if !done && !c.refused[m.ID] && t.reachable(m, now) {
			return false
		}
	}
	return true
}

// quorumFenced reports whether the fenced members can choose. A member whose
// log is empty may have lost it, so it counts only where all logs are empty or
// all members answered.
func (t *Table) quorumFenced() bool {
	fenced := len(t.claim.fenced)
	blank := 0
	for _, r := range t.claim.fenced {
		if r.Position.IsZero() {
			blank++
		}
	}
	if fenced == len(t.members) || blank == fenced && t.highest <= t.claim.term && !t.everHeld() {
		return fenced >= t.majority()
	}
	return fenced-blank >= t.majority()
}

// everHeld reports whether any member was seen with a log.
func (t *Table) everHeld() bool {
	for _, m := range t.members {
		if !m.held.IsZero() {
			return true
		}
	}
	return false
}

// promote chooses the new primary and tells it.
func (t *Table) promote(now time.Time) []Action {
	c := &t.claim
	c.chosen = t.choose().ID
	c.state, c.stepAt = Promoting, now
	c.times.Fenced = now
	t.lastClaim = c.times
	return t.sendPromote(now)
}

func (t *Table) sendPromote(now time.Time) []Action {
	c := &t.claim
	c.sentAt = now
	return []Action{Send{Database: c.chosen, Op: groupsql.Op{Kind: groupsql.OpPromote, Term: c.term, Claimant: c.id}}}
}

// choose returns the fenced member with the highest position. Any majority of
// the fenced members holds every acknowledged write, so members that are to be
// avoided are left out where the others are a majority.
func (t *Table) choose() *member {
	pool := t.fencedMembers(func(m *member) bool { return !t.avoided(m) })
	if len(pool) < t.majority() {
		pool = t.fencedMembers(func(*member) bool { return true })
	}
	best := pool[0]
	for _, m := range pool[1:] {
		if t.better(m, best) {
			best = m
		}
	}
	return best
}

func (t *Table) fencedMembers(keep func(*member) bool) []*member {
	var out []*member
	for _, m := range t.members {
		if _, ok := t.claim.fenced[m.ID]; ok && keep(m) {
			out = append(out, m)
		}
	}
	return out
}

// avoided reports whether m should not be primary for the claim's cause.
func (t *Table) avoided(m *member) bool {
	switch t.claim.cause {
	case CauseStalled:
		return m.ID == t.view.Primary
	case CauseLeaving:
		return m.Leaving
	default:
		return false
	}
}

// better reports whether a is to be chosen before b.
func (t *Table) better(a, b *member) bool {
	pa, pb := t.claim.fenced[a.ID].Position, t.claim.fenced[b.ID].Position
	if c := pa.Compare(pb); c != 0 {
		return c > 0
	}
	if a.Leaving != b.Leaving {
		return b.Leaving
	}
	if t.claim.cause == CauseStranded && (a.ID == t.view.Primary) != (b.ID == t.view.Primary) {
		return a.ID == t.view.Primary
	}
	if nearA, nearB := a.DataCentre == t.cfg.DataCentre, b.DataCentre == t.cfg.DataCentre; nearA != nearB {
		return nearA
	}
	return a.ID < b.ID
}

// claimResult takes the answer to an operation of the claim.
func (t *Table) claimResult(m *member, op groupsql.Op, r groupsql.Report, err error, now time.Time) []Action {
	c := &t.claim
	if !c.active() || op.Term != c.term || op.Claimant != c.id {
		return nil
	}
	if err != nil {
		c.sentAt = now.Add(t.t.RetryInterval - t.t.ProbeTimeout/2) // sent again soon
		return nil
	}
	ours := r.OK && r.Accepted == c.term && r.Claimant == c.id
	switch {
	case op.Kind == groupsql.OpFence && c.state == Fencing && ours:
		c.fenced[m.ID] = r
	case op.Kind == groupsql.OpFence && c.state == Fencing:
		c.refused[m.ID] = true
	case op.Kind == groupsql.OpPromote && c.state == Promoting && ours:
		c.state, c.stepAt = Marking, now
		c.times.Promoted = now
		t.lastClaim = c.times
	case op.Kind == groupsql.OpPromote && c.state == Promoting:
		t.loseClaim()
	}
	return nil
}

// onEstablished ends a claim that succeeded, or one that another host's made
// needless, and publishes.
func (t *Table) onEstablished(p *member, now time.Time) {
	t.det, t.draining = detection{}, false
	t.durable, t.stallFrom = 0, now
	if p.Leaving {
		t.switchAt = now
	}
	own := t.claim.active() && t.claim.term == t.view.Term && p.report.Claimant == t.claim.id
	if own {
		t.claim.times.Confirmed = now
		t.lastClaim = t.claim.times
	}
	if own || t.claim.term <= t.view.Term {
		t.claim = claim{}
	}
	if own || t.rank == 0 {
		t.pending = append(t.pending, Publish{State: objectapi.GroupState{
			Group: t.cfg.Group, Term: t.view.Term, Primary: p.ID, Claim: p.report.Claimant,
		}})
	}
}
