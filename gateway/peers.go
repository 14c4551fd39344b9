package gateway

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/bronzeloft/bronzeloft/customer/retry"
	"github.com/bronzeloft/bronzeloft/link/gossippb"
	"github.com/bronzeloft/bronzeloft/position"
)

// Timing of the exchange between hosts.
const (
	// gossipEvery is short beside the 5 s window of quotas and the 0.6 s after
	// which a silent primary is suspected.
	gossipEvery = 300 * time.Millisecond
	// heardWithin is the silence after which a host's findings no longer count.
	heardWithin = 1200 * time.Millisecond
	// aliveWithin is the silence after which a host is taken for gone when
	// connections are divided.
	aliveWithin = 8 * time.Second
	// listHostsEvery is the time between readings of the hosts' entries; a new
	// host is known earlier by its own messages.
	listHostsEvery = 20 * time.Second
	// listHostsSoon is the time until the second reading: hosts that start
	// together miss each other in the first.
	listHostsSoon = 2 * time.Second
)

// maxDatagram is the largest message; the sums of a few data centres with a
// hundred customers take under 10 KB.
const maxDatagram = 60 << 10

// peers exchanges findings with the other hosts.
type peers struct {
	g    *Gateway
	conn *net.UDPConn
	boot uint64

	mu       sync.Mutex // guards all below; a leaf
	known    map[string]*peerHost
	centres  map[string]*centre           // the other data centres
	acked    map[string]position.Position // by service
	contacts map[string]contact           // by data centre
	admits   map[string]bool              // hosts that admit, as of the last round
	sequence uint64
	fetching bool
	listed   bool // the hosts' entries were read
}

// peerHost is another host.
type peerHost struct {
	address *net.UDPAddr
	boot    uint64
	seq     uint64
	heard   time.Time // zero before the first message
	leaving bool
	groups  []*gossippb.Group
	demands []*gossippb.Demand

	storeAnswers bool // it watches the store and is answered

	dataCentre string
	access     string    // IP:port of its access listener
	avoid      time.Time // passed over as a home until then
}

// pairTries bounds the search for a port that is free for TCP and UDP where the
// settings leave the choice open.
const pairTries = 20

// listenPair listens for TCP and UDP at one address. Port 0 stands for any port
// that is free for both.
func listenPair(address string) (net.Listener, *net.UDPConn, error) {
	addr, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, nil, eris.Wrap(err, "address for peers")
	}
	for try := 1; ; try++ {
		conn, err := net.ListenUDP("udp4", addr)
		if err != nil {
			return nil, nil, eris.Wrap(err, "listen for peers")
		}
		l, err := net.Listen("tcp4", conn.LocalAddr().String())
		if err == nil {
			return l, conn, nil
		}
		conn.Close()
		if addr.Port != 0 || try == pairTries {
			return nil, nil, eris.Wrap(err, "listen for peers")
		}
	}
}

