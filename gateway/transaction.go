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
	conn     *conn // nil before the first statement and after a failure
	told     bool  // an answer of the database reached the caller
	wrote    bool
	failed   bool
	rested   time.Time // since when it waits for its caller, by time.Now
}

// rollbackTimeout bounds the end of a transaction that its caller gave up.
const rollbackTimeout = 500 * time.Millisecond

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
	if t.conn == nil {
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
	t.g.log.Info("Transaction rested too long.", "part", "session", "database", t.conn.pool.db.ID)
	t.fail()
}

// fail rolls the transaction back; the caller can only end it.
func (t *transaction) fail() {
	t.failed = true
	t.rollback()
}

// rollback ends the database's transaction and gives the connection back,
// without waiting.
func (t *transaction) rollback() {
	c := t.conn
	if c == nil {
		return
	}
	t.conn = nil
	if c.broken {
		c.pool.release(c)
		return
	}
	go func() {
		defer c.pool.release(c)
		answers, err := c.run(t.g.now().Add(rollbackTimeout), own(statement.Rollback))
		if err != nil || last(answers).State != statement.Idle {
			c.broken = true // closing it rolls back
		}
	}()
}

// dropTransaction ends the session's transaction without keeping anything.
func (s *session) dropTransaction() {
	if s.tx == nil {
		return
	}
	s.tx.rollback()
	s.tx = nil
}

// inTransaction runs a statement of the session's transaction.
func (s *session) inTransaction(ctx context.Context, op *operation) (statement.Answer, error) {
	t := s.tx
	var again pause
	for {
		a, err := s.tryInTransaction(ctx, op)
		if err == nil {
			return s.afterStatement(op, a), nil
		}
		if t.conn != nil && (t.conn.broken || errkind.Of(err) == errkind.PrimaryReplaced) {
			t.rollback()
		}
		commits := op.Kind == statement.Commit
		if commits && errkind.Of(err) == errkind.OutcomeUnknown {
			return s.endUnknown(err)
		}
		mayRetry := !t.told && (neverRan(err) || errkind.Of(err) == errkind.OutcomeUnknown) || t.conn != nil && errkind.Of(err) == errkind.DatabaseBusy
		if mayRetry && again.wait(ctx) {
			continue
		}
		return s.abort(op, err)
	}
}

// endUnknown ends a transaction whose commit has no answer. One that only read
// has kept nothing.
func (s *session) endUnknown(err error) (statement.Answer, error) {
	wrote := s.tx.wrote
	s.dropTransaction()
	if !wrote {
		return statement.Answer{}, errkind.Wrap(errkind.TransactionAborted, err, "it only read")
	}
	return statement.Answer{}, err
}

// abort fails the transaction. Its commit was not sent, so nothing is kept.
func (s *session) abort(op *operation, err error) (statement.Answer, error) {
	var known *errkind.Error
	errors.As(err, &known)
	ran := known != nil && (known.Kind == errkind.StatementFailed || known.Kind == errkind.StatementTimeout)
	if op.Kind == statement.Commit {
		s.dropTransaction()
	} else {
		s.tx.fail()
	}
	if ran && op.Kind != statement.Commit {
		return statement.Answer{}, known
	}
	if known != nil && op.Kind != statement.Commit && !ran && known.Kind.Answer().Outcome == errkind.NotRun && known.Kind != errkind.PrimaryReplaced {
		return statement.Answer{}, known
	}
	if ran {
		return statement.Answer{}, errkind.Wrap(errkind.OutcomeUnknown, err, "commit failed")
	}
	return statement.Answer{}, errkind.Wrap(errkind.TransactionAborted, err, "")
}

// afterStatement follows the transaction's state after an answer.
func (s *session) afterStatement(op *operation, a statement.Answer) statement.Answer {
	t := s.tx
	t.told = true
	t.rested = time.Now()
	if op.writes() {
		t.wrote = true
	}
	if op.Kind != statement.Commit {
		a.State = statement.Open
		return a
	}
	if t.wrote {
		s.own = position.Max(s.own, a.Position)
		op.svc.committed(a.Position)
	}
	c := t.conn
	t.conn, s.tx = nil, nil
	if a.State != statement.Idle {
		c.broken = true
	}
	c.pool.release(c)
	a.State = statement.Idle
	return a
}

