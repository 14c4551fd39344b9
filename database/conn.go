// Package database reaches database servers: connections, pools and the group
// operations on control connections.
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

// userTimeout is how long sent data may stay unacknowledged by the server's
// TCP before the connection counts as broken.
const userTimeout = 5 * time.Second

// ServerClose is how long a server keeps the session of a client that is
// silent: a frozen host's connections are gone after it.
const ServerClose = 15 * time.Second

// serverOptions make the server close the sessions of a silent host.
var serverOptions = fmt.Sprintf("-c idle_session_timeout=%[1]d -c idle_in_transaction_session_timeout=%[1]d", ServerClose.Milliseconds())

// Login is how the proxy logs into databases: credentials of its own, never a
// caller's key.
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
// a time.
type Conn struct {
	ID      string // the database's id
	Address string

	net       net.Conn
	frontend  *pgproto3.Frontend
	key       pgproto3.BackendKeyData
	prepared  map[string]bool
	served    position.Position
	status    byte
	broken    bool
	retired   bool      // usable, but not by others
	idleAt    time.Time // last used by a request
	checkedAt time.Time // last known to answer
}

// Dial connects and logs in. The error is a *ServerError where the server
// refused, and leaves nothing open.
func Dial(ctx context.Context, id, address string, login Login) (*Conn, error) {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "dial %s", id)
	}
	sockopt.SetUserTimeout(nc, userTimeout)
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
		return eris.Wrap(err, "send startup")
	}
	for {
		msg, err := c.frontend.Receive()
		if err != nil {
			return eris.Wrap(err, "read startup answer")
		}
		switch m := msg.(type) {
		case *pgproto3.AuthenticationOk:
		case *pgproto3.AuthenticationCleartextPassword:
			c.frontend.Send(&pgproto3.PasswordMessage{Password: login.Password})
			if err := c.frontend.Flush(); err != nil {
				return eris.Wrap(err, "send password")
			}
		case *pgproto3.BackendKeyData:
			c.key = *m
			c.key.SecretKey = append([]byte(nil), m.SecretKey...)
		case *pgproto3.ParameterStatus:
			c.noteParameter(m)
		case *pgproto3.ErrorResponse:
			return &ServerError{Code: m.Code, Message: m.Message}
		case *pgproto3.ReadyForQuery:
			c.status = m.TxStatus
			return nil
		case *pgproto3.NoticeResponse:
		default:
			return fmt.Errorf("unexpected %T in startup", msg)
		}
	}
}

// Send writes the messages and reports how certain it is that none arrived:
// sent is false only when no byte was written.
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

// Receive returns the next message. It keeps the position and the transaction
// status; the message is valid until the next Receive.
func (c *Conn) Receive() (pgproto3.BackendMessage, error) {
	msg, err := c.frontend.Receive()
	if err != nil {
		c.broken = true
		return nil, err
	}
	switch m := msg.(type) {
	case *pgproto3.ParameterStatus:
		c.noteParameter(m)
	case *pgproto3.ReadyForQuery:
		c.status = m.TxStatus
	}
	return msg, nil
}

func (c *Conn) noteParameter(m *pgproto3.ParameterStatus) {
	if m.Name != groupsql.PositionParameter {
		return
	}
	if p, err := position.Parse(m.Value); err == nil {
		c.served = p
	}
}

// Position is what the connection last reported: the position that the latest
// statement read at, or that its commit wrote.
func (c *Conn) Position() position.Position { return c.served }

// TxStatus is the status of the latest ReadyForQuery: 'I', 'T' or 'E'.
func (c *Conn) TxStatus() byte { return c.status }

// Prepared reports whether the server holds the named statement.
func (c *Conn) Prepared(name string) bool { return c.prepared[name] }

// NotePrepared records that the server confirmed the named statement.
func (c *Conn) NotePrepared(name string) { c.prepared[name] = true }

// SetDeadline bounds reads and writes.
func (c *Conn) SetDeadline(t time.Time) { c.net.SetDeadline(t) }

// MarkBroken makes Put close the connection.
func (c *Conn) MarkBroken() { c.broken = true }

// Retire makes Put close the connection, which may be used until then.
func (c *Conn) Retire() { c.retired = true }

// reusable reports whether the connection's state is known to be clean.
func (c *Conn) reusable() bool {
	return !c.broken && !c.retired && c.status == 'I' && len(c.prepared) <= maxPrepared
}

// Close ends the connection. A server rolls back what was open on it.
func (c *Conn) Close() {
	c.net.SetDeadline(time.Now().Add(100 * time.Millisecond))
	if !c.broken {
		c.Send(&pgproto3.Terminate{})
	}
	c.net.Close()
}

// Cancel asks the server, on a connection of its own, to stop the statement
// that runs on c. It waits until the server has taken the request or ctx ends;
// the server may still act on it later, when c runs another statement.
func (c *Conn) Cancel(ctx context.Context) error {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", c.Address)
	if err != nil {
		return eris.Wrap(err, "dial for cancel")
	}
	defer nc.Close()
	req := pgproto3.CancelRequest{ProcessID: c.key.ProcessID, SecretKey: c.key.SecretKey}
	buf, err := req.Encode(nil)
	if err != nil {
		return eris.Wrap(err, "encode cancel")
	}
	if deadline, ok := ctx.Deadline(); ok {
		nc.SetDeadline(deadline)
	}
	if _, err := nc.Write(buf); err != nil {
		return eris.Wrap(err, "send cancel")
	}
	io.Copy(io.Discard, nc)
	return nil
}

// Stop ends whatever runs on c and waits, until ctx ends, for the server to
// close its side. The connection is broken afterwards.
func (c *Conn) Stop(ctx context.Context) {
	c.broken = true
	if err := c.Cancel(ctx); err != nil {
		return
	}
	deadline, _ := ctx.Deadline()
	c.net.SetDeadline(deadline)
	c.drain()
}

// drain closes the sending side and reads until the server closes its own.
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
