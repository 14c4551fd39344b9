package lead

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bronzeloft/bronzeloft/contract/routes"
)

// When a database counts as unreachable from this host.
const (
	// silentAfter is how long calls must have failed without an answer. It is over
	// ten times the longest response time of a lightly loaded database for a
	// statement that takes no slot.
	silentAfter = 600 * time.Millisecond
	// refusedAfter applies instead when the last call was refused. It spans one
	// restart of a listener.
	refusedAfter = 150 * time.Millisecond
	// minFailures keeps a single lost answer from counting.
	minFailures = 2
)

// Unreachable reports whether calls from this host to a database have failed for
// so long that the database is presumed dead or partitioned. It is true for an
// unknown database.
func (t *Table) Unreachable(id string, now time.Time) bool {
	m := t.members[id]
	if m == nil {
		return true
	}
	c := m.contact
	if c.failures < minFailures {
		return false
	}
	after := silentAfter
	if c.refused {
		after = refusedAfter
	}
	return now.Sub(c.failingSince) >= after
}

// reader is a database with its sort keys.
type reader struct {
	id    string
	grade int
	hash  uint64
}

// Grades of a reader; the lowest is preferred. A read that starts at once in another
// data centre is answered earlier than one that waits in this one. The primary is
// used while it is mostly idle and near, and otherwise kept for writes, which only it
// can serve.
const (
	localReplica  = iota // in this host's data centre, with a free slot
	localPrimary         // in this host's data centre, mostly idle
	remoteReplica        // in another data centre, with a free slot
	queuedLocal          // a replica in this host's data centre for which statements wait
	queuedRemote         // one in another data centre
	primary              // any other primary
	cold                 // cold after its start
	avoided              // refused or failed a request recently
	unreachable          // does not answer, or is no longer listed
)

// Load is how much of a database's capacity this host uses, as a share of the
// statements that it may send at once: 1 or more means that another one would wait.
type Load func(id string) float64

// maxPrimaryLoad is the load up to which reads use a primary in the same data centre.
const maxPrimaryLoad = 0.5

// Readers returns the databases that may serve a customer's read, best first.
// The order for one customer is stable while the loads are, so that its connections
// are reused. dataCentre is that of this host. A leaving database is left out,
// unless it is the only one known.
func (t *Table) Readers(customer, dataCentre string, load Load, now time.Time) []string {
	return t.readers(t.members, customer, dataCentre, load, now)
}

// ReadersOutside is Readers without the databases of data centres that are to be evacuated,
// unless no other one is listed and reachable.
func (t *Table) ReadersOutside(evacuated func(dataCentre string) bool, customer, dataCentre string, load Load, now time.Time) []string {
	outside := map[string]*member{}
	reachable := false
	for id, m := range t.members {
		if !evacuated(m.DataCentre) {
			outside[id] = m
			reachable = reachable || m.missingSince.IsZero() && !t.Unreachable(id, now)
		}
	}
	if len(outside) == len(t.members) || !reachable {
		return t.Readers(customer, dataCentre, load, now)
	}
	return t.readers(outside, customer, dataCentre, load, now)
}

// readers orders some of the databases.
func (t *Table) readers(members map[string]*member, customer, dataCentre string, load Load, now time.Time) []string {
	order := make([]reader, 0, len(members))
	for id, m := range members {
		if m.Leaving && len(members) > 1 {
			continue
		}
		order = append(order, reader{id: id, grade: t.grade(id, m, dataCentre, load, now), hash: preference(customer, id)})
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

func (t *Table) grade(id string, m *member, dataCentre string, load Load, now time.Time) int {
	local := m.DataCentre == dataCentre
	switch {
	case t.Unreachable(id, now) || !m.missingSince.IsZero():
		return unreachable
	case now.Before(m.avoidUntil):
		return avoided
	case t.isCold != nil && t.isCold(id):
		return cold
	case id == t.leader && local && load(id) <= maxPrimaryLoad:
		return localPrimary
	case id == t.leader:
		return primary
	case load(id) >= 1 && local:
		return queuedLocal
	case load(id) >= 1:
		return queuedRemote
	case local:
		return localReplica
	}
	return remoteReplica
}

// preference returns a hash that orders databases differently for each customer.
func preference(customer, id string) uint64 {
	return xxhash.Sum64String(customer + "\x00" + id)
}

// RankCold ranks the databases for which cold is true behind the other readers that can
// serve; nil if none is.
func (t *Table) RankCold(cold func(id string) bool) { t.isCold = cold }

// Replicas returns all databases except id, the primary, in the order of their ids.
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

// EstablishedAfter is how long a replica must have been listed to be established. An
// entry reaches all hosts that the store reaches in less.
const EstablishedAfter = 2 * time.Second

// KnownAfter is how long a replica must have been listed so that each host that counts
// replicas knows it: such a host's list is at most ListMaxAge old. A host that the store
// does not reach keeps its list.
const (
	KnownAfter = 30 * time.Second
	ListMaxAge = 25 * time.Second
)

// Established returns the replicas that every host may be expected to know, in the
// order of their ids: those that answer, are not leaving and have been listed for
// EstablishedAfter. A replica that is not listed, or has just started, may be unknown to
// the host that chooses a successor; one that is leaving takes its log with it.
func (t *Table) Established(now time.Time) []string {
	var out []string
	for id, m := range t.members {
		if id != t.leader && !m.Leaving && m.missingSince.IsZero() && t.KnownFor(id, now) >= EstablishedAfter && !t.Unreachable(id, now) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// ListedFor returns for how long there has been a list of the service's databases.
func (t *Table) ListedFor(now time.Time) time.Duration {
	if t.listedAt.IsZero() {
		return 0
	}
	return now.Sub(t.listedAt)
}

// FirstListed reports whether a database's life was in the first list, and is listed and not
// leaving.
func (t *Table) FirstListed(id string) bool {
	m := t.members[id]
	return m != nil && !m.Leaving && m.missingSince.IsZero() && m.listedSince.Equal(t.listedAt)
}

// KnownFor returns for how long a database has been known since its process started. It
// says nothing of the time before the first list: the databases of that may have started
// just before it.
func (t *Table) KnownFor(id string, now time.Time) time.Duration {
	m := t.members[id]
	if m == nil {
		return 0
	}
	return now.Sub(m.listedSince)
}