func listenPeers(g *Gateway) (*peers, error) {
	l, conn, err := listenPair(g.opt.Peers)
	if err != nil {
		return nil, err
	}
	p := &peers{g: g, conn: conn, boot: uint64(time.Now().UnixMilli()), known: map[string]*peerHost{},
		centres: map[string]*centre{}, acked: map[string]position.Position{}, contacts: map[string]contact{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+configurationPath, p.serveConfiguration)
	mux.HandleFunc("GET "+databasesPath, p.serveDatabases)
	g.serveOn(l, mux)
	return p, nil
}

func (p *peers) close() { p.conn.Close() }

// hosts is the number of hosts of the fleet.
func (p *peers) hosts() int {
	now := p.g.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 1
	for _, h := range p.known {
		if p.counts(h, now) {
			n++
		}
	}
	for name, c := range p.centres {
		if now.Sub(c.at) < aliveWithin {
			n += max(0, c.hosts-p.heardFrom(name, now))
		}
	}
	return n
}

// heardFrom is the hosts of a data centre that count themselves. mu is held.
func (p *peers) heardFrom(dataCentre string, now time.Time) int {
	n := 0
	for _, h := range p.known {
		if h.dataCentre == dataCentre && p.counts(h, now) {
			n++
		}
	}
	return n
}

// run sends and receives until the gateway stops.
func (p *peers) run() {
	p.g.work(p.receive)
	p.g.work(p.keepHosts)
	// Hosts that start together would else send in the same moment for ever, and
	// what arrives together overruns a small link.
	retry.Wait(p.g.ctx, rand.N(gossipEvery))
	ticker := time.NewTicker(gossipEvery)
	defer ticker.Stop()
	var hosts, centres int
	for {
		select {
		case <-p.g.ctx.Done():
			return
		case <-ticker.C:
		}
		p.send()
		p.connect()
		if h, c := p.hosts(), p.dataCentres(); h != hosts || c != centres {
			hosts, centres = h, c
			p.g.sizePools()
		}
		p.noteAdmitting()
	}
}

// connect keeps connections to the hosts of this data centre, which may be
// homes.
func (p *peers) connect() {
	now := p.g.now()
	p.mu.Lock()
	var wanted []string
	for _, h := range p.known {
		if h.access != "" && h.dataCentre == p.g.opt.DataCentre && p.counts(h, now) {
			wanted = append(wanted, h.access)
		}
	}
	p.mu.Unlock()
	p.g.streams.mesh.SetPeers(wanted)
}

// parcel is one message and the hosts that get it.
type parcel struct {
	msg *gossippb.Gossip
	to  []*net.UDPAddr
}

// sendRate, in bytes a second, keeps a round of messages from filling a link of
// 10 Mbit/s, the smallest of today's sites: a full link drops datagrams.
const sendRate = 800e3

// greet tells one host what this one finds, without waiting for the next round.
func (p *peers) greet(to *net.UDPAddr) {
	msg := p.message(p.g.now())
	p.mu.Lock()
	p.sequence++
	msg.Sequence = p.sequence
	p.mu.Unlock()
	p.sendTo(msg, []*net.UDPAddr{to})
}

// heardAll reports whether each host of this data centre that has an entry was
// heard.
func (p *peers) heardAll() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.known {
		if h.dataCentre == p.g.opt.DataCentre && h.heard.IsZero() {
			return false
		}
	}
	return p.listed
}

// pacedSize is the size of a message, in bytes, after which the next one waits;
// a round of smaller ones is a few KB.
const pacedSize = 1 << 10

// send tells the other hosts what this one finds.
func (p *peers) send() {
	for _, out := range p.parcels(p.g.now()) {
		p.sendTo(out.msg, out.to)
	}
}

// parcels are this round's messages: to the hosts of this data centre what this
// one finds and, where it speaks for them, to the other data centres the sum.
// Only those who use them get the parts that take most of the bytes: demands go
// to delegates and to hosts that watch databases, sums only to the latter, and
// last, so that the others do not wait for them. Findings go to all: they show
// who watches.
func (p *peers) parcels(now time.Time) []parcel {
	msg := p.message(now)
	p.mu.Lock()
	p.sequence++
	msg.Sequence = p.sequence
	speakers := p.delegatesHere(now)
	var watchers, summing, others, far []*net.UDPAddr
	for name, h := range p.known {
		switch {
		case h.dataCentre != p.g.opt.DataCentre:
		case watches(h.groups):
			watchers = append(watchers, h.address)
		case slices.Contains(speakers, name):
			summing = append(summing, h.address)
		default:
			others = append(others, h.address)
		}
	}
	var centres []*gossippb.Centre
	if slices.Contains(speakers, p.g.opt.Name) {
		far = p.farTargets(now)
		centres = p.otherCentres(now)
	}
	p.mu.Unlock()
	sum, full, brief := proto.CloneOf(msg), proto.CloneOf(msg), proto.CloneOf(msg)
	sum.Demands, sum.Groups = nil, nil
	if len(far) > 0 {
		sum.Centres = []*gossippb.Centre{p.sum(msg, now)}
	}
	full.Centres = centres
	brief.Demands = nil
	return []parcel{{sum, far}, {brief, others}, {msg, summing}, {full, watchers}}
}

