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
	"github.com/bronzeloft/bronzeloft/datacentre/placement"
	"github.com/bronzeloft/bronzeloft/link/gossippb"
	"github.com/bronzeloft/bronzeloft/position"
)

// Timing of the exchange between hosts.
const (
	// gossipEvery is the time between two rounds of messages. It is short compared
	// with the 5 s window of the platform's quotas and the 0.6 s after which a silent
	// primary is suspected.
	gossipEvery = 3 * tickEvery
	// reportTTL is how long after its last message a host's reports are used.
	reportTTL = 1200 * time.Millisecond
	// membershipTTL is the time without messages after which a host no longer
	// counts when connections are divided among hosts.
	membershipTTL = 8 * time.Second
	// listHostsEvery is the time between reads of the hosts' entries; a new host
	// becomes known earlier through its own messages.
	listHostsEvery = 20 * time.Second
	// listHostsSoon is the time until the second read, and until the next one after
	// a failure: hosts that start together do not see each other's entries in the
	// first read.
	listHostsSoon = 2 * time.Second
)

// maxDatagram is the largest message size; the summaries of a few data centres
// with a hundred customers take less than 10 KB.
const maxDatagram = 60 << 10

// peers exchanges state with the other hosts.
type peers struct {
	g    *Gateway
	conn *net.UDPConn
	boot uint64 // start time of this process, Unix milliseconds

	mu            sync.Mutex // guards the fields below; a leaf lock
	hostsByName   map[string]*peerHost
	centres       map[string]*centreSummary    // the other data centres
	acked         map[string]position.Position // newest commit that another host acknowledged, by service
	contacts      map[string]contact           // by data centre
	lastAdmitting map[string]bool              // result of admittingHosts in the last round
	sequence      uint64                       // of the last message sent
	fetching      bool                         // a fetch from another host is running
	listed        bool                         // the hosts' entries have been read
	firstStart    bool                         // this host had no entry before
	schedule      summarySchedule              // of the summaries that this host sends as a delegate
	placement     *placement.Table             // the hosts of this data centre
	rules         fleetRules
}

// peerHost is the state of another host.
type peerHost struct {
	address  *net.UDPAddr
	boot     uint64    // of the last message
	seq      uint64    // of the last message
	lastSeen time.Time // zero before the first message
	leaving  bool
	groups   []*gossippb.Group
	demands  []*gossippb.Demand
	cold     []*gossippb.ColdLoad

	allotments []*gossippb.Allotment // as the home host of services with scarce connections

	storeAnswers bool // it watches the store and gets answers

	dataCentre string
	capacity   float64   // share of a core; 0 if unknown
	access     string    // IP:port of its access listener
	avoidUntil time.Time // not used as home host until then
	servedAt   time.Time // when it last ranked among the serving hosts; zero for never
}

// pairAttempts bounds the search for a port that is free for both TCP and UDP if
// the configured port is 0.
const pairAttempts = 20

// listenPair listens for TCP and UDP on the same address. Port 0 selects any port
// that is free for both.
func listenPair(address string) (net.Listener, *net.UDPConn, error) {
	addr, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, nil, eris.Wrap(err, "resolve the address for peers")
	}
	for attempt := 1; ; attempt++ {
		conn, err := net.ListenUDP("udp4", addr)
		if err != nil {
			return nil, nil, eris.Wrap(err, "listen for peers")
		}
		l, err := net.Listen("tcp4", conn.LocalAddr().String())
		if err == nil {
			return l, conn, nil
		}
		conn.Close()
		if addr.Port != 0 || attempt == pairAttempts {
			return nil, nil, eris.Wrap(err, "listen for peers")
		}
	}
}

func listenPeers(g *Gateway) (*peers, error) {
	l, conn, err := listenPair(g.opt.Peers)
	if err != nil {
		return nil, err
	}
	p := &peers{g: g, conn: conn, boot: uint64(time.Now().UnixMilli()), hostsByName: map[string]*peerHost{},
		centres: map[string]*centreSummary{}, acked: map[string]position.Position{}, contacts: map[string]contact{},
		placement: placement.New(placement.Host{Name: g.opt.Name, Capacity: g.opt.Capacity}, gossipEvery, g.now()), rules: newFleetRules()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+configurationPath, p.serveConfiguration)
	mux.HandleFunc("GET "+databasesPath, p.serveDatabases)
	if g.evacuations != nil {
		mux.HandleFunc("GET "+evacuationsPath, p.serveEvacuations)
	}
	g.serveOn(l, mux)
	return p, nil
}

