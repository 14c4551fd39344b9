package gateway

import (
	"net"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bronzeloft/bronzeloft/customer/retry"
	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/datacentre/placement"
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

// recipients groups the known hosts to which this host sends a message in the round
// at now. serving are the serving hosts of this data centre. mu is held.
func (p *peers) recipients(serving []string, watching bool, now time.Time) recipients {
	delegates := serving[:min(delegatesPerCentre, len(serving))]
	out := recipients{rank: slices.Index(delegates, p.g.opt.Name)}
	for name, h := range p.hostsByName {
		if h.dataCentre != p.g.opt.DataCentre {
			continue
		}
		due := p.placement.SendDue(name, serving, now)
		if !due && !(watching && slices.Contains(serving, name)) {
			continue
		}
		switch {
		case watchesAny(h.groups):
			out.watchers = append(out.watchers, h.address)
		case slices.Contains(delegates, name):
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

// outgoingMessages returns this round's messages: this host's state for hosts of its
// data centre and, on a delegate, the summary for the other data centres. The largest
// parts are sent only to the hosts that use them: demands and allotments to delegates and to hosts
// that watch databases, summaries only to the latter, and last, so that they do not
// delay the other messages. Group reports are in every message within the data
// centre, because they show which hosts watch.
func (p *peers) outgoingMessages(now time.Time) []outgoingMessage {
	serving := p.servingHosts(now)
	brief := p.message(serving, now)
	p.mu.Lock()
	to := p.recipients(serving, len(brief.Groups) > 0, now)
	full := proto.CloneOf(brief)
	if len(to.crossCentre) > 0 {
		full.Centres = p.centreSummaries(now)
	}
	p.mu.Unlock()
	demands := p.demands(now)
	withDemands := proto.CloneOf(brief)
	withDemands.Demands, full.Demands = demands, demands
	withDemands.Cold = p.g.cold.demands(now)
	full.Cold = withDemands.Cold
	withDemands.Allotments = p.g.allotments.announcements()
	full.Allotments = withDemands.Allotments
	summary := proto.CloneOf(brief)
	summary.Groups, summary.Ranked, summary.LiveHosts = nil, nil, 0
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
	now := p.g.now()
	p.sendTo(p.message(p.servingHosts(now), now), []*net.UDPAddr{to})
}

func (p *peers) sendTo(msg *gossippb.Gossip, targets []*net.UDPAddr) {
	if len(targets) == 0 {
		return
	}
	data, err := proto.Marshal(msg)
	if err == nil && len(data) > maxDatagram {
		p.dropAllotments(msg)
		data, err = proto.Marshal(msg)
	}
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

// dropAllotments removes the announcements of allotments, so that the rest of the message
// can be sent: without them, loans end and each data centre has its standing share.
func (p *peers) dropAllotments(msg *gossippb.Gossip) {
	msg.Allotments = nil
	for _, c := range msg.Centres {
		c.Allotments = nil
	}
	p.g.metrics.allotmentsUnsent.Inc()
}

// message returns this host's state, without its customers' demands, under a new
// sequence number. serving are the serving hosts of this data centre.
func (p *peers) message(serving []string, now time.Time) *gossippb.Gossip {
	msg := &gossippb.Gossip{
		Host: p.g.opt.Name, Address: p.conn.LocalAddr().String(), DataCentre: p.g.opt.DataCentre,
		Access: p.g.access, Boot: p.boot, Leaving: p.g.leaving.Load(), Configuration: p.g.config.Load().Version,
		StoreAnswers: p.g.storeAnswers(now), Databases: p.g.listVersion.Load(), Evacuations: p.g.evacuations.version(),
		Capacity: p.g.opt.Capacity, Serving: slices.Contains(serving, p.g.opt.Name), Rules: succession.Rules,
		StoreEra: p.g.platform.Eras().Newest(),
	}
	services := p.g.serviceCount()
	for _, s := range p.g.allServices() {
		if report := s.groupReport(now); report.Watching {
			msg.Groups = append(msg.Groups, report)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.Contains(serving[:min(delegatesPerCentre, len(serving))], p.g.opt.Name) {
		msg.Ranked, msg.LiveHosts = p.rankedHosts(services, now)
	}
	p.sequence++
	msg.Sequence = p.sequence
	return msg
}

// rankedHosts returns a delegate's report of the hosts that rank first for serving
// and the number of live hosts. If all hosts serve, it names none, since they know
// each other. mu is held.
func (p *peers) rankedHosts(services int, now time.Time) ([]*gossippb.Host, uint32) {
	report, live := p.placement.Report(services, now)
	if live == placement.ServingHosts(live, services) {
		return nil, uint32(live)
	}
	var out []*gossippb.Host
	for _, h := range report {
		entry := &gossippb.Host{Name: h.Name, Address: p.conn.LocalAddr().String(), Access: p.g.access, Capacity: h.Capacity}
		if other := p.hostsByName[h.Name]; other != nil {
			entry.Address, entry.Access = other.address.String(), other.access
		}
		out = append(out, entry)
	}
	return out, uint32(live)
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
