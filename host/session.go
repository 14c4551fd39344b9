package host

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bronzeloft/bronzeloft/database"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/link/caller"
	"github.com/bronzeloft/bronzeloft/position"
)

// idleBeforeLeaving is how long a session must be idle before a leaving host
// ends it during the first half of the grace period.
const idleBeforeLeaving = 500 * time.Millisecond

// errCallerConn marks an error after which the session ends and nothing more can be
// sent to the caller: its connection failed, or part of an answer was already sent.
var errCallerConn = errors.New("host: caller connection failed")

// session is the state of one caller's connection. Goroutines other than the
// session's own use only the atomic fields, those guarded by mu, and host, conn,
// service and relayHost, which do not change.
type session struct {
	host             *Host
	conn             *caller.Conn
	customer         string // empty for a caller without a key
	keyID            string
	service          string
	token            position.Token
	hasToken         bool // the caller sent a session token at startup, possibly an empty one: it uses tokens
	stmts            statements
	tx               *transaction // pinned connection, nil outside a transaction
	busy             atomic.Bool  // a request is being processed
	pinned           atomic.Bool  // tx is set
	relayHost        string       // host that relays the session to this one, empty if none does
	relayHostLeaving atomic.Bool  // relayHost is leaving
	forceEnd         atomic.Bool  // the session must end before its next request outside a transaction

	mu        sync.Mutex // guards all below
	running   *database.Conn
	cancelled bool // a cancel request was sent for running
	idleSince time.Time
}

// run serves requests until the caller or the host ends the session.
func (s *session) run() {
	defer s.end()
	for {
		s.markIdle()
		b, err := s.receive()
		s.busy.Store(true)
		if err == nil {
			err = s.serve(b)
		}
		if err == nil {
			continue
		}
		if s.sendError(err) != nil {
			return
		}
	}
}

func (s *session) markIdle() {
	s.mu.Lock()
	s.idleSince = s.host.now()
	s.mu.Unlock()
	s.busy.Store(false)
}

// receive waits for the caller's next batch. It returns an error for a transaction
// that was idle for too long, and for a session that has to end because this host
// or the one that relays it is leaving.
func (s *session) receive() (*caller.Batch, error) {
	for {
		if s.tx != nil {
			s.conn.SetReadDeadline(s.host.now().Add(s.host.idleInTransaction()))
		} else if s.mustEnd() {
			return nil, errkind.New(errkind.Leaving, "")
		}
		b, err := s.conn.Receive()
		var ne net.Error
		if err == nil || !errors.As(err, &ne) || !ne.Timeout() {
			return b, err
		}
		if s.tx != nil {
			return nil, errkind.New(errkind.IdleTransaction, "idle for %s", s.host.idleInTransaction())
		}
		if s.host.leaving() || s.relayHostLeaving.Load() {
			return nil, errkind.New(errkind.Leaving, "")
		}
		s.conn.SetReadDeadline(time.Time{})
	}
}

// sendError sends err to the caller if it has a kind; any other error means that
// the caller's connection failed. It returns an error when the session must end.
func (s *session) sendError(err error) error {
	var kindErr *errkind.Error
	if errors.Is(err, io.EOF) || errors.Is(err, errCallerConn) || !errors.As(err, &kindErr) {
		return errCallerConn
	}
	s.host.metrics.countRefusal(kindErr.Kind)
	if s.conn.SendError(kindErr, s.txStatus()) != nil {
		return errCallerConn
	}
	if kindErr.Kind.Answer().Fatal {
		s.conn.Linger()
		return errCallerConn
	}
	return nil
}

func (s *session) txStatus() byte {
	if s.tx == nil {
		return 'I'
	}
	return s.tx.conn.TxStatus()
}

func (s *session) end() {
	s.dropTransaction()
	s.conn.Close()
}

// setRunning sets the connection whose statement a cancel request stops, nil for
// none. If a cancel request was sent for the previous connection, that one is
// retired, since the database may apply the cancel late, to a statement of another
// session.
func (s *session) setRunning(c *database.Conn) {
	s.mu.Lock()
	if s.cancelled {
		s.running.Retire()
		s.cancelled = false
	}
	s.running = c
	s.mu.Unlock()
}

// cancel cancels the session's running statement, if any. It holds mu while it
// sends the cancel request, so that setRunning waits until the request is sent.
func (s *session) cancel(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running == nil {
		return
	}
	s.cancelled = true
	if err := s.running.Cancel(ctx); err != nil {
		s.host.log.Warn("Failed to send a cancel request to the database.", "part", "session", "error", err)
	}
}

// mustEnd reports whether the session has to end although its caller keeps
// sending requests.
func (s *session) mustEnd() bool { return s.forceEnd.Load() }

// endIfIdle ends a session because this host, or the one that relays the session,
// is leaving: it interrupts the wait for the next request if the session has been
// idle for idleBeforeLeaving. With force it does so however short the idle time, and
// a busy session ends before its next request. A session with an open transaction
// is not interrupted; if the transaction stays open, the session is closed at the
// end of the grace period.
func (s *session) endIfIdle(now time.Time, force bool) {
	s.forceEnd.Store(force)
	s.mu.Lock()
	idle := now.Sub(s.idleSince)
	s.mu.Unlock()
	if s.busy.Load() || s.pinned.Load() || (!force && idle < idleBeforeLeaving) {
		return
	}
	s.conn.SetReadDeadline(now)
}

// finish sends the rest of an answer, followed by the session token and by
// ReadyForQuery with the given transaction status.
func (s *session) finish(rest []byte, status byte) error {
	var err error
	if token := s.token.Encode(); token != "" {
		rest, err = (&pgproto3.ParameterStatus{Name: caller.TokenParameter, Value: token}).Encode(rest)
		if err != nil {
			return err
		}
	}
	rest, err = (&pgproto3.ReadyForQuery{TxStatus: status}).Encode(rest)
	if err != nil {
		return err
	}
	return s.write(rest)
}

func (s *session) write(buf []byte) error { return s.writeWithDeadline(buf, time.Time{}) }

// writeWithDeadline is write with a deadline; the zero time means none.
func (s *session) writeWithDeadline(buf []byte, deadline time.Time) error {
	if err := s.conn.WriteBy(buf, deadline); err != nil {
		return errors.Join(errCallerConn, err)
	}
	return nil
}

// answerEmpty answers a request without a statement.
func (s *session) answerEmpty(r *request) error {
	var buf []byte
	if r.batch.Simple {
		buf, _ = (&pgproto3.EmptyQueryResponse{}).Encode(buf)
	}
	return s.finish(buf, 'I')
}
