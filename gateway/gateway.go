// Package gateway implements an entry host of a site whose operator publishes
// routes and whose databases replicate and acknowledge commits themselves.
//
// It accepts callers' sessions, runs each statement on a database connection
// that has the session's state, enforces the route's freshness and reports the
// statement's outcome. It watches the store for the configuration and the
// databases. By UDP it exchanges with the other hosts the customers' demands and
// its view of the databases. It replaces primaries under a lease in the store.
//
// Lock order: Gateway.listMu, then Gateway.mu, then service.mu, then pool.mu or the lock of
// turn.Queue. All other locks are leaf locks, as pool.mu is: no other lock is
// acquired while one of them is held. No lock is held during network I/O.
package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/customer/intake"
	"github.com/bronzeloft/bronzeloft/customer/retry"
	"github.com/bronzeloft/bronzeloft/customer/share"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/internal/buildinfo"
	"github.com/bronzeloft/bronzeloft/internal/capped"
	"github.com/bronzeloft/bronzeloft/link/peer"
)

// Options configures a Gateway.
type Options struct {
	Name       string // host name, unique in the fleet
	DataCentre string
	Centres    []string      // the site's data centres; those of known hosts are added
	Callers    string        // IP:port to listen on for callers
	Ready      string        // IP:port of the readiness probe
	Peers      string        // IP:port for other hosts, TCP and UDP
	Access     string        // IP:port for statements forwarded by other hosts
	Metrics    string        // IP:port of the metrics page; empty for none
	Grace      time.Duration // from the start of Drain until the process must have exited
	MaxCallers int           // maximum number of concurrent sessions
	// CallerMemory bounds the memory, in bytes, for callers' messages and session state; at
	// least intake.MinMemory.
	CallerMemory   int64
	MessageTimeout time.Duration // of a caller's message, from its first byte to its last
	Capacity       float64       // processor time of this host, as a share of a core; 0 if unknown
	// DatabaseDrain is how long after its announcement a database that shuts down may be
	// sent statements; 0 for no limit.
	DatabaseDrain time.Duration
	Features      Features
	// Evacuation is the time after the request to evacuate a data centre from which no
	// statement reaches a database there.
	Evacuation time.Duration
	// ColdOverage and ColdSlack bound the requests that a cold database gets in one second,
	// from all hosts together: the service's limit times ColdOverage, plus ColdSlack.
	ColdOverage float64
	ColdSlack   int
	Platform    Platform
	Logger      *slog.Logger
	Now         func() time.Time // a clock that keeps running while the machine is suspended
}

// Features are the parts of a gateway that serve terms which only some sites have.
type Features struct {
	UrgentFirst  bool // urgent statements go first, over all customers
	ExpectedTime bool // databases are chosen by the expected time to their answer
	Evacuation   bool // the operator may have a data centre evacuated
}

