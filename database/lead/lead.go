// Package lead knows the databases of one service: which leads, which can be
// read, and which are in trouble as seen from this host.
//
// Only a database itself can say that it leads, and only for the moment at
// which it says so. What databases announce, and what was proved before, are
// hints for where to ask next.
package lead

import (
	"time"

	"github.com/bronzeloft/bronzeloft/contract/routes"
)

// Table is the state of one service's databases. It is not safe for concurrent
// use. It holds as many databases as the platform lists.
type Table struct {
	members map[string]*member
	leader  string
	since   time.Time // of the evidence for leader
	term    uint64    // the newest seen
	former  []routes.Database
}

// maxFormer bounds the former databases that are remembered; a service has a
// handful at a time.
const maxFormer = 16

type member struct {
	routes.Database
	missing  time.Time // since when it is not listed; zero while it is
	contact  contact
	avoided  time.Time // not chosen before, while others are there
	announce time.Time // when it last began to announce itself as the primary
}

// contact is what this host's own calls to a database came to.
type contact struct {
	answered time.Time // sending time of the last call that was answered
	failing  time.Time // sending time of the first call that failed after that
	failures int
	refused  bool // the database's host answered that nothing listens there
}

// MissingFor is how long a database that is no longer listed is still used.
// Entries that lapsed while the platform's store was away are back about two
// seconds after its return.
const MissingFor = 2200 * time.Millisecond

// New returns an empty table.
func New() *Table { return &Table{members: map[string]*member{}} }

// SetDatabases takes the platform's list of the service's databases. It
// returns the ids of databases that started anew, of which nothing that was
// known holds.
func (t *Table) SetDatabases(list []routes.Database, now time.Time) (restarted []string) {
	listed := map[string]bool{}
	for _, db := range list {
		listed[db.ID] = true
		m := t.members[db.ID]
		if m == nil || m.Born != db.Born || m.Address != db.Address {
			if m != nil {
				restarted = append(restarted, db.ID)
				t.forgetLeader(db.ID)
			}
			m = &member{}
			t.members[db.ID] = m
		}
		if db.Primary && !m.Primary {
			t.announced(db.ID, m, now)
		}
		m.Database, m.missing = db, time.Time{}
	}
	for id, m := range t.members {
		if !listed[id] && m.missing.IsZero() {
			m.missing = now
		}
	}
	t.Expire(now)
	return restarted
}

// announced takes a database's word that it has begun to lead.
func (t *Table) announced(id string, m *member, now time.Time) {
	m.announce = now
	if t.leader == "" || now.After(t.since) {
		t.leader, t.since = id, now
	}
}

// Expire forgets databases that have been missing for long.
func (t *Table) Expire(now time.Time) {
	for id, m := range t.members {
		if !m.missing.IsZero() && now.Sub(m.missing) >= MissingFor {
			delete(t.members, id)
			t.forgetLeader(id)
			t.former = append(t.former, m.Database)
			t.former = t.former[max(0, len(t.former)-maxFormer):]
		}
	}
}

// Former returns databases that are no longer listed. One may still serve where
// it is cut off from the store.
func (t *Table) Former() []routes.Database {
	var out []routes.Database
	for _, db := range t.former {
		if _, back := t.members[db.ID]; !back {
			out = append(out, db)
		}
	}
	return out
}

func (t *Table) forgetLeader(id string) {
	if t.leader == id {
		t.leader = ""
	}
}

// Proved records that a database led when it was asked at the given time.
func (t *Table) Proved(id string, term uint64, asked time.Time) {
	t.Answered(id, asked)
	t.SawTerm(term)
	if t.leader == id || asked.After(t.since) {
		t.leader, t.since = id, asked
	}
}

// SawTerm records a term.
func (t *Table) SawTerm(term uint64) { t.term = max(t.term, term) }

// Term returns the newest term seen.
func (t *Table) Term() uint64 { return t.term }

// Denied records that a database did not lead when asked.
func (t *Table) Denied(id string, asked time.Time) {
	t.Answered(id, asked)
	if t.leader != id || asked.Before(t.since) {
		return
	}
	t.leader = ""
	for other, m := range t.members {
		if other != id && m.Primary && m.missing.IsZero() {
			t.leader, t.since = other, asked
		}
	}
}

// Leader returns the database that is believed to lead.
func (t *Table) Leader() (routes.Database, bool) {
	m := t.members[t.leader]
	if m == nil {
		return routes.Database{}, false
	}
	return m.Database, true
}

// Get returns a database.
func (t *Table) Get(id string) (routes.Database, bool) {
	m := t.members[id]
	if m == nil {
		return routes.Database{}, false
	}
	return m.Database, true
}

// All returns every database of the service.
func (t *Table) All() []routes.Database {
	out := make([]routes.Database, 0, len(t.members))
	for _, m := range t.members {
		out = append(out, m.Database)
	}
	return out
}

// Listed reports whether a database is in the platform's list now.
func (t *Table) Listed(id string) bool {
	m := t.members[id]
	return m != nil && m.missing.IsZero()
}

// Answered records that a database answered a call sent at the given time.
func (t *Table) Answered(id string, asked time.Time) {
	m := t.members[id]
	if m == nil || asked.Before(m.contact.answered) {
		return
	}
	m.contact = contact{answered: asked}
}

// Failed records that a call sent at the given time got no answer.
func (t *Table) Failed(id string, asked time.Time, refused bool) {
	m := t.members[id]
	if m == nil || asked.Before(m.contact.answered) {
		return
	}
	c := &m.contact
	if c.failures == 0 {
		c.failing = asked
	}
	c.failures++
	c.refused = refused
}

// Avoid makes other databases preferred until a time.
func (t *Table) Avoid(id string, until time.Time) {
	if m := t.members[id]; m != nil && m.avoided.Before(until) {
		m.avoided = until
	}
}
