package dbserver

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bronzeloft/bronzeloft/position"
)

// The transaction statuses of ReadyForQuery.
const (
	statusIdle   = 'I'
	statusActive = 'T'
	statusFailed = 'E'
)

// session is one connection.
type session struct {
	server      *Server
	ctx         context.Context
	conn        net.Conn
	backend     *pgproto3.Backend
	pid         uint32
	secret      []byte
	replication bool
	silent      atomic.Bool

	cancelMu     sync.Mutex // guards cancelQuery
	cancelQuery  context.CancelFunc
	statements   map[string]*prepared
	portals      map[string]*portal
	settings     settings
	status       byte                    // transaction status
	tx           *transaction            // open transaction, nil when none has begun
	readOnly     bool                    // the open block was begun as READ ONLY
	pending      pgproto3.BackendMessage // CommandComplete held back until the commit
	heard        position.Position       // last position that the client was told
	skipToSync   bool                    // an extended query failed
	disconnected bool                    // a fatal error was sent
}

// prepared is a statement made by Parse.
type prepared struct {
	sql  string
	oids []uint32
}

// portal is a statement with parameters made by Bind.
type portal struct {
	sql  string
	args []Arg
}

func newSession(ctx context.Context, s *Server, conn net.Conn) *session {
	c := &session{
		server:     s,
		ctx:        ctx,
		statements: map[string]*prepared{},
		portals:    map[string]*portal{},
		settings:   newSettings(),
		status:     statusIdle,
	}
	if s.cfg.Tap != nil {
		conn = &tappedConn{Conn: conn, tap: s.cfg.Tap}
	}
	c.use(conn)
	return c
}

// use makes conn the session's transport.
func (c *session) use(conn net.Conn) {
	c.conn = conn
	c.backend = pgproto3.NewBackend(conn, conn)
}

// interrupt cancels the running statement.
func (c *session) interrupt() {
	c.cancelMu.Lock()
	defer c.cancelMu.Unlock()
	if c.cancelQuery != nil {
		c.cancelQuery()
	}
}

// queryContext returns the context of one statement, which interrupt and
// statement_timeout cancel.
func (c *session) queryContext() (context.Context, func()) {
	ctx, cancel := context.WithCancel(c.ctx)
	if timeout := c.settings.statementTimeout(); timeout > 0 {
		ctx, cancel = context.WithTimeout(c.ctx, timeout)
	}
	c.cancelMu.Lock()
	c.cancelQuery = cancel
	c.cancelMu.Unlock()
	return ctx, func() {
		c.cancelMu.Lock()
		c.cancelQuery = nil
		c.cancelMu.Unlock()
		cancel()
	}
}

// serve handles messages until the connection ends.
func (c *session) serve() {
	for {
		msg, err := c.receive()
		if err != nil {
			c.endIdle(err)
			return
		}
		if err := c.server.waitThawed(c.ctx); err != nil {
			return
		}
		if c.silent.Load() {
			c.fallSilent()
			return
		}
		if _, ok := msg.(*pgproto3.Terminate); ok {
			return
		}
		c.handle(msg)
		if c.disconnected {
			c.leave()
			return
		}
	}
}

// leave ends the connection after a fatal error; a silent one stays open.
func (c *session) leave() {
	if c.silent.Load() {
		c.fallSilent()
		return
	}
	_ = c.flush()
}

// receive waits for the next message, inside a transaction for no longer than
// IdleTx.
func (c *session) receive() (pgproto3.FrontendMessage, error) {
	deadline := time.Time{}
	if c.tx != nil {
		deadline = time.Now().Add(c.server.cfg.IdleTx)
	}
	_ = c.conn.SetReadDeadline(deadline)
	return c.backend.Receive()
}

// endIdle tells the client when its transaction was idle for too long.
func (c *session) endIdle(err error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.rollback()
	if c.silent.Load() {
		c.fallSilent()
		return
	}
	c.backend.Send(response(fatalError(codeIdleTx, "terminating connection due to idle-in-transaction timeout")))
	_ = c.flush()
}

// fallSilent keeps the connection open without an answer until the server
// goes down or the client leaves.
func (c *session) fallSilent() {
	if c.tx != nil && sleep(c.ctx, c.server.cfg.IdleTx) {
		c.rollback()
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	buf := make([]byte, 4096)
	for {
		if _, err := c.conn.Read(buf); err != nil {
			return
		}
	}
}

// flush sends what is buffered, unless the connection is silent.
func (c *session) flush() error {
	if err := c.server.waitThawed(c.ctx); err != nil {
		return err
	}
	if c.silent.Load() {
		return nil
	}
	return c.backend.Flush()
}

// send buffers msg after a held-back CommandComplete.
func (c *session) send(msg pgproto3.BackendMessage) {
	c.sendPending()
	c.backend.Send(msg)
}

func (c *session) sendPending() {
	if c.pending != nil {
		c.backend.Send(c.pending)
		c.pending = nil
	}
}

// complete holds back the CommandComplete of a statement until the commit or
// the next message.
func (c *session) complete(tag string) {
	c.sendPending()
	c.pending = &pgproto3.CommandComplete{CommandTag: []byte(tag)}
}

// fail reports err and ends or marks the transaction.
func (c *session) fail(err error) {
	e := toSQLError(err)
	c.failTransaction()
	c.send(response(e))
	c.disconnected = e.fatal
}

// ready ends a query cycle: it commits an implicit transaction and reports the
// transaction status.
func (c *session) ready() {
	if c.status == statusIdle {
		c.commitImplicit()
	}
	c.send(&pgproto3.ReadyForQuery{TxStatus: c.status})
	_ = c.flush()
}

// commitImplicit commits the transaction of statements outside a block, if one
// is open.
func (c *session) commitImplicit() {
	held := c.pending
	c.pending = nil
	if err := c.commit(); err != nil {
		c.fail(err)
		return
	}
	c.pending = held
}
