package gateway

import (
	"net"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bronzeloft/bronzeloft/customer/retry"
	"github.com/bronzeloft/bronzeloft/link/gossippb"
)

// Pacing of a round of messages. A saturated link drops datagrams, and the
// slowest links of current sites carry 10 Mbit/s.
const (
	sendRate = 800e3 // bytes per second
	// pacedSize is the message size, in bytes, from which the next message is
	// delayed; a round of smaller messages is only a few KB.
	pacedSize = 1 << 10
)

// outgoingMessage is one message and its recipients.
type outgoingMessage struct {
	msg *gossippb.Gossip
	to  []*net.UDPAddr
}

// recipients groups the other hosts by what they are sent.
type recipients struct {
	watchers    []*net.UDPAddr // hosts of this data centre that watch databases
	delegates   []*net.UDPAddr // its delegates that do not watch databases
	others      []*net.UDPAddr // its other hosts
	crossCentre []*net.UDPAddr // hosts of other data centres; set only on a delegate
	rank        int            // of this host among the delegates; negative if it is none
}

// recipients groups the known hosts. mu is held.
func (p *peers) recipients(now time.Time) recipients {
	centreDelegates := p.localDelegates(now)
	out := recipients{rank: slices.Index(centreDelegates, p.g.opt.Name)}
	for name, h := range p.hostsByName {
		switch {
		case h.dataCentre != p.g.opt.DataCentre:
		case watchesAny(h.groups):
			out.watchers = append(out.watchers, h.address)
		case slices.Contains(centreDelegates, name):
			out.delegates = append(out.delegates, h.address)
		default:
			out.others = append(out.others, h.address)
		}
	}
	if out.rank >= 0 {
		out.crossCentre = p.crossCentreTargets(out.rank, now)
	}
	return out
}

// watchesAny reports whether the host that sent groups watches a service.
func watchesAny(groups []*gossippb.Group) bool {
	return slices.ContainsFunc(groups, func(g *gossippb.Group) bool { return g.Watching })
}

// outgoingMessages returns this round's messages: this host's state for the hosts
// of its data centre and, on a delegate, the summary for the other data centres.
// The largest parts are sent only to the hosts that use them: demands to
// delegates and to hosts that watch databases, summaries only to the latter, and
// last, so that they do not delay the other messages. Group reports are sent to
// every host of the data centre, because they show which hosts watch.
func (p *peers) outgoingMessages(now time.Time) []outgoingMessage {
	brief := p.message(now)
	p.mu.Lock()
	to := p.recipients(now)
	full := proto.CloneOf(brief)
	if len(to.crossCentre) > 0 {
		full.Centres = p.centreSummaries(now)
	}
	p.mu.Unlock()
	demands := p.demands(now)
	withDemands := proto.CloneOf(brief)
	withDemands.Demands, full.Demands = demands, demands
	summary := proto.CloneOf(brief)
	summary.Groups = nil
	if len(to.crossCentre) > 0 {
		summary.Centres = []*gossippb.Centre{p.summarise(withDemands, now)}
		p.mu.Lock()
		if !p.schedule.due(to.rank, now, time.Now(), urgentState(summary)) {
			to.crossCentre = nil
		}
		p.mu.Unlock()
	}
	return []outgoingMessage{{summary, to.crossCentre}, {brief, to.others}, {withDemands, to.delegates}, {full, to.watchers}}
}

// send sends one round of messages to the other hosts.
func (p *peers) send() {
	for _, out := range p.outgoingMessages(p.g.now()) {
		p.sendTo(out.msg, out.to)
	}
}

// announceTo sends this host's state to one host without waiting for the next
// round.
func (p *peers) announceTo(to *net.UDPAddr) {
	p.sendTo(p.message(p.g.now()), []*net.UDPAddr{to})
}

func (p *peers) sendTo(msg *gossippb.Gossip, targets []*net.UDPAddr) {
	if len(targets) == 0 {
		return
	}
	data, err := proto.Marshal(msg)
	if err != nil || len(data) > maxDatagram {
		p.g.log.Error("Message to other hosts cannot be encoded or exceeds the size limit.", "part", "peers", "bytes", len(data), "error", err)
		return
	}
	for _, to := range targets {
		if _, err := p.conn.WriteToUDP(data, to); err != nil {
			p.g.metrics.unsent.Inc() // the next message carries the same state
		}
		if len(data) >= pacedSize {
			retry.Wait(p.g.ctx, time.Duration(float64(len(data))/sendRate*float64(time.Second)))
		}
	}
}

// message returns this host's state, without its customers' demands, under a new
// sequence number.
func (p *peers) message(now time.Time) *gossippb.Gossip {
	msg := &gossippb.Gossip{
		Host: p.g.opt.Name, Address: p.conn.LocalAddr().String(), DataCentre: p.g.opt.DataCentre,
		Access: p.g.access, Boot: p.boot, Leaving: p.g.leaving.Load(), Configuration: p.g.config.Load().Version,
		StoreAnswers: p.g.storeAnswers(now), Databases: p.g.listVersion.Load(),
	}
	for _, s := range p.g.allServices() {
		if report := s.groupReport(now); report.Watching {
			msg.Groups = append(msg.Groups, report)
		}
	}
	p.mu.Lock()
	p.sequence++
	msg.Sequence = p.sequence
	p.mu.Unlock()
	return msg
}

// demands returns the customers' demands on this host. Reading them marks them in
// rates as reported to the other hosts, so they are read once a round.
func (p *peers) demands(now time.Time) []*gossippb.Demand {
	var out []*gossippb.Demand
	for customer, perSecond := range p.g.rates.demands(now) {
		out = append(out, &gossippb.Demand{Customer: customer, PerSecond: float32(perSecond)})
	}
	return out
}
