// Package caller implements the server side of PostgreSQL's wire protocol for
// connections of callers. It reads whole requests and writes answers;
// authentication, admission and routing are done elsewhere.
package caller

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"github.com/bronzeloft/bronzeloft/errkind"
)

// Names of parameters that callers set or receive.
const (
	TokenParameter = "bronzeloft.token" // session token: sent by the caller at startup, reported by ParameterStatus
)

// maxUnauthenticatedBytes is the maximum body size, in bytes, of a message that is
// received before the caller is authenticated.
const maxUnauthenticatedBytes = 4 << 10

// maxStartupMessages is the maximum number of messages of a startup: encryption
// requests and the startup message itself.
const maxStartupMessages = 3

// lingerTimeout is the maximum wait for the caller to close its side after the
// last answer.
const lingerTimeout = 500 * time.Millisecond

// writeTimeout is the time after which a blocked write to a caller that does not
// read its answers fails.
const writeTimeout = 30 * time.Second

// Attach returns the connection of a caller whose startup another host has
// handled: nc carries the messages that follow the password message.
func Attach(nc net.Conn) *Conn {
	return &Conn{net: nc, in: messageReader{src: nc, max: MaxMessageBytes}}
}

// Relay copies bytes both ways between the caller and stream, through buffers
// of the given size, until either side ends. It closes both.
func (c *Conn) Relay(stream net.Conn, buffer int) {
	c.net.SetDeadline(time.Time{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		io.CopyBuffer(onlyWriter{stream}, onlyReader{c.net}, make([]byte, buffer))
		stream.Close()
	}()
	io.CopyBuffer(onlyWriter{c.net}, onlyReader{stream}, make([]byte, buffer))
	c.Linger()
	c.net.Close()
	stream.Close()
	<-done
}

// onlyReader and onlyWriter hide the WriterTo and ReaderFrom methods, with which
// io.CopyBuffer would bypass its buffer.
type (
	onlyReader struct{ io.Reader }
	onlyWriter struct{ io.Writer }
)

// Startup holds the parameters of a caller's startup message. For a cancel
// request only Cancel is set.
type Startup struct {
	User     string
	Database string // equals User when the caller sent none
	Token    string // session token; HasToken tells an empty one from none
	HasToken bool
	Cancel   *pgproto3.CancelRequest
}

// Conn is a caller's connection. At most one goroutine may read and one may
// write at a time.
type Conn struct {
	net       net.Conn
	in        messageReader
	out       []byte
	errorSent bool // the error of the current batch was sent ahead of Sync
}

// Accept reads a caller's startup message or cancel request, over TLS when config
// is set: a startup message without TLS is then refused, a cancel request is not.
// The timeout applies to all reads until FinishStartup. The connection is returned
// with an error too, so that the error can be sent to the caller.
func Accept(nc net.Conn, config *tls.Config, timeout time.Duration) (*Conn, Startup, error) {
	nc.SetDeadline(time.Now().Add(timeout))
	c := &Conn{net: nc, in: messageReader{src: nc, max: maxUnauthenticatedBytes}}
	secure := false
	for range maxStartupMessages {
		msg, err := c.in.nextStartup()
		if err != nil {
			return c, Startup{}, err
		}
		switch m := msg.(type) {
		case *pgproto3.SSLRequest:
			if err := c.upgrade(config); err != nil {
				return c, Startup{}, err
			}
			secure = config != nil
		case *pgproto3.GSSEncRequest:
			if _, err := c.net.Write([]byte{'N'}); err != nil {
				return c, Startup{}, err
			}
		case *pgproto3.CancelRequest:
			return c, Startup{Cancel: m}, nil
		case *pgproto3.StartupMessage:
			if config != nil && !secure {
				return c, Startup{}, errkind.New(errkind.BadKey, "TLS is required")
			}
			return c, readStartup(m), nil
		}
	}
	return c, Startup{}, errkind.New(errkind.Protocol, "encryption requests without a startup message")
}

func (c *Conn) upgrade(config *tls.Config) error {
	if config == nil {
		_, err := c.net.Write([]byte{'N'})
		return err
	}
	if c.in.buf != nil {
		return errkind.New(errkind.Protocol, "unencrypted data received before the TLS handshake")
	}
	if _, err := c.net.Write([]byte{'S'}); err != nil {
		return err
	}
	tc := tls.Server(c.net, config)
	if err := tc.Handshake(); err != nil {
		return eris.Wrap(err, "TLS handshake")
	}
	c.net = tc
	c.in.src = tc
	return nil
}

func readStartup(m *pgproto3.StartupMessage) Startup {
	s := Startup{User: m.Parameters["user"], Database: m.Parameters["database"]}
	if s.Database == "" {
		s.Database = s.User
	}
	s.Token, s.HasToken = m.Parameters[TokenParameter]
	if !s.HasToken {
		s.Token, s.HasToken = tokenOption(m.Parameters["options"])
	}
	return s
}

// tokenOption finds "-c bronzeloft.token=..." or "--bronzeloft.token=..." in the
// options parameter.
func tokenOption(options string) (string, bool) {
	for _, word := range strings.Fields(options) {
		word = strings.TrimPrefix(strings.TrimPrefix(word, "-c"), "--")
		if value, ok := strings.CutPrefix(word, TokenParameter+"="); ok {
			return value, true
		}
	}
	return "", false
}

// RequestKey requests the caller's key as a cleartext password and returns it.
func (c *Conn) RequestKey() (string, error) {
	if err := c.Send(&pgproto3.AuthenticationCleartextPassword{}); err != nil {
		return "", err
	}
	msg, _, err := c.in.next()
	if err != nil {
		return "", err
	}
	m, ok := msg.(*pgproto3.PasswordMessage)
	if !ok {
		return "", errkind.New(errkind.Protocol, "received %T instead of a password message", msg)
	}
	return m.Password, nil
}

// FinishStartup completes the startup and reports token to the caller, which may now
// send requests. It ends the timeout of Accept and permits messages of up to
// MaxMessageBytes.
func (c *Conn) FinishStartup(pid uint32, secret []byte, token string) error {
	msgs := []pgproto3.BackendMessage{
		&pgproto3.AuthenticationOk{},
		&pgproto3.ParameterStatus{Name: "server_version", Value: "15.0 (bronzeloft)"},
		&pgproto3.ParameterStatus{Name: "server_encoding", Value: "UTF8"},
		&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"},
		&pgproto3.ParameterStatus{Name: "DateStyle", Value: "ISO, MDY"},
		&pgproto3.ParameterStatus{Name: "integer_datetimes", Value: "on"},
		&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"},
		&pgproto3.ParameterStatus{Name: TokenParameter, Value: token},
		&pgproto3.BackendKeyData{ProcessID: pid, SecretKey: secret},
		&pgproto3.ReadyForQuery{TxStatus: 'I'},
	}
	err := c.Send(msgs...)
	c.net.SetDeadline(time.Time{})
	c.in.max = MaxMessageBytes
	return err
}

// Receive returns the caller's next request. The error is io.EOF when the
// caller ended the connection, and an *errkind.Error when it must be sent to the
// caller. A batch that exceeds MaxBatchBytes or MaxBatchMessages, or contains an
// unsupported message, is read up to Sync before its error is returned. After a
// timeout before a request, which is returned unchanged, Receive may be called again.
func (c *Conn) Receive() (*Batch, error) {
	b := &Batch{}
	var batchErr error
	for {
		msg, size, err := c.in.next()
		if err != nil {
			return nil, receiveError(b, err)
		}
		switch m := msg.(type) {
		case *pgproto3.Terminate:
			return nil, io.EOF
		case *pgproto3.Query:
			if len(b.Messages) > 0 {
				return nil, errkind.New(errkind.Protocol, "Query message inside an extended batch")
			}
			b.Simple = true
			b.SQL = m.String
			b.Messages = []pgproto3.FrontendMessage{m}
			return b, nil
		case *pgproto3.Sync:
			if batchErr != nil {
				return nil, batchErr
			}
			return b, b.add(m, size)
		default:
			if batchErr == nil {
				batchErr = b.add(msg, size)
			}
			if _, ok := msg.(*pgproto3.Flush); ok {
				if err := c.sendErrorOnce(batchErr); err != nil {
					return nil, err
				}
			}
		}
	}
}

// sendErrorOnce sends err ahead of Sync, because a caller that sent Flush may
// wait for an answer before it sends more. It sends one error per batch.
func (c *Conn) sendErrorOnce(err error) error {
	if c.errorSent {
		return nil
	}
	c.errorSent = true
	return c.Send(ErrorMessage(err))
}

// ReceiveCopy returns the next message of a COPY: CopyData, CopyDone or
// CopyFail. Other messages, except Sync and Flush, are a protocol error.
func (c *Conn) ReceiveCopy() (pgproto3.FrontendMessage, error) {
	for {
		msg, _, err := c.in.next()
		if err != nil {
			return nil, err
		}
		switch msg.(type) {
		case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
			return msg, nil
		case *pgproto3.Sync, *pgproto3.Flush: // ignored during a COPY
		default:
			return nil, errkind.New(errkind.Protocol, "unexpected message %T during COPY", msg)
		}
	}
}

// receiveError returns the error of Receive for a failed read. A timeout is
// returned unchanged only when no message of the batch was accepted.
func receiveError(b *Batch, err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) {
		return io.EOF
	}
	if len(b.Messages) > 0 {
		return timeoutAsProtocolError(err)
	}
	return err
}

