package gateway

import (
	"slices"
	"time"

	"github.com/bronzeloft/bronzeloft/database/cold"
	"github.com/bronzeloft/bronzeloft/datacentre/placement"
)

// A service's databases accept few connections, and a connection serves one
// customer. If every host held its own connections, most statements would find
// none that serves their customer. So in each data centre one host, the home
// host, holds the connections to a service's databases, and the other hosts send
// it their sessions' statements. The home host is selected by rendezvous hashing
// among the serving hosts, weighted by their capacity, so hosts may briefly disagree
// on it, which costs additional connections and nothing else.

// homeCandidate is a host that may run a service's statements.
type homeCandidate struct {
	name    string
	access  string // IP:port; empty for this host
	avoided bool   // it did not answer a moment ago
}

// homeCandidates returns the serving hosts of this data centre that may run a
// service's statements: the home host first, the avoided ones last.
func (p *peers) homeCandidates(service string) []homeCandidate {
	now := p.g.now()
	serving := p.servingHosts(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	hosts := make([]placement.Host, 0, len(serving))
	for _, name := range serving {
		if name == p.g.opt.Name {
			if !p.g.leaving.Load() {
				hosts = append(hosts, placement.Host{Name: name, Capacity: p.g.opt.Capacity})
			}
			continue
		}
		if h := p.hostsByName[name]; h != nil && !h.leaving && h.access != "" {
			hosts = append(hosts, placement.Host{Name: name, Capacity: h.capacity})
		}
	}
	placement.Rank("home/"+service, hosts)
	out := make([]homeCandidate, len(hosts))
	for i, h := range hosts {
		out[i] = homeCandidate{name: h.Name}
		if h.Name != p.g.opt.Name {
			other := p.hostsByName[h.Name]
			out[i].access, out[i].avoided = other.access, now.Before(other.avoidUntil)
		}
	}
	moveBack(out, func(h homeCandidate) bool { return h.avoided })
	return out
}

// moveBack moves the candidates for which last is true behind the others and keeps
// the order otherwise.
func moveBack(list []homeCandidate, last func(homeCandidate) bool) {
	slices.SortStableFunc(list, func(a, b homeCandidate) int {
		switch {
		case last(a) == last(b):
			return 0
		case last(b):
			return -1
		}
		return 1
	})
}

// homeRank returns this host's index in homeCandidates, 0 for the home host. A host
// that does not serve, or is leaving, ranks behind all candidates.
func (p *peers) homeRank(service string) int {
	list := p.homeCandidates(service)
	i := slices.IndexFunc(list, func(h homeCandidate) bool { return h.access == "" })
	if i < 0 {
		return len(list)
	}
	return i
}

// admittingHosts returns the names of the hosts of this data centre, possibly
// including this one, that are the home host of a service and so apply the
// customers' rates.
func (p *peers) admittingHosts() map[string]bool {
	out := map[string]bool{}
	for _, s := range p.g.allServices() {
		if list := p.homeCandidates(s.name); len(list) > 0 {
			out[list[0].name] = true
		}
	}
	return out
}

// updateAdmitting determines which hosts admit statements and passes their
// number over all data centres to rates.
func (p *peers) updateAdmitting() {
	now := p.g.now()
	here := p.admittingHosts()
	services := len(p.g.allServices())
	otherCentres := map[string]int{}
	p.mu.Lock()
	p.lastAdmitting = here
	for _, h := range p.hostsByName {
		if h.dataCentre != "" && h.dataCentre != p.g.opt.DataCentre && p.isMember(h, now) {
			otherCentres[h.dataCentre]++
		}
	}
	for name, c := range p.centres {
		if now.Sub(c.at) < membershipTTL {
			otherCentres[name] = max(otherCentres[name], c.hosts)
		}
	}
	p.mu.Unlock()
	n := max(1, len(here))
	for _, hosts := range otherCentres {
		n += admittingIn(hosts, services)
	}
	p.g.rates.setHosts(n)
	centres := max(len(p.g.opt.Centres), p.dataCentreCount()) // also those that are cut off
	p.g.cold.use(func(l *cold.Limits) { l.SetHosts(coldHostsPerCentre*centres, now) })
}

// admittingIn returns the greatest number of hosts that admit statements in a data
// centre with the given number of live hosts: its home hosts.
func admittingIn(hosts, services int) int {
	return min(services, placement.ServingHosts(hosts, services))
}

// avoidHomeFor is how long no statements are sent to a host that did not answer.
const avoidHomeFor = time.Second

// avoidHome ranks a host behind the other home candidates for avoidHomeFor.
func (p *peers) avoidHome(name string) {
	now := p.g.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hostsByName[name]; h != nil {
		h.avoidUntil = now.Add(avoidHomeFor)
	}
}

// homeSilentAfter is the time without messages after which a home host may be
// stalled: twice the time between its messages, plus 100 ms.
const homeSilentAfter = 2*gossipEvery + 100*time.Millisecond

// homeSilent reports whether home sends statements to another host and that host
// has sent no message for homeSilentAfter.
func (p *peers) homeSilent(home runner) bool {
	r, ok := home.(*remote)
	if !ok {
		return false
	}
	now := p.g.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hostsByName[r.home.name]
	return h == nil || now.Sub(h.lastSeen) >= homeSilentAfter
}

// dataCentreCount returns the number of dataCentres.
func (p *peers) dataCentreCount() int { return len(p.dataCentres()) }

// dataCentres returns the data centres that are configured or have hosts.
func (p *peers) dataCentres() map[string]bool {
	now := p.g.now()
	seen := map[string]bool{p.g.opt.DataCentre: true}
	for _, centre := range p.g.opt.Centres {
		seen[centre] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.hostsByName {
		if h.dataCentre != "" && p.isMember(h, now) {
			seen[h.dataCentre] = true
		}
	}
	for name, c := range p.centres {
		if now.Sub(c.at) < membershipTTL {
			seen[name] = true
		}
	}
	return seen
}

// isMember reports whether a host counts as a member of the fleet when
// connections are divided among hosts and data centres. A host that has not sent
// a message yet counts for membershipTTL after this host's start. mu is held.
func (p *peers) isMember(h *peerHost, now time.Time) bool {
	if h.lastSeen.IsZero() {
		return now.Sub(p.g.started) < membershipTTL
	}
	return now.Sub(h.lastSeen) < membershipTTL
}

// runners returns a service's home candidates in the order in which this host tries
// them: those to which it has no connection come last.
func (g *Gateway) runners(svc *service) []homeCandidate {
	list := g.peers.homeCandidates(svc.name)
	moveBack(list, func(h homeCandidate) bool { return h.avoided || h.access != "" && !g.streams.connected(h.access) })
	return list
}

// fallbackFor returns the runner for a service's statements when their home host
// has not answered: the next host in rank. If every host ran them itself, the
// hosts of a large data centre would use up all of a database's connections.
func (g *Gateway) fallbackFor(svc *service, failed runner) runner {
	r, ok := failed.(*remote)
	if !ok {
		return newLocal(g)
	}
	for _, h := range g.runners(svc) {
		switch {
		case h.name == r.home.name:
		case h.access == "":
			return newLocal(g)
		default:
			return &remote{g: g, home: h}
		}
	}
	if !g.peers.serves() {
		return r // no other serving host is known
	}
	return newLocal(g)
}

// runnerFor returns the runner for a service's statements: its home host in this
// data centre, or this host if it is the home host or no serving host is known.
func (g *Gateway) runnerFor(svc *service) runner {
	list := g.runners(svc)
	if len(list) == 0 || list[0].access == "" {
		return newLocal(g)
	}
	return &remote{g: g, home: list[0]}
}
