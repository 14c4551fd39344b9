package succession

import (
	"maps"

	"github.com/bronzeloft/bronzeloft/contract/routes"
)

// Roster is the record of a service's databases that outlives the hosts. The
// platform's list lacks a database that is cut off from the platform, and a host
// that starts then has never seen it; it may still acknowledge commits together with
// others that are cut off with it. The zero value is the roster of an unknown
// service.
type Roster struct {
	Primary   string           `json:"primary,omitempty"` // the last database that proved to be the primary
	Term      uint64           `json:"term,omitempty"`    // in which it did
	Databases map[string]Place `json:"databases,omitempty"`
}

// Place is where a database runs.
type Place struct {
	Address     string `json:"address"` // IP:port
	DataCentre  string `json:"dataCentre"`
	StartMillis int64  `json:"startMillis"` // start time of its process, Unix milliseconds
	// Retiring is set for a database whose log no longer counts as the only copy of a commit.
	// It is taken off the roster once another one holds what its log may hold.
	Retiring bool `json:"retiring,omitempty"`
	// Abandoned is set by an operator who gives up what only this log may hold.
	Abandoned bool `json:"abandoned,omitempty"`
}

// Update returns the roster with the present databases, the primary of the given
// term and without the databases that are gone, and whether it differs from r. An
// empty primary, or one of an earlier term, changes nothing.
func (r Roster) Update(present []routes.Database, primary string, term uint64, gone func(id string) bool) (Roster, bool) {
	out := Roster{Primary: r.Primary, Term: r.Term, Databases: map[string]Place{}}
	for id, place := range r.Databases {
		if !gone(id) {
			out.Databases[id] = place
		}
	}
	for _, db := range present {
		out.Databases[db.ID] = Place{Address: db.Address, DataCentre: db.DataCentre, StartMillis: db.StartMillis}
	}
	if primary != "" && term > r.Term {
		out.Primary, out.Term = primary, term
	}
	changed := out.Primary != r.Primary || out.Term != r.Term || !maps.Equal(out.Databases, r.Databases)
	return out, changed
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
