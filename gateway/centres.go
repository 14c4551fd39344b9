package gateway

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bronzeloft/bronzeloft/customer/share"
	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/datacentre/placement"
	"github.com/bronzeloft/bronzeloft/link/gossippb"
	"github.com/bronzeloft/bronzeloft/position"
)

// Within a data centre the serving hosts send every host their group reports, one on
// the databases of each service that they watch, and each other their customers'
// demands; the other hosts send messages only to the serving ones, and less often
// (see placement). Between data centres only the delegates, two per data
// centre, exchange messages, and these contain summaries, so the traffic between
// data centres does not grow with the number of hosts. A delegate sends to the
// delegate of its own rank in each other data centre, and the two take turns, so
// that each data centre is sent one summary of each other one in every round. The
// other hosts that watch databases receive the summaries from their delegates, one
// round of messages later.

// delegatesPerCentre is the number of hosts in each data centre that send its
// summary.
const delegatesPerCentre = 2

// extraTargets is how many hosts of a silent data centre are sent each message in
// addition to those that would be its delegates if all of its hosts were running.
const extraTargets = 2

// centreSummary is the latest summary of another data centre.
type centreSummary struct {
	at      time.Time // when it was made, by this host's clock
	hosts   int
	demands share.Demands
	cold    []*gossippb.ColdLoad
	groups  []*gossippb.Group
	rules   uint32 // the least that its hosts state

	allotments []*gossippb.Allotment
}

// contact is the current period of uninterrupted contact with a data centre: its
// start and the time of the last message.
type contact struct {
	since, last time.Time
}

// stableContactAfter is how long contact with a data centre must have lasted
// before its unlisted databases count as removed: store entries that expired while
// it was cut off are back within two seconds.
const stableContactAfter = 2500 * time.Millisecond

// recordContact records a message from a data centre, made at the given time. mu
// is held.
func (p *peers) recordContact(dataCentre string, at time.Time) {
	c := p.contacts[dataCentre]
	if at.Sub(c.last) >= reportTTL {
		c.since = at
	}
	if c.last.Before(at) {
		c.last = at
	}
	p.contacts[dataCentre] = c
}

// centresReachableSince returns the data centres that are in contact now and, at
// the given time, had been for at least stableContactAfter. This host's own is
// always included.
func (p *peers) centresReachableSince(before time.Time) map[string]bool {
	now := p.g.now()
	out := map[string]bool{p.g.opt.DataCentre: true}
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, c := range p.contacts {
		if now.Sub(c.last) < reportTTL && before.Sub(c.since) >= stableContactAfter {
			out[name] = true
		}
	}
	return out
}

// rankHosts sorts hosts in place by the order in which they serve their data centre;
// the first are its delegates. mu is held.
func (p *peers) rankHosts(names []string) []string {
	hosts := make([]placement.Host, len(names))
	for i, name := range names {
		hosts[i] = placement.Host{Name: name, Capacity: p.hostsByName[name].capacity}
	}
	placement.RankServing(hosts)
	for i, h := range hosts {
		names[i] = h.Name
	}
	return names
}

// farDelegateTTL is how long after its last message a host of another data centre
// counts as a delegate there. A delegate sends every second round; one of its
// messages may be lost.
const farDelegateTTL = 5 * gossipEvery

// crossCentreTargets returns the hosts of other data centres to which this host, the
// delegate of the given rank, sends the summary: in each data centre one of the
// hosts that sent a message recently, which are the delegates. For a silent data
// centre they are the hosts that would be its delegates, and extraTargets others
// chosen at random, since the former may have been removed. mu is held.
func (p *peers) crossCentreTargets(rank int, now time.Time) []*net.UDPAddr {
	reachable := map[string][]string{}
	silent := map[string][]string{}
	var out []*net.UDPAddr
	for name, h := range p.hostsByName {
		switch {
		case h.dataCentre == p.g.opt.DataCentre:
		case now.Sub(h.lastSeen) < farDelegateTTL:
			reachable[h.dataCentre] = append(reachable[h.dataCentre], name)
		default:
			silent[h.dataCentre] = append(silent[h.dataCentre], name)
		}
	}
	for _, names := range reachable {
		name := p.rankHosts(names)[min(rank, len(names)-1)]
		out = append(out, p.hostsByName[name].address)
	}
	for dataCentre, names := range silent {
		if len(reachable[dataCentre]) > 0 {
			continue
		}
		rest := p.rankHosts(names)[min(delegatesPerCentre, len(names)):]
		rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
		for _, name := range names[:min(delegatesPerCentre+extraTargets, len(names))] {
			out = append(out, p.hostsByName[name].address)
		}
	}
	return out
}

// summarySchedule decides in which rounds a delegate sends its summary to the other
// data centres: in its turn, and at once when its state has changed.
type summarySchedule struct {
	state  uint64
	sentAt time.Time
}