// watches reports whether a host with such findings watches a service.
func watches(groups []*gossippb.Group) bool {
	return slices.ContainsFunc(groups, func(g *gossippb.Group) bool { return g.Watching })
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

func (p *peers) message(now time.Time) *gossippb.Gossip {
	msg := &gossippb.Gossip{
		Host: p.g.opt.Name, Address: p.conn.LocalAddr().String(), DataCentre: p.g.opt.DataCentre,
		Access: p.g.access, Boot: p.boot, Leaving: p.g.leaving.Load(), Configuration: p.g.config.Load().Version,
		StoreAnswers: p.g.storeAnswers(now), Databases: p.g.listVersion.Load(),
	}
	for customer, perSecond := range p.g.rates.demands(now) {
		msg.Demands = append(msg.Demands, &gossippb.Demand{Customer: customer, PerSecond: float32(perSecond)})
	}
	for _, s := range p.g.allServices() {
		if f := s.finding(now); f.Watching {
			msg.Groups = append(msg.Groups, f)
		}
	}
	return msg
}

// finding is what this host tells others of the service's databases.
func (s *service) finding(now time.Time) *gossippb.Group {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.opinion(now)
	return &gossippb.Group{
		Service: s.name, Primary: o.Primary, Unreachable: o.Unreachable, Stuck: o.Stuck,
		AckedTerm: s.acked.Term, AckedIndex: s.acked.Index, Watching: s.watching(now),
	}
}

// receive takes the other hosts' messages.
func (p *peers) receive() {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := p.conn.ReadFromUDP(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			p.g.log.Debug("Message was not received.", "part", "peers", "error", err)
			continue
		}
		var msg gossippb.Gossip
		if err := proto.Unmarshal(buf[:n], &msg); err != nil {
			p.g.log.Warn("Message cannot be read.", "part", "peers", "error", err)
			continue
		}
		p.heard(&msg)
	}
}

// restartGap is the silence after which a message of another process of a host
// is that of its successor and not a late one of its predecessor.
const restartGap = 2 * gossipEvery

// heard takes one message.
func (p *peers) heard(msg *gossippb.Gossip) {
	now := p.g.now()
	address, err := net.ResolveUDPAddr("udp4", msg.Address)
	if err != nil || msg.Host == "" || msg.Host == p.g.opt.Name {
		return
	}
	near := msg.DataCentre == p.g.opt.DataCentre
	p.mu.Lock()
	h := p.known[msg.Host]
	if h == nil {
		h = &peerHost{}
		p.known[msg.Host] = h
	}
	if msg.Boot == h.boot && msg.Sequence <= h.seq || msg.Boot != h.boot && now.Sub(h.heard) < restartGap {
		p.mu.Unlock()
		return // overtaken by a later one
	}
	started := msg.Boot != h.boot
	h.address, h.boot, h.seq, h.heard, h.leaving = address, msg.Boot, msg.Sequence, now, msg.Leaving
	h.dataCentre, h.access, h.storeAnswers = msg.DataCentre, msg.Access, msg.StoreAnswers
	h.groups, h.demands = msg.Groups, msg.Demands
	p.noteContact(msg.DataCentre, now)
	for _, g := range msg.Groups {
		p.noteAcked(g)
	}
	admitting := 0
	if p.admits[msg.Host] {
		admitting = 1
	}
	p.mu.Unlock()
	if near && started {
		p.greet(address)
	}
	if near {
		p.g.rates.heard(msg.Host, admitting, demandsOf(msg.Demands), now)
	}
	for _, c := range msg.Centres {
		p.takeCentre(c, now)
	}
	if !near {
		msg.Databases = 0 // hosts of this data centre read the list themselves
	}
	p.newer(address.String(), msg.Configuration, msg.Databases)
}
