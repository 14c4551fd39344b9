package group

import (
	"time"

	"github.com/bronzeloft/bronzeloft/database/groupsql"
)

// followOrders tells members that do not follow the primary to do so: those
// just fenced, those that return late, and those that restarted. The claimant
// tells them at once, other hosts after a delay by rank.
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
		if now.Sub(m.strayAt) < wait || now.Sub(m.followAt) < t.t.FollowRetry {
			continue
		}
		m.followAt = now
		out = append(out, Send{Database: m.ID, Op: groupsql.Op{Kind: groupsql.OpFollow, Term: term, Address: p.Address}})
	}
	return out
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
