package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/customer/retry"
	"github.com/bronzeloft/bronzeloft/database/cold"
	"github.com/bronzeloft/bronzeloft/database/lead"
	"github.com/bronzeloft/bronzeloft/objectapi"
)

// Bounds of the backoff after failed calls to the store.
const (
	storeMinBackoff = 100 * time.Millisecond
	storeMaxBackoff = 1500 * time.Millisecond
)

// WatchWait returns how long the store is to hold the next watch open, a random time
// between half of limit and limit. A watch may stop hearing of changes without an error,
// on all hosts at once; they learn of the changes from the host whose watch ends first,
// which takes as long as the whole watch if all were started together.
func WatchWait(limit time.Duration) time.Duration {
	return limit - rand.N(limit/2+1)
}

// watcher follows the objects of one kind in the store.
type watcher struct {
	g      *Gateway
	kind   string
	onList func(objects []objectapi.Object, version uint64)
	// onEvents applies the changes after from, up to version, and returns the
	// version from which the watch continues.
	onEvents    func(events []objectapi.Event, from, version uint64) uint64
	onCurrent   func(at time.Time) // the state is that of the given time or later; may be nil
	pause       time.Duration      // after changes, so that one call returns those that follow closely
	held        func() bool        // makes no call while it returns true; may be nil
	from        func() uint64      // the version of a list that another host has sent, and 0 if there is none; may be nil
	compacted   bool               // the store has dropped the changes after the last version
	backoff     time.Duration      // after failed calls
	relist      time.Duration      // after compacted changes
	unavailable bool
}

// run lists the kind and follows its changes until the gateway stops. After a
// failed call it resumes the watch from the last version, and lists again if the
// store has compacted the changes since. While other hosts watch the store it
// only lists, every relistAfter, until the host has its initial state.
func (w *watcher) run() {
	var nextList time.Time // earliest next list of a host that does not watch
	w.waitForServingHost()
	for w.g.ctx.Err() == nil {
		if !w.g.peers.shouldWatchStore() && (w.g.synced() || w.g.now().Before(nextList)) {
			w.g.recordStoreState(w.kind, false)
			retry.Wait(w.g.ctx, storeWatchCheckEvery)
			continue
		}
		if w.waitsForOthers() {
			continue
		}
		if w.from != nil && !w.compacted && w.from() > 0 {
			w.g.waitForPeerDiscovery()
			w.follow(w.from())
			continue
		}
		sentAt := w.g.now()
		objects, version, err := w.g.platform.Objects().List(w.g.ctx, w.kind)
		if err != nil {
			w.failed(err)
			continue
		}
		w.answered()
		nextList, w.compacted = w.g.now().Add(relistAfter), false
		w.onList(objects, version)
		w.current(sentAt)
		w.g.evacuations.recordAnswer(version, sentAt)
		if w.g.synced() && w.g.peers.serves() && !w.g.announcedState.Swap(true) {
			w.g.peers.send() // hosts that started at the same time wait for it
		}
		w.g.waitForPeerDiscovery() // until then, every host would assume that it has to watch
		w.follow(version)
	}
}

// initialStateTimeout is how long a host that does not serve waits after its start for
// its initial state from a serving host, before it reads the store itself. Those
// send messages every gossipEvery, and one fetch takes less than as long again.
const initialStateTimeout = 6 * gossipEvery

// waitForServingHost waits while a serving host may still provide the initial state.
// When many hosts start together, the store would otherwise serve each of them.
func (w *watcher) waitForServingHost() {
	g := w.g
	for g.ctx.Err() == nil && !g.synced() && g.now().Sub(g.started) < initialStateTimeout {
		if g.peers.knowsHosts() && g.peers.serves() {
			return
		}
		retry.Wait(g.ctx, peerDiscoveryPoll)
	}
}

// relistAfter is the time after which a host that does not watch the store, and
// that has not received its initial state from another host, lists again.
const relistAfter = 2 * time.Second

// storeWatchCheckEvery is the time between checks of whether this host has to watch
// the store.
const storeWatchCheckEvery = 300 * time.Millisecond

// follow watches from a version until the store has compacted the changes after
// it, or this host no longer has to watch.
func (w *watcher) follow(version uint64) {
	for w.g.ctx.Err() == nil && w.g.peers.shouldWatchStore() {
		if w.waitsForOthers() {
			continue
		}
		sentAt := w.g.now()
		events, next, err := w.g.platform.Objects().Watch(w.g.ctx, w.kind, version)
		if errors.Is(err, objectapi.ErrCompacted) {
			w.g.log.Info("Store has compacted the changes; listing again.", "part", "store", "kind", w.kind, "version", version, "error", err)
			w.compacted = true
			w.pauseBeforeList()
			return
		}
		if err != nil {
			w.failed(err)
			continue
		}
		w.answered()
		w.g.evacuations.recordAnswer(next, sentAt)
		w.relist = 0
		if len(events) > 0 {
			applied := w.onEvents(events, version, next)
			if applied >= next {
				w.current(sentAt)
			}
			next = applied
			retry.Wait(w.g.ctx, w.pause)
		} else {
			w.current(sentAt)
		}
		version = max(version, next)
	}
}

