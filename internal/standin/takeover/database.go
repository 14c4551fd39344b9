package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Properties of the databases, as in the site file.
const (
	slotsPerDatabase = 5
	maxConnections   = 66
	connectTime      = 12 * time.Millisecond
	receiveDelay     = time.Millisecond
	applyDelay       = 20 * time.Millisecond
	promoteTime      = time.Second
	rollbackTime     = 300 * time.Millisecond // for which a replica is busy after a rollback
)

// group is a service's databases: one primary and its replicas. A commit is
// acknowledged once one replica has received it. Each database has its own view of the
// term, the primary and the log; the group records what was promoted.
type group struct {
	rec       *record
	service   string
	faults    *faults
	with      variants
	databases []*database

	mu         sync.Mutex // guards the fields below; it is locked before that of a database
	term       int
	primary    *database // of the newest term
	rolledBack []rollback
	promotions int
	fence      uint64
	arrived    map[string]time.Time // when a statement with an id reached a database
	statements []ran
	strays     map[string]string // where a commit that no promoted log holds was committed, by id
}

// entry is one commit in the log.
type entry struct {
	id     string // of the COMMIT, or of the single write
	at     time.Time
	term   int
	writes []write
}

// rollback is a commit that a promotion has rolled back.
type rollback struct {
	entry    entry
	number   int // in the log, from 1
	at       time.Time
	primary  string               // id of the database that had committed it
	promoted string               // id
	received map[string]time.Time // when other databases received it, by id
}

// progress is a growth of a database's log.
type progress struct {
	at       time.Time
	term     int
	received int
}

type write struct{ id, item, data string }

// ran is a statement that a database has run.
type ran struct {
	at       time.Time
	id, text string
	database string
	applied  int // entries of the log that it ran on
}

// database is one database of a group, and its view of the others.
type database struct {
	g        *group
	id, zone string
	address  string
	slots    chan struct{}

	mu        sync.Mutex // guards the fields below
	changed   chan struct{}
	thawed    chan struct{} // closed while its process runs
	term      int           // the newest that it knows
	leader    *database     // of that term
	log       []entry       // received
	applied   int           // entries of the log
	confirmed map[string]int
	history   []progress
	paused    int
	demoted   bool // a primary that was made a replica
	down      bool
	busyUntil time.Time
	conns     int
	links     map[*link]struct{}
	seq       int
	born      int64
	announced string // the role in its entry
}

func newGroup(rec *record, service string, layout layout) (*group, error) {
	g := &group{faults: layout.faults, with: layout.with, rec: rec, service: service, term: 3, arrived: map[string]time.Time{}, strays: map[string]string{}}
	running := make(chan struct{})
	close(running)
	for _, zone := range layout.databases {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		d := &database{g: g, id: fmt.Sprintf("i-%08x", rand.Uint32()), zone: zone, address: l.Addr().String(), slots: make(chan struct{}, slotsPerDatabase),
			links: map[*link]struct{}{}, changed: make(chan struct{}), thawed: running, term: g.term, confirmed: map[string]int{}}
		g.databases = append(g.databases, d)
		go d.serve(l)
	}
	g.primary = g.databases[0]
	for _, d := range g.databases {
		d.leader = g.primary
	}
	for _, d := range g.databases {
		go d.follow()
	}
	return g, nil
}

// leads reports whether the database takes itself for the primary. d.mu is held.
func (d *database) leads() bool { return d.leader == d && !d.demoted }

// role returns what the database reports. d.mu is held.
func (d *database) role() string {
	if d.leads() {
		return "primary"
	}
	return "replica"
}

// entryOf returns the entry in which the database announces itself. d.mu is held, or
// no host runs yet.
func (d *database) entryOf(seq int, born int64) map[string]any {
	d.seq, d.born = seq, born
	role := d.role()
	d.announced = role
	return map[string]any{"service": d.g.service, "address": d.address, "zone": d.zone, "version": "v1", "slots": slotsPerDatabase,
		"state": "ready", "coldLeftMs": 0, "dbRole": role, "seq": seq, "born": born}
}

// notify wakes those who wait for a change of the database. d.mu is held.
func (d *database) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// awaitThaw waits while the database's process stands still.
func (d *database) awaitThaw() {
	for {
		d.mu.Lock()
		thawed := d.thawed
		d.mu.Unlock()
		select {
		case <-thawed:
			return
		default:
			<-thawed // it may be stopped again by now
		}
	}
}