func (p *peers) close() { p.conn.Close() }

// leave records that this host shuts down.
func (p *peers) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placement.SetLeaving()
}

// seenServingHosts reports whether the hosts' entries have been read and every other
// serving host of this data centre has sent a message.
func (p *peers) seenServingHosts() bool {
	services := p.g.serviceCount()
	now := p.g.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range p.placement.Serving(services, now) {
		if h := p.hostsByName[name]; h != nil && h.lastSeen.IsZero() {
			return false
		}
	}
	return p.listed
}

// servingHosts returns the names of the serving hosts of this data centre in their
// order.
func (p *peers) servingHosts(now time.Time) []string {
	services := p.g.serviceCount()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.placement.Serving(services, now)
}

// run sends and receives until the gateway stops.
func (p *peers) run() {
	p.g.startWorker(p.receive)
	p.g.startWorker(p.syncHosts)
	// A random first delay: hosts that start together would otherwise always send
	// at the same moment, and their simultaneous messages would overrun a slow
	// link.
	retry.Wait(p.g.ctx, rand.N(gossipEvery/tickEvery)*tickEvery)
	ticker := time.NewTicker(gossipEvery)
	defer ticker.Stop()
	centres := 0
	for {
		select {
		case <-p.g.ctx.Done():
			return
		case <-ticker.C:
		}
		p.g.allotments.exchange(p.g.now())
		p.send()
		p.connect()
		if c := p.dataCentreCount(); c != centres {
			centres = c
			p.g.sizePools()
		}
		p.updateAdmitting()
		p.reviewRules(p.g.now())
	}
}

// serves reports whether this host is a serving host of its data centre.
func (p *peers) serves() bool {
	return slices.Contains(p.servingHosts(p.g.now()), p.g.opt.Name)
}

// knowsHosts reports whether this host knows the hosts of its data centre: it has read
// their entries and, at its first start, has also waited for their messages, because
// other hosts may start for the first time as well.
func (p *peers) knowsHosts() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listed && (!p.firstStart || p.g.now().Sub(p.g.started) >= peerDiscoveryTimeout)
}

// keepConnected is how long the connection to a host is kept after it stopped
// serving, for the transactions that are still open there.
const keepConnected = 15 * time.Second

// connect keeps connections open to the serving hosts of this data centre, since each
// may be a home host, and to those that served until recently.
func (p *peers) connect() {
	now := p.g.now()
	serving := p.servingHosts(now)
	p.mu.Lock()
	for _, name := range serving {
		if h := p.hostsByName[name]; h != nil {
			h.servedAt = now
		}
	}
	var wanted []string
	for _, h := range p.hostsByName {
		if h.access != "" && !h.servedAt.IsZero() && now.Sub(h.servedAt) < keepConnected {
			wanted = append(wanted, h.access)
		}
	}
	p.mu.Unlock()
	p.g.streams.mesh.SetPeers(wanted)
}

// groupReport returns this host's report on the service's databases for the other
// hosts.
func (s *service) groupReport(now time.Time) *gossippb.Group {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.primaryView(now)
	return &gossippb.Group{
		Service: s.name, Primary: view.Primary, Unreachable: view.Unreachable, Stuck: view.Stalled,
		AckedTerm: s.acked.Term, AckedIndex: s.acked.Index, Watching: s.watching(now), Leaving: s.leaving(now), Awaited: s.logWait.found,
	}
}

// receivePause keeps receive from spinning while the socket returns errors at once.
const receivePause = 20 * time.Millisecond