// Send encodes and writes the messages.
func (c *Conn) Send(msgs ...pgproto3.BackendMessage) error {
	var err error
	buf := c.out[:0]
	for _, m := range msgs {
		if buf, err = m.Encode(buf); err != nil {
			return eris.Wrap(err, "encode")
		}
	}
	return c.Write(buf)
}

// Write writes messages that are already encoded.
func (c *Conn) Write(buf []byte) error { return c.WriteBy(buf, time.Time{}) }

// WriteBy is Write with a deadline, for a goroutine that holds resources for
// which others wait. With the zero time only writeTimeout applies.
func (c *Conn) WriteBy(buf []byte, deadline time.Time) error {
	limit := time.Now().Add(writeTimeout)
	if !deadline.IsZero() && deadline.Before(limit) {
		limit = deadline
	}
	c.net.SetWriteDeadline(limit)
	_, err := c.net.Write(buf)
	return err
}

// SendError sends err to the caller, unless it was sent ahead of Sync. If err is not
// fatal, ReadyForQuery with the given transaction status follows.
func (c *Conn) SendError(err error, txStatus byte) error {
	var msgs []pgproto3.BackendMessage
	if !c.errorSent {
		msgs = append(msgs, ErrorMessage(err))
	}
	c.errorSent = false
	if !errkind.Of(err).Answer().Fatal {
		msgs = append(msgs, &pgproto3.ReadyForQuery{TxStatus: txStatus})
	}
	return c.Send(msgs...)
}

