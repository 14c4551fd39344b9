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
	m.announced = role + m.state()
	return map[string]any{"service": m.g.service, "address": m.front.address, "zone": m.zone, "version": "v1", "slots": m.g.database.Slots,
		"state": m.state(), "coldLeftMs": 0, "dbRole": role, "seq": m.seq, "born": m.born}
}

// state returns the state in the entry. mu is held.
func (m *member) state() string {
	if m.draining {
		return "draining"
	}
	return "ready"
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
	unchanged, hidden, name := a.m.announced == now.Role+a.m.state(), a.m.hidden > 0, a.m.instance
	a.m.mu.Unlock()
	if unchanged && (hidden || !due || a.s.store.has(kindServers, name)) {
		return
	}
	if _, err := a.s.store.put(kindServers, name, a.m.entry(now.Role)); err != nil {
		a.s.rec.logf("entry of %s: %v", a.m.id, err)
	}
}

// expire removes the entry of a database that has been silent.
func (a *announcer) expire() {
	a.mu.Lock()
	silent := time.Since(a.last) > silentBeats*a.s.layout.heartbeat
	a.mu.Unlock()
	name := a.m.name()
	if silent && a.s.store.has(kindServers, name) {
		a.s.store.remove(kindServers, name)
		a.s.rec.notef("the entry of %s has lapsed", name)
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
