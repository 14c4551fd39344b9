// Package cold limits the requests that databases get while they are cold after their
// start, over all hosts together.
//
// In any second a host admits at most its share of a database's rate and what its bucket
// holds: one request, or its share of the burst if that is more. A bucket starts empty.
// Rate and burst are so much below the bound that one request of each host fits too.
package cold

import (
	"cmp"
	"slices"
	"time"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/customer/share"
)

const (
	// settle is the longest time in which an announcement reaches the hosts of all data
	// centres: one round to the delegate, two to the other data centre's, one from there,
	// and one that is lost.
	settle = 2 * time.Second
	// minRateShare is the least part of the bound that is used as the rate, however
	// many hosts there are.
	minRateShare = 0.25
	// dueFor is how long a place for a sample or a proof is kept; both are repeated sooner.
	dueFor = 300 * time.Millisecond
	// perSample is the number of other requests between two samples, unless these are
	// sampleEvery apart: a sample costs as much as a statement.
	perSample   = 4
	sampleEvery = time.Second
	// baseShare is the part of the rate that is divided evenly, as of the demand for it.
	baseShare = 0.5
	// window is the time in which the bound counts requests.
	window = time.Second
)

// Config is the bound of requests to a cold database in one second: the service's rate
// times Overage, plus Slack.
type Config struct {
	Overage float64
	Slack   int
}

// Limits is one host's view of the cold databases and its shares of their rates. It is
// not safe for concurrent use. It holds the databases of the last list.
type Limits struct {
	cfg       Config
	table     *share.Table
	hosts     int
	services  map[string]routes.Service // those that limit requests to cold databases
	databases map[string]*database
}

// database is a listed database that is cold or was when its entry was learned.
type database struct {
	entry     routes.Database
	until     time.Time // it is cold until then
	reported  bool      // Changes has returned it as cold
	sampleDue time.Time // when a sample was refused; zero if none waits
	proofDue  time.Time // the same of a proof
	sampledAt time.Time // when the last sample was admitted
	refused   bool      // the last statement was
	sinceThen int       // other requests admitted since
}

// New returns the limits for a fleet in which the given number of hosts may send
// requests to a database.
func New(cfg Config, hosts int) *Limits {
	return &Limits{
		cfg: cfg, hosts: max(1, hosts), services: map[string]routes.Service{}, databases: map[string]*database{},
		table: share.NewWith(share.Config{MinBurst: 1, BaseShare: baseShare, Settle: settle}, hosts),
	}
}

// SetHosts sets the number of hosts that may send requests to a database.
func (l *Limits) SetHosts(n int, now time.Time) {
	if n = max(1, n); n == l.hosts {
		return
	}
	l.hosts = n
	l.table.SetHosts(n)
	l.update(now)
}

// SetServices applies the services of a configuration.
func (l *Limits) SetServices(services map[string]routes.Service, now time.Time) {
	l.services = map[string]routes.Service{}
	for name, s := range services {
		if s.ColdRate > 0 {
			l.services[name] = s
		}
	}
	l.update(now)
}

// SetDatabases applies a list of databases. The time for which a database remains cold
// counts from when its entry was learned; the same entry listed again changes nothing.
func (l *Limits) SetDatabases(list map[string]routes.Database, now time.Time) {
	for id, db := range list {
		if old := l.databases[id]; old != nil && old.entry == db {
			continue
		} else if old != nil && old.entry.StartMillis == db.StartMillis {
			old.entry, old.until = db, now.Add(db.ColdFor)
			continue
		}
		l.databases[id] = &database{entry: db, until: now.Add(db.ColdFor)}
	}
	for id, db := range l.databases {
		if _, ok := list[id]; !ok && !now.Before(db.until) {
			delete(l.databases, id) // while it is cold, its entry may only have expired
		}
	}
	l.update(now)
}

// Presume records that a database may start, or have started, without its entry saying
// so. It counts as cold from now for as long as its service's databases are after a
// start, or until another entry of it is listed.
func (l *Limits) Presume(id string, now time.Time) {
	db := l.databases[id]
	if db == nil {
		return
	}
	if until := now.Add(l.services[db.entry.Service].ColdStart); until.After(db.until) {
		db.until = until
		l.update(now)
	}
}

// update passes the databases that are cold now to the table.
func (l *Limits) update(now time.Time) {
	limits := map[string]share.Limit{}
	for id, db := range l.databases {
		if l.cold(db, now) {
			limits[id] = l.limit(l.services[db.entry.Service].ColdRate)
		}
	}
	l.table.SetLimits(limits, now)
}

