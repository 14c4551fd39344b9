// Package lead tracks the databases of one service as seen from this host: which
// one is the primary, which can serve reads, and which are failing.
//
// Only a database's own answer proves that it is the primary, and only for the
// time of that answer. Announcements of databases and earlier proofs are hints
// about which database to query next. The database that they point to, the
// presumed primary, is called the leader.
package lead

import (
	"maps"
	"slices"
	"time"

	"github.com/bronzeloft/bronzeloft/contract/routes"
)

// Table is the state of one service's databases. It is not safe for concurrent
// use. It holds the databases that the platform lists or has listed within
// MissingRetention, and up to maxFormer former ones.
type Table struct {
	members    map[string]*member
	leader     string               // id of the presumed primary; empty if none
	proven     bool                 // the leader has answered as the primary, and not only announced it
	leaderAsOf time.Time            // time of the evidence for leader that was recorded last
	term       uint64               // newest term seen
	former     []formerDatabase     // removed by Expire, oldest first; may have been listed again
	listedAt   time.Time            // when SetDatabases was called first
	isCold     func(id string) bool // see RankCold; nil if none is
	led        map[uint64]string    // by term, the database that reported that it is its primary
}

// ledTerms is the number of terms, up to the newest one, whose primaries are kept.
const ledTerms = 8

// maxFormer bounds the list of former databases; a service has a handful of
// databases at a time.
const maxFormer = 16

type formerDatabase struct {
	routes.Database
	missingSince time.Time
	removedAt    time.Time
}

type member struct {
	routes.Database
	listedSince  time.Time // when its life was first listed
	leavingSince time.Time // when it was first listed as leaving; zero while it is not
	leavingKnown time.Time // since when another host has known that it is leaving; zero if none has reported it
	missingSince time.Time // when the platform's list first lacked it; zero while it is listed
	contact      contact
	avoidUntil   time.Time // sorted behind the other reachable readers until then
	announcedAt  time.Time // when it last started to announce itself as the primary
	provenAt     time.Time // sending time of the last query in answer to which it proved to be the primary
	deniedAt     time.Time // the same of the last one that it answered as a replica
}

// contact holds the results of this host's own calls to a database.
type contact struct {
	lastAnswered time.Time // sending time of the last call that was answered
	failingSince time.Time // sending time of the first call that failed after that
	failures     int
	refused      bool // the last failed call was refused: nothing listens at the address
}

// MissingRetention is how long a database that is no longer listed is still
// used. Entries that expire during an outage of the platform's store are listed
// again about two seconds after the outage ends.
const MissingRetention = 2200 * time.Millisecond

// New returns an empty table.
func New() *Table { return &Table{members: map[string]*member{}, led: map[uint64]string{}} }

// SetDatabases applies the platform's list of the service's databases. It
// returns the ids of the databases that have restarted or changed their address;
// their recorded state is discarded.
func (t *Table) SetDatabases(list []routes.Database, now time.Time) (restarted []string) {
	listed := map[string]bool{}
	for _, db := range list {
		listed[db.ID] = true
		m := t.members[db.ID]
		if m == nil || m.StartMillis != db.StartMillis || m.Address != db.Address {
			if m != nil {
				restarted = append(restarted, db.ID)
				t.forgetLeader(db.ID)
			}
			m = &member{listedSince: now}
			t.members[db.ID] = m
		}
		if db.Primary && !m.Primary {
			t.recordAnnouncement(db.ID, m, now)
		}
		m.Database, m.missingSince = db, time.Time{}
		m.recordLeaving(now)
	}
	for id, m := range t.members {
		if !listed[id] && m.missingSince.IsZero() {
			m.missingSince = now
		}
	}
	if t.listedAt.IsZero() {
		t.listedAt = now
	}
	t.Expire(now)
	return restarted
}

// recordAnnouncement records that a database has started to announce itself as
// the primary. The database becomes the leader unless newer evidence names another
// one.
func (t *Table) recordAnnouncement(id string, m *member, now time.Time) {
	m.announcedAt = now
	if t.leader == "" || now.After(t.leaderAsOf) {
		t.proven = t.proven && t.leader == id
		t.leader, t.leaderAsOf = id, now
	}
}

