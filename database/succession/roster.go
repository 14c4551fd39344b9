package succession

import (
	"maps"
	"slices"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/position"
)

// Roster is the record of a service's databases whose logs may hold the only copy of an
// acknowledged commit. It outlives the hosts and the platform's list, which lacks a database that
// is down or cut off from the platform. A commit is acknowledged on one copy only if the
// roster, read after the copy was seen, has the database of it. A database is taken off in two steps:
// it is marked as retiring, so that no commit rests on it any more, and removed once another one
// holds what its log may hold. One that has announced its shutdown is fenced in between: it is
// paused and never resumed, so that hosts with an outdated list cannot count it for later commits.
// The zero value is the roster of an unknown service.
type Roster struct {
	Primary   string           `json:"primary,omitempty"` // the last database that proved to be the primary
	Term      uint64           `json:"term,omitempty"`    // in which it did
	Databases map[string]Place `json:"databases,omitempty"`
	// Era is the newest era of the store that the writer knew. Base is the version of the newest roster
	// of an earlier era that this one covers; see Restore.
	Era  uint64 `json:"era,omitempty"`
	Base uint64 `json:"base,omitempty"`
}

// Place is where a database runs.
type Place struct {
	Address     string `json:"address"` // IP:port
	DataCentre  string `json:"dataCentre"`
	StartMillis int64  `json:"startMillis"` // start time of its process, Unix milliseconds
	// FormerStarts are those of earlier processes under the same id. They retire too.
	FormerStarts []int64 `json:"formerStarts,omitempty"`
	// Retiring is set for a database whose log no longer counts as the only copy of a commit.
	// It is taken off the roster once another one holds what its log may hold.
	Retiring bool `json:"retiring,omitempty"`
	// Leaving is set for a retiring database that has announced its shutdown.
	Leaving bool `json:"leaving,omitempty"`
	// FencedIn is the term in which a leaving database was paused; 0 for none. A promotion ends
	// the pause; no attempt ends that of a leaving database, so that it receives nothing more before.
	FencedIn uint64 `json:"fencedIn,omitempty"`
	// Abandoned is set by an operator who gives up what only the logs of the earlier processes may
	// hold, or that of the present one if there are none.
	Abandoned bool `json:"abandoned,omitempty"`
}

// GivenUp reports whether an operator has given up the log of the process that started at the
// given time.
func (p Place) GivenUp(startMillis int64) bool {
	return p.Abandoned && (len(p.FormerStarts) == 0 || startMillis != p.StartMillis)
}

// Counts reports whether a commit may be acknowledged because the process of a database that
// started at the given time holds it: whoever replaces the primary reads its log.
func (r Roster) Counts(id string, startMillis int64) bool {
	p, ok := r.Databases[id]
	return ok && p.StartMillis == startMillis && !p.Retiring && !p.Abandoned
}

// Add returns the roster with the present databases that it lacks, and whether it differs
// from r. A database that is leaving takes its log with it.
func (r Roster) Add(present []routes.Database) (Roster, bool) {
	out := r
	out.Databases = map[string]Place{}
	maps.Copy(out.Databases, r.Databases)
	for _, db := range present {
		if _, ok := out.Databases[db.ID]; !ok && !db.Leaving {
			out.Databases[db.ID] = placeOf(db)
		}
	}
	return out, len(out.Databases) > len(r.Databases)
}

func placeOf(db routes.Database) Place {
	return Place{Address: db.Address, DataCentre: db.DataCentre, StartMillis: db.StartMillis}
}

// Update returns the roster with the present databases and the primary of the given
// term, and whether it differs from r. An empty primary, or one of an earlier term, changes
// nothing. A database retires once it is no longer present or is leaving, and no longer does
// when it is back with the same start; the former process of one that has restarted retires. What r
// shows as retiring of the held databases (see HeldElsewhere) is removed.
func (r Roster) Update(present []routes.Database, primary string, term uint64, held ...string) (Roster, bool) {
	out := r
	out.Databases = map[string]Place{}
	byID := map[string]routes.Database{}
	for _, db := range present {
		byID[db.ID] = db
	}
	for id, place := range r.Databases {
		isHeld := slices.Contains(held, id)
		if isHeld {
			place.FormerStarts = nil
		}
		db, isPresent := byID[id]
		if isPresent && db.StartMillis < place.StartMillis {
			out.Databases[id] = place // the list is outdated
			continue
		}
		if isPresent && !db.Leaving {
			next := placeOf(db)
			next.FormerStarts = place.FormerStarts
			if place.StartMillis != db.StartMillis && !(isHeld && place.Retiring) {
				next.FormerStarts = append(slices.Clone(place.FormerStarts), place.StartMillis)
			}
			next.Abandoned = place.Abandoned && len(next.FormerStarts) > 0
			out.Databases[id] = next
			continue
		}
		if place.Retiring && isHeld {
			continue
		}
		place.Retiring = true
		place.Leaving = place.Leaving || isPresent && db.Leaving && db.StartMillis == place.StartMillis
		out.Databases[id] = place
	}
	out, _ = out.Add(present)
	if primary != "" && term > r.Term {
		out.Primary, out.Term = primary, term
	}
	changed := out.Primary != r.Primary || out.Term != r.Term || !maps.EqualFunc(out.Databases, r.Databases, Place.equal)
	return out, changed
}