// tryInTransaction opens the database's transaction where none is open, and
// runs the statement in it.
func (s *session) tryInTransaction(ctx context.Context, op *operation) (statement.Answer, error) {
	t := s.tx
	if t.conn == nil {
		if t.told {
			return statement.Answer{}, errkind.New(errkind.TransactionAborted, "its connection was lost")
		}
		if err := s.open(ctx, op); err != nil {
			return statement.Answer{}, err
		}
	}
	c := t.conn
	op.database = c.pool.db.ID
	before, main := op.bring(c, op.Request)
	main.After = position.Position{}
	end := func(bool) {}
	if op.Kind == statement.Commit && t.wrote {
		end = op.svc.startCommit()
	}
	answers, err := c.run(op.deadline, append(before, main)...)
	end(err == nil && last(answers).Err == nil)
	if err != nil {
		return statement.Answer{}, errkind.Wrap(errkind.OutcomeUnknown, err, "database "+op.database)
	}
	a, err := op.judge(c, answers)
	if err != nil && a.State != statement.Open {
		c.broken = c.broken || a.State != statement.Idle && a.State != statement.Failed
		s.endDatabaseTransaction(a.State)
	}
	return a, err
}

// endDatabaseTransaction lets go of a connection whose transaction has failed
// or is over.
func (s *session) endDatabaseTransaction(state statement.State) {
	t := s.tx
	if state == statement.Idle {
		c := t.conn
		t.conn = nil
		c.pool.release(c)
		return
	}
	t.rollback()
}

// open begins the transaction on a database.
func (s *session) open(ctx context.Context, op *operation) error {
	if s.tx.readOnly {
		return s.openRead(ctx, op)
	}
	c, err := s.primaryConn(ctx, op)
	if err != nil {
		return err
	}
	return s.beginOn(c, op, statement.Request{Statement: statement.Statement{Kind: statement.Begin}}, true)
}

// openRead begins a transaction that only reads, on a database whose log has
// reached the floor.
func (s *session) openRead(ctx context.Context, op *operation) error {
	at, err := op.floorAt(ctx, s.tx.route, s.tx.began)
	if err != nil {
		return err
	}
	op.floor = at
	pools := op.svc.readers(op.customer)
	if len(pools) == 0 {
		return errkind.New(errkind.DatabaseUnavailable, "service %s has no databases", op.route.Service)
	}
	c, err := s.conn(ctx, op, pools[op.tries%len(pools)])
	if err != nil {
		op.tries++
		return err
	}
	return s.beginOn(c, op, statement.Request{Statement: statement.Statement{Kind: statement.BeginRead, After: at}}, false)
}

// beginOn opens the database's transaction on a connection and pins it.
func (s *session) beginOn(c *conn, op *operation, begin statement.Request, proves bool) error {
	before, _ := op.bring(c, statement.Request{})
	asked := s.g.now()
	answers, err := c.run(op.tryDeadline(asked, proofTimeout), append(before, begin)...)
	if err != nil {
		c.pool.release(c)
		return errkind.Wrap(errkind.DatabaseUnavailable, err, "database "+op.database)
	}
	if proves {
		err = op.svc.judgeProof(c, answers, asked)
	} else {
		_, err = op.judgeBegin(c, answers)
	}
	if err != nil {
		c.pool.release(c)
		return err
	}
	s.tx.conn = c
	return nil
}

// judgeBegin reads the answer to a Begin that proves nothing.
func (op *operation) judgeBegin(c *conn, answers []statement.Answer) (statement.Answer, error) {
	for _, a := range answers {
		if a.Err != nil {
			op.learn(c, a.Err)
			if a.Err.Kind != errkind.DatabaseBehind && a.Err.Kind != errkind.DatabaseBusy {
				c.broken = true
			}
			return a, a.Err
		}
	}
	return last(answers), nil
}
