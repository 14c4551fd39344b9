package main

import (
	"syscall"
	"time"
)

// play plays one step of the plan.
func (t *takeover) play(s step) {
	g := t.s.groups[s.group]
	g.mu.Lock()
	primary := g.primary
	g.mu.Unlock()
	var paths []path
	subject := ""
	switch s.kind {
	case "zone cut":
		zone := t.s.layout.zones[s.zone]
		if s.primary {
			zone = primary.zone
		}
		subject, paths = zone, t.around(zone, s.platform)
	case "primary cut":
		subject = primary.id
		for _, i := range s.order[:int(s.share*float64(len(s.order)))] {
			paths = append(paths, pathOf(primary.id, t.s.hosts[i].name))
		}
		if s.platform {
			paths = append(paths, pathOf(primary.id, platformEnd))
		}
		if s.primary { // from its replicas too
			for _, d := range g.databases {
				if d != primary {
					paths = append(paths, pathOf(primary.id, d.id))
				}
			}
		}
	case "replica receives nothing":
		subject = g.databases[s.zone].id
		if s.rank > 0 {
			subject = g.behind(primary, s.rank).id
		}
		for _, d := range g.databases {
			if d.id != subject {
				paths = append(paths, pathOf(subject, d.id))
			}
		}
	case "host cut":
		subject = t.s.hosts[s.zone].name
		for _, h := range t.s.hosts {
			if h.name != subject {
				paths = append(paths, pathOf(subject, h.name))
			}
		}
		for _, d := range t.s.databases() {
			paths = append(paths, pathOf(subject, d.id))
		}
		paths = append(paths, pathOf(subject, platformEnd))
	case "store cut":
		for _, i := range s.order[:max(1, int(s.share*float64(len(s.order))))] {
			subject += t.s.hosts[i].name + " "
			paths = append(paths, pathOf(platformEnd, t.s.hosts[i].name))
		}
	case "reset":
		t.s.rec.notef("%s", s)
		t.reset(s)
		return
	case "freeze of the primary":
		t.s.rec.notef("%s: %s", s, primary.id)
		primary.freeze(s.length)
		t.s.rec.notef("%s runs again", primary.id)
		return
	case "restart of a replica":
		t.restartEmpty(s, g.databases[s.zone])
		return
	case "lapse of a replica's entry":
		t.lapse(s, g.databases[s.zone])
		return
	case "routes removed", "service removed":
		t.reconfigure(s)
		return
	case "logins":
		t.logIn(s)
		return
	case "crash of the primary":
		t.crash(s, primary)
		return
	case "crash of a database":
		t.crash(s, g.behind(primary, s.rank))
		return
	case "leave of a database":
		t.leave(s, g.behind(primary, s.rank))
		return
	case "loss of the hosts":
		t.loseHosts(s)
		return
	case "stop", "kill":
		h := t.s.hosts[s.zone]
		if t.claim(h.name) {
			t.trouble(h, s.kind, s.length)
		}
		return
	}
	t.s.rec.notef("%s: %s %v", s, subject, paths)
	t.f.cut(paths)
	time.Sleep(s.length)
	t.f.heal(paths)
	t.s.rec.notef("%s of %s has healed", s.kind, subject)
}

// around returns the paths between a zone and all that is outside.
func (t *takeover) around(zone string, platform bool) []path {
	type end struct{ name, zone string }
	var ends []end
	for _, h := range t.s.hosts {
		ends = append(ends, end{h.name, h.zone})
	}
	for _, d := range t.s.databases() {
		ends = append(ends, end{d.id, d.zone})
	}
	if platform {
		ends = append(ends, end{platformEnd, ""})
	}
	var out []path
	for i, a := range ends {
		for _, b := range ends[:i] {
			if (a.zone == zone) != (b.zone == zone) {
				out = append(out, pathOf(a.name, b.name))
			}
		}
	}
	return out
}

// reset closes the connections of some hosts to the databases.
func (t *takeover) reset(s step) {
	hit := map[string]bool{}
	for _, i := range s.order[:int(s.share*float64(len(s.order)))] {
		hit[t.s.hosts[i].name] = true
	}
	for _, d := range t.s.databases() {
		d.mu.Lock()
		for c := range d.links {
			if hit[c.from] {
				go c.close()
			}
		}
		d.mu.Unlock()
	}
}

// restartEmpty starts a replica again without its log.
func (t *takeover) restartEmpty(s step, m *member) {
	m.g.mu.Lock()
	leads := m.g.primary == m
	m.g.mu.Unlock()
	if leads || m.isDown() {
		return
	}
	t.s.rec.notef("%s: %s", s, m.id)
	m.loseLog()
	m.kill(s.absence)
	time.Sleep(s.length)
	m.restart(true)
	t.s.rec.notef("%s is back without its log", m.id)
}

