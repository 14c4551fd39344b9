package main

import "time"

// announceEvery is how often the databases look whether their roles have changed.
const announceEvery = 100 * time.Millisecond

// silentBeats is the number of heartbeats without which the platform removes an entry.
const silentBeats = 3

// announcer writes the entries of the databases, and removes those of the databases
// whose heartbeats don't arrive.
type announcer struct {
	s    *site
	last map[*database]time.Time // heartbeat that arrived
}

func (s *site) newAnnouncer() *announcer {
	a := &announcer{s: s, last: map[*database]time.Time{}}
	for _, d := range s.databases() {
		a.last[d] = time.Now()
	}
	return a
}

// announce is called every announceEvery.
func (a *announcer) announce() {
	now := time.Now()
	for _, d := range a.s.databases() {
		if a.reaches(d) {
			a.write(d, now)
		} else if now.Sub(a.last[d]) > silentBeats*a.s.layout.heartbeat && a.s.store.has(kindServers, d.id) {
			a.s.store.remove(kindServers, d.id)
			a.s.rec.notef("the entry of %s has lapsed", d.id)
		}
	}
}

// reaches reports whether a database runs and reaches the platform.
func (a *announcer) reaches(d *database) bool {
	if d.frozen() || a.s.layout.faults.isCut(d.id, platformEnd) {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.down
}

// write writes the entry of a database if its role has changed, or a heartbeat is due and
// its entry has lapsed.
func (a *announcer) write(d *database, now time.Time) {
	due := now.Sub(a.last[d]) >= a.s.layout.heartbeat
	if due {
		a.last[d] = now
	}
	d.mu.Lock()
	unchanged := d.announced == d.role()
	if unchanged && (!due || a.s.store.has(kindServers, d.id)) {
		d.mu.Unlock()
		return
	}
	entry := d.entryOf(d.seq+1, d.born)
	d.mu.Unlock()
	a.last[d] = now
	if _, err := a.s.store.put(kindServers, d.id, entry); err != nil {
		a.s.rec.logf("entry of %s: %v", d.id, err)
	}
}

// databases returns those of all services.
func (s *site) databases() []*database {
	var out []*database
	for _, g := range s.groups {
		out = append(out, g.databases...)
	}
	return out
}
