// Package platformserver simulates the platform for tests and trials: its API for
// objects, which package objectapi calls, and its list of hosts. It stores
// everything in memory and supports fault injection.
package platformserver

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bronzeloft/bronzeloft/internal/defaults"
	"github.com/bronzeloft/bronzeloft/objectapi"
)

// Defaults of Config.
const (
	defaultListen     = "127.0.0.1:0"
	defaultKeepEvents = 1000
	defaultMaxWait    = 30 * time.Second
)

// Config contains the settings of the server. Zero values mean the defaults.
type Config struct {
	Listen     string                // IP:port, default "127.0.0.1:0"
	KeepEvents int                   // number of events kept for watches; older ones are discarded
	MaxWait    time.Duration         // maximum wait of a watch
	HostsLag   time.Duration         // delay from SetHosts until clients see the new list
	Hosts      []objectapi.HostState // initial list of hosts
	Logger     *slog.Logger
}

func (c Config) withDefaults() Config {
	defaults.Set(&c.Listen, defaultListen)
	defaults.Set(&c.KeepEvents, defaultKeepEvents)
	defaults.Set(&c.MaxWait, defaultMaxWait)
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	c.Logger = c.Logger.With("part", "standin-platform")
	return c
}

// hostList is a list of hosts and the time at which it was set.
type hostList struct {
	at    time.Time
	hosts []objectapi.HostState
}

// Server is a running server. All methods are safe for concurrent use.
type Server struct {
	cfg    Config
	http   *http.Server
	addr   string
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex // guards the fields below
	store    *store
	era      uint64        // named in all answers unless 0
	copied   *store        // by Copy
	stale    *store        // read by gets and lists while ServeStale is in effect, else nil
	changed  chan struct{} // closed and replaced after every write
	hosts    []hostList    // the list that clients see and those set after it, oldest first
	hostsLag time.Duration
	faults   faults
	calls    Calls
}

// Calls contains the number of API calls received, including failed ones.
type Calls struct {
	Reads   int // gets, lists and lists of hosts
	Writes  int // creates and updates
	Watches int
}

// Start starts a server that runs until Close. It fails if it cannot listen on
// cfg.Listen.
func Start(cfg Config) (*Server, error) {
	cfg = cfg.withDefaults()
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	s := &Server{
		cfg:      cfg,
		addr:     listener.Addr().String(),
		store:    newStore(cfg.KeepEvents),
		changed:  make(chan struct{}),
		hosts:    []hostList{{hosts: slices.Clone(cfg.Hosts)}},
		hostsLag: cfg.HostsLag,
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.faults.goingDown = make(chan struct{})
	s.http = &http.Server{Handler: s.handler()}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.addr }

// URL returns the base URL for a client.
func (s *Server) URL() string { return "http://" + s.addr }

// Close stops the server and closes all connections.
func (s *Server) Close() {
	s.cancel()
	_ = s.http.Close()
}

// Calls returns the number of calls received so far.
func (s *Server) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// SetHosts replaces the list of hosts. Clients see the new list after HostsLag, or
// the lag that SetHostsLag has set.
func (s *Server) SetHosts(hosts []objectapi.HostState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = append(s.hosts, hostList{at: time.Now(), hosts: slices.Clone(hosts)})
}

// SetHostsLag changes the lag of the list of hosts.
func (s *Server) SetHostsLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hostsLag = lag
}

// visibleHosts returns the newest list that was set at least the lag ago, or the
// oldest list kept if there is none. It discards the lists before that one. The
// caller holds mu.
func (s *Server) visibleHosts(now time.Time) []objectapi.HostState {
	newest := 0
	for i, l := range s.hosts {
		if now.Sub(l.at) >= s.hostsLag {
			newest = i
		}
	}
	s.hosts = s.hosts[newest:]
	return append([]objectapi.HostState{}, s.hosts[0].hosts...)
}

// Get reads an object directly, without an API call. It returns
// objectapi.ErrNotFound if there is no such object.
func (s *Server) Get(kind, name string) (objectapi.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.get(kind, name)
}

// Put creates or overwrites an object directly, without an API call. It fails if
// value has more than objectapi.MaxValueBytes.
func (s *Server) Put(kind, name string, value []byte) (objectapi.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.notify()
	return s.store.put(kind, name, value)
}

// Delete removes an object directly, without an API call. It returns
// objectapi.ErrNotFound if there is no such object.
func (s *Server) Delete(kind, name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.notify()
	return s.store.delete(kind, name)
}

// Compact discards all events, so that watches from versions before the last
// event fail with objectapi.ErrCompacted.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.compact(len(s.store.events))
}

// notify wakes all watches. The caller holds mu.
func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
