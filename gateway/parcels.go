package gateway

import (
	"net"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bronzeloft/bronzeloft/customer/retry"
	"github.com/bronzeloft/bronzeloft/link/gossippb"
)

// Pace of a round of messages. A link that is full drops datagrams, and the
// smallest links of today's sites carry 10 Mbit/s.
const (
	sendRate = 800e3 // bytes per second
	// pacedSize is the size, in bytes, of a message after which the next one
	// waits; a round of smaller ones is a few KB.
	pacedSize = 1 << 10
)

// parcel is one message and the hosts that get it.
type parcel struct {
	msg *gossippb.Gossip
	to  []*net.UDPAddr
}

// audience is who gets which part of what this host knows.
type audience struct {
	watchers  []*net.UDPAddr // hosts of this data centre that watch databases
	delegates []*net.UDPAddr // others that speak for it
	others    []*net.UDPAddr // the rest of it
	far       []*net.UDPAddr // hosts of other data centres, for a delegate
}

// audience sorts the known hosts. mu is held.
func (p *peers) audience(now time.Time) audience {
	var out audience
	speakers := p.delegatesHere(now)
	for name, h := range p.known {
		switch {
		case h.dataCentre != p.g.opt.DataCentre:
		case watches(h.groups):
			out.watchers = append(out.watchers, h.address)
		case slices.Contains(speakers, name):
			out.delegates = append(out.delegates, h.address)
		default:
			out.others = append(out.others, h.address)
		}
	}
	if slices.Contains(speakers, p.g.opt.Name) {
		out.far = p.farTargets(now)
	}
	return out
}

// watches reports whether a host with such findings watches a service.
func watches(groups []*gossippb.Group) bool {
	return slices.ContainsFunc(groups, func(g *gossippb.Group) bool { return g.Watching })
}

// parcels are this round's messages: to the hosts of this data centre what this
// one finds and, where it speaks for them, to the other data centres the sum.
// Only those who use them get the parts that take most of the bytes: demands go
// to delegates and to hosts that watch databases, sums only to the latter, and
// last, so that the others do not wait for them. Findings go to all: they show
// who watches.
func (p *peers) parcels(now time.Time) []parcel {
	brief := p.message(now)
	p.mu.Lock()
	to := p.audience(now)
	full := proto.CloneOf(brief)
	if len(to.far) > 0 {
		full.Centres = p.otherCentres(now)
	}
	p.mu.Unlock()
	demands := p.demands(now)
	part := proto.CloneOf(brief)
	part.Demands, full.Demands = demands, demands
	sum := proto.CloneOf(brief)
	if len(to.far) > 0 {
		sum.Centres = []*gossippb.Centre{p.sum(part, now)}
	}
	sum.Groups = nil
	return []parcel{{sum, to.far}, {brief, to.others}, {part, to.delegates}, {full, to.watchers}}
}

// send tells the other hosts what this one finds.
func (p *peers) send() {
	for _, out := range p.parcels(p.g.now()) {
		p.sendTo(out.msg, out.to)
	}
}

// greet tells one host what this one finds, without waiting for the next round.
func (p *peers) greet(to *net.UDPAddr) {
	p.sendTo(p.message(p.g.now()), []*net.UDPAddr{to})
}

func (p *peers) sendTo(msg *gossippb.Gossip, targets []*net.UDPAddr) {
	if len(targets) == 0 {
		return
	}
	data, err := proto.Marshal(msg)
	if err != nil || len(data) > maxDatagram {
		p.g.log.Error("Message to hosts cannot be sent.", "part", "peers", "bytes", len(data), "error", err)
		return
	}
	for _, to := range targets {
		if _, err := p.conn.WriteToUDP(data, to); err != nil {
			p.g.metrics.unsent.Inc() // the next message says the same
		}
		if len(data) >= pacedSize {
			retry.Wait(p.g.ctx, time.Duration(float64(len(data))/sendRate*float64(time.Second)))
		}
	}
}

// message is what this host finds, without its customers' demands.
func (p *peers) message(now time.Time) *gossippb.Gossip {
	msg := &gossippb.Gossip{
		Host: p.g.opt.Name, Address: p.conn.LocalAddr().String(), DataCentre: p.g.opt.DataCentre,
		Access: p.g.access, Boot: p.boot, Leaving: p.g.leaving.Load(), Configuration: p.g.config.Load().Version,
		StoreAnswers: p.g.storeAnswers(now), Databases: p.g.listVersion.Load(),
	}
	for _, s := range p.g.allServices() {
		if f := s.finding(now); f.Watching {
			msg.Groups = append(msg.Groups, f)
		}
	}
	p.mu.Lock()
	p.sequence++
	msg.Sequence = p.sequence
	p.mu.Unlock()
	return msg
}

// demands is what customers ask of this host. The rates take it for told to the
// others, so it is read once a round.
func (p *peers) demands(now time.Time) []*gossippb.Demand {
	var out []*gossippb.Demand
	for customer, perSecond := range p.g.rates.demands(now) {
		out = append(out, &gossippb.Demand{Customer: customer, PerSecond: float32(perSecond)})
	}
	return out
}
