package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzeloft/bronzeloft/customer/retry"
	"github.com/bronzeloft/bronzeloft/internal/capped"
	"github.com/bronzeloft/bronzeloft/link/peerpb"
)

// simultaneousDialWindow is the maximum time between two connections, one dialed by
// each end, that count as dialed simultaneously.
const simultaneousDialWindow = 2 * time.Second

// Mesh holds this host's connections to its peers. It is safe for concurrent
// use. Lock order: events before mu.
type Mesh struct {
	cfg       Config
	serverTLS *tls.Config
	pool      *pool
	stats     counters
	meters    meters
	nextID    atomic.Uint64

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	events sync.Mutex // serializes OnPeer calls

	mu        sync.Mutex // guards the fields below
	closed    bool
	conns     map[string]*conn              // by address; at most MaxConns plus the outbound connections
	dialers   map[string]context.CancelFunc // by address
	inbound   int                           // inbound connections, handshakes included
	greeting  *capped.Conns                 // inbound connections whose handshake is not finished
	listeners []net.Listener
}

// New returns a Mesh without connections: Serve and SetPeers add them. It starts the
// workers, which Close ends.
func New(cfg Config) *Mesh {
	cfg = cfg.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	m := &Mesh{
		cfg:       cfg,
		serverTLS: serverTLS(cfg.TLS),
		pool:      newPool(2 * cfg.MaxConns),
		ctx:       ctx,
		cancel:    cancel,
		conns:     make(map[string]*conn),
		dialers:   make(map[string]context.CancelFunc),
		greeting:  capped.New(maxHandshakes),
	}
	m.meters = newMeters(cfg.Metrics, m)
	for range cfg.Workers {
		m.wg.Go(m.pool.run)
	}
	m.wg.Go(m.probeConns)
	return m
}

// probeConns probes the connections until the Mesh is closed. One timer serves them
// all, since a host may have hundreds.
func (m *Mesh) probeConns() {
	ticker := time.NewTicker(m.cfg.ProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-ticker.C:
		}
		m.mu.Lock()
		if !m.closed { // a probe may not start once Close waits
			for _, c := range m.conns {
				c.probe()
			}
		}
		m.mu.Unlock()
	}
}

// acceptPause keeps the accept loop from spinning while the process is out of file
// descriptors.
const acceptPause = 20 * time.Millisecond

// Serve accepts connections of peers until the listener or the Mesh is closed. It
// returns nil when Close ends it, ErrClosed when the Mesh was closed before the call,
// and net.ErrClosed if the listener is closed otherwise. Close closes the listener.
func (m *Mesh) Serve(listener net.Listener) error {
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		return ErrClosed
	}
	m.listeners = append(m.listeners, listener)
	m.mu.Unlock()
	for {
		raw, err := listener.Accept()
		if err != nil {
			if m.ctx.Err() != nil {
				return nil
			}
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			m.cfg.Logger.Error("Accepting a peer's connection failed.", "err", err)
			retry.Wait(m.ctx, acceptPause)
			continue
		}
		m.accept(raw)
	}
}

// maxHandshakes bounds the inbound connections whose handshake is not finished; one more
// closes the oldest. A handshake takes a few milliseconds.
const maxHandshakes = 64

// accept starts serving an inbound connection, or closes it when MaxConns is
// reached or the Mesh is closed.
func (m *Mesh) accept(raw net.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || m.inbound >= m.cfg.MaxConns {
		m.meters.refused.Inc()
		_ = raw.Close()
		return
	}
	m.inbound++
	m.greeting.Add(raw)
	m.wg.Go(func() {
		m.serveConn(m.ctx, raw, "")
		m.mu.Lock()
		m.inbound--
		m.mu.Unlock()
	})
}

// serveConn runs one connection from the handshake until it or ctx ends. It
// reports whether the handshake succeeded and the connection was registered.
func (m *Mesh) serveConn(ctx context.Context, raw net.Conn, address string) bool {
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	c, err := m.handshake(raw, address)
	m.greeting.Remove(raw)
	if err != nil {
		m.meters.refused.Inc()
		m.cfg.Logger.Warn("peer handshake failed", "remote", raw.RemoteAddr().String(), "err", err)
		return false
	}
	if !m.register(c) {
		c.close(ErrClosed)
		return false
	}
	m.cfg.Logger.Info("peer connected", "peer", c.info.Address, "boot", c.info.BootID)
	c.run()
	m.unregister(c)
	m.cfg.Logger.Info("peer disconnected", "peer", c.info.Address, "err", c.reason())
	return true
}

