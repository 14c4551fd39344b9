package lead

import "time"

// Usable reports whether a database is listed, answers this host and has not refused a
// request a moment ago.
func (t *Table) Usable(id string, now time.Time) bool {
	m := t.members[id]
	return m != nil && m.missingSince.IsZero() && !now.Before(m.avoidUntil) && !t.Unreachable(id, now)
}
