package group

import (
	"time"

	"github.com/bronzeloft/bronzeloft/database/groupsql"
)

// State names what a Table does about its primary.
type State string

// The states, in the order of a promotion.
const (
	Watching    State = "watching"     // the primary is well
	Suspecting  State = "suspecting"   // a cause to act stands; this host's turn has not come
	AskingPeers State = "asking-peers" // the primary is silent; peers may hear it
	Fencing     State = "fencing"      // a term is claimed from the databases
	Promoting   State = "promoting"    // the chosen database is told to be primary
	Marking     State = "marking"      // the marker is on its way to a majority
)

// Cause is the reason to replace a primary.
type Cause string

// The causes.
const (
	CauseNone      Cause = ""
	CauseNoPrimary Cause = "no-primary" // no primary is known
	CauseSilent    Cause = "silent"     // it does not answer
	CauseDemoted   Cause = "demoted"    // it promised a newer term, or no majority is left in its term
	CauseStalled   Cause = "stalled"    // no replica follows it
	CauseStranded  Cause = "stranded"   // a member is fenced above its term
	CauseLeaving   Cause = "leaving"    // it leaves
)

// detection is the state of the watch over the primary.
type detection struct {
	cause   Cause
	since   time.Time
	askedAt time.Time // first question of this cycle, zero when not asked
	asks    int
	replies int
	vetoed  bool // a peer hears the database
}

// Tick advances the table. The host calls it at Next at the latest.
func (t *Table) Tick(now time.Time) []Action {
	t.noticePause(now)
	out := t.pending
	t.pending = nil
	out = append(out, t.regularProbes(now)...)
	out = append(out, t.pumpRound(now)...)
	out = append(out, t.claimTick(now)...)
	out = append(out, t.watch(now)...)
	out = append(out, t.followOrders(now)...)
	t.due = t.next(now)
	return out
}

// Next returns when the next Tick is due.
func (t *Table) Next() time.Time { return t.due }

// next computes when the next Tick is due.
func (t *Table) next(now time.Time) time.Time {
	switch {
	case t.claim.active():
		return now.Add(t.t.RetryInterval)
	case t.round.inFlight || t.roundWanted(now):
		return now.Add(t.t.ConfirmRetry)
	case t.det.cause != CauseNone:
		return now.Add(min(t.t.RetryInterval, t.interval()))
	}
	due := now.Add(t.interval())
	if p := t.member(t.view.Primary); p != nil && !p.unansweredAt.IsZero() {
		if at := p.unansweredAt.Add(t.suspectAfter(p)); at.After(now) && at.Before(due) {
			due = at
		}
	}
	for _, m := range t.members {
		if at := m.probedAt.Add(t.interval()); at.After(now) && at.Before(due) {
			due = at
		}
	}
	return due
}

// interval returns the time between probes of one member by this host.
func (t *Table) interval() time.Duration {
	if t.rank < t.t.Promoters {
		return t.t.ProbeInterval
	}
	return t.t.IdleInterval
}

// noticePause discounts a pause of this host itself: silence counts only while
// the host was there to hear.
func (t *Table) noticePause(now time.Time) {
	if t.due.IsZero() {
		t.stallFrom = now
		return
	}
	late := now.Sub(t.due)
	if late < t.t.ProbeTimeout {
		return
	}
	t.stallFrom = now
	t.det = detection{}
	for _, m := range t.members {
		m.probing = false
		if !m.unansweredAt.IsZero() {
			m.unansweredAt = now
		}
	}
}

// regularProbes probes each member in its turn. A member that others wait for
// in a claim is probed at RetryInterval.
func (t *Table) regularProbes(now time.Time) []Action {
	every := t.interval()
	if t.claim.state == Marking || t.draining {
		every = t.t.RetryInterval
	}
	var out []Action
	for _, m := range t.members {
		if now.Sub(m.probedAt) >= every {
			out = append(out, t.probe(m, now)...)
		}
	}
	return out
}

// silence returns how long m has left a probe unanswered.
func (m *member) silence(now time.Time) time.Duration {
	if m.unansweredAt.IsZero() {
		return 0
	}
	return now.Sub(m.unansweredAt)
}

// cause returns the reason to act on the primary, if there is one.
func (t *Table) cause(now time.Time) Cause {
	if len(t.members) == 0 {
		return CauseNone
	}
	p := t.member(t.view.Primary)
	switch {
	case !t.established || p == nil:
		return CauseNoPrimary
	case !isPrimary(p, t.view.Term), t.blocked(t.view.Term):
		return CauseDemoted
	case p.silence(now) >= t.suspectAfter(p) && !t.replicasProgress(p, now):
		return CauseSilent
	case t.stalled(p, now):
		return CauseStalled
	case t.fencedAbove(t.view.Term) > 0 && now.Sub(t.highestAt) >= t.t.StrandedAfter:
		return CauseStranded
	case p.Leaving && now.Sub(t.switchAt) >= t.t.SwitchRetry && t.successorReady(p, now):
		return CauseLeaving
	}
	return CauseNone
}