// due reports whether the delegate of the given rank sends a summary in the round at
// now, and records that it does. The turns follow the wall clock, which hosts have
// in common; if it jumps, some summaries come closer together or later. state is a
// hash of what other data centres should learn at once.
func (s *summarySchedule) due(rank int, now, wall time.Time, state uint64) bool {
	slot := wall.UnixMilli() / gossipEvery.Milliseconds()
	inTurn := slot%delegatesPerCentre == int64(rank)
	overdue := now.Sub(s.sentAt) > delegatesPerCentre*gossipEvery
	if state == s.state && !inTurn && !overdue {
		return false
	}
	s.state, s.sentAt = state, now
	return true
}

// urgentState returns a hash of the parts of a summary that other data centres
// should learn at once: everything but the demands and the positions, which change
// all the time.
func urgentState(summary *gossippb.Gossip) uint64 {
	h := xxhash.New()
	add := func(values ...any) { _, _ = fmt.Fprintln(h, values...) } // a hash accepts every write
	add(summary.Leaving, summary.Configuration, summary.Evacuations)
	for _, c := range summary.Centres {
		add(c.Rules)
		groups := slices.Clone(c.Groups)
		slices.SortFunc(groups, func(a, b *gossippb.Group) int {
			return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Host, b.Host))
		})
		for _, g := range groups {
			add(g.Service, g.Host, g.Primary, g.Unreachable, g.Stuck)
			for _, l := range g.Leaving {
				add(l.Database)
			}
			add(g.Awaited)
		}
	}
	return h.Sum64()
}

// summarise returns the summary of this data centre, from this host's own message
// and those received from its other hosts. Demands of a silent host count for as long as
// in its own data centre: it may be cut off from all hosts and still admit its share.
func (p *peers) summarise(own *gossippb.Gossip, now time.Time) *gossippb.Centre {
	demands, cold := map[string]float32{}, map[string]float32{}
	add := func(list []*gossippb.Demand) {
		for _, d := range list {
			demands[d.Customer] += d.PerSecond
		}
	}
	c := &gossippb.Centre{Name: p.g.opt.DataCentre, Configuration: own.Configuration, Evacuations: own.Evacuations, StoreEra: own.StoreEra}
	addCold := func(list []*gossippb.ColdLoad) {
		for _, d := range list {
			cold[d.Database] += d.PerSecond
		}
	}
	add(own.Demands)
	addCold(own.Cold)
	c.Allotments = slices.Clone(own.Allotments)
	c.Groups = appendWatched(c.Groups, p.g.opt.Name, own.Groups, 0)
	p.mu.Lock()
	c.Hosts, c.Rules = uint32(max(1, p.placement.Live(now))), p.leastRules(now)
	for name, h := range p.hostsByName {
		silent := now.Sub(h.lastSeen)
		if h.dataCentre != p.g.opt.DataCentre || silent >= reportTTL && (h.leaving || silent >= share.PeerExpiry) {
			continue
		}
		add(h.demands)
		addCold(h.cold)
		if !h.leaving && silent < reportTTL {
			c.Groups = appendWatched(c.Groups, name, h.groups, now.Sub(h.lastSeen))
			c.Allotments = append(c.Allotments, h.allotments...)
		}
	}
	p.mu.Unlock()
	for customer, perSecond := range demands {
		c.Demands = append(c.Demands, &gossippb.Demand{Customer: customer, PerSecond: perSecond})
	}
	for database, perSecond := range cold {
		c.Cold = append(c.Cold, &gossippb.ColdLoad{Database: database, PerSecond: perSecond})
	}
	return c
}

// appendWatched appends a host's group reports, of the given age, on the services that
// it watches.
func appendWatched(to []*gossippb.Group, host string, groups []*gossippb.Group, age time.Duration) []*gossippb.Group {
	for _, g := range groups {
		if g.Watching {
			to = append(to, &gossippb.Group{
				Service: g.Service, Primary: g.Primary, Unreachable: g.Unreachable, Stuck: g.Stuck,
				AckedTerm: g.AckedTerm, AckedIndex: g.AckedIndex, Watching: true, Host: host, Leaving: aged(g.Leaving, age), Awaited: g.Awaited,
			})
		}
	}
	return to
}

// aged returns a report of leaving databases that was made the given time ago as one
// that is made now.
func aged(reported []*gossippb.Leaving, by time.Duration) []*gossippb.Leaving {
	out := make([]*gossippb.Leaving, len(reported))
	for i, l := range reported {
		out[i] = &gossippb.Leaving{Database: l.Database, Start: l.Start, AgeMs: l.AgeMs + uint32(max(0, by).Milliseconds())}
	}
	return out
}

