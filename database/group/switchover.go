package group

import (
	"time"

	"github.com/bronzeloft/bronzeloft/database/groupsql"
)

// successorReady reports whether a member that stays can take over from p.
func (t *Table) successorReady(p *member, now time.Time) bool {
	if t.reachableCount(now) < t.majority() {
		return false
	}
	for _, m := range t.members {
		if t.succeeds(m, p, now) {
			return true
		}
	}
	return false
}

// succeeds reports whether m follows p and stays.
func (t *Table) succeeds(m, p *member, now time.Time) bool {
	follows := m.report.Role == groupsql.Replica && m.report.Position.Term == t.view.Term
	return m != p && !m.Leaving && follows && t.reachable(m, now)
}

// drained reports whether the planned switchover from a leaving primary can go
// on: new writes have paused until a successor holds all that the primary has,
// or for DrainMax. Where the pause does not help, the switchover is put off
// unless the members that stay are a majority, which can do without the rest.
func (t *Table) drained(now time.Time) bool {
	p := t.member(t.view.Primary)
	if t.level(p, now) {
		t.draining = true
		return true
	}
	if now.Sub(t.det.since) < t.t.DrainMax {
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

// level reports whether a successor holds all that p had once every host has
// had DrainMin to hear of the pause: a write that another host still sent could
// be cut off otherwise, and its outcome stay unknown.
func (t *Table) level(p *member, now time.Time) bool {
	from := t.det.since.Add(t.t.DrainMin)
	if !p.sentAt.After(from) {
		return false
	}
	for _, m := range t.members {
		held := !m.report.Position.Before(p.report.Position)
		if t.succeeds(m, p, now) && m.sentAt.After(from) && held {
			return true
		}
	}
	return false
}

// stayingReachable counts the members that stay and answer.
func (t *Table) stayingReachable(now time.Time) int {
	n := 0
	for _, m := range t.members {
		if !m.Leaving && t.reachable(m, now) {
			n++
		}
	}
	return n
}