// waitsForOthers waits for a moment and returns true if the watcher is held.
func (w *watcher) waitsForOthers() bool {
	if w.held == nil || !w.held() {
		return false
	}
	retry.Wait(w.g.ctx, storeWatchCheckEvery)
	return true
}

func (w *watcher) current(at time.Time) {
	if w.onCurrent != nil {
		w.onCurrent(at)
	}
}

// failed records a failed call to the store and waits before the next one.
func (w *watcher) failed(err error) {
	if w.g.ctx.Err() != nil {
		return
	}
	w.g.metrics.storeFailures.Inc()
	w.g.recordStoreState(w.kind, false)
	if !w.unavailable {
		w.unavailable = true
		w.g.log.Warn("A call to the store failed.", "part", "store", "kind", w.kind, "error", err)
	}
	w.backoff = min(max(2*w.backoff, storeMinBackoff), storeMaxBackoff)
	retry.Wait(w.g.ctx, w.backoff/2+rand.N(w.backoff))
}

// pauseBeforeList spreads the lists of hosts whose watches end together, and slows
// down a host whose watch ends at once after each list.
func (w *watcher) pauseBeforeList() {
	w.relist = min(max(2*w.relist, storeMinBackoff), storeMaxBackoff)
	retry.Wait(w.g.ctx, rand.N(w.relist))
}

// answered records a call that the store has answered.
func (w *watcher) answered() {
	w.backoff = 0
	w.g.recordStoreState(w.kind, true)
	if w.unavailable {
		w.unavailable = false
		w.g.log.Info("Store is available again.", "part", "store", "kind", w.kind)
	}
}

// watchConfiguration follows the operator's configuration.
func (g *Gateway) watchConfiguration() {
	apply := func(o objectapi.Object) {
		if o.Name == g.platform.ConfigurationName() {
			g.applyConfiguration(o.Value, "store")
		}
	}
	w := &watcher{g: g, kind: g.platform.ConfigurationKind(),
		onList: func(objects []objectapi.Object, _ uint64) {
			for _, o := range objects {
				apply(o)
			}
		},
		onEvents: func(events []objectapi.Event, _, version uint64) uint64 {
			for _, e := range events {
				if e.Type == objectapi.Put {
					apply(e.Object)
				}
			}
			return version
		},
	}
	w.run()
}

// applyConfiguration applies a configuration if its version is newer than that of
// the current one. from names its source, for the log.
func (g *Gateway) applyConfiguration(raw []byte, from string) {
	config, err := g.platform.DecodeConfiguration(raw)
	if err != nil {
		if sum := xxhash.Sum64(raw); g.unreadableConfiguration.Swap(sum) != sum {
			g.log.Error("Cannot decode the configuration; the current one stays in force.", "part", "configuration", "from", from, "error", err)
		}
		return
	}
	g.mu.Lock()
	before := g.config.Load()
	if config.Version <= before.Version {
		g.mu.Unlock()
		return
	}
	g.config.Store(&loadedConfiguration{Configuration: config, raw: raw})
	g.rates.apply(config, g.now())
	g.cold.change(g.now(), func(l *cold.Limits) { l.SetServices(config.Services, g.now()) })
	g.mu.Unlock()
	g.log.Info("Configuration in force.", "part", "configuration", "version", config.Version, "from", from,
		"routes", len(config.Routes), "customers", len(config.Customers))
	if before.Version > 0 {
		g.logServiceChanges(before.Configuration, config)
	}
	g.addConfiguredServices()
	g.sizePools()
}

// logServiceChanges logs the services that a configuration adds, drops, or changes the
// acknowledgement of.
func (g *Gateway) logServiceChanges(before, after *routes.Configuration) {
	var added, dropped, changed []string
	for name, s := range after.Services {
		old, ok := before.Services[name]
		switch {
		case !ok:
			added = append(added, name)
		case old.SyncReplicas != s.SyncReplicas:
			changed = append(changed, fmt.Sprintf("%s from %d to %d", name, old.SyncReplicas, s.SyncReplicas))
		}
	}
	for name := range before.Services {
		if _, ok := after.Services[name]; !ok {
			dropped = append(dropped, name)
		}
	}
	if len(added)+len(dropped)+len(changed) > 0 {
		g.log.Warn("Configuration changes the services.", "part", "configuration", "dropped", dropped, "added", added, "sync_replicas", changed,
			"version", after.Version, "former_version", before.Version)
	}
}