func (p Place) equal(o Place) bool {
	return p.Address == o.Address && p.DataCentre == o.DataCentre && p.StartMillis == o.StartMillis &&
		p.Retiring == o.Retiring && p.Leaving == o.Leaving && p.FencedIn == o.FencedIn && p.Abandoned == o.Abandoned && slices.Equal(p.FormerStarts, o.FormerStarts)
}

// Fence returns the roster with the given leaving databases as fenced in a term, and whether it
// differs from r.
func (r Roster) Fence(ids []string, term uint64) (out Roster, changed bool) {
	out = r
	out.Databases = maps.Clone(r.Databases)
	for _, id := range ids {
		if place := out.Databases[id]; place.Leaving && place.FencedIn != term {
			place.FencedIn, changed = term, true
			out.Databases[id] = place
		}
	}
	return out, changed
}

// Unfenced returns the roster without its fences, which hosts of older rules do not keep.
func (r Roster) Unfenced() Roster {
	out := r
	out.Databases = maps.Clone(r.Databases)
	for id, place := range out.Databases {
		place.FencedIn = 0
		out.Databases[id] = place
	}
	return out
}

// Departed reports whether a database that is leaving, as the platform's list or the roster shows,
// is not on the roster: others hold what its log may hold. Neither a takeover nor an acknowledgement
// needs its log.
func (r Roster) Departed(id string, leaving bool) bool {
	_, recorded := r.Databases[id]
	return leaving && !recorded && len(r.Databases) > 0
}

// RetiringIDs returns the databases of the roster that are retiring, or former processes of
// which are, sorted.
func (r Roster) RetiringIDs() []string {
	var ids []string
	for id, place := range r.Databases {
		if place.Retiring || len(place.FormerStarts) > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// LogReport is what one database reported of its log.
type LogReport struct {
	ID          string
	StartMillis int64 // start time of its process, Unix milliseconds
	Known       bool  // listed, and not leaving, for lead.KnownAfter
	Primary     bool
	Term        uint64
	Received    position.Position
}

// HeldElsewhere returns the retiring databases, sorted, for which another database of the roster
// holds all commits that may have been acknowledged because of their logs. The reports answer
// queries that were sent after the roster was stored and its fenced databases were paused, newest is
// the newest term known, and the lease was settled in the primary's term after that.
//
// A commit that rests on a retiring database was confirmed before, so that it is in the log
// of the primary. A host with an old roster may go on counting a process that still runs among
// all copies, unless that is fenced. The other database is then known to all hosts, so that each
// counts it too.
func (r Roster) HeldElsewhere(primary LogReport, others []LogReport, newest uint64, present []routes.Database) (held []string) {
	if !r.HasHolder(primary, others, newest) {
		return nil
	}
	allKnow := slices.ContainsFunc(others, func(o LogReport) bool { return o.Known && r.holds(o, primary) })
	for _, id := range r.RetiringIDs() {
		place := r.Databases[id]
		if allKnow || place.FencedIn == primary.Term || !place.Retiring || place.ended(id, present) {
			held = append(held, id)
		}
	}
	return held
}

// holds reports whether a database that counts on the roster holds the primary's log.
func (r Roster) holds(o, primary LogReport) bool {
	return o.ID != primary.ID && !o.Primary && o.Term == primary.Term && r.Counts(o.ID, o.StartMillis) &&
		!Candidate{Received: o.Received}.Lacks(primary.Received)
}

// HasHolder reports whether a database that counts on the roster holds the log of the primary. Until
// then leaving ones are not fenced, since the primary may need them to confirm commits.
func (r Roster) HasHolder(primary LogReport, others []LogReport, newest uint64) bool {
	return primary.Primary && primary.Term >= max(newest, r.Term) &&
		slices.ContainsFunc(others, func(o LogReport) bool { return r.holds(o, primary) })
}

// ended reports whether the process of a retiring place is known to have ended: one that started
// later has its id or its address.
func (p Place) ended(id string, present []routes.Database) bool {
	return slices.ContainsFunc(present, func(db routes.Database) bool {
		return db.StartMillis > p.StartMillis && (db.ID == id || db.Address == p.Address)
	})
}

// Missing returns the databases of the roster that are not among the present ones.
func (r Roster) Missing(service string, present []routes.Database) []routes.Database {
	known := map[string]bool{}
	for _, db := range present {
		known[db.ID] = true
	}
	var out []routes.Database
	for id, place := range r.Databases {
		if !known[id] {
			out = append(out, routes.Database{ID: id, Service: service, Address: place.Address, DataCentre: place.DataCentre, StartMillis: place.StartMillis})
		}
	}
	return out
}

// Restarted returns the databases that an earlier and a later list both have, and that have
// started in between.
func Restarted(earlier, later []routes.Database) (ids []string) {
	started := map[string]int64{}
	for _, db := range earlier {
		started[db.ID] = db.StartMillis
	}
	for _, db := range later {
		if at, ok := started[db.ID]; ok && at != db.StartMillis {
			ids = append(ids, db.ID)
		}
	}
	return ids
}
