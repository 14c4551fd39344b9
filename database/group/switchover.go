package group

import (
	"time"

	"github.com/bronzeloft/bronzeloft/database/groupsql"
)

// successorReady reports whether a majority is reachable and a member can succeed
// p.
func (t *Table) successorReady(p *member, now time.Time) bool {
	if t.reachableCount(now) < t.majority() {
		return false
	}
	for _, m := range t.members {
		if t.canSucceed(m, p, now) {
			return true
		}
	}
	return false
}

// canSucceed reports whether m is a reachable replica in the established term,
// other than p and not leaving.
func (t *Table) canSucceed(m, p *member, now time.Time) bool {
	follows := m.report.Role == groupsql.Replica && m.report.Position.Term == t.view.Term
	return m != p && !m.Leaving && follows && t.reachable(m, now)
}

// drainForSwitchover pauses new writes before the planned switchover from a leaving
// primary. It reports whether the switchover can continue: a successor has caught
// up with the primary, or the pause has lasted for DrainMax. In the latter case the
// switchover is put off for SwitchRetry, unless the reachable members that stay are
// a majority by themselves: they hold every acknowledged write without the others.
func (t *Table) drainForSwitchover(now time.Time) bool {
	p := t.member(t.view.Primary)
	if t.successorCaughtUp(p, now) {
		t.draining = true
		return true
	}
	if now.Sub(t.det.since) < t.timing.DrainMax {
		t.draining = true
		return false
	}
	if t.stayingReachable(now) >= t.majority() {
		return true
	}
	t.switchAt = now
	t.det = detection{}
	return false
}

// successorCaughtUp reports whether a successor holds all that p reported after
// DrainMin, the time that every other host needs to learn of the pause as well.
// With earlier reports, a write that another host still sent could be cut off, and
// its outcome would stay unknown.
func (t *Table) successorCaughtUp(p *member, now time.Time) bool {
	from := t.det.since.Add(t.timing.DrainMin)
	if !p.sentAt.After(from) {
		return false
	}
	for _, m := range t.members {
		held := !m.report.Position.Before(p.report.Position)
		if t.canSucceed(m, p, now) && m.sentAt.After(from) && held {
			return true
		}
	}
	return false
}

// stayingReachable counts the reachable members that are not leaving.
func (t *Table) stayingReachable(now time.Time) int {
	n := 0
	for _, m := range t.members {
		if !m.Leaving && t.reachable(m, now) {
			n++
		}
	}
	return n
}
