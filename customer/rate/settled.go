package rate

import "time"

// Settled reports whether this host's standing shares are those of its newest
// roster and have begun to accrue tokens.
func (t *Table) Settled(now time.Time) bool {
	return t.keeper.Settled() && !now.Before(t.accrueFrom)
}