// lapse keeps the entry of a replica out of the store for a time, unless it leads
// meanwhile. The replica runs on.
func (t *takeover) lapse(s step, m *member) {
	m.g.mu.Lock()
	leads := m.g.primary == m
	m.g.mu.Unlock()
	if leads {
		return
	}
	t.s.rec.notef("%s: %s", s, m.id)
	m.hide(s.length, func() { t.s.store.remove(kindServers, m.name()) })
	t.s.rec.notef("the entry of %s may return", m.id)
}

// reconfigure publishes a configuration without some routes or services, and after a time
// one with them.
func (t *takeover) reconfigure(s step) {
	t.s.rec.notef("%s: %v", s, s.names)
	if err := t.s.config.remove(s.names); err != nil {
		t.s.rec.notef("configuration: %v", err)
	}
	time.Sleep(s.length)
	if err := t.s.config.restore(s.names); err != nil {
		t.s.rec.notef("configuration: %v", err)
	}
	t.s.rec.notef("%v are back", s.names)
}

// logIn logs in to routes that may be gone, through every host.
func (t *takeover) logIn(s step) {
	t.s.rec.notef("%s: %v", s, s.names)
	for _, h := range t.s.hosts {
		for _, name := range s.names {
			t.busy.Go(func() {
				if c, err := t.s.connect("login", h, name, tenant(0)); err == nil {
					c.close()
				}
			})
		}
	}
}

// hit stops or kills a host that acts on a takeover, at times, a little later.
func (t *takeover) hit(host string) {
	t.mu.Lock()
	if !t.hitting || t.hits.Float64() >= takeoverHitting {
		t.mu.Unlock()
		return
	}
	wait := time.Duration(t.hits.Int64N(int64(hitWithin)))
	kind, length := "stop", time.Second+time.Duration(t.hits.Int64N(int64(4*time.Second)))
	if t.hits.Float64() < 0.3 {
		kind, length = "kill", 200*time.Millisecond+time.Duration(t.hits.Int64N(int64(800*time.Millisecond)))
	}
	t.mu.Unlock()
	if !t.claim(host) {
		return
	}
	for _, h := range t.s.hosts {
		if h.name == host {
			t.busy.Go(func() {
				time.Sleep(wait)
				t.trouble(h, kind, length)
			})
		}
	}
}

// starve cuts a database off from the others, at times, when its promotion is ordered:
// what the primary commits until the promotion takes effect reaches other replicas only.
func (t *takeover) starve(name string) {
	t.mu.Lock()
	hit := t.starving && t.hits.Float64() < starvingShare
	length := time.Second + time.Duration(t.hits.Int64N(int64(4*time.Second)))
	t.mu.Unlock()
	if !hit {
		return
	}
	id := name
	for _, d := range t.s.databases() {
		if d.name() == name {
			id = d.id
		}
	}
	var paths []path
	for _, d := range t.s.databases() {
		if d.id != id {
			paths = append(paths, pathOf(id, d.id))
		}
	}
	t.busy.Go(func() {
		t.s.rec.notef("%s, ordered to be promoted, receives nothing for %d ms", id, length.Milliseconds())
		t.f.cut(paths)
		time.Sleep(length)
		t.f.heal(paths)
	})
}

// claim reserves a host for one fault. It reports false if it is in one, or too many
// others are.
func (t *takeover) claim(host string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.troubled[host] || t.replaced[host] || len(t.troubled) >= troubledAtMost {
		return false
	}
	t.troubled[host] = true
	return true
}

// trouble stops a host for a time, or kills it and starts it again.
func (t *takeover) trouble(h *hostProcess, kind string, length time.Duration) {
	defer func() {
		t.mu.Lock()
		delete(t.troubled, h.name)
		t.mu.Unlock()
	}()
	t.s.rec.notef("%s of host %s for %d ms", kind, h.name, length.Milliseconds())
	if kind == "stop" {
		t.s.signal(h, syscall.SIGSTOP)
		time.Sleep(length)
		t.s.signal(h, syscall.SIGCONT)
		t.s.rec.notef("host %s goes on", h.name)
		return
	}
	t.s.signal(h, syscall.SIGKILL)
	<-h.exited
	time.Sleep(length)
	t.restart(h)
}

// restart starts a host that has ended.
func (t *takeover) restart(h *hostProcess) {
	for range startAttempts {
		if err := t.s.launch(h); err != nil {
			t.s.rec.logf("start of %s: %v", h.name, err)
			continue
		}
		select {
		case <-h.exited: // its port may be taken for a moment
		case <-time.After(listenTime):
			t.s.rec.notef("host %s is started again; %s", h.name, t.s.versions())
			return
		}
	}
}
