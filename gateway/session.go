package gateway

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/database/sessionstate"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/position"
	"github.com/bronzeloft/bronzeloft/statement"
)

// Timing of sessions.
const (
	// startupTimeout bounds how long a caller may take to send its startup message;
	// callers themselves wait 2 s for the answer.
	startupTimeout = 5 * time.Second
	// defaultStatementTimeout applies to routes without a timeout.
	defaultStatementTimeout = 2 * time.Second
)

// session is one caller's connection. Its fields are used by the session's own
// goroutine only, except for the caller's read deadline, stage and wakePending, which
// drain sets.
type session struct {
	g           *Gateway
	caller      Caller
	routeName   string // name of its route: the database name that the caller connects to
	key         string
	customer    string // holder of the key; may be empty on an open route
	state       sessionstate.Session
	lastCommits map[string]position.Position // of the session's last commit, by service: its route may move to another one
	tx          *transaction
	stage       atomic.Int32 // a drainStage
	wakePending atomic.Bool  // drain was called and receive has not noticed it yet
}

func newSession(g *Gateway, caller Caller) *session { return &session{g: g, caller: caller} }

// run serves the session until the caller or the host ends it.
func (s *session) run() {
	defer s.end()
	if !s.g.waitForInitialState() {
		s.reject(errkind.New(errkind.DatabaseUnavailable, "the host has just started and has no configuration yet, retry after %d ms", noPrimaryRetryAfter.Milliseconds()))
		return
	}
	s.caller.SetReadDeadline(time.Now().Add(startupTimeout))
	if err := s.login(); err != nil {
		s.reject(err)
		return
	}
	for {
		req, err := s.receive()
		if err != nil {
			s.rejectMalformed(err)
			return
		}
		a := s.serve(req)
		if err := s.caller.Answer(a); err != nil {
			return
		}
		if a.Err != nil && a.Err.Kind.Answer().Fatal {
			return
		}
	}
}

func (s *session) end() {
	s.discardTransaction()
	s.caller.Close()
	s.g.callers.remove(s)
}

// login reads the caller's startup message and accepts it if its route and key
// are valid.
func (s *session) login() error {
	var err error
	if s.routeName, s.key, err = s.caller.Startup(); err != nil {
		return err
	}
	if _, err := s.route(); err != nil {
		return err
	}
	return s.caller.Welcome()
}

// route returns the route of the session's next statement: that of the open
// transaction, to which a change of the route does not apply, or the one in the current
// configuration. It updates the session's customer from its key, which must be valid now
// in any case. It fails if the route does not exist, or if no customer holds the key and
// the route is not open.
func (s *session) route() (routes.Route, error) {
	config := s.g.config.Load()
	route, ok := config.Routes[s.routeName]
	switch {
	case s.tx != nil:
		route = s.tx.route
	case !ok:
		return route, errkind.New(errkind.UnknownDatabase, "no such route in configuration version %d", config.Version)
	}
	holder, ok := config.Holder(s.key)
	if !ok && !route.Open {
		kind := errkind.BadKey
		if s.customer != "" {
			kind = errkind.KeyWithdrawn
		}
		return route, errkind.New(kind, "no customer has the key in configuration version %d", config.Version)
	}
	s.customer = holder
	return route, nil
}

// reject closes the session. It sends the error to the caller only if it is an
// errkind.Error, since other errors come from the caller's connection.
func (s *session) reject(err error) {
	var kindErr *errkind.Error
	if errors.As(err, &kindErr) {
		s.g.requestLog.failed(s, &operation{}, kindErr)
		if err := s.caller.Reject(kindErr); err != nil {
			s.g.log.Debug("Sending an error to the caller failed.", "part", "session", "error", err)
		}
	}
	s.caller.Close()
	s.g.callers.remove(s)
}

// rejectMalformed answers a request that cannot be parsed and closes the session;
// other errors of receive mean that the session has ended.
func (s *session) rejectMalformed(err error) {
	var kindErr *errkind.Error
	if errors.As(err, &kindErr) {
		s.reject(err)
	}
}

// receive waits for the next request. It returns net.ErrClosed once the session is to
// be closed. What the session has to do before it waits follows from its state alone,
// so a call of drain has the same effect at any time.
func (s *session) receive() (statement.Request, error) {
	for {
		s.expireTransaction()
		if s.mayClose() && !s.caller.Buffered() {
			return statement.Request{}, net.ErrClosed
		}
		s.caller.SetReadDeadline(s.readDeadline())
		if s.wakePending.Swap(false) {
			continue // drain was called before the deadline was set
		}
		req, err := s.caller.Receive()
		var ne net.Error
		if err == nil || !errors.As(err, &ne) || !ne.Timeout() {
			return req, err
		}
	}
}