func (m *member) recordLeaving(now time.Time) {
	switch {
	case m.Leaving && m.leavingSince.IsZero():
		m.leavingSince = now
	case !m.Leaving && !m.leavingSince.IsZero():
		m.leavingSince, m.leavingKnown = time.Time{}, time.Time{}
	}
}

// RecordLeaving records that another host has known since the given time that a
// database is leaving. start is the StartMillis of the database's life that it means.
func (t *Table) RecordLeaving(id string, start int64, since time.Time) {
	m := t.members[id]
	if m == nil || m.StartMillis != start {
		return
	}
	if m.leavingKnown.IsZero() || since.Before(m.leavingKnown) {
		m.leavingKnown = since
	}
}

// LeavingSince returns the earliest time at which a host is known to have learned that
// a database is leaving, or the zero time if it is not leaving. This host may learn of
// it later than others, or only from them.
func (t *Table) LeavingSince(id string) time.Time {
	m := t.members[id]
	switch {
	case m == nil:
		return time.Time{}
	case m.leavingSince.IsZero() || !m.leavingKnown.IsZero() && m.leavingKnown.Before(m.leavingSince):
		return m.leavingKnown
	}
	return m.leavingSince
}

// Expire removes databases that have been missing for MissingRetention.
func (t *Table) Expire(now time.Time) {
	for id, m := range t.members {
		if !m.missingSince.IsZero() && now.Sub(m.missingSince) >= MissingRetention {
			delete(t.members, id)
			t.forgetLeader(id)
			t.former = append(t.former, formerDatabase{Database: m.Database, missingSince: m.missingSince, removedAt: now})
			t.former = t.former[max(0, len(t.former)-maxFormer):]
		}
	}
}

// Former returns removed databases that have not been listed again. Such a
// database may still be running if it is partitioned from the store.
func (t *Table) Former() []routes.Database {
	var out []routes.Database
	for _, db := range t.former {
		if _, relisted := t.members[db.ID]; !relisted {
			out = append(out, db.Database)
		}
	}
	return out
}

// RemovedSince reports whether a database was removed after since that has not been
// listed again.
func (t *Table) RemovedSince(since time.Time) bool {
	for _, db := range t.former {
		if _, relisted := t.members[db.ID]; !relisted && db.removedAt.After(since) {
			return true
		}
	}
	return false
}

// MissingSince returns since when the platform's list has lacked a database, and the zero
// time if it is listed or has never been.
func (t *Table) MissingSince(id string) time.Time {
	if m := t.members[id]; m != nil {
		return m.missingSince
	}
	for _, db := range slices.Backward(t.former) {
		if db.ID == id {
			return db.missingSince
		}
	}
	return time.Time{}
}

func (t *Table) forgetLeader(id string) {
	if t.leader == id {
		t.leader = ""
	}
}

// RecordLeader records that a database proved to be the primary in answer to a
// query sent at sentAt. The database becomes the leader unless evidence at least as
// new has named another one.
func (t *Table) RecordLeader(id string, term uint64, sentAt time.Time) {
	t.RecordAnswer(id, sentAt)
	t.RecordTerm(term)
	if m := t.members[id]; m != nil && m.provenAt.Before(sentAt) {
		m.provenAt = sentAt
	}
	if t.leader == id || sentAt.After(t.leaderAsOf) {
		t.leader, t.leaderAsOf, t.proven = id, sentAt, true
	}
}

// LeaderProven reports whether the presumed primary has answered as the primary.
func (t *Table) LeaderProven() bool { return t.leader != "" && t.proven }

// ProvenAt returns the sending time of the last query in answer to which a database proved
// to be the primary, and the zero time if it has not.
func (t *Table) ProvenAt(id string) time.Time {
	if m := t.members[id]; m != nil {
		return m.provenAt
	}
	return time.Time{}
}

// DeniedAt returns the sending time of the last query in answer to which a database
// reported that it is not the primary, and the zero time if it has not.
func (t *Table) DeniedAt(id string) time.Time {
	if m := t.members[id]; m != nil {
		return m.deniedAt
	}
	return time.Time{}
}

