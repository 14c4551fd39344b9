package gateway

import (
	"cmp"
	"slices"
	"time"
)

// A service's databases have few connections, and a connection serves one
// customer. Were every host to hold its own, most statements would find none
// that is theirs. So in each data centre one host, the home, holds the
// connections to a service's databases, and the others send it their sessions'
// statements. Homes follow by rendezvous hashing from who is heard, so hosts
// may differ on them for a moment: two homes cost connections, nothing else.

// home is a host that may run a service's statements.
type home struct {
	name   string
	access string // IP:port; empty for this host
	score  uint64
}

// homes returns the hosts of this data centre that may run a service's
// statements, the home first.
func (p *peers) homes(service string) []home {
	now := p.g.now()
	duty := "home/" + service
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []home
	if !p.g.leaving.Load() {
		out = append(out, home{name: p.g.opt.Name, score: dutyScore(duty, p.g.opt.Name)})
	}
	for name, h := range p.known {
		if h.dataCentre != p.g.opt.DataCentre || h.leaving || h.access == "" || now.Sub(h.heard) >= heardWithin || now.Before(h.avoid) {
			continue
		}
		out = append(out, home{name: name, access: h.access, score: dutyScore(duty, name)})
	}
	slices.SortFunc(out, func(a, b home) int { return cmp.Compare(b.score, a.score) })
	return out
}

// homeRank is this host's place among a service's homes, 0 for the home.
func (p *peers) homeRank(service string) int {
	list := p.homes(service)
	i := slices.IndexFunc(list, func(h home) bool { return h.access == "" })
	if i < 0 {
		return len(list)
	}
	return i
}

// admitting returns the names of the hosts of this data centre that are home to
// a service and so count what customers ask, this one's among them if it is.
func (p *peers) admitting() map[string]bool {
	out := map[string]bool{}
	for _, s := range p.g.allServices() {
		if list := p.homes(s.name); len(list) > 0 {
			out[list[0].name] = true
		}
	}
	return out
}

// noteAdmitting finds which hosts admit, and tells the rates how many there are
// in all data centres. In another one there are at most as many as services.
func (p *peers) noteAdmitting() {
	now := p.g.now()
	here := p.admitting()
	services := len(p.g.allServices())
	far := map[string]int{}
	p.mu.Lock()
	p.admits = here
	for _, h := range p.known {
		if h.dataCentre != "" && h.dataCentre != p.g.opt.DataCentre && p.counts(h, now) {
			far[h.dataCentre]++
		}
	}
	for name, c := range p.centres {
		if now.Sub(c.at) < aliveWithin {
			far[name] = max(far[name], c.hosts)
		}
	}
	p.mu.Unlock()
	n := max(1, len(here))
	for _, hosts := range far {
		n += min(hosts, services)
	}
	p.g.rates.setHosts(n)
}

// avoidFor keeps statements off a host that did not answer.
const avoidFor = time.Second

// avoid passes a host over for a while.
func (p *peers) avoid(name string) {
	now := p.g.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.known[name]; h != nil {
		h.avoid = now.Add(avoidFor)
	}
}

// silentHome is the silence after which a home may stand still: twice the time
// between its messages.
const silentHome = 2*gossipEvery + 100*time.Millisecond

// silent reports whether the host on which a runner runs has not been heard
// for a while.
func (p *peers) silent(run runner) bool {
	r, ok := run.(*remote)
	if !ok {
		return false
	}
	now := p.g.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.known[r.home.name]
	return h == nil || now.Sub(h.heard) >= silentHome
}

// dataCentres is the number of data centres with hosts.
func (p *peers) dataCentres() int {
	now := p.g.now()
	seen := map[string]bool{p.g.opt.DataCentre: true}
	for _, centre := range p.g.opt.Centres {
		seen[centre] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.known {
		if h.dataCentre != "" && p.counts(h, now) {
			seen[h.dataCentre] = true
		}
	}
	for name, c := range p.centres {
		if now.Sub(c.at) < aliveWithin {
			seen[name] = true
		}
	}
	return len(seen)
}

// counts reports whether a host counts when something is divided among hosts.
// mu is held.
func (p *peers) counts(h *peerHost, now time.Time) bool {
	if h.heard.IsZero() {
		return now.Sub(p.g.started) < aliveWithin
	}
	return now.Sub(h.heard) < aliveWithin
}

// fallbackFor returns where a service's statements run when their home has not
// answered: on the next one. Were every host to run them itself, the hosts of a
// large data centre would take all of a database's connections.
func (g *Gateway) fallbackFor(svc *service, failed runner) runner {
	r, ok := failed.(*remote)
	if !ok {
		return newLocal(g)
	}
	for _, h := range g.peers.homes(svc.name) {
		switch {
		case h.name == r.home.name:
		case h.access == "":
			return newLocal(g)
		default:
			return &remote{g: g, home: h}
		}
	}
	return newLocal(g)
}

// runnerFor returns where a service's statements run: on its home in this data
// centre, here where that is this host or none is heard.
func (g *Gateway) runnerFor(svc *service) runner {
	list := g.peers.homes(svc.name)
	if len(list) == 0 || list[0].access == "" {
		return newLocal(g)
	}
	return &remote{g: g, home: list[0]}
}
