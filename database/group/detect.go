package group

import (
	"time"

	"github.com/bronzeloft/bronzeloft/database/groupsql"
)

// State is the state of a Table's failure detection and claim.
type State string

// The states, in the order of a promotion.
const (
	Watching    State = "watching"     // no cause to replace the primary
	Suspecting  State = "suspecting"   // there is a cause; this host may not claim yet
	AskingPeers State = "asking-peers" // there is a cause; peers are asked whether they reach the database
	Fencing     State = "fencing"      // the databases are asked to promise a new term
	Promoting   State = "promoting"    // the promotion is sent to the chosen database
	Marking     State = "marking"      // waiting until a majority holds the marker
)

// Cause is the reason to replace a primary.
type Cause string

// The causes.
const (
	CauseNone      Cause = ""
	CauseNoPrimary Cause = "no-primary" // no primary is established
	CauseSilent    Cause = "silent"     // it does not answer
	CauseDemoted   Cause = "demoted"    // it no longer reports as the primary of its term, or no majority is left in the term
	CauseStalled   Cause = "stalled"    // it is ahead, and no reachable replica advances
	CauseStranded  Cause = "stranded"   // a member is fenced above its term
	CauseLeaving   Cause = "leaving"    // it is leaving the group
)

// detection is the state of the failure detection of the primary.
type detection struct {
	cause   Cause
	since   time.Time // when the cause was detected
	askedAt time.Time // first query to peers of this cycle, zero if none was sent
	queries int       // sent in this cycle
	replies int       // received in this cycle
	vetoed  bool      // a peer reaches the database
}

// Tick runs all time-dependent work. The host calls it no later than the time that
// Next returns.
func (t *Table) Tick(now time.Time) []Action {
	t.discountHostPause(now)
	out := t.pending
	t.pending = nil
	out = append(out, t.regularProbes(now)...)
	out = append(out, t.advanceRound(now)...)
	out = append(out, t.claimTick(now)...)
	out = append(out, t.watch(now)...)
	out = append(out, t.followOrders(now)...)
	t.due = t.nextDue(now)
	return out
}

// Next returns when the next Tick is due.
func (t *Table) Next() time.Time { return t.due }

// nextDue computes when the next Tick is due.
func (t *Table) nextDue(now time.Time) time.Time {
	switch {
	case t.claim.active():
		return now.Add(t.timing.RetryInterval)
	case t.round.inFlight || t.roundWanted(now):
		return now.Add(t.timing.ConfirmRetry)
	case t.det.cause != CauseNone:
		return now.Add(min(t.timing.RetryInterval, t.probeInterval()))
	}
	due := now.Add(t.probeInterval())
	if p := t.member(t.view.Primary); p != nil && !p.unansweredSince.IsZero() {
		if at := p.unansweredSince.Add(t.suspectAfter(p)); at.After(now) && at.Before(due) {
			due = at
		}
	}
	for _, m := range t.members {
		if at := m.probedAt.Add(t.probeInterval()); at.After(now) && at.Before(due) {
			due = at
		}
	}
	return due
}

// probeInterval returns the time between probes of one member by this host.
func (t *Table) probeInterval() time.Duration {
	if t.rank < t.timing.Promoters {
		return t.timing.ProbeInterval
	}
	return t.timing.IdleInterval
}

// discountHostPause restarts detection and all silence timers after a pause of
// this host itself, which shows as a Tick that is late by ProbeTimeout or more: a
// database counts as silent only for the time in which the host was running and
// could have received its answers.
func (t *Table) discountHostPause(now time.Time) {
	if t.due.IsZero() {
		t.stallFrom = now
		return
	}
	late := now.Sub(t.due)
	if late < t.timing.ProbeTimeout {
		return
	}
	t.stallFrom = now
	t.det = detection{}
	for _, m := range t.members {
		m.probing = false
		if !m.unansweredSince.IsZero() {
			m.unansweredSince = now
		}
	}
}

