package budget

import (
	"time"

	"github.com/bronzeloft/bronzeloft/internal/standing"
	"github.com/bronzeloft/bronzeloft/link/peerpb"
)

// tick advances the table's time, never back. It updates the standing shares when
// their confirmation has lapsed or returned, or when the wait after the start is
// over.
func (t *Table) tick(now time.Time, out *Output) time.Time {
	if now.After(t.now) {
		t.now = now
	}
	from := t.usableFrom()
	usable := !from.IsZero() && !t.now.Before(from)
	if t.keeper.Confirmed(t.now) != t.confirmed || usable != t.usable {
		t.usable = usable
		t.updateShares(t.now, out)
	}
	return t.now
}

// usableFrom returns when the sessions and loans of a predecessor at this address
// have ended, the zero time before the first raise of the share. When the whole
// fleet starts there are no loans, and the server only has to detect that the
// former processes have ended.
func (t *Table) usableFrom() time.Time {
	if !t.keeper.Settled() && !t.usable {
		return time.Time{}
	}
	if t.keeper.Cold() {
		return t.cfg.Started.Add(t.cfg.ColdWait)
	}
	return t.cfg.Started.Add(t.cfg.lenderTerm())
}

// updateShares sets every pool's peers and standing share from the roster.
func (t *Table) updateShares(now time.Time, out *Output) {
	t.confirmed = t.keeper.Confirmed(now)
	plan := t.keeper.Plan()
	if plan == nil {
		return
	}
	for _, p := range t.order {
		p.peers = p.peers[:0]
		for _, a := range plan.Holders(p.key.database, t.cfg.DataCentre) {
			if a != t.cfg.Self {
				p.peers = append(p.peers, a)
			}
		}
		p.share = t.share(p, now)
		t.serve(p, now, out)
	}
}

// share returns this host's standing share of a pool's limit, 0 while it may use
// none.
func (t *Table) share(p *pool, now time.Time) int {
	if !t.usable {
		return 0
	}
	return int(t.keeper.LowestShare(now, func(plan *standing.Plan) float64 {
		return float64(plan.Units(p.key.database, t.cfg.Self, p.limit))
	}))
}

// ready reports whether all loans given under an earlier roster have ended, no
// pool has more permits in use than its capacity, and none has lent more than its
// share.
func (t *Table) ready(now time.Time) bool {
	if now.Before(t.priorLoansEnd) {
		return false
	}
	for _, p := range t.order {
		if p.used > p.capacity() || p.lent() > p.share {
			return false
		}
	}
	return true
}

// handleRoster processes a query for the roster that this host follows, or an
// answer to its own query.
func (t *Table) handleRoster(from string, m *peerpb.RosterAck, now time.Time, out *Output) {
	if m.Resource != resource {
		return
	}
	sends, raised := t.keeper.Handle(from, m, t.ready(now), now)
	t.applyRosterStep(sends, raised, now, out)
}

// pollRoster sends the queries about the roster that are due.
func (t *Table) pollRoster(now time.Time, out *Output) {
	sends, raised := t.keeper.Tick(t.ready(now), now)
	t.applyRosterStep(sends, raised, now, out)
}

// applyRosterStep adds the keeper's messages to out, and updates the shares when
// they were raised or their confirmation changed.
func (t *Table) applyRosterStep(sends []Send, raised bool, now time.Time, out *Output) {
	out.Send = append(out.Send, sends...)
	if raised {
		t.usable = !now.Before(t.usableFrom())
	}
	if raised || t.keeper.Confirmed(now) != t.confirmed {
		t.updateShares(now, out)
	}
}
