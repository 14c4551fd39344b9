package group

import (
	"time"

	"github.com/bronzeloft/bronzeloft/database/groupsql"
)

// askPeers queries peers about databases that do not answer this host, if the
// cause depends on that. proceed reports whether this host may claim a term: no
// query is needed, no peer reported that it reaches one of these databases, or such
// a report no longer defers the claim. Such reports defer it until StrandedAfter has
// passed since the cause was detected, and without a limit if the cause is
// CauseSilent or there may be a primary that only peers reach.
func (t *Table) askPeers(now time.Time) (out []Action, proceed bool) {
	unreachable := t.unreachableCandidates(now)
	peersNotNeeded := t.det.cause == CauseStalled || t.det.cause == CauseDemoted && !t.unseenPrimary()
	if len(unreachable) == 0 || peersNotNeeded {
		return nil, true
	}
	d := &t.det
	if d.askedAt.IsZero() {
		d.askedAt, d.queries, d.replies, d.vetoed = now, 0, 0, false
	}
	since := now.Sub(d.askedAt)
	if d.queries < 2 && since >= time.Duration(d.queries)*t.timing.AskWindow/2 {
		d.queries++
		for _, m := range unreachable {
			out = append(out, AskPeers{Database: m.ID})
		}
	}
	switch {
	case d.vetoed && since >= t.timing.SuspectAfter:
		d.askedAt = time.Time{}
		vetoExpires := d.cause != CauseSilent && !t.unseenPrimary()
		return out, vetoExpires && now.Sub(d.since) >= t.timing.StrandedAfter
	case d.vetoed || since < t.timing.AskWindow:
		return out, false
	case d.replies == 0:
		return out, since >= t.timing.AskWindow+t.timing.AloneDelay
	}
	return out, true
}

// unseenPrimary reports whether a member is a replica in the highest term while no
// member has reported to this host as that term's primary. Members follow only
// after a promotion, so such a primary exists.
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

// unreachableCandidates returns the unreachable databases that matter to the cause:
// the primary, or any member that may be primary while none is known.
func (t *Table) unreachableCandidates(now time.Time) []*member {
	var out []*member
	for _, m := range t.members {
		matters := m.ID == t.view.Primary || t.det.cause == CauseNoPrimary || t.unseenPrimary()
		if matters && !t.reachable(m, now) {
			out = append(out, m)
		}
	}
	return out
}

// PeerReply applies a peer's reply to AskPeers: whether it reaches database, and
// the time since the database last answered it. The reply defers a claim only if that
// time is less than half of the silence after which this host suspects the database.
func (t *Table) PeerReply(peer string, database string, reachable bool, sinceAnswer time.Duration, now time.Time) []Action {
	m := t.member(database)
	if t.det.cause == CauseNone || t.det.askedAt.IsZero() || m == nil {
		return nil
	}
	t.det.replies++
	if reachable && sinceAnswer < t.suspectAfter(m)/2 {
		t.det.vetoed = true
	}
	return t.Tick(now)
}

// Reachability returns the reply to a peer's query about database: whether it is
// reachable from this host, and the time since it last answered. A database that has
// answered before is also probed at once, so that the next query gets a fresh result
// even from a host that probes at IdleInterval.
func (t *Table) Reachability(database string, now time.Time) (reachable bool, sinceAnswer time.Duration, out []Action) {
	m := t.member(database)
	if m == nil || !m.hasReport {
		return false, 0, nil
	}
	return t.reachable(m, now), now.Sub(m.answeredAt), t.probe(m, now)
}