// minRefusals is the number of refusals in a row that say that nothing listens.
const minRefusals = 3

// suspectAfter returns the silence that makes m suspect. A database whose
// machine refuses connections is down, not slow.
func (t *Table) suspectAfter(m *member) time.Duration {
	if m.refusals >= minRefusals {
		return min(t.t.RefusedAfter, t.t.SuspectAfter)
	}
	return t.t.SuspectAfter
}

// replicasProgress reports whether a replica advanced after p fell silent: p
// lives and this host's path to it is broken. It holds p up for a bounded
// time, since a primary that no host can reach serves nobody.
func (t *Table) replicasProgress(p *member, now time.Time) bool {
	if p.silence(now) >= 2*t.t.SuspectAfter {
		return false
	}
	for _, m := range t.members {
		recent := now.Sub(m.progressAt) < t.t.SuspectAfter/2
		if m != p && recent && m.progressAt.After(p.unansweredAt.Add(t.t.ProbeInterval)) {
			return true
		}
	}
	return false
}

// noteProgress records when the durable position last advanced or the primary
// had nothing beyond it.
func (t *Table) noteProgress(now time.Time) {
	d, ok := t.Durable()
	p := t.member(t.view.Primary)
	level := ok && p != nil && p.report.Position.Compare(d) <= 0
	if !ok || level || d.Index != t.durable {
		t.stallFrom = now
	}
	t.durable = d.Index
}

// stalled reports whether the primary is ahead of all replicas and none of
// them advances, while the replicas alone are a majority that hosts reach.
func (t *Table) stalled(p *member, now time.Time) bool {
	if now.Sub(t.stallFrom) < t.t.StallAfter {
		return false
	}
	others := 0
	for _, m := range t.members {
		if m == p || !t.reachable(m, now) {
			continue
		}
		if now.Sub(m.progressAt) < t.t.StallAfter {
			return false
		}
		others++
	}
	return others >= t.majority()
}

// reachable reports whether m answers this host's probes.
func (t *Table) reachable(m *member, now time.Time) bool {
	return m.known && m.silence(now) < t.t.ProbeTimeout && now.Sub(m.heardAt) <= 2*t.interval()+t.t.ProbeTimeout
}

// reachableCount counts the members that answer this host's probes.
func (t *Table) reachableCount(now time.Time) int {
	n := 0
	for _, m := range t.members {
		if t.reachable(m, now) {
			n++
		}
	}
	return n
}

// watch looks for a cause to act and starts a claim when this host's turn has
// come.
func (t *Table) watch(now time.Time) []Action {
	t.draining = false
	if t.claim.active() {
		return nil
	}
	c := t.cause(now)
	if c != t.det.cause {
		t.det = detection{cause: c, since: now}
	}
	if c == CauseLeaving && !t.drained(now) {
		return nil
	}
	if c == CauseNone || t.reachableCount(now) < t.majority() {
		return nil
	}
	asks, clear := t.askPeers(now)
	if !clear || now.Before(t.turn(now)) {
		return asks
	}
	return append(asks, t.startClaim(now)...)
}

// turn returns when this host may claim for the present cause.
func (t *Table) turn(now time.Time) time.Time {
	at := t.det.since.Add(time.Duration(t.rank) * t.t.RankDelay)
	if t.det.cause == CauseNoPrimary {
		at = at.Add(t.t.SuspectAfter)
	}
	if t.highest > t.view.Term {
		at = later(at, t.foreignUntil(now).Add(time.Duration(t.rank)*t.t.RankDelay))
	}
	return at.Add(t.claim.backoff)
}

// foreignUntil returns until when a claim by another host is given time: one
// step from its last sign, or longer while replicas catch up with its primary.
func (t *Table) foreignUntil(now time.Time) time.Time {
	until := t.highestAt.Add(t.t.ClaimTimeout)
	for _, m := range t.members {
		if !isPrimary(m, t.highest) || !t.reachable(m, now) {
			continue
		}
		for _, f := range t.members {
			if f.report.Role == groupsql.Replica {
				until = later(until, f.progressAt.Add(t.t.StallAfter))
			}
		}
	}
	return until
}

// Unreachable records that no connection to database could be had.
func (t *Table) Unreachable(database string, now time.Time) []Action {
	m := t.member(database)
	if m == nil {
		return nil
	}
	m.probing = false
	m.refusals++
	if m.unansweredAt.IsZero() {
		m.unansweredAt = now
	}
	return t.Tick(now)
}