// mayClose reports whether the host lets the session end now if no request has
// arrived: with drainIdle, outside of a transaction; with drainAll, at any time.
func (s *session) mayClose() bool {
	stage := s.drainStage()
	return stage == drainAll || stage != serving && s.tx == nil
}

func (s *session) drainStage() drainStage { return drainStage(s.stage.Load()) }

// partialRequestWait is how long a session that is to be closed waits for the rest of
// a request.
const partialRequestWait = 50 * time.Millisecond

// readDeadline returns when receive has to act although no request has arrived, or
// the zero time for never.
func (s *session) readDeadline() time.Time {
	if s.mayClose() {
		return time.Now().Add(partialRequestWait)
	}
	if s.tx == nil {
		return time.Time{}
	}
	return s.tx.idleDeadline()
}

// expireTransaction rolls back a transaction that has been idle for too long, or that
// is still open when a draining host ends transactions.
func (s *session) expireTransaction() {
	if s.tx == nil || s.tx.failed {
		return
	}
	idle := s.tx.idleDeadline()
	if s.drainStage() >= drainTransactions || !idle.IsZero() && !time.Now().Before(idle) {
		s.tx.expire()
	}
}

// drain moves the session on to a stage; an earlier one has no effect.
func (s *session) drain(to drainStage) {
	if before := s.stage.Load(); before >= int32(to) || !s.stage.CompareAndSwap(before, int32(to)) {
		return
	}
	s.wakePending.Store(true)
	s.caller.SetReadDeadline(time.Now())
}

// serve answers one request.
func (s *session) serve(req statement.Request) statement.Answer {
	if a, ok := s.serveLocally(req); ok {
		return a
	}
	if s.g.statements.Err() != nil {
		return s.failure(&operation{Request: req}, errkind.New(errkind.Leaving, "the grace period is over"))
	}
	op, err := s.newOperation(req)
	if err != nil {
		if s.tx != nil {
			s.tx.fail()
		}
		return s.failure(&operation{Request: req}, err)
	}
	ctx, cancel := context.WithTimeout(s.g.statements, op.deadline.Sub(op.arrived))
	defer cancel()
	var a statement.Answer
	if s.tx != nil {
		a, err = s.inTransaction(ctx, op)
	} else {
		a, err = s.single(ctx, op)
	}
	if err != nil {
		return s.failure(op, err)
	}
	s.g.requestLog.served(s, op, a)
	return a
}

// single runs a statement outside of a transaction on the service's home host,
// or on the next host in rank if the home host does not answer.
func (s *session) single(ctx context.Context, op *operation) (statement.Answer, error) {
	home := s.g.runnerFor(op.svc)
	if op.writes() {
		return s.singleWrite(ctx, op, home)
	}
	if _, isLocal := home.(*local); isLocal {
		return home.run(ctx, op)
	}
	return s.singleRead(ctx, op, home)
}

// singleWrite runs a write on the home host. It runs it on the next host only if the
// home host could not be reached, so that the write certainly did not run.
func (s *session) singleWrite(ctx context.Context, op *operation, home runner) (statement.Answer, error) {
	a, err := home.run(ctx, op)
	if isHomeUnavailable(err) && canResend(err) {
		a, err = s.g.fallbackFor(op.svc, home).run(ctx, op)
	}
	if err == nil {
		s.recordCommit(op.route.Service, a.Position)
	}
	return a, err
}

func (s *session) recordCommit(service string, at position.Position) {
	if s.lastCommits == nil {
		s.lastCommits = map[string]position.Position{}
	}
	s.lastCommits[service] = position.Max(s.lastCommits[service], at)
}

const (
	// homeHedgeAfter is the fraction of the latency objective after which a read
	// that a silent home host has not answered is also run on the next host.
	homeHedgeAfter = 0.75
	// homeRecheckInterval is the time between checks whether the home host is
	// silent.
	homeRecheckInterval = 100 * time.Millisecond
)

