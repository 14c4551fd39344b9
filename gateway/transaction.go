package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/position"
	"github.com/bronzeloft/bronzeloft/statement"
)

// transaction is a session's open transaction. The database's own is opened
// with the first statement that needs it, so that a caller's pauses before it
// hold no connection.
type transaction struct {
	g        *Gateway
	route    routes.Route
	readOnly bool
	began    time.Time
	runner   runner // nil before the first statement and after a failure
	told     bool   // an answer of the database reached the caller
	wrote    bool
	failed   bool
	rested   time.Time // since when it waits for its caller, by time.Now
}

// defaultIdleTransaction is how long a transaction may rest where the
// configuration does not say.
const defaultIdleTransaction = 10 * time.Second

// begin opens a transaction for the caller.
func (s *session) begin(req statement.Request) statement.Answer {
	op := &operation{Request: req}
	if s.tx != nil {
		return s.failure(op, errkind.New(errkind.OutOfPlace, "a transaction is open"))
	}
	op, err := s.newOperation(req)
	if err != nil {
		return s.failure(&operation{Request: req}, err)
	}
	s.tx = &transaction{
		g: s.g, route: op.route, began: op.arrived, rested: time.Now(),
		readOnly: req.Kind == statement.BeginRead && op.route.Freshness != routes.Current,
	}
	return statement.Answer{State: statement.Open}
}

// idleDeadline is when the transaction has waited too long for its caller.
func (t *transaction) idleDeadline() time.Time {
	if t.runner == nil {
		return time.Time{}
	}
	limit := t.g.config.Load().IdleTransaction
	if limit <= 0 {
		limit = defaultIdleTransaction
	}
	return t.rested.Add(limit)
}

// rest ends the database's part of a transaction whose caller waits too long.
func (t *transaction) rest() {
	t.g.log.Info("Transaction rested too long.", "part", "session", "service", t.route.Service)
	t.fail()
}

// fail rolls the transaction back; the caller can only end it.
func (t *transaction) fail() {
	t.failed = true
	t.drop()
}

// drop rolls the database's transaction back without waiting.
func (t *transaction) drop() {
	if t.runner != nil {
		t.runner.drop()
		t.runner = nil
	}
}

// dropTransaction ends the session's transaction without keeping anything.
func (s *session) dropTransaction() {
	if s.tx == nil {
		return
	}
	s.tx.drop()
	s.tx = nil
}

// inTransaction runs a statement of the session's transaction.
func (s *session) inTransaction(ctx context.Context, op *operation) (statement.Answer, error) {
	t := s.tx
	if t.runner == nil {
		if t.told {
			return s.abort(op, errkind.New(errkind.TransactionAborted, "its connection was lost"))
		}
		t.runner = s.g.runnerFor(op.svc)
	}
	a, err := t.runner.run(ctx, op)
	if lost(err) && !t.told && op.Kind != statement.Commit {
		failed := t.runner
		t.drop()
		t.runner = s.g.fallbackFor(op.svc, failed)
		a, err = t.runner.run(ctx, op)
	}
	if err != nil {
		return s.abort(op, err)
	}
	return s.afterStatement(op, a), nil
}

// abort fails the transaction after a statement that did not succeed. Unless
// its commit was sent, nothing is kept.
func (s *session) abort(op *operation, err error) (statement.Answer, error) {
	t := s.tx
	var known *errkind.Error
	if !errors.As(err, &known) {
		known = errkind.Wrap(errkind.OutcomeUnknown, err, "")
	}
	notRun := known.Kind.Answer().Outcome == errkind.NotRun
	if op.Kind == statement.Commit {
		wrote := t.wrote
		s.dropTransaction()
		if wrote && !notRun {
			return statement.Answer{}, errkind.Wrap(errkind.OutcomeUnknown, known, "commit")
		}
		return statement.Answer{}, errkind.Wrap(errkind.TransactionAborted, known, "commit")
	}
	t.fail()
	if known.Kind == errkind.StatementFailed || notRun && known.Kind != errkind.PrimaryReplaced {
		return statement.Answer{}, known
	}
	return statement.Answer{}, errkind.Wrap(errkind.TransactionAborted, known, "")
}

// afterStatement follows the transaction's state after an answer.
func (s *session) afterStatement(op *operation, a statement.Answer) statement.Answer {
	t := s.tx
	t.told = true
	t.rested = time.Now()
	t.wrote = t.wrote || op.writes()
	a.State = statement.Open
	if op.Kind != statement.Commit {
		return a
	}
	if t.wrote {
		s.own = position.Max(s.own, a.Position)
	}
	s.tx = nil
	a.State = statement.Idle
	return a
}