// Gateway is one running entry host.
type Gateway struct {
	opt        Options
	log        *slog.Logger
	now        func() time.Time
	platform   Platform
	metrics    *gatewayMetrics
	requestLog *requestLog
	rates      *rates
	cold       *coldLimits
	allotments *allotments
	peers      *peers
	streams    *streams
	takeovers  takeovers
	stalls     stallDetector
	access     string // IP:port of the access listener
	callers    *registry
	memory     *intake.Memory // for callers' messages and session state
	started    time.Time
	drainClock clock

	commitLines sync.Mutex // held while lines about acknowledged commits are written

	config      atomic.Pointer[loadedConfiguration]
	evacuations *evacuations // nil if the site has none
	leaving     atomic.Bool

	listMu     sync.Mutex        // serializes changes of the list of databases; guards unreadable
	unreadable map[string]uint64 // hashes of logged values that cannot be decoded, by name

	announcedState          atomic.Bool   // the host has sent a message with its initial state
	unreadableConfiguration atomic.Uint64 // hash of the last configuration that could not be decoded

	mu              sync.Mutex // guards the fields from services to listed
	services        map[string]*service
	databases       map[string]routes.Database // the store's list, by ID
	entries         map[string]json.RawMessage // the same list, as stored
	storeAnsweredAt map[string]time.Time       // time of the store's last answer, by kind; see recordStoreState
	listed          bool                       // a list of databases has been applied

	eraLearnedAt atomic.Pointer[time.Time] // of the store's present era; nil while none is known
	eraTold      atomic.Uint64             // the newest era of which storeReturned has been told
	listVersion  atomic.Uint64             // version of entries; changed with mu held
	listedAt     atomic.Pointer[time.Time] // the list was the store's at this time or later; nil if it never was read
	relisting    atomic.Bool               // a read of the list for a commit is running, or was until recently
	serviceTotal atomic.Int64              // number of services; changed with mu held

	ctx  context.Context // cancelled when the host stops
	stop context.CancelFunc
	// statements is the context of callers' statements. Drain cancels it before the host
	// stops, so that each statement that is still running is answered.
	statements       context.Context
	cancelStatements context.CancelFunc

	workers  sync.WaitGroup
	listener net.Listener
	servers  []*http.Server
}

// loadedConfiguration is a configuration with its encoded form, which is served
// to other hosts.
type loadedConfiguration struct {
	*routes.Configuration
	raw []byte
}

// New returns a gateway that is not listening yet; Start opens its listeners.
func New(opt Options) *Gateway {
	g := &Gateway{
		opt:             opt,
		log:             opt.Logger.With("host", opt.Name),
		now:             opt.Now,
		services:        map[string]*service{},
		databases:       map[string]routes.Database{},
		entries:         map[string]json.RawMessage{},
		unreadable:      map[string]uint64{},
		storeAnsweredAt: map[string]time.Time{},
		callers:         newRegistry(opt.MaxCallers),
		memory:          intake.NewMemory(opt.CallerMemory),
		streams:         newStreams(),
		drainClock:      clock{time.Now, retry.Wait},
	}
	g.ctx, g.stop = context.WithCancel(context.Background())
	g.statements, g.cancelStatements = context.WithCancel(g.ctx)
	g.started = g.now()
	g.stalls.lastBeat = g.started
	g.rates = &rates{table: share.New(1)}
	g.cold = newColdLimits(opt)
	g.allotments = newAllotments(g)
	g.requestLog = newRequestLog(g.log, g.now)
	g.config.Store(&loadedConfiguration{Configuration: &routes.Configuration{}})
	g.evacuations = newEvacuations(g)
	g.metrics = newMetrics(g)
	g.platform = countedPlatform{opt.Platform, g.metrics}
	if opt.Platform != nil {
		opt.Platform.Eras().OnRise(g.storeReturned)
	}
	return g
}

// Start opens the listeners and starts the workers. After an error, Close closes
// the listeners that are already open.
func (g *Gateway) Start() error {
	var err error
	if g.peers, err = listenPeers(g); err != nil {
		return err
	}
	if err := g.listenAccess(); err != nil {
		return err
	}
	if g.listener, err = net.Listen("tcp", g.opt.Callers); err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	if err := g.serveHTTP(g.opt.Ready, g.platform.ReadyHandler(g.Ready)); err != nil {
		return eris.Wrap(err, "listen for the readiness probe")
	}
	if g.opt.Metrics != "" {
		if err := g.serveHTTP(g.opt.Metrics, g.metrics.handler()); err != nil {
			return eris.Wrap(err, "listen for metrics")
		}
	}
	g.startWorker(g.watchConfiguration)
	g.startWorker(g.watchDatabases)
	if g.evacuations != nil {
		g.startWorker(g.watchEvacuations)
	}
	g.startWorker(g.peers.run)
	g.startWorker(g.tick)
	g.startWorker(g.watchStalls)
	g.startWorker(g.acceptCallers)
	build := buildinfo.Get()
	g.log.Info("Host started.", "part", "host", "callers", g.opt.Callers, "peers", g.opt.Peers, "data_centre", g.opt.DataCentre,
		"release", build.Release, "build_id", build.ID, "revision", build.Revision)
	return nil
}

