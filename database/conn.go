// Package database connects to database servers: single connections, pools, and
// the control connections that carry group operations.
package database

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"github.com/bronzeloft/bronzeloft/database/groupsql"
	"github.com/bronzeloft/bronzeloft/internal/sockopt"
	"github.com/bronzeloft/bronzeloft/position"
)

// maxPrepared bounds the prepared statements of one connection. A connection
// that holds more is closed instead of going back to its pool.
const maxPrepared = 512

// tcpUserTimeout is how long sent data may stay unacknowledged by the server's
// TCP stack before the connection is considered broken.
const tcpUserTimeout = 5 * time.Second

// ServerIdleTimeout is the idle time after which a server closes a session, so that
// a frozen host does not hold connections.
const ServerIdleTimeout = 15 * time.Second

// serverOptions are the startup options that set ServerIdleTimeout on the server,
// for sessions inside and outside a transaction.
var serverOptions = fmt.Sprintf("-c idle_session_timeout=%[1]d -c idle_in_transaction_session_timeout=%[1]d", ServerIdleTimeout.Milliseconds())

// Login holds the proxy's own credentials for databases. A caller's key is never
// used to log in.
type Login struct {
	User     string
	Password string
	Database string
}

// ServerError is an error that the database itself reported.
type ServerError struct {
	Code    string // SQLSTATE
	Message string
}

// Error implements error.
func (e *ServerError) Error() string { return e.Code + ": " + e.Message }

// Conn is one connection to a database server. It is used by one goroutine at
// a time; only Cancel may be called at the same time from another one.
type Conn struct {
	ID      string // the database's id
	Address string // IP:port

	net          net.Conn
	frontend     *pgproto3.Frontend
	key          pgproto3.BackendKeyData // for Cancel
	prepared     map[string]bool
	lastPosition position.Position
	status       byte      // see TxStatus
	broken       bool      // not usable any more
	retired      bool      // usable by its present holder, closed by Put
	idleAt       time.Time // when a request last returned it
	checkedAt    time.Time // last use or probe
}

// Dial connects and logs in, both before ctx ends. The error is a *ServerError if
// the server refused the login. On error the connection is closed.
func Dial(ctx context.Context, id, address string, login Login) (*Conn, error) {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "dial database %s", id)
	}
	sockopt.SetUserTimeout(nc, tcpUserTimeout)
	c := &Conn{
		ID:       id,
		Address:  address,
		net:      nc,
		frontend: pgproto3.NewFrontend(nc, nc),
		prepared: map[string]bool{},
		status:   'I',
	}
	stop := context.AfterFunc(ctx, func() { nc.SetDeadline(time.Unix(1, 0)) })
	err = c.login(login)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		nc.Close()
		return nil, err
	}
	return c, nil
}

func (c *Conn) login(login Login) error {
	c.frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{
			"user":             login.User,
			"database":         login.Database,
			"application_name": "bronzeloft",
			"options":          serverOptions,
		},
	})
	if err := c.frontend.Flush(); err != nil {
		return eris.Wrap(err, "send startup message")
	}
	for {
		msg, err := c.frontend.Receive()
		if err != nil {
			return eris.Wrap(err, "read startup response")
		}
		switch m := msg.(type) {
		case *pgproto3.AuthenticationOk:
		case *pgproto3.AuthenticationCleartextPassword:
			c.frontend.Send(&pgproto3.PasswordMessage{Password: login.Password})
			if err := c.frontend.Flush(); err != nil {
				return eris.Wrap(err, "send password message")
			}
		case *pgproto3.BackendKeyData:
			c.key = *m
			c.key.SecretKey = append([]byte(nil), m.SecretKey...)
		case *pgproto3.ParameterStatus:
			c.recordParameter(m)
		case *pgproto3.ErrorResponse:
			return &ServerError{Code: m.Code, Message: m.Message}
		case *pgproto3.ReadyForQuery:
			c.status = m.TxStatus
			return nil
		case *pgproto3.NoticeResponse:
		default:
			return fmt.Errorf("unexpected message %T during startup", msg)
		}
	}
}