// limit returns the limit that the hosts share for a service's rate. Its rate is the rest
// of the bound after one request of each host, at most the service's own. Its burst is
// half of what then remains; the other half is for hosts that disagree for a moment.
func (l *Limits) limit(perSecond float64) share.Limit {
	bound := perSecond*l.cfg.Overage + float64(l.cfg.Slack)
	rest := bound - float64(l.hosts)
	rate := min(perSecond, max(minRateShare*bound, rest/window.Seconds()))
	return share.Limit{Rate: rate, Burst: max(0, rest-rate*window.Seconds()) / 2}
}

func (l *Limits) cold(db *database, now time.Time) bool {
	return db != nil && now.Before(db.until) && l.services[db.entry.Service].ColdRate > 0
}

// Cold reports whether a database is cold and its requests are limited.
func (l *Limits) Cold(id string, now time.Time) bool { return l.cold(l.databases[id], now) }

// Class is what a request is for.
type Class uint8

const (
	// Statement is a request of a caller, or one that comes before it.
	Statement Class = iota
	// Sample looks for the end of the primary's log from time to time.
	Sample
	// Proof shows that the primary led after a commit, which waits for it.
	Proof
)

// Admit reports whether a request may be sent to a database now, and otherwise the time
// until one may. Proofs go first, and samples until they have had a fixed part of the
// requests.
func (l *Limits) Admit(id string, class Class, now time.Time) (bool, time.Duration) {
	db := l.databases[id]
	if !l.cold(db, now) {
		return true, 0
	}
	if class == Statement && now.Sub(db.proofDue) < dueFor {
		return false, db.proofDue.Add(dueFor).Sub(now)
	}
	refused := db.refused && db.sinceThen == 0 // a statement has waited since the last sample
	sampleTurn := db.sinceThen >= perSample || now.Sub(db.sampledAt) >= sampleEvery && !refused
	switch {
	case class == Sample && !sampleTurn:
		return false, db.sampledAt.Add(sampleEvery).Sub(now)
	case class == Statement && sampleTurn && now.Sub(db.sampleDue) < dueFor:
		return false, db.sampleDue.Add(dueFor).Sub(now)
	}
	ok, wait := l.table.Admit(id, now)
	switch {
	case ok && class == Statement:
		db.sinceThen++
		db.refused = false
	case class == Statement:
		db.refused = true
	case ok: // a proof is a sample too
		db.sampledAt, db.sampleDue, db.proofDue, db.sinceThen = now, time.Time{}, time.Time{}, 0
	case class == Sample:
		db.sampleDue = now
	case class == Proof:
		db.proofDue = now
	}
	return ok, min(wait, db.until.Sub(now))
}

// Want counts requests that could not wait, so that this host's share rises with them.
func (l *Limits) Want(id string, n int, now time.Time) { l.table.Want(id, n, now) }

// Wait returns the time until n requests may have been sent to a database.
func (l *Limits) Wait(id string, n int, now time.Time) time.Duration {
	db := l.databases[id]
	if !l.cold(db, now) {
		return 0
	}
	return min(l.table.Wait(id, n, now), db.until.Sub(now))
}

// Change is a database that has become cold, or is not any more.
type Change struct {
	Database, Service string
	Cold              bool
	For               time.Duration // how much longer
	Rate              float64       // requests per second, over all hosts
}

// Changes returns the changes since the last call, in the order of the databases' ids,
// and updates the shares for them.
func (l *Limits) Changes(now time.Time) []Change {
	var out []Change
	for id, db := range l.databases {
		cold := l.cold(db, now)
		if cold == db.reported {
			continue
		}
		db.reported = cold
		out = append(out, Change{Database: id, Service: db.entry.Service, Cold: cold, For: max(0, db.until.Sub(now)), Rate: l.services[db.entry.Service].ColdRate})
	}
	if len(out) > 0 {
		l.update(now)
		slices.SortFunc(out, func(a, b Change) int { return cmp.Compare(a.Database, b.Database) })
	}
	return out
}

// Count returns the number of databases whose requests are limited.
func (l *Limits) Count(now time.Time) int {
	n := 0
	for _, db := range l.databases {
		if l.cold(db, now) {
			n++
		}
	}
	return n
}

// Demands returns this host's demand for cold databases, for the other hosts.
func (l *Limits) Demands(now time.Time) share.Demands { return l.table.Demands(now) }

// RecordDemands records the demands of another host, or the sum over several hosts.
func (l *Limits) RecordDemands(from string, hosts int, demands share.Demands, now time.Time) {
	l.table.RecordDemands(from, hosts, demands, now)
}