// register makes c the connection of its peer and closes the previous one. It
// returns false when keepsExisting prefers the existing connection or the Mesh
// is closed.
func (m *Mesh) register(c *conn) bool {
	m.events.Lock()
	defer m.events.Unlock()
	m.mu.Lock()
	old := m.conns[c.info.Address]
	if m.closed || m.keepsExisting(old, c) {
		m.mu.Unlock()
		return false
	}
	m.conns[c.info.Address] = c
	m.mu.Unlock()
	if old != nil {
		old.close(ErrClosed)
	}
	if m.cfg.OnPeer != nil {
		m.cfg.OnPeer(c.describe(), true)
	}
	return true
}

// keepsExisting reports whether old is kept and the new connection c is closed.
// When both ends dialed simultaneously, both keep the connection that the lower
// address dialed. In all other cases the dialing end had no connection, so the
// new one replaces old.
func (m *Mesh) keepsExisting(old, c *conn) bool {
	if old == nil || old.ended() || old.info.BootID != c.info.BootID {
		return false
	}
	if old.dialed == c.dialed || c.since.Sub(old.since) > simultaneousDialWindow {
		return false
	}
	selfIsLower := strings.Compare(m.cfg.Self, c.info.Address) < 0
	return old.dialed == selfIsLower
}

// unregister removes c and reports the peer as disconnected, unless another
// connection has replaced c.
func (m *Mesh) unregister(c *conn) {
	m.events.Lock()
	defer m.events.Unlock()
	m.mu.Lock()
	current := m.conns[c.info.Address] == c
	if current {
		delete(m.conns, c.info.Address)
	}
	m.mu.Unlock()
	if current && m.cfg.OnPeer != nil {
		m.cfg.OnPeer(c.describe(), false)
	}
}

// conn returns the connection to address, or nil when there is none.
func (m *Mesh) conn(address string) *conn {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.conns[address]
}

// Connected reports whether there is a connection to address.
func (m *Mesh) Connected(address string) bool {
	c := m.conn(address)
	return c != nil && !c.ended()
}

// Send queues a message without blocking. It returns ErrNotConnected, ErrQueueFull,
// or ErrTooLarge for a message larger than MaxFrame. A queued message is lost when
// its connection ends before delivery.
func (m *Mesh) Send(address string, env *peerpb.Envelope) error {
	c := m.conn(address)
	if c == nil {
		return ErrNotConnected
	}
	frame, err := encodeFrame(env)
	if err != nil {
		return err
	}
	return c.enqueue(frame)
}

// Request sends a message and waits for its answer until ctx ends. It assigns
// the id and does not modify env. After an error other than ErrNotConnected,
// ErrQueueFull and ErrTooLarge the peer may or may not have handled the request.
func (m *Mesh) Request(ctx context.Context, address string, env *peerpb.Envelope) (*peerpb.Envelope, error) {
	c := m.conn(address)
	if c == nil {
		return nil, ErrNotConnected
	}
	sent := &peerpb.Envelope{Id: m.nextID.Add(1), Body: env.GetBody()}
	if hasOwnStream(sent) {
		return c.requestOwnStream(ctx, sent)
	}
	return c.request(ctx, sent)
}

// Peers returns the connected peers, sorted by address.
func (m *Mesh) Peers() []Info {
	m.mu.Lock()
	list := make([]Info, 0, len(m.conns))
	for _, c := range m.conns {
		if !c.ended() {
			list = append(list, c.describe())
		}
	}
	m.mu.Unlock()
	slices.SortFunc(list, func(a, b Info) int { return strings.Compare(a.Address, b.Address) })
	return list
}

// Close closes the listeners, ends all connections and waits until no call of
// Handler, OnPeer or OnSession is running. Later calls return at once.
func (m *Mesh) Close() {
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		return
	}
	m.closed = true
	m.cancel()
	for _, listener := range m.listeners {
		_ = listener.Close()
	}
	conns := make([]*conn, 0, len(m.conns))
	for _, c := range m.conns {
		conns = append(conns, c)
	}
	m.mu.Unlock()
	close(m.pool.stop)
	for _, c := range conns {
		c.close(ErrClosed)
	}
	m.wg.Wait()
}
