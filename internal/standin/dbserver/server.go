package dbserver

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/bronzeloft/bronzeloft/database/groupsql"
	"github.com/bronzeloft/bronzeloft/internal/defaults"
	"github.com/bronzeloft/bronzeloft/position"
)

// Defaults of Config.
const (
	defaultListen      = "127.0.0.1:0"
	defaultTerm        = 1
	defaultMaxConns    = 100
	defaultSlots       = 64
	defaultLockTimeout = 2 * time.Second
	defaultIdleTx      = 10 * time.Second
)

// Config is the settings of one server. Zero values take the defaults.
type Config struct {
	ID           string
	Listen       string // IP:port, default "127.0.0.1:0"
	Password     string // of clients and of the servers of the group among each other
	MaxConns     int    // client connections; more are refused with 53300
	Slots        int    // statements at once; others wait
	ConnectDelay time.Duration
	Lag          time.Duration // from a commit on the primary to its showing here
	Primary      bool          // starts as the primary of Term
	Term         uint64        // initial term, default 1
	FollowAddr   string        // address of the primary that a replica follows at first
	LockTimeout  time.Duration // wait for another transaction's lock
	IdleTx       time.Duration // a transaction idle for longer is rolled back
	TLS          *tls.Config   // accepts TLS when set
	Tap          func([]byte)  // sees every byte received; called from many goroutines
	Logger       *slog.Logger
}

func (c Config) withDefaults() Config {
	defaults.Set(&c.Listen, defaultListen)
	defaults.Set(&c.Term, defaultTerm)
	defaults.Set(&c.MaxConns, defaultMaxConns)
	defaults.Set(&c.Slots, defaultSlots)
	defaults.Set(&c.LockTimeout, defaultLockTimeout)
	defaults.Set(&c.IdleTx, defaultIdleTx)
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	c.Logger = c.Logger.With("part", "standin-database", "id", c.ID)
	return c
}

// Server is a running server. All methods are safe for concurrent use.
type Server struct {
	cfg    Config
	addr   string
	engine *engine
	slots  chan struct{}
	faults faults
	closed sync.Once

	mu       sync.Mutex // guards what follows
	state    *state
	changed  chan struct{} // closed and replaced with every change of state
	thawed   chan struct{} // closed by Thaw; nil when not frozen
	boot     *boot         // nil while the server is down
	sessions map[uint32]*session
	nextPID  uint32
	peak     int
	stopPull context.CancelFunc // ends the running pull
}

// boot is one run of the server from start to kill.
type boot struct {
	ctx      context.Context
	cancel   context.CancelFunc
	listener net.Listener
	tasks    sync.WaitGroup
}

// Start runs a server until Close.
func Start(cfg Config) (*Server, error) {
	cfg = cfg.withDefaults()
	engine, err := newEngine()
	if err != nil {
		return nil, err
	}
	s := &Server{
		cfg:      cfg,
		addr:     cfg.Listen,
		engine:   engine,
		slots:    make(chan struct{}, cfg.Slots),
		state:    newState(cfg.Primary, cfg.Term, cfg.FollowAddr, uuid.NewString(), now()),
		changed:  make(chan struct{}),
		sessions: map[uint32]*session{},
		stopPull: func() {},
	}
	s.faults.lag = cfg.Lag
	if err := s.up(); err != nil {
		engine.close()
		return nil, err
	}
	return s, nil
}

// now is the time that entries carry, in nanoseconds.
func now() int64 { return time.Now().UnixNano() }

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.addr }

// Close stops the server for good. No other method may follow it.
func (s *Server) Close() {
	s.Kill()
	s.closed.Do(s.engine.close)
}

// Kill stops the server at once: connections close, running transactions are
// lost. What is durable stays for Restart. A frozen server thaws.
func (s *Server) Kill() {
	s.mu.Lock()
	b := s.boot
	if b == nil {
		s.mu.Unlock()
		return
	}
	s.boot = nil
	b.cancel()
	s.mu.Unlock()
	s.Thaw()
	_ = b.listener.Close()
	b.tasks.Wait()
}

// Restart kills the server if it runs and starts it again at the same address
// with its log and promises.
func (s *Server) Restart() error {
	s.Kill()
	s.mu.Lock()
	s.state.restart(uuid.NewString())
	s.notify()
	s.mu.Unlock()
	return s.up()
}

func (s *Server) up() error {
	listener, err := net.Listen("tcp", s.addr)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	b := &boot{listener: listener}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	s.mu.Lock()
	s.addr = listener.Addr().String()
	s.boot = b
	s.mu.Unlock()
	b.tasks.Go(func() { s.accept(b) })
	b.tasks.Go(func() { s.pullLoop(b.ctx) })
	return nil
}

func (s *Server) accept(b *boot) {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.tasks.Go(func() { s.serveConn(b.ctx, conn) })
	}
}

// update changes the state, after waiting while the server is frozen. It fails
// when ctx ends first.
func (s *Server) update(ctx context.Context, change func(*state)) error {
	for {
		if err := s.waitThawed(ctx); err != nil {
			return err
		}
		if done, err := s.tryUpdate(ctx, change); done {
			return err
		}
	}
}

// updateData is update with the engine's data locked as well.
func (s *Server) updateData(ctx context.Context, change func(*state)) error {
	for {
		if err := s.waitThawed(ctx); err != nil {
			return err
		}
		s.engine.lockData()
		done, err := s.tryUpdate(ctx, change)
		s.engine.unlockData()
		if done {
			return err
		}
	}
}

// tryUpdate changes the state unless the server is frozen; then done is false.
func (s *Server) tryUpdate(ctx context.Context, change func(*state)) (done bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return true, err
	}
	if s.thawed != nil {
		return false, nil
	}
	epoch := s.state.epoch
	change(s.state)
	if s.state.epoch != epoch {
		s.stopPull()
	}
	s.notify()
	return true, nil
}

// notify wakes all who wait for a change of state. The caller holds mu.
func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// last returns the position of the last log entry.
func (s *Server) last() position.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.last()
}

// Report returns the server's account of itself, also while it is frozen or
// down.
func (s *Server) Report() groupsql.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.report(true)
}

// Entries returns a copy of the log.
func (s *Server) Entries() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Entry(nil), s.state.log...)
}

// Query reads the committed data directly, without a connection, also while the
// server is frozen or down. NULL reads as "".
func (s *Server) Query(sql string) ([][]string, error) {
	var rows [][]string
	emit := func(values []value) {
		texts := make([]string, len(values))
		for i, v := range values {
			texts[i] = string(v)
		}
		rows = append(rows, texts)
	}
	x := execution{Statement: Statement{SQL: rewrite(sql)}, check: refuseWrite, emit: emit}
	err := s.engine.read(context.Background(), x)
	return rows, err
}

func refuseWrite(d description) error {
	if d.write {
		return newError(codeReadOnly, "cannot write here")
	}
	return nil
}

// OpenConns returns the number of client connections that the server holds.
func (s *Server) OpenConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clients()
}

// PeakConns returns the highest number of client connections so far.
func (s *Server) PeakConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peak
}

// clients counts the sessions of clients. The caller holds mu.
func (s *Server) clients() int {
	n := 0
	for _, c := range s.sessions {
		if !c.replication {
			n++
		}
	}
	return n
}
