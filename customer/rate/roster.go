package rate

import (
	"time"

	"github.com/bronzeloft/bronzeloft/link/peerpb"
)

// ready reports whether nothing that was lent under an earlier roster, or by a
// predecessor of this process, is left.
func (t *Table) ready(now time.Time) bool {
	return !now.Before(t.cleanAt)
}

// handleRoster takes a query for the roster that this host follows, or an
// answer to its own.
func (t *Table) handleRoster(from string, m *peerpb.RosterAck, now time.Time, out *Output) {
	if m.Resource != "" && m.Resource != resource {
		return
	}
	sends, rose := t.keeper.Handle(from, m, t.ready(now), now)
	t.rosterDone(sends, rose, now, out)
}

// pollRoster asks for the acknowledgements that are due.
func (t *Table) pollRoster(now time.Time, out *Output) {
	sends, rose := t.keeper.Tick(t.ready(now), now)
	t.rosterDone(sends, rose, now, out)
}

func (t *Table) rosterDone(sends []Send, rose bool, now time.Time, out *Output) {
	out.Send = append(out.Send, sends...)
	if rose || t.keeper.Confirmed(now) != t.confirmed {
		t.reshare(now)
	}
}