// addConfiguredServices adds the services of the current configuration whose
// databases have been listed.
func (g *Gateway) addConfiguredServices() {
	g.listMu.Lock()
	defer g.listMu.Unlock()
	g.mu.Lock()
	databases, listed := g.databases, g.listed
	g.mu.Unlock()
	if listed {
		g.setDatabases(databases)
	}
}

// anyCustomer returns a customer's name for connections on which the host runs
// its own statements, or an empty string if no customer is configured.
func (g *Gateway) anyCustomer() string {
	names := slices.Sorted(maps.Keys(g.config.Load().Customers))
	if len(names) == 0 {
		return ""
	}
	return names[0]
}

// databasesPause is the pause after a change of the databases' entries. When databases
// start or are replaced, many entries change within a second. A database that is
// leaving serves for seconds, and failures are detected without the store.
const databasesPause = 150 * time.Millisecond

// watchDatabases follows the entries in which databases announce themselves.
func (g *Gateway) watchDatabases() {
	w := &watcher{g: g, kind: g.platform.DatabasesKind(), pause: databasesPause,
		onList:    g.applyDatabaseObjects,
		onEvents:  g.applyDatabaseEvents,
		onCurrent: g.confirmDatabaseList,
	}
	w.run()
}

// applyDatabaseObjects applies the store's list of the databases' entries.
func (g *Gateway) applyDatabaseObjects(objects []objectapi.Object, version uint64) {
	g.applyDatabaseList(newDatabaseList(objects, version))
}

func newDatabaseList(objects []objectapi.Object, version uint64) databaseList {
	list := databaseList{Version: version, Entries: make(map[string]json.RawMessage, len(objects))}
	for _, o := range objects {
		list.Entries[o.Name] = o.Value
	}
	return list
}

// apply applies changes to the entries.
func (l databaseList) apply(changes []objectapi.Event) {
	for _, e := range changes {
		delete(l.Entries, e.Object.Name)
		if e.Type == objectapi.Put {
			l.Entries[e.Object.Name] = e.Object.Value
		}
	}
}

// confirmDatabaseList records that the list of databases was the store's at the given
// time or later.
func (g *Gateway) confirmDatabaseList(at time.Time) {
	if old := g.listedAt.Load(); old == nil || old.Before(at) {
		g.listedAt.Store(&at)
	}
}

// databaseListCurrent reports whether the list of databases is at most lead.ListMaxAge
// old.
func (g *Gateway) databaseListCurrent(now time.Time) bool {
	at := g.listedAt.Load()
	return at != nil && now.Sub(*at) < lead.ListMaxAge
}

// relistEvery is the least time between two reads of the list for commits that wait for
// it. A host that watches the store needs none.
const relistEvery = 2 * time.Second

// relistDatabases starts a read of the list of databases, unless one was started within
// relistEvery.
func (g *Gateway) relistDatabases() {
	if g.relisting.Swap(true) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(g.ctx, controlTimeout)
		defer cancel()
		sentAt := g.now()
		objects, version, err := g.platform.Objects().List(ctx, g.platform.DatabasesKind())
		if err != nil {
			g.log.Info("Listing the databases for an acknowledgement failed.", "part", "store", "error", err)
		} else {
			g.applyDatabaseObjects(objects, version)
			g.confirmDatabaseList(sentAt)
			for _, s := range g.allServices() {
				s.wake()
			}
		}
		retry.Wait(g.ctx, relistEvery)
		g.relisting.Store(false)
	}()
}

// databaseList returns a copy of the current list.
func (g *Gateway) databaseList() databaseList {
	g.mu.Lock()
	defer g.mu.Unlock()
	return databaseList{Version: g.listVersion.Load(), Entries: maps.Clone(g.entries)}
}

// applyDatabaseEvents applies the changes of the list after the version from, up to
// version, and returns the version of the list. If a newer list than from has been
// received from another host, it applies nothing: an event that the list includes
// already could bring back a database that was removed after it.
func (g *Gateway) applyDatabaseEvents(events []objectapi.Event, from, version uint64) uint64 {
	g.listMu.Lock()
	defer g.listMu.Unlock()
	if current := g.listVersion.Load(); current > from {
		return current
	}
	list := g.databaseList()
	list.Version = version
	list.apply(events)
	g.replaceDatabaseList(list)
	return version
}

