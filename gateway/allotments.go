package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/bronzeloft/bronzeloft/database/allotment"
	"github.com/bronzeloft/bronzeloft/link/gossippb"
)

// allotments divides the connections of the services whose home host this host is among
// the data centres, where they are scarce. Other services have no entry.
type allotments struct {
	g *Gateway

	mu       sync.Mutex // guards the fields below; a leaf lock
	services map[string]*serviceAllotment
	left     map[string]*allotment.Table // of tenures that have ended, by service
	tenure   uint64                      // the last one

	logged map[string]*loggedShare // by database; used only by exchange
}

// Bounds of the lines about changed shares.
const (
	shareLogEvery = time.Second // least time between two lines about a database
	shareLogPart  = 3           // least change, in parts of the even share
)

// loggedShare is a share as of the last line about it.
type loggedShare struct {
	share   int
	at      time.Time
	last    int // as of the last round
	changes int // since the line
}

// serviceAllotment is the division of the connections to one service's databases.
type serviceAllotment struct {
	table     *allotment.Table
	centres   map[string]bool
	announced *gossippb.Allotment // in the last round
	shares    map[string]int      // by database, as of the last round
}

func newAllotments(g *Gateway) *allotments {
	return &allotments{g: g, services: map[string]*serviceAllotment{}, left: map[string]*allotment.Table{}, logged: map[string]*loggedShare{}}
}

// exchange starts a round: it applies the shares in force and prepares the announcements
// that the next messages carry.
func (a *allotments) exchange(now time.Time) {
	centres := a.g.peers.dataCentres()
	for _, s := range a.g.allServices() {
		even := a.g.evenShare(s, len(centres))
		scarce := a.g.scarceConnections(even)
		for _, p := range s.allPools() {
			p.setScarce(scarce)
		}
		s.mu.Lock()
		home := s.homeRank == 0
		s.mu.Unlock()
		if !scarce || !home {
			a.drop(s)
			continue
		}
		a.divide(s, even, centres, now)
	}
}

// drop ends this host's tenure for a service.
func (a *allotments) drop(s *service) {
	a.mu.Lock()
	old := a.services[s.name]
	delete(a.services, s.name)
	if old != nil {
		a.left[s.name] = old.table
	}
	a.mu.Unlock()
	if old == nil {
		return
	}
	for id := range old.shares {
		a.g.metrics.forgetConnections(id)
		delete(a.logged, id)
	}
	a.g.sizePoolsOf(s)
}

// logShare logs a share that has changed by much since the last line about it, and how
// often it has changed since.
func (a *allotments) logShare(s *service, id string, n, even int, demand float64, now time.Time) {
	l := a.logged[id]
	if l == nil {
		l = &loggedShare{share: even, last: even}
		a.logged[id] = l
	}
	if n != l.last {
		l.last = n
		l.changes++
	}
	if max(n-l.share, l.share-n) < max(1, even/shareLogPart) || now.Sub(l.at) < shareLogEvery {
		return
	}
	a.g.log.Info("Share of a database's connections changed.", "part", "pool", "service", s.name, "database", id, "before", l.share, "after", n, "even", even, "per_second", demand, "changes", l.changes)
	l.share, l.at, l.changes = n, now, 0
}

// divide runs one round of a service whose home host this host is.
func (a *allotments) divide(s *service, even int, centres map[string]bool, now time.Time) {
	shares, demand := map[string]int{}, map[string]float64{}
	held, inUse := map[string]int{}, map[string]int{}
	for _, p := range s.allPools() {
		id := p.db.ID
		shares[id] = even
		demand[id], held[id], inUse[id] = p.use(now)
	}
	a.mu.Lock()
	entry := a.entry(s.name, centres)
	entry.table.SetDatabases(maps.Clone(shares))
	entry.table.SetInUse(inUse)
	entry.announced = encodeAllotment(s.name, entry.table.Announce(demand, now))
	for id := range shares {
		shares[id] = entry.table.Share(id, now)
	}
	before := entry.shares
	entry.shares = shares
	a.mu.Unlock()
	a.g.sizePoolsOf(s)
	for id, n := range shares {
		a.g.metrics.connections(id, n, held[id], demand[id])
		a.logShare(s, id, n, even, demand[id], now)
	}
	for id := range before {
		if _, ok := shares[id]; !ok {
			a.g.metrics.forgetConnections(id)
			delete(a.logged, id)
		}
	}
}

