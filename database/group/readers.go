package group

import (
	"sort"
	"time"

	"github.com/bronzeloft/bronzeloft/database/groupsql"
	"github.com/bronzeloft/bronzeloft/position"
)

// Readers returns the databases that may serve a read that needs floor, best
// first. The list is based on the latest reports, so the host still compares the
// position at which a read was executed with the floor. Replicas come first:
// those that follow before those that are fenced, then those that do not lag,
// those in this data centre, those with less load. The primary is last, whatever
// position it reported. Silent databases, leaving replicas and replicas of an older
// term are excluded.
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
		return t.preferredForReads(a.m, b.m)
	})
	ids := make([]string, len(found))
	for i, r := range found {
		ids[i] = r.m.ID
	}
	return ids
}

// ShouldAwaitReplica reports whether the host should not yet send a read to the
// primary, but call RequestConfirmation(asked) and then Readers again. readers is
// the result of the last Readers, asked the time at which the read was requested;
// once ReplicaWait has passed since then, the result is false.
// For a fresh read, further answers of the round may lower its floor, while data
// that the primary returns from beyond the floor may not be passed on before a
// majority holds it. For other reads, the latest reports may be old and the
// replicas may have advanced since.
func (t *Table) ShouldAwaitReplica(readers []string, asked, now time.Time) bool {
	onlyPrimary := len(readers) == 0 || readers[0] == t.view.Primary
	return onlyPrimary && now.Sub(asked) < t.timing.ReplicaWait
}

func (t *Table) canRead(m *member, primary bool, floor position.Position, now time.Time) bool {
	if !m.hasReport || m.silence(now) >= t.timing.SilentReader {
		return false
	}
	if primary {
		return true
	}
	current := m.report.Accepted >= t.view.Term && m.report.Position.Term >= t.view.Term
	return !m.Leaving && current && m.report.Role != groupsql.Primary && !m.report.Position.Before(floor)
}

// preferredForReads reports whether replica a is better for a read than b.
func (t *Table) preferredForReads(a, b *member) bool {
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

// updateLagging marks members whose lag exceeds LagOut and unmarks them only below
// LagIn, so that one near the limit does not flap. Both limits are raised by one
// probe interval, because the lag is accurate only to that.
func (t *Table) updateLagging(now time.Time) {
	for _, m := range t.members {
		lag := t.lag(m, now)
		switch {
		case lag > t.timing.LagOut+t.probeInterval():
			m.lagging = true
		case lag < t.timing.LagIn+t.probeInterval():
			m.lagging = false
		}
	}
}

// lag returns an upper bound of the age that the data of m had when it last
// reported, based on the newest sample that m has reached. If m has reached none of
// the samples kept, it returns the age of the oldest, a lower bound; without samples 0.
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
