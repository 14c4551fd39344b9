package group

import (
	"time"

	"github.com/bronzeloft/bronzeloft/database/groupsql"
)

// maxFollowShift is the maximum number of times that the interval between
// follow orders is doubled.
const maxFollowShift = 5

// followOrders sends a follow order to the members that do not follow the primary:
// those just fenced, those that come back after the promotion, and those that
// restarted. The claimant in its marking step and the host of rank 0 send it at once,
// other hosts only if a report requested FollowRetry per rank later still shows that
// the member does not follow.
func (t *Table) followOrders(now time.Time) []Action {
	term, p, wait := t.followTarget()
	if p == nil {
		return nil
	}
	var out []Action
	for _, m := range t.members {
		if m == p || !t.needsFollowOrder(m, p, term, now) {
			m.notFollowingSince = time.Time{}
			continue
		}
		if m.notFollowingSince.IsZero() {
			m.notFollowingSince = now
		}
		if m.sentAt.Before(m.notFollowingSince.Add(wait)) && wait > 0 || now.Sub(m.followAt) < t.followGap(m) {
			continue
		}
		m.followAt = now
		m.followCount++
		out = append(out, Send{Database: m.ID, Op: groupsql.Op{Kind: groupsql.OpFollow, Term: term, Address: p.Address}})
	}
	return out
}

// followGap returns the minimum time between two orders to m. An order may make a
// replica that is catching up start over, so the time doubles with each order to a
// replica until it advances.
func (t *Table) followGap(m *member) time.Duration {
	if m.report.Role != groupsql.Replica || m.followCount == 0 {
		return t.timing.FollowRetry
	}
	return t.timing.StallAfter << min(m.followCount, maxFollowShift)
}

// followTarget returns the term, the primary that the other members must follow,
// and how long this host waits for hosts of lower rank to send the order. The primary
// is nil if this host may send no order now.
func (t *Table) followTarget() (uint64, *member, time.Duration) {
	if t.claim.state == Marking {
		return t.claim.term, t.member(t.claim.chosen), 0
	}
	if t.claim.active() || !t.established {
		return 0, nil, 0
	}
	p := t.member(t.view.Primary)
	if !isPrimary(p, t.view.Term) {
		return 0, nil, 0
	}
	return t.view.Term, p, time.Duration(t.rank) * t.timing.FollowRetry
}

// needsFollowOrder reports whether m is reachable but does not follow p in term, or
// is behind p and has not advanced for StallAfter/2. A member that promised a newer
// term gets no order.
func (t *Table) needsFollowOrder(m, p *member, term uint64, now time.Time) bool {
	if !t.reachable(m, now) || m.report.Accepted > term {
		return false
	}
	if m.report.Accepted < term || m.report.Role != groupsql.Replica {
		return true
	}
	behind := m.report.Position.Before(p.report.Position)
	return behind && now.Sub(m.progressAt) >= t.timing.StallAfter/2
}
