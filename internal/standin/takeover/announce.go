package main

import (
	"sync"
	"time"
)

// announceEvery is how often the databases look whether their roles have changed.
const announceEvery = 100 * time.Millisecond

// silentBeats is the number of heartbeats without which the platform removes an entry.
const silentBeats = 3

// announcer writes the entry of a database, and removes it when the database's
// heartbeats don't arrive.
type announcer struct {
	s    *site
	m    *member
	mu   sync.Mutex // guards last
	last time.Time  // heartbeat that arrived
}

// announce announces all databases until stop is closed.
func (s *site) announce(stop <-chan struct{}) {
	var all sync.WaitGroup
	for _, m := range s.databases() {
		a := &announcer{s: s, m: m, last: time.Now()}
		all.Go(func() { every(announceEvery, stop, a.announce) })
		all.Go(func() { every(announceEvery, stop, a.expire) })
	}
	all.Wait()
}

// entry returns the entry in which the database announces itself.
func (m *member) entry(role string) map[string]any {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seq++
	m.announced = role
	return map[string]any{"service": m.g.service, "address": m.address, "zone": m.zone, "version": "v1", "slots": m.g.database.Slots,
		"state": "ready", "coldLeftMs": 0, "dbRole": role, "seq": m.seq, "born": m.born}
}

// announce writes the entry if the database reaches the platform, and its role has changed
// or a heartbeat is due while there is no entry.
func (a *announcer) announce() {
	if !a.m.runs() || a.s.layout.faults.isCut(a.m.id, platformEnd) {
		return
	}
	now, err := a.m.order(order{Do: orderState})
	if err != nil {
		return // it has ended
	}
	a.mu.Lock()
	due := time.Since(a.last) >= a.s.layout.heartbeat
	if due {
		a.last = time.Now()
	}
	a.mu.Unlock()
	a.m.mu.Lock()
	unchanged, hidden := a.m.announced == now.Role, a.m.hidden > 0
	a.m.mu.Unlock()
	if unchanged && (hidden || !due || a.s.store.has(kindServers, a.m.id)) {
		return
	}
	if _, err := a.s.store.put(kindServers, a.m.id, a.m.entry(now.Role)); err != nil {
		a.s.rec.logf("entry of %s: %v", a.m.id, err)
	}
}

// expire removes the entry of a database that has been silent.
func (a *announcer) expire() {
	a.mu.Lock()
	silent := time.Since(a.last) > silentBeats*a.s.layout.heartbeat
	a.mu.Unlock()
	if silent && a.s.store.has(kindServers, a.m.id) {
		a.s.store.remove(kindServers, a.m.id)
		a.s.rec.notef("the entry of %s has lapsed", a.m.id)
	}
}

// databases returns those of all services.
func (s *site) databases() []*member {
	var out []*member
	for _, g := range s.groups {
		out = append(out, g.databases...)
	}
	return out
}
