package dbserver

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"net"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bronzeloft/bronzeloft/database/groupsql"
)

// replicationParameter marks the connection of a replica that pulls.
const replicationParameter = "replication"

// errStartupOver reports a connection that ends in startup without an error.
var errStartupOver = errors.New("startup over")

// tappedConn shows received bytes to a tap.
type tappedConn struct {
	net.Conn
	tap func([]byte)
}

func (c *tappedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.tap(p[:n])
	}
	return n, err
}

// serveConn runs one connection from startup to its end.
func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer conn.Close()
	c := newSession(ctx, s, conn)
	defer s.forget(c)
	if err := c.startup(); err != nil {
		return
	}
	c.serve()
	c.rollback()
}

// startup performs TLS, login and the first answers.
func (c *session) startup() error {
	msg, err := c.firstMessage()
	if err != nil {
		return err
	}
	c.replication = msg.Parameters[replicationParameter] != ""
	if !sleep(c.ctx, c.server.cfg.ConnectDelay) {
		return c.ctx.Err()
	}
	if err := c.login(); err != nil {
		return c.refuse(err)
	}
	if err := c.server.remember(c); err != nil {
		return c.refuse(err)
	}
	c.greet()
	return c.flush()
}

// firstMessage answers requests for encryption and cancel requests until the
// startup message comes.
func (c *session) firstMessage() (*pgproto3.StartupMessage, error) {
	for {
		msg, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, err
		}
		if err := c.server.waitThawed(c.ctx); err != nil {
			return nil, err
		}
		switch msg := msg.(type) {
		case *pgproto3.StartupMessage:
			return msg, nil
		case *pgproto3.SSLRequest:
			if err := c.encrypt(); err != nil {
				return nil, err
			}
		case *pgproto3.GSSEncRequest:
			if _, err := c.conn.Write([]byte("N")); err != nil {
				return nil, err
			}
		case *pgproto3.CancelRequest:
			c.server.cancel(msg)
			return nil, errStartupOver
		}
	}
}

func (c *session) encrypt() error {
	cfg := c.server.cfg.TLS
	if cfg == nil {
		_, err := c.conn.Write([]byte("N"))
		return err
	}
	if _, err := c.conn.Write([]byte("S")); err != nil {
		return err
	}
	c.use(tls.Server(c.conn, cfg))
	return nil
}

// login asks for the password in clear text.
func (c *session) login() error {
	c.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	if err := c.flush(); err != nil {
		return err
	}
	if err := c.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword); err != nil {
		return err
	}
	msg, err := c.backend.Receive()
	if err != nil {
		return err
	}
	password, ok := msg.(*pgproto3.PasswordMessage)
	if !ok {
		return fatalError(codeProtocol, "expected a password")
	}
	if subtle.ConstantTimeCompare([]byte(password.Password), []byte(c.server.cfg.Password)) != 1 {
		return fatalError(codeBadPassword, "password authentication failed")
	}
	return nil
}

func (c *session) refuse(err error) error {
	var e *sqlError
	if errors.As(err, &e) {
		c.backend.Send(response(e))
		_ = c.flush()
	}
	return err
}

func (c *session) greet() {
	c.heard = c.server.last()
	c.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{
		{"server_version", "17.0"},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"},
		{"TimeZone", "UTC"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
		{groupsql.PositionParameter, c.heard.String()},
	} {
		c.backend.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.secret})
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: statusIdle})
}

// remember registers a session, unless there are too many.
func (s *Server) remember(c *session) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.ctx.Err() != nil {
		return fatalError(codeShutdown, "server is shutting down")
	}
	if !c.replication && s.clients() >= s.cfg.MaxConns {
		return fatalError(codeTooMany, "sorry, too many clients already")
	}
	s.nextPID++
	c.pid = s.nextPID
	c.secret = make([]byte, 4)
	_, _ = rand.Read(c.secret)
	s.sessions[c.pid] = c
	s.peak = max(s.peak, s.clients())
	return nil
}

func (s *Server) forget(c *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, c.pid)
}

// cancel interrupts the running statement of the session that msg names.
func (s *Server) cancel(msg *pgproto3.CancelRequest) {
	s.mu.Lock()
	c := s.sessions[msg.ProcessID]
	s.mu.Unlock()
	if c == nil || subtle.ConstantTimeCompare(c.secret, msg.SecretKey) != 1 {
		return
	}
	c.interrupt()
}

// be32 reads a big-endian number of the wire.
func be32(b []byte) uint32 { return binary.BigEndian.Uint32(b) }
