package group

import (
	"fmt"
	"time"

	"github.com/bronzeloft/bronzeloft/database/groupsql"
	"github.com/bronzeloft/bronzeloft/objectapi"
)

// maxBackoffShift is the maximum number of times that the backoff after lost
// claims is doubled.
const maxBackoffShift = 4

// claim is this host's attempt to replace the primary. A claimant sends the
// promotion in one term to one database only. If the message may have been lost,
// it sends it to the same database again or claims a newer term.
type claim struct {
	state      State // Fencing, Promoting or Marking; empty when none
	cause      Cause
	term       uint64
	id         string // unique claimant id
	times      ClaimTimes
	stepAt     time.Time                  // start of the current step
	sentAt     time.Time                  // last send of the current step
	majorityAt time.Time                  // when a majority was fenced
	fenced     map[string]groupsql.Report // by member that accepted the fence
	refused    map[string]bool            // members that refused the fence
	chosen     string                     // the member to promote
	attempts   int                        // consecutive lost claims
	backoff    time.Duration              // random delay after a lost claim, in addition to the rank delay
}

// ClaimTimes holds the times of the steps of a claim; zero for steps not reached.
type ClaimTimes struct {
	Term      uint64
	Cause     Cause
	Detected  time.Time // the cause was detected
	Claimed   time.Time // the claim began, after the queries to peers and this host's rank delay
	Fenced    time.Time // a majority was fenced and the new primary chosen
	Promoted  time.Time // the new primary reported its promotion
	Confirmed time.Time // a majority held its marker
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

// sendFences sends a fence to every member that has neither accepted nor refused
// this claim.
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

// claimTick runs the time-dependent steps of the claim: expiry, the end of
// fencing and repeats of lost messages.
func (t *Table) claimTick(now time.Time) []Action {
	c := &t.claim
	if !c.active() {
		return nil
	}
	if t.claimExpired(now) || t.superseded() {
		t.abandonClaim()
		return nil
	}
	if c.state == Fencing && t.fencingDone(now) {
		return t.promote(now)
	}
	if now.Sub(c.sentAt) < t.timing.ProbeTimeout/2 {
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

// claimExpired reports whether the current step has exceeded its time limit. The
// limit of the marking step restarts whenever a replica advances.
func (t *Table) claimExpired(now time.Time) bool {
	from := t.claim.stepAt
	if t.claim.state != Marking {
		return now.Sub(from) >= t.timing.ClaimTimeout
	}
	for _, m := range t.members {
		if m.ID != t.claim.chosen {
			from = later(from, m.progressAt)
		}
	}
	return now.Sub(from) >= t.timing.StallAfter
}

// superseded reports whether this claim can no longer succeed: its term or a newer
// one is established, too many members refused it or promised a newer term, or the
// chosen database promised a newer term or was removed.
func (t *Table) superseded() bool {
	c := &t.claim
	if t.established && t.view.Term >= c.term || t.quorumLost(c.term) {
		return true
	}
	if c.state == Fencing {
		return len(t.members)-len(c.refused) < t.majority()
	}
	target := t.member(c.chosen)
	return target == nil || target.hasReport && target.report.Accepted > c.term
}

// abandonClaim ends the claim as lost. The next one waits for a random time in
// addition to the rank delay: competing hosts observe the same events, so without
// it they could claim at the same time again and again.
func (t *Table) abandonClaim() {
	attempts := t.claim.attempts + 1
	span := min(t.timing.BackoffMin<<min(attempts, maxBackoffShift), t.timing.BackoffMax)
	wait := t.timing.BackoffMin + time.Duration(t.cfg.Rand.Int64N(int64(span)))
	t.claim = claim{attempts: attempts, backoff: wait}
	t.det = detection{}
}

// fencingDone reports whether enough members are fenced and, in addition, either
// all other reachable members have answered or FenceGrace has passed.
func (t *Table) fencingDone(now time.Time) bool {
	c := &t.claim
	if !t.quorumFenced() {
		return false
	}
	if c.majorityAt.IsZero() {
		c.majorityAt = now
	}
	if now.Sub(c.majorityAt) >= t.timing.FenceGrace {
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

// quorumFenced reports whether enough members are fenced to choose a primary from
// them. A member whose log is empty may have lost it, so it counts only if all
// members are fenced, or if all fenced logs are empty and neither a log entry nor a
// term above the claim's was ever seen.
func (t *Table) quorumFenced() bool {
	fenced := len(t.claim.fenced)
	emptyLogs := 0
	for _, r := range t.claim.fenced {
		if r.Position.IsZero() {
			emptyLogs++
		}
	}
	if fenced == len(t.members) || emptyLogs == fenced && t.highest <= t.claim.term && !t.anyLogSeen() {
		return fenced >= t.majority()
	}
	return fenced-emptyLogs >= t.majority()
}

// anyLogSeen reports whether any member was ever seen with a log entry of the term
// that it had promised.
func (t *Table) anyLogSeen() bool {
	for _, m := range t.members {
		if !m.held.IsZero() {
			return true
		}
	}
	return false
}

// promote chooses the new primary among the fenced members and sends it the
// promotion.
func (t *Table) promote(now time.Time) []Action {
	c := &t.claim
	c.chosen = t.choosePrimary().ID
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

// choosePrimary returns the fenced member with the highest position. Any majority
// of the group that is fenced holds every acknowledged write, so members to avoid
// are excluded if the remaining fenced members are a majority.
func (t *Table) choosePrimary() *member {
	candidates := t.fencedMembers(func(m *member) bool { return !t.avoided(m) })
	if len(candidates) < t.majority() {
		candidates = t.fencedMembers(func(*member) bool { return true })
	}
	best := candidates[0]
	for _, m := range candidates[1:] {
		if t.preferredAsPrimary(m, best) {
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

// preferredAsPrimary reports whether a is a better new primary than b: by
// position, then one that stays in the group, then, if the cause is a stranded
// member, the current primary, then one in this data centre, then by id.
func (t *Table) preferredAsPrimary(a, b *member) bool {
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

// claimResult applies the result of an operation of the claim.
func (t *Table) claimResult(m *member, op groupsql.Op, r groupsql.Report, err error, now time.Time) []Action {
	c := &t.claim
	if !c.active() || op.Term != c.term || op.Claimant != c.id {
		return nil
	}
	if err != nil {
		c.sentAt = now.Add(t.timing.RetryInterval - t.timing.ProbeTimeout/2) // makes claimTick repeat it after RetryInterval
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
		t.abandonClaim()
	}
	return nil
}

// onEstablished ends the claim if it succeeded or another host's primary of the
// same or a newer term was established. The host that claimed the term and hosts
// of rank 0 publish the new primary. If that is leaving, its planned switchover
// waits for SwitchRetry.
func (t *Table) onEstablished(p *member, now time.Time) {
	t.det, t.draining = detection{}, false
	t.durableIndex, t.stallFrom = 0, now
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