// recordLeaving applies group reports that other hosts made at the given time.
func (g *Gateway) recordLeaving(groups []*gossippb.Group, at time.Time) {
	for _, group := range groups {
		if s := g.service(group.Service); s != nil && len(group.Leaving) > 0 {
			s.recordLeaving(group.Leaving, at)
		}
	}
}

// centreSummaries returns the recent summaries of other data centres, for the
// hosts of this one. mu is held.
func (p *peers) centreSummaries(now time.Time) []*gossippb.Centre {
	var out []*gossippb.Centre
	for name, c := range p.centres {
		age := now.Sub(c.at)
		if age >= reportTTL {
			continue
		}
		summary := &gossippb.Centre{Name: name, Hosts: uint32(c.hosts), AgeMs: uint32(age.Milliseconds()), Groups: c.groups, Rules: c.rules, Cold: c.cold, Allotments: c.allotments,
			StoreEra: p.g.platform.Eras().Newest()}
		for customer, perSecond := range c.demands {
			summary.Demands = append(summary.Demands, &gossippb.Demand{Customer: customer, PerSecond: float32(perSecond)})
		}
		out = append(out, summary)
	}
	return out
}

// applyCentre stores the summary of another data centre unless a newer one is
// known.
func (p *peers) applyCentre(in *gossippb.Centre, now time.Time) {
	if in.Name == p.g.opt.DataCentre {
		return
	}
	at := now.Add(-time.Duration(in.AgeMs) * time.Millisecond)
	p.mu.Lock()
	old := p.centres[in.Name]
	if old != nil && !at.After(old.at) {
		p.mu.Unlock()
		return
	}
	c := &centreSummary{at: at, hosts: int(in.Hosts), demands: demandsOf(in.Demands), groups: in.Groups, rules: in.Rules, cold: in.Cold, allotments: in.Allotments}
	p.centres[in.Name] = c
	p.recordContact(in.Name, at)
	for _, g := range in.Groups {
		p.recordAcked(g)
	}
	p.mu.Unlock()
	p.g.platform.Eras().Learn(in.StoreEra, "data centre "+in.Name)
	p.g.recordLeaving(in.Groups, at)
	p.g.allotments.record(in.Allotments, now)
	admitting := admittingIn(c.hosts, p.g.serviceCount())
	p.g.rates.recordDemands("data centre "+in.Name, admitting, c.demands, now)
	p.g.cold.recordDemands("data centre "+in.Name, coldHostsPerCentre, c.cold, now)
	p.recordColdHere(now)
}

func demandsOf(list []*gossippb.Demand) share.Demands {
	demands := make(share.Demands, len(list))
	for _, d := range list {
		demands[d.Customer] = float64(d.PerSecond)
	}
	return demands
}

// recordAcked updates the position of the last commit acknowledged by another host.
// mu is held.
func (p *peers) recordAcked(g *gossippb.Group) {
	p.acked[g.Service] = position.Max(p.acked[g.Service], position.Position{Term: g.AckedTerm, Index: g.AckedIndex})
}

// hostView is one host's view of a service's primary.
type hostView struct {
	host    string
	view    succession.View
	awaited []string // databases whose logs its attempts to replace the primary wait for
}

// hostViews returns the recent views of the other hosts that watch a service. mu
// is held.
func (p *peers) hostViews(service string, now time.Time) []hostView {
	var out []hostView
	add := func(host string, groups []*gossippb.Group) {
		for _, g := range groups {
			if g.Service == service && g.Watching {
				out = append(out, hostView{host, succession.View{Primary: g.Primary, Unreachable: g.Unreachable, Stalled: g.Stuck}, g.Awaited})
			}
		}
	}
	for name, h := range p.hostsByName {
		if h.dataCentre == p.g.opt.DataCentre && !h.leaving && now.Sub(h.lastSeen) < reportTTL {
			add(name, h.groups)
		}
	}
	for _, c := range p.centres {
		if now.Sub(c.at) < reportTTL {
			for _, g := range c.groups {
				add(g.Host, []*gossippb.Group{g})
			}
		}
	}
	return out
}

// primaryViews returns the views of a service's primary that other watching hosts
// have reported recently, the last commit that another host acknowledged, and this
// host's rank among the hosts that watch the service, starting at 0.
func (p *peers) primaryViews(service string) (others []succession.View, acked position.Position, rank int) {
	now := p.g.now()
	own := rendezvousScore(service, p.g.opt.Name)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, v := range p.hostViews(service, now) {
		others = append(others, v.view)
		if rendezvousScore(service, v.host) > own {
			rank++
		}
	}
	return others, p.acked[service], rank
}

// databasesAwaited returns the databases whose logs other hosts' attempts to replace a
// service's primary wait for, by their recent reports.
func (p *peers) databasesAwaited(service string, now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []string
	for _, v := range p.hostViews(service, now) {
		ids = append(ids, v.awaited...)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}
