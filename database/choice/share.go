package choice

import (
	"cmp"
	"slices"
	"time"
)

// Steps of a database's share of the customers.
const (
	// stepEvery is the time between two steps.
	stepEvery = 100 * time.Millisecond
	// slowFactor and slowBy are how much longer than the slowest of the databases that
	// are kept one must be expected to take for its share to shrink, goodFactor the
	// factor below which the share grows. Between them it stays.
	slowFactor = 2.0
	goodFactor = 1.3
	slowBy     = 5 * time.Millisecond
	shrink     = 0.5
	grow       = 2.0
	// probeShare is the part of the reads that is sent to a database with a share
	// below 1 in any case, and the least share. While the database returns, its share
	// of the reads is sent.
	probeShare = 0.03
	// mostLeftOut is the part of the databases whose share may be below 1.
	mostLeftOut = 0.5
)

// step changes the shares of the usable databases, at most once in stepEvery.
func (t *Table) step(usable []*option, now time.Time) {
	if now.Sub(t.steppedAt) < stepEvery || len(usable) == 0 {
		return
	}
	t.steppedAt = now
	t.leaving.step()
	sorted := slices.SortedStableFunc(slices.Values(usable), func(a, b *option) int {
		return cmp.Compare(t.nearService(a, now), t.nearService(b, now))
	})
	kept := len(sorted) - int(mostLeftOut*float64(len(sorted)))
	usual := t.nearService(sorted[kept-1], now)
	for i, o := range sorted {
		e, before := o.estimate, o.estimate.share
		switch s := t.nearService(o, now); {
		case i < kept:
			e.share = min(1, e.share*grow)
		case s > time.Duration(slowFactor*float64(usual))+slowBy && (e.known(now) || e.share < 1):
			e.share, e.returning = max(probeShare, e.share*shrink), false
		case s < time.Duration(goodFactor*float64(usual))+slowBy && e.answers > 0:
			e.share, e.returning = min(1, e.share*grow), true
		}
		e.answers = 0
		if (before < 1) != (e.share < 1) {
			t.changes = append(t.changes, ShareChange{o.ID, e.share, t.nearService(o, now), usual})
		}
	}
}

// ShareChange is a database whose share fell below 1, or returned to 1.
type ShareChange struct {
	Database        string
	Share           float64
	Expected, Usual time.Duration // time without waiting and distance, of this database and of the slowest that is kept
}

// Changes returns the changes since its last call.
func (t *Table) Changes() []ShareChange {
	out := t.changes
	t.changes = nil
	return out
}

// Share returns the part of the customers that may use a database.
func (t *Table) Share(id string) float64 {
	if e := t.databases[id]; e != nil {
		return e.share
	}
	return 1
}

// nearService returns the time that a database takes without waiting here and without
// its distance.
func (t *Table) nearService(o *option, now time.Time) time.Duration {
	return max(0, o.service-t.distance(o.DataCentre))
}

// probed returns the database that a read tests: the usable one with the smallest share
// below 1, for the part of the reads that probes it.
func probed(read Read, usable []*option) *option {
	var out *option
	for _, o := range usable {
		part := probeShare
		if o.estimate.returning {
			part = o.estimate.share
		}
		if o.estimate.share < 1 && read.Draw < part && o.free() && (out == nil || o.estimate.share < out.estimate.share) {
			out = o
		}
	}
	return out
}
