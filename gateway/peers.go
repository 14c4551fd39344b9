package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/bronzeloft/bronzeloft/customer/share"
	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/link/gossippb"
	"github.com/bronzeloft/bronzeloft/objectapi"
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
	fetchTimeout  = time.Second
)

const (
	// kindHosts holds an entry for each host that ever served.
	kindHosts = "bronzeloft-hosts"
	// configurationPath serves the configuration in force to other hosts.
	configurationPath = "/configuration"
	// maxDatagram is the largest message; one host's findings take under 2 KB.
	maxDatagram = 32 << 10
	// maxConfigurationBytes is the largest object of the store.
	maxConfigurationBytes = 1 << 20
)

// hostEntry is a host's entry in the store.
type hostEntry struct {
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
}

// peers exchanges findings with the other hosts.
type peers struct {
	g    *Gateway
	conn *net.UDPConn
	boot uint64

	mu       sync.Mutex // guards all below; a leaf
	known    map[string]*peerHost
	sequence uint64
	fetching bool
}

// peerHost is another host.
type peerHost struct {
	address *net.UDPAddr
	boot    uint64
	seq     uint64
	heard   time.Time // zero before the first message
	leaving bool
	groups  []*gossippb.Group

	dataCentre string
	access     string    // IP:port of its access listener
	avoid      time.Time // passed over as a home until then
}

func listenPeers(g *Gateway) (*peers, error) {
	addr, err := net.ResolveUDPAddr("udp4", g.opt.Peers)
	if err != nil {
		return nil, eris.Wrap(err, "address for peers")
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, eris.Wrap(err, "listen for peers")
	}
	p := &peers{g: g, conn: conn, boot: uint64(time.Now().UnixMilli()), known: map[string]*peerHost{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+configurationPath, p.serveConfiguration)
	if err := g.serveHTTP(conn.LocalAddr().String(), mux); err != nil {
		conn.Close()
		return nil, eris.Wrap(err, "listen for peers")
	}
	return p, nil
}

func (p *peers) close() { p.conn.Close() }

// hosts is the number of hosts among which connections and rates are divided.
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
	return n
}

// run sends and receives until the gateway stops.
func (p *peers) run() {
	p.g.work(p.receive)
	p.g.work(p.keepHosts)
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
			p.g.rates.setHosts(h)
			p.g.sizePools()
		}
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

// send tells every known host what this one finds.
func (p *peers) send() {
	msg := p.message()
	p.mu.Lock()
	p.sequence++
	msg.Sequence = p.sequence
	targets := make([]*net.UDPAddr, 0, len(p.known))
	for _, h := range p.known {
		targets = append(targets, h.address)
	}
	p.mu.Unlock()
	data, err := proto.Marshal(msg)
	if err != nil || len(data) > maxDatagram {
		p.g.log.Error("Message to hosts cannot be sent.", "part", "peers", "bytes", len(data), "error", err)
		return
	}
	for _, to := range targets {
		if _, err := p.conn.WriteToUDP(data, to); err != nil {
			p.g.metrics.unsent.Inc() // the next message says the same
		}
	}
}