// entry returns a service's division, a new one at the start of a tenure: when this host
// becomes the home host, another one was followed meanwhile, or the data centres change.
// mu is held.
func (a *allotments) entry(service string, centres map[string]bool) *serviceAllotment {
	entry := a.services[service]
	if entry != nil && maps.Equal(entry.centres, centres) && !entry.table.Displaced() {
		return entry
	}
	// Tenures of a host's processes are told apart by the wall clock.
	a.tenure = max(a.tenure+1, uint64(time.Now().UnixMilli()))
	self := allotment.Holder{Host: a.g.opt.Name, Tenure: a.tenure}
	names := slices.Sorted(maps.Keys(centres))
	next := &serviceAllotment{centres: centres}
	former := a.left[service]
	delete(a.left, service)
	if entry != nil {
		former, next.shares = entry.table, entry.shares
	}
	if former == nil {
		next.table = allotment.New(a.g.opt.DataCentre, self, names)
	} else {
		next.table = former.Renew(self, names)
	}
	a.services[service] = next
	return next
}

// shares returns how many connections to each of a service's databases this host may hold,
// or nothing if they are not divided by demand.
func (a *allotments) shares(service string) map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if entry := a.services[service]; entry != nil {
		return entry.shares // replaced as a whole, not changed
	}
	return nil
}

// announcements returns those of the last round.
func (a *allotments) announcements() []*gossippb.Allotment {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []*gossippb.Allotment
	for _, entry := range a.services {
		if entry.announced != nil {
			out = append(out, entry.announced)
		}
	}
	return out
}

// record applies announcements of other data centres' home hosts. The shares take effect
// in this host's next round, before it confirms them.
func (a *allotments) record(list []*gossippb.Allotment, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, in := range list {
		if entry := a.services[in.Service]; entry != nil {
			entry.table.Record(decodeAllotment(in), now)
		}
	}
}

func encodeAllotment(service string, in allotment.Announcement) *gossippb.Allotment {
	out := &gossippb.Allotment{Service: service, DataCentre: in.DataCentre, Sender: encodeHeard(in.DataCentre, in.Heard)}
	for centre, heard := range in.Echoes {
		out.Echoes = append(out.Echoes, encodeHeard(centre, heard))
	}
	for id, perSecond := range in.Demand {
		c := &gossippb.Connections{Database: id, PerSecond: float32(perSecond)}
		for centre, lent := range in.Lent {
			if n := lent[id]; n > 0 {
				c.Loans = append(c.Loans, &gossippb.Loan{DataCentre: centre, Connections: uint32(n)})
			}
		}
		out.Databases = append(out.Databases, c)
	}
	return out
}

func encodeHeard(centre string, in allotment.Heard) *gossippb.HomeRound {
	return &gossippb.HomeRound{DataCentre: centre, Host: in.Host, Tenure: in.Tenure, Round: in.Round}
}

func decodeAllotment(in *gossippb.Allotment) allotment.Announcement {
	out := allotment.Announcement{DataCentre: in.DataCentre, Heard: decodeHeard(in.Sender),
		Echoes: map[string]allotment.Heard{}, Demand: map[string]float64{}, Lent: map[string]map[string]int{}}
	for _, echo := range in.Echoes {
		out.Echoes[echo.DataCentre] = decodeHeard(echo)
	}
	for _, c := range in.Databases {
		out.Demand[c.Database] = float64(c.PerSecond)
		for _, l := range c.Loans {
			if out.Lent[l.DataCentre] == nil {
				out.Lent[l.DataCentre] = map[string]int{}
			}
			out.Lent[l.DataCentre][c.Database] = int(l.Connections)
		}
	}
	return out
}

func decodeHeard(in *gossippb.HomeRound) allotment.Heard {
	return allotment.Heard{Holder: allotment.Holder{Host: in.GetHost(), Tenure: in.GetTenure()}, Round: in.GetRound()}
}