// RecordLed records that a database reported that it is the primary of a term. The
// position in another answer of a primary does not show its term: it names the end of the
// log when the answer is written, which may be after the database has lost the lead.
//
// The first one to report it leads a term, unless it has ended: a primary may come back in
// its term under another id, with its log.
func (t *Table) RecordLed(term uint64, id string) {
	t.RecordTerm(term)
	if first := t.led[term]; first == "" || first != id && t.Listed(id) && (!t.Listed(first) || t.members[first].Address == t.members[id].Address) {
		t.led[term] = id
		maps.DeleteFunc(t.led, func(old uint64, _ string) bool { return old+ledTerms <= t.term })
	}
}

// Led returns the database that reported that it is the primary of a term, or an empty
// string if none is known to have.
func (t *Table) Led(term uint64) string { return t.led[term] }

// LedTerm returns the newest term of which a database reported that it is the primary, and 0
// if there is none or a newer term has been seen.
func (t *Table) LedTerm(id string) uint64 {
	for term, leader := range t.led {
		if leader == id && term >= t.term {
			return term
		}
	}
	return 0
}

// RecordTerm records a term that a database has reported.
func (t *Table) RecordTerm(term uint64) { t.term = max(t.term, term) }

// Term returns the newest term seen.
func (t *Table) Term() uint64 { return t.term }

// RecordNotLeader records that a database reported, in answer to a query sent at
// sentAt, that it is not the primary. If it is the leader on evidence no newer than
// that, another listed database that announces itself as the primary takes its
// place; if there is none, no leader is known.
func (t *Table) RecordNotLeader(id string, sentAt time.Time) {
	t.RecordAnswer(id, sentAt)
	if m := t.members[id]; m != nil && m.deniedAt.Before(sentAt) {
		m.deniedAt = sentAt
	}
	if t.leader != id || sentAt.Before(t.leaderAsOf) {
		return
	}
	t.leader = ""
	for other, m := range t.members {
		if other != id && m.Primary && m.missingSince.IsZero() {
			t.leader, t.leaderAsOf, t.proven = other, sentAt, false
		}
	}
}

// Leader returns the presumed primary.
func (t *Table) Leader() (routes.Database, bool) {
	m := t.members[t.leader]
	if m == nil {
		return routes.Database{}, false
	}
	return m.Database, true
}

// Get returns the database with the given id.
func (t *Table) Get(id string) (routes.Database, bool) {
	m := t.members[id]
	if m == nil {
		return routes.Database{}, false
	}
	return m.Database, true
}

// All returns every database of the service, including those missing for less than
// MissingRetention, in no particular order.
func (t *Table) All() []routes.Database {
	out := make([]routes.Database, 0, len(t.members))
	for _, m := range t.members {
		out = append(out, m.Database)
	}
	return out
}

// Listed reports whether a database is in the platform's current list.
func (t *Table) Listed(id string) bool {
	m := t.members[id]
	return m != nil && m.missingSince.IsZero()
}

// RecordAnswer records that a database answered a call sent at sentAt. It clears
// the failures recorded so far, unless a call sent later was answered already.
func (t *Table) RecordAnswer(id string, sentAt time.Time) {
	m := t.members[id]
	if m == nil || sentAt.Before(m.contact.lastAnswered) {
		return
	}
	m.contact = contact{lastAnswered: sentAt}
}

// RecordFailure records that a call sent at sentAt got no answer. It has no effect
// if a call sent later was answered. refused means that nothing listens at the
// database's address.
func (t *Table) RecordFailure(id string, sentAt time.Time, refused bool) {
	m := t.members[id]
	if m == nil || sentAt.Before(m.contact.lastAnswered) {
		return
	}
	c := &m.contact
	if c.failures == 0 {
		c.failingSince = sentAt
	}
	c.failures++
	c.refused = refused
}

// Avoid sorts a database behind the other reachable readers until the given time.
func (t *Table) Avoid(id string, until time.Time) {
	if m := t.members[id]; m != nil && m.avoidUntil.Before(until) {
		m.avoidUntil = until
	}
}