// applyDatabaseList applies a list of databases unless it is older than the
// current one.
func (g *Gateway) applyDatabaseList(list databaseList) {
	g.listMu.Lock()
	defer g.listMu.Unlock()
	if list.Version >= g.listVersion.Load() {
		g.replaceDatabaseList(list)
	}
}

// replaceDatabaseList replaces the current list. Entries that cannot be decoded may
// belong to other writers: they are logged once for each value and left out, so that
// they are not passed on to other hosts either. listMu is held.
func (g *Gateway) replaceDatabaseList(list databaseList) {
	if len(g.unreadable) > maxUnreadable {
		clear(g.unreadable)
	}
	databases := make(map[string]routes.Database, len(list.Entries))
	for name, value := range list.Entries {
		db, err := g.platform.DecodeDatabase(name, value)
		if err == nil {
			databases[name] = db
			delete(g.unreadable, name)
			continue
		}
		delete(list.Entries, name)
		sum := xxhash.Sum64(value)
		if old, known := g.unreadable[name]; !known || old != sum {
			g.unreadable[name] = sum
			g.log.Warn("Cannot decode a database's entry; it is ignored.", "part", "store", "name", logged(name), "bytes", len(value), "error", err)
		}
	}
	g.mu.Lock()
	g.listVersion.Store(list.Version)
	g.entries = list.Entries
	g.mu.Unlock()
	g.setDatabases(databases)
}

// maxUnreadable bounds the entries of which the host remembers that it has logged
// them.
const maxUnreadable = 1000

// maxLoggedName is the length in bytes to which names from outside are cut in logs.
const maxLoggedName = 80

func logged(name string) string { return name[:min(len(name), maxLoggedName)] }

// recordStoreState records that the store has just answered this host's list or
// watch of a kind, or, if answers is false, that a call failed or the host does not
// watch.
func (g *Gateway) recordStoreState(kind string, answers bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if answers {
		g.storeAnsweredAt[kind] = g.now()
	} else {
		delete(g.storeAnsweredAt, kind)
	}
}

// storeAnswers reports whether this host watches the store and its watches of
// both kinds were answered within storeAnswerWithin.
func (g *Gateway) storeAnswers(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, kind := range []string{g.platform.ConfigurationKind(), g.platform.DatabasesKind()} {
		at, ok := g.storeAnsweredAt[kind]
		if !ok || now.Sub(at) > storeAnswerWithin {
			return false
		}
	}
	return true
}

// storeFails reports whether the last call of this host's watch of the configuration or the
// databases failed, or the host does not watch.
func (g *Gateway) storeFails() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.storeAnsweredAt[g.platform.ConfigurationKind()].IsZero() || g.storeAnsweredAt[g.platform.DatabasesKind()].IsZero()
}

// storeAnswerWithin is how long an answer to a watch counts. It is longer than the
// store holds a watch open.
const storeAnswerWithin = 8 * time.Second

// setDatabases replaces the list of databases and passes it on to the services. It
// adds a service once its databases are listed and a configuration has it; other
// services may be those of another writer's entries. listMu is held.
func (g *Gateway) setDatabases(databases map[string]routes.Database) {
	byService := map[string][]routes.Database{}
	for _, db := range databases {
		byService[db.Service] = append(byService[db.Service], db)
	}
	g.mu.Lock()
	g.logChanges(g.databases, databases)
	g.databases, g.listed = databases, true
	config := g.config.Load()
	for name := range byService {
		if g.services[name] == nil && config.HasService(name) {
			g.services[name] = newService(g, name)
			g.serviceTotal.Add(1)
		}
	}
	services := maps.Clone(g.services)
	g.mu.Unlock()
	g.setColdDatabases(databases) // before their pools may send them statements
	for name, s := range services {
		s.setDatabases(byService[name], g.initialPoolSize(s))
		if g.allotments.shares(name) != nil {
			g.sizePoolsOf(s) // a part of a restarted database's connections may be lent
		}
	}
}

// logChanges logs the differences between two lists.
func (g *Gateway) logChanges(before, after map[string]routes.Database) {
	for id, db := range after {
		old, ok := before[id]
		old.ColdFor = db.ColdFor // each heartbeat may change it; see reviewCold
		if !ok || old != db {
			g.log.Info("Database announced.", "part", "store", "database", id, "service", db.Service, "data_centre", db.DataCentre,
				"leaving", db.Leaving, "primary", db.Primary, "born", db.StartMillis, "known", ok)
		}
	}
	for id := range before {
		if _, ok := after[id]; !ok {
			g.log.Info("Database is no longer listed.", "part", "store", "database", id)
		}
	}
}
