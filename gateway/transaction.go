package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/statement"
)

// transaction is a session's open transaction. The corresponding transaction on
// the database is opened by the first statement that needs it, so that no
// connection is held while the caller is idle before that.
type transaction struct {
	g         *Gateway
	route     routes.Route
	readOnly  bool // begun by BeginRead; false on a route with routes.Current, whose reads need the primary
	began     time.Time
	runner    runner // nil before the first statement and after a failure
	answered  bool   // a statement of the transaction has succeeded
	wrote     bool
	failed    bool
	expired   bool      // it has failed without an answer to its caller that says so
	idleSince time.Time // since when it waits for its caller, by the wall clock (time.Now)
}

// defaultIdleTransactionTimeout is how long a transaction may be idle if the
// configuration sets no limit.
const defaultIdleTransactionTimeout = 10 * time.Second

// begin opens a transaction in the session, without a database connection yet.
func (s *session) begin(req statement.Request) statement.Answer {
	op := &operation{Request: req}
	if s.tx != nil {
		return s.failure(op, errkind.New(errkind.OutOfPlace, "a transaction is already open"))
	}
	op, err := s.newOperation(req)
	if err != nil {
		return s.failure(&operation{Request: req}, err)
	}
	s.tx = &transaction{
		g: s.g, route: op.route, began: op.arrived, idleSince: time.Now(),
		readOnly: req.Kind == statement.BeginRead && op.route.Freshness != routes.Current,
	}
	return statement.Answer{State: statement.Open}
}

// idleDeadline returns when the transaction will have been idle for too long. It
// is zero while the transaction holds no database connection.
func (t *transaction) idleDeadline() time.Time {
	if t.runner == nil {
		return time.Time{}
	}
	limit := t.g.config.Load().IdleTransaction
	if limit <= 0 {
		limit = defaultIdleTransactionTimeout
	}
	return t.idleSince.Add(limit)
}

// expire fails a transaction for which no statement is running.
func (t *transaction) expire() {
	t.expired = true
	t.g.log.Info("Rolling back an idle transaction: its idle limit is reached or the host is draining.", "part", "session", "service", t.route.Service)
	t.fail()
}

// fail rolls back on the database and marks the transaction failed; the caller
// can then only end it.
func (t *transaction) fail() {
	t.failed = true
	t.rollbackAsync()
}

// rollbackAsync rolls back on the database without waiting.
func (t *transaction) rollbackAsync() {
	if t.runner != nil {
		t.runner.rollbackAsync()
		t.runner = nil
	}
}

// discardTransaction rolls back and ends the session's transaction, if any.
func (s *session) discardTransaction() {
	if s.tx == nil {
		return
	}
	s.tx.rollbackAsync()
	s.tx = nil
}

// inTransaction runs a statement of the session's transaction. If the home host
// does not answer before any statement has succeeded, it runs the statement on
// the next host, unless it is a commit.
func (s *session) inTransaction(ctx context.Context, op *operation) (statement.Answer, error) {
	t := s.tx
	if t.runner == nil {
		if t.answered {
			return s.abort(op, errkind.New(errkind.TransactionAborted, "the connection that held the transaction was lost"))
		}
		t.runner = s.g.runnerFor(op.svc)
	}
	a, err := t.runner.run(ctx, op)
	if isHomeUnavailable(err) && !t.answered && op.Kind != statement.Commit {
		failed := t.runner
		t.rollbackAsync()
		t.runner = s.g.fallbackFor(op.svc, failed)
		a, err = t.runner.run(ctx, op)
	}
	if err != nil {
		return s.abort(op, err)
	}
	return s.afterStatement(op, a), nil
}

// abort fails the transaction after a statement that did not succeed, or ends it if
// the statement was a commit, and returns the error for the caller. The transaction
// is rolled back, unless the commit may have run.
func (s *session) abort(op *operation, err error) (statement.Answer, error) {
	t := s.tx
	var kindErr *errkind.Error
	if !errors.As(err, &kindErr) {
		kindErr = errkind.Wrap(errkind.OutcomeUnknown, err, "")
	}
	notRun := kindErr.Kind.Answer().Outcome == errkind.NotRun
	if op.Kind == statement.Commit {
		wrote := t.wrote
		s.discardTransaction()
		if wrote && !notRun {
			return statement.Answer{}, errkind.Wrap(errkind.OutcomeUnknown, kindErr, "commit")
		}
		return statement.Answer{}, errkind.Wrap(errkind.TransactionAborted, kindErr, "commit")
	}
	t.fail()
	if kindErr.Kind == errkind.StatementFailed || notRun && kindErr.Kind != errkind.PrimaryReplaced {
		return statement.Answer{}, kindErr
	}
	return statement.Answer{}, errkind.Wrap(errkind.TransactionAborted, kindErr, "")
}

// afterStatement updates the transaction's state after a successful statement.
func (s *session) afterStatement(op *operation, a statement.Answer) statement.Answer {
	t := s.tx
	t.answered = true
	t.idleSince = time.Now()
	t.wrote = t.wrote || op.writes()
	a.State = statement.Open
	if op.Kind != statement.Commit {
		return a
	}
	if t.wrote {
		s.recordCommit(t.route.Service, a.Position)
	}
	s.tx = nil
	a.State = statement.Idle
	return a
}
