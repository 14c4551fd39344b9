package lead

import "time"

// Usable reports whether a database is listed, answers this host, has not refused a
// request a moment ago and is not cold. Readers ranks the others last, in this order: cold,
// avoided, unreachable.
func (t *Table) Usable(id string, now time.Time) bool {
	m := t.members[id]
	return m != nil && m.missingSince.IsZero() && !(t.isCold != nil && t.isCold(id)) && !now.Before(m.avoidUntil) && !t.Unreachable(id, now)
}
