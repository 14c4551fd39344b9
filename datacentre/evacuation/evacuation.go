// Package evacuation tracks which data centres an operator has asked to be evacuated.
//
// A request binds from a limit after the platform's store acknowledged it. A host does not
// know that moment. It keeps the latest time before which the request certainly had not
// been acknowledged, so that it stops too early rather than too late.
package evacuation

import (
	"maps"
	"slices"
	"time"
)

const (
	// Margin is the part of the limit in which nothing is sent any more: a statement may
	// be on its way, or wait for a connection to be opened.
	Margin = time.Second
	// maxAnswers is the number of the store's answers that are kept.
	maxAnswers = 16
	// MaxCentres bounds the requests that are kept.
	MaxCentres = 256
)

// dueAge is the age of a request that may have been acknowledged at any time before.
const dueAge = 24 * time.Hour

// Table is one host's copy of the store's list of requests. It is not safe for concurrent use.
type Table struct {
	limit     time.Duration
	known     bool
	version   uint64               // of the store
	confirmed time.Time            // the list was the store's at this time or later; zero if it never was read there
	since     map[string]time.Time // by data centre, the earliest time of the acknowledgement; zero if unknown
	former    map[string]time.Time // since, as it was when the store returned from an older copy
	answers   []answer             // the last ones of the store, oldest first
}

// answer is an answer of the store on any kind of object: the store had its version at its time or
// later.
type answer struct {
	version uint64
	at      time.Time
}

// New returns a table without a list. A request binds from limit after its acknowledgement.
func New(limit time.Duration) *Table { return &Table{limit: limit, since: map[string]time.Time{}} }

// Known reports whether the table has a list.
func (t *Table) Known() bool { return t.known }

// Version returns the store's version of the list, and 0 if there is none.
func (t *Table) Version() uint64 { return t.version }

// Confirm records that the list was the store's at the given time or later. It is called
// after the changes up to that time were applied.
func (t *Table) Confirm(at time.Time) {
	if t.known && t.confirmed.Before(at) {
		t.confirmed = at
	}
}

// RecordAnswer records that the store had a version at the given time or later. A request with a
// newer one was made after that.
func (t *Table) RecordAnswer(version uint64, at time.Time) {
	t.answers = append(t.answers[max(0, len(t.answers)-maxAnswers+1):], answer{version, at})
}

// StoreReturned records that the store has returned from an older copy, whose versions say
// nothing of those before. A request that the copy lacks and that is written again keeps its
// time.
func (t *Table) StoreReturned() { t.former, t.answers = maps.Clone(t.since), nil }

// notBefore returns the earliest time at which an object can have got a version that a watch of the
// requests reports.
func (t *Table) notBefore(version uint64) time.Time {
	at := t.confirmed
	for _, a := range t.answers {
		if a.version < version && a.at.After(at) {
			at = a.at
		}
	}
	return at
}

// Replace applies a list that this host read from the store, unless it is older than the
// present one. An object in it may have been made before its present version. It returns the data
// centres that were added and removed.
func (t *Table) Replace(version uint64, names []string) (added, removed []string) {
	since := make(map[string]time.Time, len(names))
	for _, name := range names {
		since[name] = t.confirmed
	}
	return t.replace(version, since)
}

// Change is one change of the store's list.
type Change struct {
	DataCentre string
	Version    uint64 // of the object
	Removed    bool
}

// Apply applies the changes between two versions of the store, and returns the version of
// the list. If the list is newer than from, it has them already or another host's list does,
// and nothing is applied.
func (t *Table) Apply(from, version uint64, changes []Change) (at uint64, added, removed []string) {
	if t.version > from {
		return t.version, nil, nil
	}
	since := maps.Clone(t.since)
	for _, c := range changes {
		if _, stands := since[c.DataCentre]; c.Removed {
			delete(since, c.DataCentre)
		} else if !stands {
			since[c.DataCentre] = t.notBefore(c.Version)
		}
	}
	added, removed = t.replace(version, since)
	return version, added, removed
}

// Merge applies a list of another host, with the earliest times of the acknowledgements as far
// as that host knows, unless it is not newer than the present one.
func (t *Table) Merge(version uint64, since map[string]time.Time) (added, removed []string) {
	if t.known && version <= t.version {
		return nil, nil
	}
	merged := make(map[string]time.Time, len(since))
	for name, at := range since {
		if at.Before(t.confirmed) {
			at = t.confirmed // this host knows that there was no request yet
		}
		merged[name] = at
	}
	return t.replace(version, merged)
}

// replace applies a list. A request that stands keeps its time: its object may have been
// written again.
func (t *Table) replace(version uint64, since map[string]time.Time) (added, removed []string) {
	if t.known && version < t.version {
		return nil, nil
	}
	next := make(map[string]time.Time, len(since))
	for _, name := range slices.Sorted(maps.Keys(since)) {
		at, stands := t.since[name]
		if !stands && len(next) < MaxCentres {
			at = since[name]
			if before, ok := t.former[name]; ok {
				at = before
				delete(t.former, name)
			}
			added = append(added, name)
		} else if !stands {
			continue
		}
		next[name] = at
	}
	for name := range t.since {
		if _, stands := next[name]; !stands {
			removed = append(removed, name)
		}
	}
	slices.Sort(removed)
	t.known, t.version, t.since = true, version, next
	return added, removed
}

// Evacuated reports whether the evacuation of a data centre is requested.
func (t *Table) Evacuated(dataCentre string) bool {
	_, stands := t.since[dataCentre]
	return stands
}

// Closed reports whether nothing may be sent to the databases of a data centre any more.
func (t *Table) Closed(dataCentre string, now time.Time) bool {
	at, stands := t.since[dataCentre]
	return stands && now.Sub(at) >= t.limit-Margin
}

// Ages returns for each evacuated data centre the longest time for which the request may have been
// acknowledged.
func (t *Table) Ages(now time.Time) map[string]time.Duration {
	out := make(map[string]time.Duration, len(t.since))
	for name, at := range t.since {
		out[name] = min(dueAge, max(0, now.Sub(at)))
	}
	return out
}