// regularProbes probes each member at the probe interval, or at RetryInterval
// while this host waits for the marker or, in a planned switchover, for a successor.
func (t *Table) regularProbes(now time.Time) []Action {
	every := t.probeInterval()
	if t.claim.state == Marking || t.draining {
		every = t.timing.RetryInterval
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
	if m.unansweredSince.IsZero() {
		return 0
	}
	return now.Sub(m.unansweredSince)
}

// detectCause returns the cause to replace the primary, CauseNone if there is none.
func (t *Table) detectCause(now time.Time) Cause {
	if len(t.members) == 0 {
		return CauseNone
	}
	p := t.member(t.view.Primary)
	switch {
	case !t.established || p == nil:
		return CauseNoPrimary
	case !isPrimary(p, t.view.Term), t.quorumLost(t.view.Term):
		return CauseDemoted
	case p.silence(now) >= t.suspectAfter(p) && !t.replicasProgress(p, now):
		return CauseSilent
	case t.stalled(p, now):
		return CauseStalled
	case t.fencedAbove(t.view.Term) > 0 && now.Sub(t.highestAt) >= t.timing.StrandedAfter:
		return CauseStranded
	case p.Leaving && now.Sub(t.switchAt) >= t.timing.SwitchRetry && t.successorReady(p, now):
		return CauseLeaving
	}
	return CauseNone
}

// minRefusals is the value of member.refusals from which it is assumed that no
// process listens. One refused connection adds two if the host reports it to both
// OpResult and Unreachable.
const minRefusals = 3

// suspectAfter returns the duration of silence after which m is suspected. It is
// shorter for a database whose machine refuses connections: it is down, not slow.
func (t *Table) suspectAfter(m *member) time.Duration {
	if m.refusals >= minRefusals {
		return min(t.timing.RefusedAfter, t.timing.SuspectAfter)
	}
	return t.timing.SuspectAfter
}

// replicasProgress reports whether a replica advanced within the last
// SuspectAfter/2 and more than ProbeInterval after p became silent. Then p is
// running and only this host's path to it is broken. This defers the suspicion of p
// only until it has been silent for twice SuspectAfter, since a primary that no host
// can reach serves no requests.
func (t *Table) replicasProgress(p *member, now time.Time) bool {
	if p.silence(now) >= 2*t.timing.SuspectAfter {
		return false
	}
	for _, m := range t.members {
		recent := now.Sub(m.progressAt) < t.timing.SuspectAfter/2
		if m != p && recent && m.progressAt.After(p.unansweredSince.Add(t.timing.ProbeInterval)) {
			return true
		}
	}
	return false
}

// recordProgress records when the durable position last advanced, was level with
// the primary's position or was unknown.
func (t *Table) recordProgress(now time.Time) {
	d, ok := t.Durable()
	p := t.member(t.view.Primary)
	caughtUp := ok && p != nil && p.report.Position.Compare(d) <= 0
	if !ok || caughtUp || d.Index != t.durableIndex {
		t.stallFrom = now
	}
	t.durableIndex = d.Index
}

// stalled reports whether for StallAfter the primary was ahead of the durable
// position and no reachable replica advanced, while the reachable replicas alone
// are a majority.
func (t *Table) stalled(p *member, now time.Time) bool {
	if now.Sub(t.stallFrom) < t.timing.StallAfter {
		return false
	}
	others := 0
	for _, m := range t.members {
		if m == p || !t.reachable(m, now) {
			continue
		}
		if now.Sub(m.progressAt) < t.timing.StallAfter {
			return false
		}
		others++
	}
	return others >= t.majority()
}

// reachable reports whether m answers this host's probes.
func (t *Table) reachable(m *member, now time.Time) bool {
	return m.hasReport && m.silence(now) < t.timing.ProbeTimeout && now.Sub(m.answeredAt) <= 2*t.probeInterval()+t.timing.ProbeTimeout
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

// watch checks for a cause to replace the primary and starts a claim once this
// host may do so and reaches a majority. While a claim is active it only clears
// draining.
func (t *Table) watch(now time.Time) []Action {
	t.draining = false
	if t.claim.active() {
		return nil
	}
	c := t.detectCause(now)
	if c != t.det.cause {
		t.det = detection{cause: c, since: now}
	}
	if c == CauseLeaving && !t.drainForSwitchover(now) {
		return nil
	}
	if c == CauseNone || t.reachableCount(now) < t.majority() {
		return nil
	}
	actions, proceed := t.askPeers(now)
	if !proceed || now.Before(t.earliestClaim(now)) {
		return actions
	}
	return append(actions, t.startClaim(now)...)
}

// earliestClaim returns when this host may claim a term for the current cause.
func (t *Table) earliestClaim(now time.Time) time.Time {
	at := t.det.since.Add(time.Duration(t.rank) * t.timing.RankDelay)
	if t.det.cause == CauseNoPrimary {
		at = at.Add(t.timing.SuspectAfter)
	}
	if t.highest > t.view.Term {
		at = later(at, t.foreignClaimDeadline(now).Add(time.Duration(t.rank)*t.timing.RankDelay))
	}
	return at.Add(t.claim.backoff)
}

// foreignClaimDeadline returns when this host stops waiting for a claim by another
// host to complete: ClaimTimeout after the highest term last rose, or later while
// replicas catch up with that term's primary.
func (t *Table) foreignClaimDeadline(now time.Time) time.Time {
	until := t.highestAt.Add(t.timing.ClaimTimeout)
	for _, m := range t.members {
		if !isPrimary(m, t.highest) || !t.reachable(m, now) {
			continue
		}
		for _, f := range t.members {
			if f.report.Role == groupsql.Replica {
				until = later(until, f.progressAt.Add(t.timing.StallAfter))
			}
		}
	}
	return until
}

// Unreachable records that a connection to database was refused, and runs Tick.
func (t *Table) Unreachable(database string, now time.Time) []Action {
	m := t.member(database)
	if m == nil {
		return nil
	}
	m.probing = false
	m.refusals++
	if m.unansweredSince.IsZero() {
		m.unansweredSince = now
	}
	return t.Tick(now)
}