// listenAccess opens the listener for statements forwarded by other hosts.
func (g *Gateway) listenAccess() error {
	l, err := net.Listen("tcp", g.opt.Access)
	if err != nil {
		return eris.Wrap(err, "listen for statements from other hosts")
	}
	g.access = l.Addr().String()
	g.streams.mesh = peer.New(peer.Config{
		Self:       g.access,
		DataCentre: g.opt.DataCentre,
		BootID:     uuid.NewString(),

		IdleProbeAfter: idleProbeAfter,
		ProbeInterval:  probeInterval,
		Logger:         g.log,
		Metrics:        g.metrics.set,
		OnSession:      g.serveJobs,
		OnPeer: func(info peer.Info, connected bool) {
			if !connected {
				g.streams.closeIdle(info.Address)
			}
		},
	})
	g.startWorker(func() {
		if err := g.streams.mesh.Serve(l); err != nil {
			g.log.Error("Listener for statements from other hosts failed.", "part", "access", "error", err)
		}
	})
	return nil
}

// idleProbeAfter is the time without received bytes after which an idle connection
// to another host is probed. One that carries statements is probed much sooner.
const idleProbeAfter = 3 * time.Second

// probeInterval is the time between checks for connections to be probed.
const probeInterval = 5 * tickEvery

// serveHTTP serves handler on address until the gateway closes.
func (g *Gateway) serveHTTP(address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	g.serveOn(l, handler)
	return nil
}

// Timeouts of the HTTP servers, whose clients are the platform and other hosts.
const (
	httpHeaderTimeout = 2 * time.Second
	httpWriteTimeout  = 20 * time.Second // a configuration of 1 MB over a slow link takes seconds
	httpIdleTimeout   = 30 * time.Second
)

// Bounds of the HTTP servers.
const (
	httpConnections = 64 // that have not sent a complete request
	httpHeaderBytes = 16 << 10
)

func (g *Gateway) serveOn(l net.Listener, handler http.Handler) {
	l = capped.Listen(l, httpConnections)
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: httpHeaderTimeout, WriteTimeout: httpWriteTimeout, IdleTimeout: httpIdleTimeout, MaxHeaderBytes: httpHeaderBytes}
	capped.Serve(srv)
	g.servers = append(g.servers, srv)
	g.startWorker(func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			g.log.Error("HTTP server failed.", "part", "host", "address", l.Addr(), "error", err)
		}
	})
}

// startWorker runs f in a goroutine that g.workers counts.
func (g *Gateway) startWorker(f func()) {
	g.workers.Add(1)
	go func() {
		defer g.workers.Done()
		f()
	}()
}

// Ready reports whether the host should receive callers.
func (g *Gateway) Ready() bool {
	return !g.leaving.Load() && g.synced() && g.peersDiscovered()
}

// peerDiscoveryTimeout is how long a host that has just started waits for the
// messages of hosts that start at the same time; they send within 0.3 s. Without
// the wait a host would consider itself the home host of every service, and
// after a restart of all hosts each of them would fill the databases with
// connections.
const peerDiscoveryTimeout = 400 * time.Millisecond

// peerDiscoveryPoll is the time between checks of whether every serving host has sent
// a message.
const peerDiscoveryPoll = 20 * time.Millisecond

// peersDiscovered reports whether this host knows the serving hosts of its data
// centre, or has waited long enough for their messages.
func (g *Gateway) peersDiscovered() bool {
	return g.now().Sub(g.started) >= peerDiscoveryTimeout || g.peers.seenServingHosts()
}

// waitForPeerDiscovery waits until peersDiscovered holds or the host stops.
func (g *Gateway) waitForPeerDiscovery() {
	for !g.peersDiscovered() && g.ctx.Err() == nil {
		retry.Wait(g.ctx, peerDiscoveryPoll)
	}
}