// receive reads and handles the other hosts' messages until the socket closes.
func (p *peers) receive() {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := p.conn.ReadFromUDP(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			p.g.log.Debug("Receiving a message from another host failed.", "part", "peers", "error", err)
			retry.Wait(p.g.ctx, receivePause)
			continue
		}
		var msg gossippb.Gossip
		if err := proto.Unmarshal(buf[:n], &msg); err != nil {
			p.g.log.Warn("Cannot decode a message from another host.", "part", "peers", "error", err)
			continue
		}
		p.handleMessage(&msg)
	}
}

// applyReport applies a delegate's report of the hosts that rank first for serving,
// and adds those that this host does not know. mu is held.
func (p *peers) applyReport(msg *gossippb.Gossip, now time.Time) {
	hosts := make([]placement.Host, 0, len(msg.Ranked))
	for _, r := range msg.Ranked {
		address, ok := peerAddress(r.Address)
		if !ok || r.Name == "" || r.Name == p.g.opt.Name {
			continue
		}
		if p.hostsByName[r.Name] == nil {
			p.hostsByName[r.Name] = &peerHost{address: address, dataCentre: p.g.opt.DataCentre, access: r.Access, capacity: r.Capacity}
		}
		hosts = append(hosts, placement.Host{Name: r.Name, Capacity: r.Capacity})
	}
	p.placement.RecordReport(hosts, int(msg.LiveHosts), now)
}

// restartGap is the time without messages from a host after which a message with
// another boot number is accepted as that of its restarted process. Before that, it
// may be a delayed message of the previous process.
const restartGap = 2 * gossipEvery

// handleMessage applies one message from another host.
func (p *peers) handleMessage(msg *gossippb.Gossip) {
	now := p.g.now()
	address, ok := peerAddress(msg.Address)
	if !ok || msg.Host == "" || msg.Host == p.g.opt.Name {
		return
	}
	sameCentre := msg.DataCentre == p.g.opt.DataCentre
	p.mu.Lock()
	h := p.hostsByName[msg.Host]
	if h == nil {
		h = &peerHost{}
		p.hostsByName[msg.Host] = h
	}
	if msg.Boot == h.boot && msg.Sequence <= h.seq || msg.Boot != h.boot && now.Sub(h.lastSeen) < restartGap {
		p.mu.Unlock()
		return // out of order, or possibly from the host's previous process
	}
	started := msg.Boot != h.boot
	h.address, h.boot, h.seq, h.lastSeen, h.leaving = address, msg.Boot, msg.Sequence, now, msg.Leaving
	h.dataCentre, h.access, h.storeAnswers, h.capacity = msg.DataCentre, msg.Access, msg.StoreAnswers, msg.Capacity
	h.groups, h.demands, h.cold, h.allotments = msg.Groups, msg.Demands, msg.Cold, msg.Allotments
	p.rules.recordMessage(msg, now)
	if sameCentre {
		p.placement.RecordMessage(placement.Host{Name: msg.Host, Capacity: h.capacity}, msg.Serving, msg.Leaving, now)
		if msg.LiveHosts > 0 {
			p.applyReport(msg, now)
		}
	}
	p.recordContact(msg.DataCentre, now)
	for _, g := range msg.Groups {
		p.recordAcked(g)
	}
	admitting := 0
	if p.lastAdmitting[msg.Host] {
		admitting = 1
	}
	p.mu.Unlock()
	if sameCentre && started {
		p.announceTo(address)
	}
	if sameCentre {
		p.g.rates.recordDemands(msg.Host, admitting, demandsOf(msg.Demands), now)
		p.recordColdHere(now)
	}
	p.g.platform.Eras().Learn(msg.StoreEra, "host "+msg.Host)
	p.g.recordLeaving(msg.Groups, now)
	for _, c := range msg.Centres {
		p.applyCentre(c, now)
		if msg.Rules != 0 || c.Name == msg.DataCentre { // older versions relay summaries without the rules
			p.mu.Lock()
			p.rules.recordCentre(c, now.Add(-time.Duration(c.AgeMs)*time.Millisecond))
			p.mu.Unlock()
		}
	}
	if !sameCentre {
		msg.Databases = 0 // the list is fetched only from hosts of this data centre, which have it from the store
	}
	p.fetchNewer(address.String(), msg.Configuration, msg.Databases, msg.Evacuations)
}
