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
	statusIdle   = 'I' // outside a transaction block
	statusActive = 'T' // in a transaction block
	statusFailed = 'E' // in a transaction block in which a statement failed
)

// session is one connection of a client or a replica.
type session struct {
	server      *Server
	ctx         context.Context
	conn        net.Conn
	backend     *pgproto3.Backend
	pid         uint32
	secret      []byte      // key that a cancel request must contain
	replication bool        // connection of a pulling replica
	silent      atomic.Bool // set by SetSilent: the client gets no more answers

	cancelMu     sync.Mutex // guards cancelQuery
	cancelQuery  context.CancelFunc
	statements   map[string]*prepared
	portals      map[string]*portal
	settings     settings
	status       byte                    // transaction status
	tx           *transaction            // open transaction, nil if there is none
	readOnly     bool                    // the open block was begun as READ ONLY
	pending      pgproto3.BackendMessage // CommandComplete held back until the commit
	reported     position.Position       // last position sent to the client
	skipToSync   bool                    // an extended query failed: ignore messages until Sync
	disconnected bool                    // a fatal error was sent
}

// prepared is a prepared statement created by Parse.
type prepared struct {
	sql  string
	oids []uint32
}

// portal is a statement with bound parameters created by Bind.
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
	c.setConn(conn)
	return c
}

// setConn makes conn the session's transport.
func (c *session) setConn(conn net.Conn) {
	c.conn = conn
	c.backend = pgproto3.NewBackend(conn, conn)
}

// interrupt cancels the running statement, if there is one.
func (c *session) interrupt() {
	c.cancelMu.Lock()
	defer c.cancelMu.Unlock()
	if c.cancelQuery != nil {
		c.cancelQuery()
	}
}

// queryContext returns the context of one statement, which interrupt and
// statement_timeout cancel, and a function to call when the statement has ended.
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

// serve processes messages until the connection ends.
func (c *session) serve() {
	for {
		msg, err := c.receive()
		if err != nil {
			c.handleIdleTimeout(err)
			return
		}
		if err := c.server.waitThawed(c.ctx); err != nil {
			return
		}
		if c.silent.Load() {
			c.discardUntilClosed()
			return
		}
		if _, ok := msg.(*pgproto3.Terminate); ok {
			return
		}
		c.handle(msg)
		if c.disconnected {
			c.closeAfterFatal()
			return
		}
	}
}

// closeAfterFatal flushes the answer after a fatal error, before the connection
// is closed. A silent connection stays open instead.
func (c *session) closeAfterFatal() {
	if c.silent.Load() {
		c.discardUntilClosed()
		return
	}
	_ = c.flush()
}

// receive waits for the next message; inside a transaction it waits at most
// IdleTx.
func (c *session) receive() (pgproto3.FrontendMessage, error) {
	deadline := time.Time{}
	if c.tx != nil {
		deadline = time.Now().Add(c.server.cfg.IdleTx)
	}
	_ = c.conn.SetReadDeadline(deadline)
	return c.backend.Receive()
}

// handleIdleTimeout rolls back a transaction that was idle for longer than IdleTx
// and reports that to the client. It ignores every other receive error.
func (c *session) handleIdleTimeout(err error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.rollback()
	if c.silent.Load() {
		c.discardUntilClosed()
		return
	}
	c.backend.Send(response(fatalError(codeIdleTx, "terminating connection due to idle-in-transaction timeout")))
	_ = c.flush()
}

// discardUntilClosed discards all input without an answer until the server is
// stopped or the client disconnects. It rolls back an open transaction after
// IdleTx.
func (c *session) discardUntilClosed() {
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

// flush sends the buffered messages, unless the connection is silent. It waits
// while the server is frozen.
func (c *session) flush() error {
	if err := c.server.waitThawed(c.ctx); err != nil {
		return err
	}
	if c.silent.Load() {
		return nil
	}
	return c.backend.Flush()
}

// send buffers the CommandComplete that was held back, if any, and then msg.
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

// complete holds back the CommandComplete of a statement until the commit or the
// next message, because the commit of an implicit transaction may still fail.
func (c *session) complete(tag string) {
	c.sendPending()
	c.pending = &pgproto3.CommandComplete{CommandTag: []byte(tag)}
}

// fail sends err to the client and ends the transaction or marks it as failed.
func (c *session) fail(err error) {
	e := toSQLError(err)
	c.failTransaction()
	c.send(response(e))
	c.disconnected = e.fatal
}

// endQueryCycle commits an implicit transaction and sends ReadyForQuery with the
// transaction status.
func (c *session) endQueryCycle() {
	if c.status == statusIdle {
		c.commitImplicit()
	}
	c.send(&pgproto3.ReadyForQuery{TxStatus: c.status})
	_ = c.flush()
}

// commitImplicit commits the implicit transaction of statements outside a
// transaction block, if one is open.
func (c *session) commitImplicit() {
	held := c.pending
	c.pending = nil
	if err := c.commit(); err != nil {
		c.fail(err)
		return
	}
	c.pending = held
}
