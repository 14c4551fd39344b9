package lead

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bronzeloft/bronzeloft/contract/routes"
)

// Silence after which a database is taken for unreachable from this host.
const (
	// silentAfter is over ten times the longest answer of a lightly loaded
	// database to a statement that takes no slot.
	silentAfter = 600 * time.Millisecond
	// refusedAfter spans one restart of a listener.
	refusedAfter = 150 * time.Millisecond
	// leastFailures keeps one lost answer from counting as silence.
	leastFailures = 2
)

// Unreachable reports whether a database has not answered this host for so
// long that it is taken for dead or cut off.
func (t *Table) Unreachable(id string, now time.Time) bool {
	m := t.members[id]
	if m == nil {
		return true
	}
	c := m.contact
	if c.failures < leastFailures {
		return false
	}
	after := silentAfter
	if c.refused {
		after = refusedAfter
	}
	return now.Sub(c.failing) >= after
}

// reader is a database with its place in the order of choice.
type reader struct {
	id    string
	grade int
	hash  uint64
}

// Grades of a reader; the lowest comes first.
const (
	near        = iota // a replica in this data centre
	far                // another replica
	leading            // the primary: writes need it, so reads keep off it
	avoided            // it refused or failed lately
	unreachable        // it does not answer
)

// Readers returns the databases that may serve a customer's read, best first.
// The order for one customer is stable, so that its connections are used again.
func (t *Table) Readers(customer, dataCentre string, now time.Time) []string {
	order := make([]reader, 0, len(t.members))
	for id, m := range t.members {
		if m.Leaving && len(t.members) > 1 {
			continue
		}
		order = append(order, reader{id: id, grade: t.grade(id, m, dataCentre, now), hash: preference(customer, id)})
	}
	slices.SortFunc(order, func(a, b reader) int {
		return cmp.Or(cmp.Compare(a.grade, b.grade), cmp.Compare(a.hash, b.hash))
	})
	ids := make([]string, len(order))
	for i, r := range order {
		ids[i] = r.id
	}
	return ids
}

func (t *Table) grade(id string, m *member, dataCentre string, now time.Time) int {
	switch {
	case t.Unreachable(id, now) || !m.missing.IsZero():
		return unreachable
	case now.Before(m.avoided):
		return avoided
	case id == t.leader:
		return leading
	case m.DataCentre == dataCentre:
		return near
	}
	return far
}

// preference orders databases differently for each customer.
func preference(customer, id string) uint64 {
	return xxhash.Sum64String(customer + "\x00" + id)
}

// Replicas returns the databases other than id, which is the primary.
func (t *Table) Replicas(id string) []routes.Database {
	var out []routes.Database
	for other, m := range t.members {
		if other != id {
			out = append(out, m.Database)
		}
	}
	slices.SortFunc(out, func(a, b routes.Database) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
