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

// Config contains the settings of one server. Zero values mean the defaults.
type Config struct {
	ID           string        // name in log messages, and user name for replication
	Listen       string        // IP:port, default "127.0.0.1:0"
	Password     string        // for clients and for replication between the servers of the group
	MaxConns     int           // maximum number of client connections; more are refused with 53300
	Slots        int           // maximum number of concurrent statements; others wait
	ConnectDelay time.Duration // delay between the startup message and the password request
	Lag          time.Duration // delay between a commit on the primary and its application here
	Primary      bool          // start as the primary of Term
	Term         uint64        // initial term, default 1
	FollowAddr   string        // address of the primary that a replica follows initially
	LockTimeout  time.Duration // maximum wait for another transaction to end
	IdleTx       time.Duration // a transaction idle for longer is rolled back
	TLS          *tls.Config   // requests for TLS are refused if nil

	// Tap is called from several goroutines with the bytes of each read from a
	// connection, before decryption. It must not keep the slice.
	Tap    func([]byte)
	Logger *slog.Logger
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
	cfg       Config
	addr      string
	engine    *engine
	slots     chan struct{} // holds one token for each running statement
	faults    faults
	closeOnce sync.Once

	mu          sync.Mutex // guards the fields below
	state       *state
	changed     chan struct{} // closed and replaced at every change of state
	thawed      chan struct{} // closed by Thaw; nil when not frozen
	boot        *boot         // nil while the server is down
	sessions    map[uint32]*session
	nextPID     uint32
	peakClients int                // highest number of simultaneous client sessions
	stopPull    context.CancelFunc // ends the running pull
}

// boot is one run of the server, from its start to Kill.
type boot struct {
	ctx      context.Context
	cancel   context.CancelFunc
	listener net.Listener
	tasks    sync.WaitGroup
}

// Start starts a server that runs until Close. It fails if it cannot listen on
// cfg.Listen.
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
	if err := s.startBoot(); err != nil {
		engine.close()
		return nil, err
	}
	return s, nil
}

// now returns the current Unix time in nanoseconds, as stored in log entries.
func now() int64 { return time.Now().UnixNano() }

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.addr }

// Close stops the server and releases its data. Only Close may be called after it.
func (s *Server) Close() {
	s.Kill()
	s.closeOnce.Do(s.engine.close)
}

// Kill stops the server immediately: connections are closed and running
// transactions are lost. The durable state is kept for Restart. A frozen server
// is thawed.
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

// Restart kills the server if it is running and starts it again at the same
// address with its log and its promised term. A primary restarts as fenced; a
// replica follows no primary until the next follow operation.
func (s *Server) Restart() error {
	s.Kill()
	s.mu.Lock()
	s.state.restart(uuid.NewString())
	s.notify()
	s.mu.Unlock()
	return s.startBoot()
}

func (s *Server) startBoot() error {
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

// update waits while the server is frozen, then calls change with mu held. It
// fails if ctx ends first.
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

// updateData is like update, but change runs with the engine's data locked as
// well.
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

// tryUpdate changes the state. It returns false without a change if the server is
// frozen, and true with an error if ctx has ended. If the change starts a new
// epoch, tryUpdate ends the running pull.
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

// notify wakes all goroutines that wait for a change of state. The caller holds
// mu.
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

// Report returns the state of the server. It works while the server is frozen or
// down as well.
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

// Query reads the committed data directly, without a connection. It works while
// the server is frozen or down as well. NULL is returned as "". A statement that
// writes is refused.
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
		return newError(codeReadOnly, "Server.Query accepts only statements that read")
	}
	return nil
}

// OpenConns returns the number of open client connections after login, without
// those for replication.
func (s *Server) OpenConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clientCount()
}

// PeakConns returns the highest value of OpenConns so far.
func (s *Server) PeakConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peakClients
}

// clientCount returns the number of client sessions, without those for
// replication. The caller holds mu.
func (s *Server) clientCount() int {
	n := 0
	for _, c := range s.sessions {
		if !c.replication {
			n++
		}
	}
	return n
}
