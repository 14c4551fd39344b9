package group

import (
	"time"

	"github.com/bronzeloft/bronzeloft/database/groupsql"
)

// maxFollowShift bounds the doublings of the time between follow orders.
const maxFollowShift = 5

// followOrders tells members that do not follow the primary to do so: those
// just fenced, those that return late, and those that restarted. The claimant
// tells them at once, other hosts only if a later report still says so.
func (t *Table) followOrders(now time.Time) []Action {
	term, p, wait := t.leader()
	if p == nil {
		return nil
	}
	var out []Action
	for _, m := range t.members {
		if m == p || !t.strays(m, p, term, now) {
			m.strayAt = time.Time{}
			continue
		}
		if m.strayAt.IsZero() {
			m.strayAt = now
		}
		if m.sentAt.Before(m.strayAt.Add(wait)) && wait > 0 || now.Sub(m.followAt) < t.followGap(m) {
			continue
		}
		m.followAt = now
		m.follows++
		out = append(out, Send{Database: m.ID, Op: groupsql.Op{Kind: groupsql.OpFollow, Term: term, Address: p.Address}})
	}
	return out
}

// followGap returns the least time between two orders to m. An order may make a
// replica that is on its way start over, so orders to one that follows already
// become rarer until it advances.
func (t *Table) followGap(m *member) time.Duration {
	if m.report.Role != groupsql.Replica || m.follows == 0 {
		return t.t.FollowRetry
	}
	return t.t.StallAfter << min(m.follows, maxFollowShift)
}

// leader returns the primary that others must follow, its term, and how long
// this host leaves the order to hosts of earlier ranks.
func (t *Table) leader() (uint64, *member, time.Duration) {
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
	return t.view.Term, p, time.Duration(t.rank) * t.t.FollowRetry
}

// strays reports whether m answers but does not follow p in term. A member
// that promised a newer term is left alone.
func (t *Table) strays(m, p *member, term uint64, now time.Time) bool {
	if !t.reachable(m, now) || m.report.Accepted > term {
		return false
	}
	if m.report.Accepted < term || m.report.Role != groupsql.Replica {
		return true
	}
	behind := m.report.Position.Before(p.report.Position)
	return behind && now.Sub(m.progressAt) >= t.t.StallAfter/2
}
