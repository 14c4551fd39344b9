package rate

import (
	"time"

	"github.com/bronzeloft/bronzeloft/link/peerpb"
)

// ready reports whether all loans given under an earlier roster, or by a
// predecessor of this process, have expired.
func (t *Table) ready(now time.Time) bool {
	return !now.Before(t.priorLoansEnd)
}

// handleRoster processes a query for the roster that this host follows, or an
// answer to its own query. A message without a resource is about rate shares.
func (t *Table) handleRoster(from string, m *peerpb.RosterAck, now time.Time, out *Output) {
	if m.Resource != "" && m.Resource != resource {
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
	if raised || t.keeper.Confirmed(now) != t.confirmed {
		t.updateShares(now)
	}
}
