// Package platformserver is a stand-in for the platform's object API and its
// list of hosts, for tests and trials. It keeps everything in memory and can be
// disturbed on purpose.
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

// Config is the settings of the stand-in. Zero values take the defaults.
type Config struct {
	Listen     string        // IP:port, default "127.0.0.1:0"
	KeepEvents int           // events kept for watches; older versions are compacted
	MaxWait    time.Duration // longest wait of a watch
	HostsLag   time.Duration // from SetHosts to its showing
	Hosts      []objectapi.HostState
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

// hostList is a list of hosts and when it was set.
type hostList struct {
	at    time.Time
	hosts []objectapi.HostState
}

// Server is a running stand-in. All methods are safe for concurrent use.
type Server struct {
	cfg    Config
	http   *http.Server
	addr   string
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex // guards what follows
	store    *store
	stale    *store // what reads show while answers are stale, else nil
	changed  chan struct{}
	hosts    []hostList // oldest first
	hostsLag time.Duration
	faults   faults
	calls    Calls
}

// Calls counts what was asked of the stand-in, refused calls included.
type Calls struct {
	Reads   int // gets, lists and host lists
	Writes  int
	Watches int
}

// Start runs the stand-in until Close.
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
	s.faults.cut = make(chan struct{})
	s.http = &http.Server{Handler: s.handler()}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

// Addr returns the address that the stand-in listens on.
func (s *Server) Addr() string { return s.addr }

// URL returns the base URL for a client.
func (s *Server) URL() string { return "http://" + s.addr }

// Close stops the stand-in.
func (s *Server) Close() {
	s.cancel()
	_ = s.http.Close()
}

// Calls returns how often it was called.
func (s *Server) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// SetHosts replaces the list of hosts; callers see it after the lag.
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

// visibleHosts returns the newest list that is older than the lag. The caller
// holds mu.
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

// Get reads an object directly, without a call.
func (s *Server) Get(kind, name string) (objectapi.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.get(kind, name)
}

// Put stores a value directly, whatever was there.
func (s *Server) Put(kind, name string, value []byte) (objectapi.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.notify()
	return s.store.put(kind, name, value)
}

// Delete removes an object directly.
func (s *Server) Delete(kind, name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.notify()
	return s.store.delete(kind, name)
}

// Compact drops all events, so that watches of earlier versions fail.
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