// initialStateWait is how long a caller that connects to a host that has just started
// waits for the host's configuration. Callers wait 2 s for the answer to their startup
// message.
const initialStateWait = 1500 * time.Millisecond

// waitForInitialState waits until peersDiscovered holds and the host has a
// configuration, without which every route is unknown to it, and the requests to evacuate
// data centres. It reports whether the host has both after at most initialStateWait.
func (g *Gateway) waitForInitialState() bool {
	from := g.now()
	ready := func() bool { return g.config.Load().Version > 0 && g.evacuations.known() }
	for (!g.peersDiscovered() || !ready()) && g.now().Sub(from) < initialStateWait && g.ctx.Err() == nil {
		retry.Wait(g.ctx, peerDiscoveryPoll)
	}
	return ready()
}

// synced reports whether the host has a configuration, a list of databases and, where there
// may be any, the requests to evacuate data centres.
func (g *Gateway) synced() bool {
	return g.config.Load().Version > 0 && g.hasDatabases() && g.evacuations.known()
}

func (g *Gateway) hasDatabases() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.listed
}

// Close stops the gateway. It does not wait for sessions or workers to end.
func (g *Gateway) Close() {
	g.explainAllCommits()
	g.stop()
	if g.listener != nil {
		g.listener.Close()
	}
	for _, s := range g.servers {
		s.Close()
	}
	if g.peers != nil {
		g.peers.close()
	}
	if g.streams.mesh != nil {
		go g.streams.mesh.Close() // blocks until streams with running statements end
	}
	g.callers.closeAll()
}

// service returns the named service, or nil if none of its databases has ever
// been listed.
func (g *Gateway) service(name string) *service {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.services[name]
}

// serviceCount returns the number of services. It takes no lock.
func (g *Gateway) serviceCount() int { return int(g.serviceTotal.Load()) }

// allServices returns every service.
func (g *Gateway) allServices() []*service {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make([]*service, 0, len(g.services))
	for _, s := range g.services {
		all = append(all, s)
	}
	return all
}

// tickEvery is the time between two runs of the services' periodic work. Other
// periodic work has a multiple of it, so that an idle process wakes once for all.
const tickEvery = 100 * time.Millisecond

// ranksEvery is the number of ticks after which the services' home ranks are
// determined even if the serving hosts are the same: a host may be avoided for a
// while.
const ranksEvery = 3

// tick runs the periodic work of all services: samples, expiry and promotions.
func (g *Gateway) tick() {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	var serving []string
	for n := 0; ; n++ {
		select {
		case <-g.ctx.Done():
			return
		case <-ticker.C:
		}
		current := g.peers.servingHosts(g.now())
		updateRanks := n%ranksEvery == 0 || !slices.Equal(serving, current)
		serving = current
		g.reviewCold()
		for _, s := range g.allServices() {
			s.tick(updateRanks)
		}
	}
}

// acceptCallers accepts sessions until the listener closes.
func (g *Gateway) acceptCallers() {
	for {
		conn, err := g.listener.Accept()
		if err != nil {
			if g.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			g.log.Error("Accepting a caller's connection failed.", "part", "session", "error", err)
			time.Sleep(acceptPause)
			continue
		}
		s := newSession(g, nil)
		s.caller = g.platform.Accept(conn, CallerLimits{Hold: s.holdMessage, MessageTimeout: g.opt.MessageTimeout})
		closed, accepted := g.callers.add(s)
		if closed != nil {
			g.metrics.refusedCaller(refusedSlowLogin)
			closed.caller.Close()
		}
		if !accepted {
			g.metrics.refusedCaller(refusedFull)
			s.reject(errkind.New(errkind.ConnectionLimit, "the host has reached its limit of %d sessions", g.opt.MaxCallers))
			continue
		}
		go s.run()
	}
}

// acceptPause keeps the accept loop from spinning while the process is out of
// file descriptors.
const acceptPause = 20 * time.Millisecond
