package gateway

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/datacentre/evacuation"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/objectapi"
	"github.com/bronzeloft/bronzeloft/statement"
)

// evacuations is this host's state of the requests to evacuate data centres. It is nil on
// a host whose site has none; all methods may be called then.
type evacuations struct {
	g     *Gateway
	count atomic.Int64 // data centres to evacuate; changed with mu held

	mu    sync.Mutex // guards the fields below; a leaf lock
	table *evacuation.Table
	odd   map[string]bool // names that were logged because they name no data centre
}

func newEvacuations(g *Gateway) *evacuations {
	if !g.opt.Features.Evacuation {
		return nil
	}
	return &evacuations{g: g, table: evacuation.New(g.opt.Evacuation), odd: map[string]bool{}}
}

// storeReturned records that the store has returned from an older copy.
func (e *evacuations) storeReturned() {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.table.StoreReturned()
}

// known reports whether the host knows which data centres are to be evacuated.
func (e *evacuations) known() bool {
	if e == nil {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table.Known()
}

// version returns the store's version of the list, and 0 if there is none.
func (e *evacuations) version() uint64 {
	if e == nil {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table.Version()
}

// any reports whether any data centre is to be evacuated. It takes no lock.
func (e *evacuations) any() bool { return e != nil && e.count.Load() > 0 }

// evacuated reports whether a data centre is to be evacuated.
func (e *evacuations) evacuated(dataCentre string) bool {
	if !e.any() {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table.Evacuated(dataCentre)
}

// closed reports whether nothing may be sent to the databases of a data centre any more.
func (e *evacuations) closed(dataCentre string) bool {
	if !e.any() {
		return false
	}
	now := e.g.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table.Closed(dataCentre, now)
}

// watchEvacuations follows the requests to evacuate data centres. While the other watches fail it makes
// no call once it has a list: they show when the store is back, and each call is billed. A list that
// another host has sent is followed without reading it again.
func (g *Gateway) watchEvacuations() {
	e := g.evacuations
	w := &watcher{g: g, kind: g.platform.EvacuationsKind(), held: func() bool { return e.known() && g.storeFails() }, from: e.version,
		onList: func(objects []objectapi.Object, version uint64) {
			var names []string
			for _, o := range objects {
				if e.names(o.Name) {
					names = append(names, o.Name)
				}
			}
			e.change("store", func(t *evacuation.Table) (added, removed []string) { return t.Replace(version, names) })
		},
		onEvents: func(events []objectapi.Event, from, version uint64) (at uint64) {
			var changes []evacuation.Change
			for _, ev := range events {
				if e.names(ev.Object.Name) {
					changes = append(changes, evacuation.Change{DataCentre: ev.Object.Name, Version: ev.Object.Version, Removed: ev.Type == objectapi.Delete})
				}
			}
			e.change("store", func(t *evacuation.Table) (added, removed []string) {
				at, added, removed = t.Apply(from, version, changes)
				return added, removed
			})
			return at
		},
		onCurrent: func(at time.Time) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.table.Confirm(at)
		},
	}
	w.run()
}

// recordAnswer records that the store had a version at the given time or later.
func (e *evacuations) recordAnswer(version uint64, at time.Time) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.table.RecordAnswer(version, at)
}

// maxOddNames bounds the names of which the host remembers that it has logged them.
const maxOddNames = 1000

// names reports whether the name of an object can be that of a data centre. Other names are
// ignored and logged once.
func (e *evacuations) names(name string) bool {
	err := e.g.platform.CheckDataCentre(name)
	if err == nil {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.odd) >= maxOddNames {
		clear(e.odd)
	}
	if !e.odd[name] {
		e.odd[name] = true
		e.g.log.Warn("A request to evacuate names no data centre; it is ignored.", "part", "evacuation", "name", logged(name), "error", err)
	}
	return false
}

// change applies a change of the list, logs it and wakes the services' waiting statements.
// from is the source, for the log.
func (e *evacuations) change(from string, apply func(*evacuation.Table) (added, removed []string)) {
	now := e.g.now()
	e.mu.Lock()
	added, removed := apply(e.table)
	ages, version := e.table.Ages(now), e.table.Version()
	e.count.Store(int64(len(ages)))
	e.mu.Unlock()
	for _, name := range added {
		e.g.log.Warn("Data centre is to be evacuated.", "part", "evacuation", "data_centre", name, "version", version, "from", from,
			"age_ms", ages[name].Milliseconds(), "limit_ms", e.g.opt.Evacuation.Milliseconds(), "databases", e.g.databasesIn(name))
	}
	for _, name := range removed {
		e.g.log.Warn("Data centre is no longer to be evacuated.", "part", "evacuation", "data_centre", name, "version", version, "from", from)
	}
	if len(added)+len(removed) == 0 {
		return
	}
	for _, s := range e.g.allServices() {
		s.wake()
	}
}

// databasesIn returns the number of listed databases of a data centre.
func (g *Gateway) databasesIn(dataCentre string) (n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, db := range g.databases {
		if db.DataCentre == dataCentre {
			n++
		}
	}
	return n
}

// evacuationsPath is the path under which a host serves the requests that it knows.
const evacuationsPath = "/evacuations"

// evacuationList is the list of requests as exchanged between hosts.
type evacuationList struct {
	Version uint64           `json:"version"` // the store's version
	AgesMs  map[string]int64 `json:"agesMs"`  // by data centre, the longest time since the acknowledgement
}

func (p *peers) serveEvacuations(w http.ResponseWriter, _ *http.Request) {
	e := p.g.evacuations
	now := p.g.now()
	e.mu.Lock()
	known, list := e.table.Known(), evacuationList{Version: e.table.Version(), AgesMs: map[string]int64{}}
	for name, age := range e.table.Ages(now) {
		list.AgesMs[name] = age.Milliseconds() + 1 // rounded up
	}
	e.mu.Unlock()
	raw, err := json.Marshal(list)
	if err != nil || !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	p.writeBody(w, raw)
}

// fetchEvacuations fetches the requests that another host knows. Their ages count from before
// the call, so that the time that it takes makes them older.
func (p *peers) fetchEvacuations(address string) {
	sentAt := p.g.now()
	raw, err := fetch(p.g.ctx, "http://"+address+evacuationsPath)
	var list evacuationList
	if err == nil {
		err = json.Unmarshal(raw, &list)
	}
	if err != nil {
		p.g.log.Warn("Fetching the requests to evacuate from another host failed.", "part", "peers", "address", address, "error", err)
		return
	}
	since := make(map[string]time.Time, len(list.AgesMs))
	for name, age := range list.AgesMs {
		if p.g.evacuations.names(name) {
			since[name] = sentAt.Add(-time.Duration(max(0, age)) * time.Millisecond)
		}
	}
	p.g.evacuations.change("host", func(t *evacuation.Table) (added, removed []string) { return t.Merge(list.Version, since) })
}

// isClosed reports whether no statement may be sent to the database any more because its data
// centre is evacuated.
func (p *pool) isClosed() bool { return p.g.evacuations.closed(p.db.DataCentre) }

// closedError is the error of a statement that is not sent to a database for that reason.
func (p *pool) closedError() error {
	p.g.metrics.refusedForEvacuation()
	return errkind.New(errkind.DatabaseUnavailable, "database %s is in data centre %s, which is evacuated", p.db.ID, p.db.DataCentre)
}

// onlyStatus reports whether requests only ask for a database's status. These run nothing for a
// caller, and commits and takeovers rest on the logs of evacuated databases too.
func onlyStatus(requests []statement.Request) bool {
	return !slices.ContainsFunc(requests, func(r statement.Request) bool { return r.Kind != statement.Status })
}

// primaryEvacuated reports whether the presumed primary is in a data centre that is to be
// evacuated. mu is held.
func (s *service) primaryEvacuated() bool {
	db, ok := s.table.Leader()
	return ok && s.g.evacuations.evacuated(db.DataCentre)
}

// mayServeOthers reports whether the attempt was started because of an evacuation, and the primary
// has not answered it but may still be used by other hosts: it has not failed by their views.
func (a *replacement) mayServeOthers() bool {
	primary := a.conn(a.primary)
	return a.s.g.evacuations != nil && a.reason == succession.Leaving && primary != nil &&
		!primary.answered && !primary.db.Leaving && !a.s.g.evacuations.closed(primary.db.DataCentre)
}

// mayLeadElsewhere reports whether a database outside of the evacuated data centres may be the
// successor of the primary. mu is held.
func (s *service) mayLeadElsewhere() bool {
	leader, _ := s.table.Leader()
	for _, db := range s.table.All() {
		if db.ID != leader.ID && !db.Leaving && s.table.Listed(db.ID) && !s.g.evacuations.evacuated(db.DataCentre) {
			return true
		}
	}
	return false
}

// logEvacuation logs when the primary's data centre is to be evacuated and no database elsewhere may
// lead, and when that ends. mu is held.
func (s *service) logEvacuation(stuck bool, primary string) {
	if stuck == s.promotion.evacuationStuck {
		return
	}
	s.promotion.evacuationStuck = stuck
	if stuck {
		s.g.log.Warn("Primary is to be evacuated, and no database elsewhere may lead.", "part", "evacuation", "service", s.name, "primary", primary, "databases", len(s.table.All()))
	} else {
		s.g.log.Info("A database elsewhere may lead, or the primary need not be evacuated any more.", "part", "evacuation", "service", s.name, "primary", primary)
	}
}

// closedForEvacuation reports whether no statement that needs the primary may be sent because of
// an evacuation: the presumed primary's data centre is closed or, if none is known, that of every
// database. mu is held.
func (s *service) closedForEvacuation() bool {
	if !s.g.evacuations.any() {
		return false
	}
	if db, ok := s.table.Leader(); ok {
		return s.g.evacuations.closed(db.DataCentre)
	}
	all := s.table.All()
	for _, db := range all {
		if !s.g.evacuations.closed(db.DataCentre) {
			return false
		}
	}
	return len(all) > 0
}

// evacuationError is the error of a statement that needs the primary while closedForEvacuation
// holds.
func (s *service) evacuationError() error {
	s.g.metrics.refusedForEvacuation()
	return errkind.New(errkind.NoPrimary, "service %s has no primary outside of the evacuated data centres, retry after %d ms", s.name, noPrimaryRetryAfter.Milliseconds())
}

// noReadersError is the error of a read for which the service has no database.
func (s *service) noReadersError() error {
	s.mu.Lock()
	n := len(s.table.All())
	s.mu.Unlock()
	if n == 0 || !s.g.evacuations.any() {
		return errkind.New(errkind.DatabaseUnavailable, "service %s has no databases", s.name)
	}
	s.g.metrics.refusedForEvacuation()
	return errkind.New(errkind.NoPrimary, "service %s has no database outside of the evacuated data centres, retry after %d ms", s.name, noPrimaryRetryAfter.Milliseconds())
}

// servicesAwaitingEvacuation returns the number of services whose presumed primary is in a data
// centre that is to be evacuated.
func (g *Gateway) servicesAwaitingEvacuation() (n int) {
	for _, s := range g.allServices() {
		s.mu.Lock()
		if s.primaryEvacuated() {
			n++
		}
		s.mu.Unlock()
	}
	return n
}