// frozen reports whether the database's process stands still.
func (d *database) frozen() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.thawed:
		return false
	default:
		return true
	}
}

// freeze makes the database's process stand still for a time, as SIGSTOP does: its
// connections stay open, and what is sent to it waits.
func (d *database) freeze(length time.Duration) {
	d.mu.Lock()
	thawed := make(chan struct{})
	d.thawed = thawed
	d.mu.Unlock()
	time.Sleep(length)
	close(thawed)
}

// setDown crashes a database, or starts it again with its log.
func (d *database) setDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	if down {
		d.paused = 0
		for c := range d.links {
			c.conn.Close()
		}
	}
	d.notify()
}

// empty starts a database that is down again without its log, under its id.
func (d *database) empty() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.log, d.applied, d.history, d.seq = nil, 0, nil, 0
	d.born = time.Now().UnixMilli()
	d.announced = ""
}

// promote accepts a promotion call and carries it out later, whichever database is the
// primary by then.
func (g *group) promote(id string, fence uint64) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if fence < g.fence {
		return http.StatusConflict
	}
	g.fence = fence
	for _, d := range g.databases {
		d.mu.Lock()
		down := d.down
		d.mu.Unlock()
		if d.id != id || down {
			continue
		}
		after := promoteTime
		if g.with.slowPromotions {
			after = g.faults.between(promoteTime, slowestPromotion)
		}
		g.rec.notef("promotion of %s accepted with fence %d, to take effect after %d ms", id, fence, after.Milliseconds())
		g.faults.later(after, func() { g.lead(d) })
		return http.StatusOK
	}
	return http.StatusConflict
}

// lead makes d the primary of the next term with what it has received.
func (g *group) lead(d *database) {
	d.awaitThaw()
	g.mu.Lock()
	defer g.mu.Unlock()
	d.mu.Lock()
	if g.primary == d && !d.demoted || d.down {
		d.mu.Unlock()
		return
	}
	g.term++
	g.promotions++
	former := g.primary
	g.primary = d
	d.term, d.leader, d.demoted, d.paused = g.term, d, false, 0
	d.applied, d.confirmed = len(d.log), map[string]int{}
	log := d.log[:len(d.log):len(d.log)]
	term := g.term
	d.notify()
	d.mu.Unlock()
	lost := g.recordRollbacks(former, d, log)
	g.rec.notef("database %s is the primary of %s in term %d with %d commits; %d are rolled back", d.id, g.service, term, len(log), lost)
	for _, other := range g.databases {
		if other == d {
			continue
		}
		if !g.with.lateNews {
			other.learn(d, term, log)
			continue
		}
		after := g.faults.between(0, latestNews)
		go func() {
			time.Sleep(after)
			for !g.faults.await(nil, other.id, platformEnd) {
			}
			other.awaitThaw()
			other.learn(d, term, log)
		}()
	}
}

// Bounds of the variants.
const (
	slowestPromotion = 5 * time.Second
	latestNews       = 1500 * time.Millisecond
)

// recordRollbacks records the commits of the former primary that a promoted log lacks, and
// returns their number. g.mu is held.
func (g *group) recordRollbacks(former, promoted *database, log []entry) int {
	old := former.snapshot()
	now := time.Now()
	kept := commonLength(old, log)
	for i, e := range old[kept:] {
		r := rollback{entry: e, number: kept + i + 1, at: now, primary: former.id, promoted: promoted.id, received: map[string]time.Time{}}
		for _, other := range g.databases {
			if other == former {
				continue
			}
			if at, ok := other.receivedAt(r.number, e.id); ok {
				r.received[other.id] = at
			}
		}
		g.rolledBack = append(g.rolledBack, r)
	}
	return len(old) - kept
}

// commonLength returns the number of entries up to which two logs are the same.
func commonLength(a, b []entry) int {
	n := min(len(a), len(b))
	for n > 0 && a[n-1].id != b[n-1].id {
		n--
	}
	return n
}

// receivedAt returns when the database received a commit, if it holds it.
func (d *database) receivedAt(number int, id string) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if number > len(d.log) || d.log[number-1].id != id {
		return time.Time{}, false
	}
	for _, p := range d.history {
		if p.term == d.term && p.received >= number {
			return p.at, true
		}
	}
	return time.Time{}, true
}

// snapshot returns the database's log.
func (d *database) snapshot() []entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.log)
}
