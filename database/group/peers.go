package group

import (
	"time"

	"github.com/bronzeloft/bronzeloft/database/groupsql"
)

// askPeers asks peers about databases that this host does not hear, where the
// cause rests on silence. It reports whether nothing speaks against acting.
func (t *Table) askPeers(now time.Time) (out []Action, clear bool) {
	doubtful := t.unheard(now)
	certain := t.det.cause == CauseStalled || t.det.cause == CauseDemoted && !t.unseenPrimary()
	if len(doubtful) == 0 || certain {
		return nil, true
	}
	d := &t.det
	if d.askedAt.IsZero() {
		d.askedAt, d.asks, d.replies, d.vetoed = now, 0, 0, false
	}
	since := now.Sub(d.askedAt)
	if d.asks < 2 && since >= time.Duration(d.asks)*t.t.AskWindow/2 {
		d.asks++
		for _, m := range doubtful {
			out = append(out, AskPeers{Database: m.ID})
		}
	}
	switch {
	case d.vetoed && since >= t.t.SuspectAfter:
		d.askedAt = time.Time{}
		lapses := d.cause != CauseSilent && !t.unseenPrimary()
		return out, lapses && now.Sub(d.since) >= t.t.StrandedAfter
	case d.vetoed || since < t.t.AskWindow:
		return out, false
	case d.replies == 0:
		return out, since >= t.t.AskWindow+t.t.AloneDelay
	}
	return out, true
}

// unseenPrimary reports whether a member follows a primary of the highest term
// that this host has not heard: members follow only once one was promoted.
func (t *Table) unseenPrimary() bool {
	follows := false
	for _, m := range t.members {
		if isPrimary(m, t.highest) {
			return false
		}
		follows = follows || m.report.Role == groupsql.Replica && m.report.Accepted == t.highest
	}
	return follows
}

// unheard returns the databases whose silence matters to the cause: the
// primary, or any member that may be one while none is known.
func (t *Table) unheard(now time.Time) []*member {
	var out []*member
	for _, m := range t.members {
		matters := m.ID == t.view.Primary || t.det.cause == CauseNoPrimary || t.unseenPrimary()
		if matters && !t.reachable(m, now) {
			out = append(out, m)
		}
	}
	return out
}

// PeerReply takes a peer's answer to AskPeers: whether it hears database, and
// for how long it has not.
func (t *Table) PeerReply(peer string, database string, reachable bool, silent time.Duration, now time.Time) []Action {
	m := t.member(database)
	if t.det.cause == CauseNone || t.det.askedAt.IsZero() || m == nil {
		return nil
	}
	t.det.replies++
	if reachable && silent < t.suspectAfter(m)/2 {
		t.det.vetoed = true
	}
	return t.Tick(now)
}

// Heard answers a peer's question about database: whether it answers this
// host, and for how long it has not. A host that probes seldom probes at once,
// so that the next question finds a fresh answer.
func (t *Table) Heard(database string, now time.Time) (reachable bool, silent time.Duration, out []Action) {
	m := t.member(database)
	if m == nil || !m.known {
		return false, 0, nil
	}
	return t.reachable(m, now), now.Sub(m.heardAt), t.probe(m, now)
}