// singleRead runs a read on the home host, and on the next host too if the home
// host is unavailable, or late and silent.
func (s *session) singleRead(ctx context.Context, op *operation, home runner) (statement.Answer, error) {
	type outcome struct {
		op  operation
		a   statement.Answer
		err error
	}
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan outcome, 2)
	running, secondStarted := 0, false
	// As in hedgedRead, every run must end before the caller is answered.
	defer func() {
		cancel()
		for ; running > 0; running-- {
			<-results
		}
	}()
	start := func(r runner) {
		running++
		copied := *op
		go func() {
			a, err := r.run(ctx, &copied)
			results <- outcome{copied, a, err}
		}()
	}
	start(home)
	hedgeTimer := time.NewTimer(time.Duration(float64(op.route.Objective) * homeHedgeAfter))
	defer hedgeTimer.Stop()
	for {
		select {
		case got := <-results:
			running--
			if got.err != nil && isHomeUnavailable(got.err) && !secondStarted {
				secondStarted = true
				start(s.g.fallbackFor(op.svc, home))
				continue
			}
			if got.err == nil || running == 0 {
				op.database, op.attempts, op.floor = got.op.database, got.op.attempts, got.op.floor
				return got.a, got.err
			}
		case <-hedgeTimer.C:
			if secondStarted {
				continue
			}
			if !s.g.peers.homeSilent(home) {
				hedgeTimer.Reset(homeRecheckInterval) // the home host is alive and hedges the read itself
				continue
			}
			secondStarted = true
			start(s.g.fallbackFor(op.svc, home))
		}
	}
}

// failure logs a statement that did not succeed and returns its answer.
func (s *session) failure(op *operation, err error) statement.Answer {
	var kindErr *errkind.Error
	if !errors.As(err, &kindErr) {
		kindErr = errkind.Wrap(errkind.Internal, err, "")
	}
	s.g.requestLog.failed(s, op, kindErr)
	return statement.Answer{Err: kindErr, State: s.txState()}
}

func (s *session) txState() statement.State {
	switch {
	case s.tx == nil:
		return statement.Idle
	case s.tx.failed:
		return statement.Failed
	}
	return statement.Open
}

// serveLocally answers the statements that need no database. It returns false for
// all others.
func (s *session) serveLocally(req statement.Request) (statement.Answer, bool) {
	if s.tx != nil && s.tx.failed {
		return s.serveFailed(req), true
	}
	var err *errkind.Error
	switch req.Kind {
	case statement.Set:
		if !s.state.Set(req.Name, req.Args) {
			err = errkind.New(errkind.TooLarge, "a session may hold at most %d values", sessionstate.MaxValues)
		}
	case statement.Prepare:
		if !s.state.Prepare(req.Name, sessionstate.Form{Writes: req.Writes, Shape: req.Shape}) {
			err = errkind.New(errkind.TooLarge, "a session may hold at most %d prepared statements", sessionstate.MaxPrepared)
		}
	case statement.Deallocate:
		s.state.Deallocate(req.Name)
	case statement.Execute:
		if _, ok := s.state.Prepared[req.Name]; ok {
			return statement.Answer{}, false
		}
		err = errkind.New(errkind.UnknownStatement, "prepared statement %q", req.Name)
	case statement.Begin, statement.BeginRead:
		return s.begin(req), true
	case statement.Rollback:
		s.discardTransaction()
	case statement.Read, statement.Write:
		return statement.Answer{}, false
	case statement.Commit:
		if s.tx != nil {
			return statement.Answer{}, false
		}
		err = errkind.New(errkind.OutOfPlace, "no transaction is open")
	default:
		err = errkind.New(errkind.Protocol, "unknown statement")
	}
	if err != nil {
		return s.failure(&operation{Request: req}, err), true
	}
	return statement.Answer{State: s.txState()}, true
}

// serveFailed answers statements in a failed transaction, which the caller can
// only end.
func (s *session) serveFailed(req statement.Request) statement.Answer {
	expired := s.tx.expired
	s.tx.expired = false
	switch req.Kind {
	case statement.Rollback:
		s.discardTransaction()
		return statement.Answer{}
	case statement.Commit:
		s.discardTransaction()
		return s.failure(&operation{Request: req}, errkind.New(errkind.TransactionAborted, "an earlier statement failed"))
	}
	if expired {
		return s.failure(&operation{Request: req}, errkind.New(errkind.TransactionAborted, "the transaction was idle for too long, or the host is shutting down"))
	}
	return s.failure(&operation{Request: req}, errkind.New(errkind.OutOfPlace, "the transaction has failed and accepts only rollback and commit"))
}
