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

// replicationParameter is the startup parameter that marks the connection of a
// pulling replica.
const replicationParameter = "replication"

// errCancelOnly ends a connection whose only message was a cancel request.
var errCancelOnly = errors.New("connection was for a cancel request only")

// tappedConn passes all received bytes to tap.
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

// serveConn serves one connection from startup until it is closed.
func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer conn.Close()
	c := newSession(ctx, s, conn)
	defer s.unregister(c)
	if err := c.startup(); err != nil {
		return
	}
	c.serve()
	c.rollback()
}

// startup performs the TLS handshake, the login and the rest of the startup
// sequence.
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
	if err := c.server.register(c); err != nil {
		return c.refuse(err)
	}
	c.completeStartup()
	return c.flush()
}

// firstMessage handles encryption requests until the startup message arrives. It
// executes a cancel request and returns errCancelOnly for it.
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
			return nil, errCancelOnly
		}
	}
}

// encrypt answers a request for TLS. If TLS is configured, the messages that
// follow are encrypted.
func (c *session) encrypt() error {
	cfg := c.server.cfg.TLS
	if cfg == nil {
		_, err := c.conn.Write([]byte("N"))
		return err
	}
	if _, err := c.conn.Write([]byte("S")); err != nil {
		return err
	}
	c.setConn(tls.Server(c.conn, cfg))
	return nil
}

// login requests the password in clear text and checks it.
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
		return fatalError(codeProtocol, "expected a password message")
	}
	if subtle.ConstantTimeCompare([]byte(password.Password), []byte(c.server.cfg.Password)) != 1 {
		return fatalError(codeBadPassword, "password authentication failed")
	}
	return nil
}

// refuse reports err to the client if it is an sqlError, and returns err.
func (c *session) refuse(err error) error {
	var e *sqlError
	if errors.As(err, &e) {
		c.backend.Send(response(e))
		_ = c.flush()
	}
	return err
}

// completeStartup buffers the messages from AuthenticationOk to ReadyForQuery.
func (c *session) completeStartup() {
	c.reported = c.server.last()
	c.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{
		{"server_version", "17.0"},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"},
		{"TimeZone", "UTC"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
		{groupsql.PositionParameter, c.reported.String()},
	} {
		c.backend.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.secret})
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: statusIdle})
}

// register adds a session and assigns its process id and cancel key. It fails if
// the server is shutting down or has too many client connections.
func (s *Server) register(c *session) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.ctx.Err() != nil {
		return fatalError(codeShutdown, "server is shutting down")
	}
	if !c.replication && s.clientCount() >= s.cfg.MaxConns {
		return fatalError(codeTooManyConns, "sorry, too many clients already")
	}
	s.nextPID++
	c.pid = s.nextPID
	c.secret = make([]byte, 4)
	_, _ = rand.Read(c.secret)
	s.sessions[c.pid] = c
	s.peakClients = max(s.peakClients, s.clientCount())
	return nil
}

func (s *Server) unregister(c *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, c.pid)
}

// cancel interrupts the running statement of the session that msg identifies, if
// its cancel key matches.
func (s *Server) cancel(msg *pgproto3.CancelRequest) {
	s.mu.Lock()
	c := s.sessions[msg.ProcessID]
	s.mu.Unlock()
	if c == nil || subtle.ConstantTimeCompare(c.secret, msg.SecretKey) != 1 {
		return
	}
	c.interrupt()
}

// be32 decodes a big-endian 32-bit integer.
func be32(b []byte) uint32 { return binary.BigEndian.Uint32(b) }
