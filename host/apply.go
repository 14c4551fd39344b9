package host

import (
	"slices"

	"github.com/bronzeloft/bronzeloft/contract"
	"github.com/bronzeloft/bronzeloft/customer/fair"
	"github.com/bronzeloft/bronzeloft/customer/turn"
	"github.com/bronzeloft/bronzeloft/database"
)

// maxQueued bounds the requests that wait for one database on this host.
const maxQueued = 4096

// Offer puts a snapshot in force if its version is higher than that of the
// current one, and reports whether it did. from names its source, for logs.
func (h *Host) Offer(snap *contract.Snapshot, from string) bool {
	if !h.members.offer(snap, from) {
		return false
	}
	h.apply()
	h.members.tickTable()
	return true
}

// apply switches requests over to the snapshot in force, if they use an older one.
func (h *Host) apply() {
	h.applyMu.Lock()
	defer h.applyMu.Unlock()
	snap := h.members.current()
	if snap.Version <= h.view.Load().snap.Version {
		return
	}
	// Keys first: a withdrawn key must be refused before any other change applies.
	h.keys.Apply(snap)
	h.rates.apply(snap)
	h.permits.apply(snap)
	h.burn.Apply(snap)
	h.retries.Retain(func(id string) bool { return id == "" || snap.Customer(id) != nil })
	h.view.Store(h.newView(snap))
	h.members.applyRoster(snap.Roster)
	h.members.configChanged.Store(true)
	h.log.Info("Configuration in force.", "part", "config", "version", snap.Version)
}

// newView returns the view of snap. It creates pools for databases that are new or
// have moved, passes the databases of snap to the group runners, and closes the
// runners of groups that snap no longer lists and the pools that the view no longer
// uses. applyMu is held.
func (h *Host) newView(snap *contract.Snapshot) *view {
	v := &view{snap: snap, services: map[string]*service{}, databases: map[string]*databaseState{}, customers: map[string]*contract.Customer{}, centres: map[string][]string{}}
	for i := range snap.Customers {
		v.customers[snap.Customers[i].ID] = &snap.Customers[i]
	}
	groups := map[string][]contract.Database{}
	for i := range snap.Services {
		svc := &snap.Services[i]
		groups[svc.Group] = svc.Databases
		for _, db := range svc.Databases {
			if !slices.Contains(v.centres[svc.Group], db.DataCentre) {
				v.centres[svc.Group] = append(v.centres[svc.Group], db.DataCentre)
			}
			if v.databases[db.ID] == nil { // services may share a group
				v.databases[db.ID] = h.databaseState(svc, db, h.servingHostCount(snap.Roster, svc))
			}
		}
		v.services[svc.Name] = &service{spec: svc, group: h.groups[svc.Group]}
	}
	for name, g := range h.groups {
		if dbs, ok := groups[name]; ok {
			g.setDatabases(dbs)
		} else {
			g.close()
			delete(h.groups, name)
		}
	}
	for id, db := range h.dbs {
		if kept := v.databases[id]; kept == nil || kept.pool != db.pool {
			db.pool.Close()
		}
	}
	h.dbs = v.databases
	return v
}

// groupRunner returns the runner of a group and starts it if there is none.
// applyMu is held.
func (h *Host) groupRunner(name string) *groupRunner {
	g := h.groups[name]
	if g == nil {
		g = newGroupRunner(name, h.newGroupTable(name), groupOpTimeout, h, h.now)
		h.groups[name] = g
	}
	return g
}

// databaseState returns the state of a database with the limits of svc. Pool and
// queue are kept while the address does not change.
func (h *Host) databaseState(svc *contract.Service, db contract.Database, servingHosts int) *databaseState {
	conns := connShare(svc.MaxConns, servingHosts, h.set.Databases.MaxConnsPerDatabase)
	old := h.dbs[db.ID]
	if old != nil && old.spec.Address == db.Address {
		old.pool.SetMax(conns)
		old.slots.SetSlots(min(conns, svc.Slots))
		return &databaseState{spec: db, pool: old.pool, slots: old.slots}
	}
	return &databaseState{
		spec:  db,
		pool:  database.NewPool(h.poolConfig(db, conns)),
		slots: turn.New(fair.Config{Slots: min(conns, svc.Slots), MaxQueued: maxQueued}, h.now),
	}
}

// connShare returns this host's share of a database's limit on connections, at least
// 1, without the control connection that every serving host keeps. hostLimit caps
// the share if it is positive.
func connShare(limit, servingHosts, hostLimit int) int {
	share := limit/max(servingHosts, 1) - 1
	if hostLimit > 0 {
		share = min(share, hostLimit)
	}
	return max(share, 1)
}

// servingHostCount returns the number of hosts that may serve a service's group
// under a roster.
func (h *Host) servingHostCount(roster contract.Roster, svc *contract.Service) int {
	hasDatabase := map[string]bool{}
	for _, db := range svc.Databases {
		hasDatabase[db.DataCentre] = true
	}
	perCentre := map[string]int{}
	n := 0
	for _, listed := range roster.Hosts {
		if hasDatabase[listed.DataCentre] && perCentre[listed.DataCentre] < h.servingHosts() {
			perCentre[listed.DataCentre]++
			n++
		}
	}
	return n
}