func (p *peers) message() *gossippb.Gossip {
	now := p.g.now()
	msg := &gossippb.Gossip{
		Host: p.g.opt.Name, Address: p.conn.LocalAddr().String(), DataCentre: p.g.opt.DataCentre,
		Access: p.g.access, Boot: p.boot, Leaving: p.g.leaving.Load(), Configuration: p.g.config.Load().Version,
	}
	for customer, perSecond := range p.g.rates.demands(now) {
		msg.Demands = append(msg.Demands, &gossippb.Demand{Customer: customer, PerSecond: float32(perSecond)})
	}
	for _, s := range p.g.allServices() {
		msg.Groups = append(msg.Groups, s.finding(now))
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

// heard takes one message.
func (p *peers) heard(msg *gossippb.Gossip) {
	now := p.g.now()
	address, err := net.ResolveUDPAddr("udp4", msg.Address)
	if err != nil || msg.Host == "" || msg.Host == p.g.opt.Name {
		return
	}
	p.mu.Lock()
	h := p.known[msg.Host]
	if h == nil {
		h = &peerHost{}
		p.known[msg.Host] = h
	}
	if msg.Boot < h.boot || msg.Boot == h.boot && msg.Sequence <= h.seq {
		p.mu.Unlock()
		return // overtaken by a later one
	}
	h.address, h.boot, h.seq, h.heard, h.leaving, h.groups = address, msg.Boot, msg.Sequence, now, msg.Leaving, msg.Groups
	h.dataCentre, h.access = msg.DataCentre, msg.Access
	newer := msg.Configuration > p.g.config.Load().Version && !p.fetching
	if newer {
		p.fetching = true
	}
	p.mu.Unlock()
	demands := make(share.Demands, len(msg.Demands))
	for _, d := range msg.Demands {
		demands[d.Customer] = float64(d.PerSecond)
	}
	p.g.rates.heard(msg.Host, demands, now)
	if newer {
		go p.fetchConfiguration(address.String())
	}
}

// opinions returns what the hosts that were heard lately find of a service's
// primary, and the last commit that any of them acknowledged.
func (p *peers) opinions(service string) ([]succession.Opinion, position.Position) {
	now := p.g.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []succession.Opinion
	var acked position.Position
	for _, h := range p.known {
		for _, group := range h.groups {
			if group.Service != service {
				continue
			}
			acked = position.Max(acked, position.Position{Term: group.AckedTerm, Index: group.AckedIndex})
			if group.Watching && now.Sub(h.heard) < heardWithin && !h.leaving {
				out = append(out, succession.Opinion{Primary: group.Primary, Unreachable: group.Unreachable, Stuck: group.Stuck})
			}
		}
	}
	return out, acked
}

// watches reports whether a host asks the service's primary several times a
// second.
func (h *peerHost) watches(service string) bool {
	for _, group := range h.groups {
		if group.Service == service {
			return group.Watching
		}
	}
	return false
}

// rank is this host's place among those that are alive and watch a service,
// 0 first.
func (p *peers) rank(duty string) int {
	now := p.g.now()
	own := dutyScore(duty, p.g.opt.Name)
	p.mu.Lock()
	defer p.mu.Unlock()
	rank := 0
	for name, h := range p.known {
		if now.Sub(h.heard) < heardWithin && !h.leaving && h.watches(duty) && dutyScore(duty, name) > own {
			rank++
		}
	}
	return rank
}

// fetchConfiguration asks another host for the configuration that it has.
func (p *peers) fetchConfiguration(address string) {
	defer func() {
		p.mu.Lock()
		p.fetching = false
		p.mu.Unlock()
	}()
	raw, err := fetch(p.g.ctx, "http://"+address+configurationPath)
	if err != nil {
		p.g.log.Warn("Host did not give its configuration.", "part", "peers", "address", address, "error", err)
		return
	}
	p.g.offer(raw, "host")
}

func fetch(ctx context.Context, url string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	req.Close = true
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, eris.Errorf("status %d", res.StatusCode)
	}
	return io.ReadAll(io.LimitReader(res.Body, maxConfigurationBytes))
}

func (p *peers) serveConfiguration(w http.ResponseWriter, _ *http.Request) {
	config := p.g.config.Load()
	if config.Version == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if _, err := w.Write(config.raw); err != nil {
		p.g.log.Debug("Host left while it was given the configuration.", "part", "peers", "error", err)
	}
}

// keepHosts stores this host's entry and reads the others' from time to time.
func (p *peers) keepHosts() {
	stored := false
	for wait := listHostsSoon; ; wait = listHostsEvery {
		if !stored {
			stored = p.storeEntry()
		}
		if !p.listHosts() || !stored {
			wait = listHostsSoon
		}
		sleep(p.g.ctx, wait)
		if p.g.ctx.Err() != nil {
			return
		}
	}
}

// storeEntry creates or replaces this host's entry.
func (p *peers) storeEntry() bool {
	value, err := json.Marshal(hostEntry{Address: p.conn.LocalAddr().String(), DataCentre: p.g.opt.DataCentre})
	if err != nil {
		p.g.log.Error("Host entry cannot be written.", "part", "peers", "error", err)
		return false
	}
	store := p.g.platform.Objects()
	_, err = store.Create(p.g.ctx, kindHosts, p.g.opt.Name, value)
	if errors.Is(err, objectapi.ErrExists) {
		old, getErr := store.Get(p.g.ctx, kindHosts, p.g.opt.Name)
		if err = getErr; err == nil && !slices.Equal(old.Value, value) {
			_, err = store.Update(p.g.ctx, kindHosts, p.g.opt.Name, old.Version, value)
		}
	}
	if err != nil && p.g.ctx.Err() == nil {
		p.g.log.Warn("Host entry is not stored.", "part", "peers", "error", err)
	}
	return err == nil
}

// listHosts reads the hosts' entries.
func (p *peers) listHosts() bool {
	entries, _, err := p.g.platform.Objects().List(p.g.ctx, kindHosts)
	if err != nil {
		if p.g.ctx.Err() == nil {
			p.g.log.Warn("Hosts are not listed.", "part", "peers", "error", err)
		}
		return false
	}
	for _, o := range entries {
		var entry hostEntry
		if err := json.Unmarshal(o.Value, &entry); err != nil {
			p.g.log.Warn("Host entry cannot be read.", "part", "peers", "name", o.Name, "error", err)
			continue
		}
		p.learn(o.Name, entry.Address)
	}
	return true
}

// learn adds a host that was not heard yet.
func (p *peers) learn(name, address string) {
	to, err := net.ResolveUDPAddr("udp4", address)
	if err != nil || name == p.g.opt.Name {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.known[name] == nil {
		p.known[name] = &peerHost{address: to}
	}
}
