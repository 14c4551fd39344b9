package group

import (
	"sort"
	"time"

	"github.com/bronzeloft/bronzeloft/database/groupsql"
	"github.com/bronzeloft/bronzeloft/position"
)

// Readers returns the databases to try for a read that needs floor, best
// first. It rests on the last reports, so the host still compares the position
// that a read was done at with the floor. Replicas come first: those that
// follow before those that are fenced, then those that keep up, those of this
// data centre, the less loaded; the primary is last. Silent and leaving
// databases, and those of an older term, are left out.
func (t *Table) Readers(floor position.Position, now time.Time) []string {
	type reader struct {
		m       *member
		primary bool
	}
	var found []reader
	for _, m := range t.members {
		primary := m.ID == t.view.Primary && t.established && isPrimary(m, t.view.Term)
		if t.canRead(m, primary, floor, now) {
			found = append(found, reader{m, primary})
		}
	}
	sort.SliceStable(found, func(i, j int) bool {
		a, b := found[i], found[j]
		if a.primary != b.primary {
			return b.primary
		}
		return t.readsBetter(a.m, b.m)
	})
	ids := make([]string, len(found))
	for i, r := range found {
		ids[i] = r.m.ID
	}
	return ids
}

// AwaitReplica reports whether a read that was asked for at asked does better
// to call WantConfirm(asked) and look again than to go to the primary. For a
// fresh read, the answers of the rest of the round lower its floor, and what the
// primary shows beyond the floor has to reach a majority before it may be told.
// For other reads, the last reports may be old and replicas further on.
func (t *Table) AwaitReplica(readers []string, asked, now time.Time) bool {
	onlyPrimary := len(readers) == 0 || readers[0] == t.view.Primary
	return onlyPrimary && now.Sub(asked) < t.t.ReplicaWait
}

func (t *Table) canRead(m *member, primary bool, floor position.Position, now time.Time) bool {
	if !m.known || m.silence(now) >= t.t.SilentReader {
		return false
	}
	if primary {
		return true
	}
	current := m.report.Accepted >= t.view.Term && m.report.Position.Term >= t.view.Term
	return !m.Leaving && current && m.report.Role != groupsql.Primary && !m.report.Position.Before(floor)
}

// readsBetter orders replicas.
func (t *Table) readsBetter(a, b *member) bool {
	if a.report.Role != b.report.Role {
		return a.report.Role == groupsql.Replica
	}
	if a.lagging != b.lagging {
		return b.lagging
	}
	if nearA, nearB := a.DataCentre == t.cfg.DataCentre, b.DataCentre == t.cfg.DataCentre; nearA != nearB {
		return nearA
	}
	if a.load != b.load {
		return a.load < b.load
	}
	return false
}

// noteLag marks members that fall behind by more than LagOut and unmarks them
// only below LagIn, so that one near the limit does not flap. Lag is known to
// within one probe interval.
func (t *Table) noteLag(now time.Time) {
	for _, m := range t.members {
		lag := t.lag(m, now)
		switch {
		case lag > t.t.LagOut+t.interval():
			m.lagging = true
		case lag < t.t.LagIn+t.interval():
			m.lagging = false
		}
	}
}

// lag returns how old the data of m is at most, by the samples kept.
func (t *Table) lag(m *member, now time.Time) time.Duration {
	for i := len(t.samples) - 1; i >= 0; i-- {
		if !m.report.Position.Before(t.samples[i].pos) {
			return m.sentAt.Sub(t.samples[i].start)
		}
	}
	if len(t.samples) == 0 {
		return 0
	}
	return now.Sub(t.samples[0].start)
}