// Send writes the messages. sent is false only if no byte was written, so that
// the server cannot have received any of them.
func (c *Conn) Send(msgs ...pgproto3.FrontendMessage) (sent bool, err error) {
	if c.broken {
		return false, net.ErrClosed
	}
	var buf []byte
	for _, m := range msgs {
		buf, err = m.Encode(buf)
		if err != nil {
			return false, eris.Wrap(err, "encode")
		}
	}
	n, err := c.net.Write(buf)
	if err != nil {
		c.broken = true
	}
	return n > 0, err
}

// Receive returns the next message and records the position and the transaction
// status that it carries. The message is valid until the next Receive.
func (c *Conn) Receive() (pgproto3.BackendMessage, error) {
	msg, err := c.frontend.Receive()
	if err != nil {
		c.broken = true
		return nil, err
	}
	switch m := msg.(type) {
	case *pgproto3.ParameterStatus:
		c.recordParameter(m)
	case *pgproto3.ReadyForQuery:
		c.status = m.TxStatus
	}
	return msg, nil
}

func (c *Conn) recordParameter(m *pgproto3.ParameterStatus) {
	if m.Name != groupsql.PositionParameter {
		return
	}
	if p, err := position.Parse(m.Value); err == nil {
		c.lastPosition = p
	}
}

// Position returns the log position that the server last reported on the
// connection: the one at which the latest statement read, or that of its commit. It
// is zero if none was reported.
func (c *Conn) Position() position.Position { return c.lastPosition }

// TxStatus returns the status of the latest ReadyForQuery: 'I' for no transaction,
// 'T' for an open one and 'E' for a failed one.
func (c *Conn) TxStatus() byte { return c.status }

// Prepared reports whether the named statement is prepared on the server.
func (c *Conn) Prepared(name string) bool { return c.prepared[name] }

// MarkPrepared records that the server has prepared the named statement.
func (c *Conn) MarkPrepared(name string) { c.prepared[name] = true }

// SetDeadline sets the time at which reads and writes fail; zero means never.
func (c *Conn) SetDeadline(t time.Time) { c.net.SetDeadline(t) }

// MarkBroken makes Send fail and Put close the connection.
func (c *Conn) MarkBroken() { c.broken = true }

// Retire makes Put close the connection; it stays usable until then.
func (c *Conn) Retire() { c.retired = true }

// reusable reports whether the connection's state is known to be clean.
func (c *Conn) reusable() bool {
	return !c.broken && !c.retired && c.status == 'I' && len(c.prepared) <= maxPrepared
}

// Close closes the connection; the server rolls back its open transaction.
func (c *Conn) Close() {
	c.net.SetDeadline(time.Now().Add(100 * time.Millisecond))
	if !c.broken {
		c.Send(&pgproto3.Terminate{})
	}
	c.net.Close()
}

// Cancel sends a cancel request for the statement that runs on c, on a separate
// connection. It waits until the server has received the request, but not beyond
// the deadline of ctx. The server may still process the request later, when c runs
// another statement.
func (c *Conn) Cancel(ctx context.Context) error {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", c.Address)
	if err != nil {
		return eris.Wrap(err, "dial for cancel request")
	}
	defer nc.Close()
	req := pgproto3.CancelRequest{ProcessID: c.key.ProcessID, SecretKey: c.key.SecretKey}
	buf, err := req.Encode(nil)
	if err != nil {
		return eris.Wrap(err, "encode cancel request")
	}
	if deadline, ok := ctx.Deadline(); ok {
		nc.SetDeadline(deadline)
	}
	if _, err := nc.Write(buf); err != nil {
		return eris.Wrap(err, "send cancel request")
	}
	io.Copy(io.Discard, nc)
	return nil
}

// Stop cancels the statement that runs on c and waits for the server to close its
// side, but not beyond the deadline of ctx, which must have one. It does not wait if
// the cancel request cannot be sent. The connection is unusable afterwards; the
// caller still has to close it.
func (c *Conn) Stop(ctx context.Context) {
	c.broken = true
	if err := c.Cancel(ctx); err != nil {
		return
	}
	deadline, _ := ctx.Deadline()
	c.net.SetDeadline(deadline)
	c.drain()
}

// drain closes the sending side and reads until the server closes its side.
func (c *Conn) drain() {
	if tc, ok := c.net.(*net.TCPConn); ok {
		tc.CloseWrite()
	}
	for {
		if _, err := c.frontend.Receive(); err != nil {
			return
		}
	}
}