// ErrorMessage returns the wire form of err. Detail states the outcome and the
// detail of the error, ConstraintName the name of its kind; the cause is omitted
// because it is meant for logs only.
func ErrorMessage(err error) *pgproto3.ErrorResponse {
	kind := errkind.Of(err)
	a := kind.Answer()
	severity := "ERROR"
	if a.Fatal {
		severity = "FATAL"
	}
	detail := a.Outcome.String()
	var e *errkind.Error
	if errors.As(err, &e) && e.Detail != "" {
		detail += "; " + e.Detail
	}
	return &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                a.SQLState,
		Message:             "bronzeloft: " + a.Message,
		Detail:              detail,
		Hint:                a.Hint,
		ConstraintName:      a.Name,
	}
}

// Linger closes the sending side and discards input until the caller closes its
// side or lingerTimeout passes: closing with unread data would reset the
// connection, and the caller might lose the last answer.
func (c *Conn) Linger() {
	type writeCloser interface{ CloseWrite() error }
	if wc, ok := c.net.(writeCloser); ok {
		wc.CloseWrite()
	}
	c.net.SetReadDeadline(time.Now().Add(lingerTimeout))
	io.Copy(io.Discard, c.net)
}

// SetReadDeadline sets the deadline for receiving the next request.
func (c *Conn) SetReadDeadline(t time.Time) { c.net.SetReadDeadline(t) }

// RemoteAddr returns the caller's address.
func (c *Conn) RemoteAddr() net.Addr { return c.net.RemoteAddr() }

// Close ends the connection.
func (c *Conn) Close() { c.net.Close() }
