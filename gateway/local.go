package gateway

import (
	"context"
	"strings"
	"time"

	"github.com/bronzeloft/bronzeloft/customer/retry"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/position"
	"github.com/bronzeloft/bronzeloft/statement"
)

// runner runs a session's statements on databases: statements outside of
// transactions, or those of one transaction. The statements of a transaction are run by
// one goroutine at a time; others may run concurrently.
type runner interface {
	// run runs a statement. After an error in a transaction, the transaction is
	// rolled back, unless the statement is a commit and the error reports its
	// outcome as unknown.
	run(ctx context.Context, op *operation) (statement.Answer, error)
	// rollbackAsync rolls back an open transaction without waiting. The runner
	// must not be used afterwards.
	rollbackAsync()
}

// local runs statements on this host's own connections.
type local struct {
	g        *Gateway
	conn     *conn    // holds the open transaction; nil if there is none
	admitted bool     // the open transaction has been counted against the customer's rate
	answered bool     // a statement of the open transaction has succeeded
	wrote    bool     // the open transaction has written
	term     uint64   // that its database leads
	writes   []string // ids of the first maxLoggedWrites writes of the open transaction
}

func newLocal(g *Gateway) *local { return &local{g: g} }

// rollbackTimeout bounds the rollback of a transaction that is abandoned.
const rollbackTimeout = 500 * time.Millisecond

// run implements runner. The customer's rate is enforced here, on the host that
// runs the statements of a whole data centre: when a rate is divided among few
// hosts, each share is large enough to admit one or two statements at a time.
func (l *local) run(ctx context.Context, op *operation) (statement.Answer, error) {
	op.svc.markUsed()
	if !op.inTransaction || !l.admitted {
		if err := l.admit(ctx, op); err != nil {
			return statement.Answer{}, err
		}
	}
	if !op.inTransaction {
		return l.single(ctx, op)
	}
	l.admitted = true
	a, err := l.inTransaction(ctx, op)
	if err != nil {
		l.rollbackAsync()
	}
	return a, err
}

// admit counts an operation against its customer's rate. An urgent one may have to wait for
// its token.
func (l *local) admit(ctx context.Context, op *operation) error {
	if !l.g.opt.Features.UrgentFirst {
		if err := l.g.rates.admit(op.customer, l.g.now()); err != nil {
			return err
		}
		return nil
	}
	wait, err := l.g.rates.admitInOrder(op.customer, op.route.Urgency, op.patience(l.g.now()), l.g.now())
	if err != nil {
		return err
	}
	if wait <= 0 {
		return nil
	}
	token := time.NewTimer(wait)
	defer token.Stop()
	select {
	case <-token.C:
		return nil
	case <-ctx.Done():
		return errkind.New(errkind.DeadlineNotRun, "while waiting for the rate of customer %s", op.customer)
	}
}

// ratePatience is the part of its objective, from its arrival, within which an operation may
// wait for a token of its customer's rate: the rest is left for running it.
const ratePatience = 0.5

// patience returns how long the operation may still wait for a token.
func (op *operation) patience(now time.Time) time.Duration {
	left := time.Duration(float64(op.route.Objective)*ratePatience) - now.Sub(op.arrived)
	return max(0, min(left, op.deadline.Sub(now)))
}

// rollbackAsync implements runner.
func (l *local) rollbackAsync() {
	c := l.conn
	if c == nil {
		return
	}
	l.conn = nil
	if c.broken {
		c.pool.release(c)
		return
	}
	go func() {
		defer c.pool.release(c)
		// If the rollback fails, the connection is closed, which rolls back as well.
		_, _ = c.run(l.g.now().Add(rollbackTimeout), controlRequest(statement.Rollback))
	}()
}

// inTransaction runs a statement of the transaction. It retries a statement that
// the database was too busy to run. If the transaction is not open on a database and
// no statement of it has succeeded, it also retries a statement that did not run or,
// unless that is a commit, whose outcome is unknown.
func (l *local) inTransaction(ctx context.Context, op *operation) (statement.Answer, error) {
	var backoff retry.Backoff
	for {
		a, err := l.attemptInTransaction(ctx, op)
		if err == nil {
			return l.afterStatement(ctx, op, a)
		}
		if l.conn != nil && (l.conn.broken || errkind.Of(err) == errkind.PrimaryReplaced) {
			l.rollbackAsync()
		}
		if !l.canRetry(op, err) || !backoff.Pause(ctx) {
			return a, err
		}
	}
}

// canRetry reports whether a failed statement of a transaction may be sent again.
func (l *local) canRetry(op *operation, err error) bool {
	kind := errkind.Of(err)
	switch {
	case l.conn != nil:
		return kind == errkind.DatabaseBusy
	case l.answered:
		return false
	case kind == errkind.OutcomeUnknown:
		return op.Kind != statement.Commit // the database rolls back when its connection breaks
	}
	return canResend(err)
}

// afterStatement updates the transaction's state after a successful statement. After
// a commit it releases the connection and waits until the commit may be acknowledged.
func (l *local) afterStatement(ctx context.Context, op *operation, a statement.Answer) (statement.Answer, error) {
	l.answered = true
	if op.writes() {
		l.recordWrite(op.ID)
	}
	if op.Kind != statement.Commit {
		return a, nil
	}
	c, wrote, writes := l.conn, l.wrote, strings.Join(l.writes, " ")
	l.conn, l.admitted, l.answered, l.wrote, l.writes = nil, false, false, false, nil
	c.pool.release(c)
	if wrote {
		confirmed := op.commit(a)
		confirmed.writes = writes
		if err := op.svc.acknowledge(ctx, confirmed); err != nil {
			return statement.Answer{}, err
		}
	}
	return a, nil
}

// maxLoggedWrites bounds the writes of a transaction that its line names.
const maxLoggedWrites = 12

// recordWrite records that the open transaction has written.
func (l *local) recordWrite(id string) {
	l.wrote = true
	if len(l.writes) < maxLoggedWrites {
		l.writes = append(l.writes, id[:min(len(id), maxLoggedName)])
	}
}

// attemptInTransaction opens the transaction on a database if none is open, and
// runs the statement in it once.
func (l *local) attemptInTransaction(ctx context.Context, op *operation) (statement.Answer, error) {
	if l.conn == nil {
		if l.answered {
			return statement.Answer{}, errkind.New(errkind.TransactionAborted, "the connection that held the transaction was lost")
		}
		if err := l.open(ctx, op); err != nil {
			return statement.Answer{}, err
		}
	}
	c := l.conn
	op.database = c.pool.db.ID
	endCommit := func(bool) {}
	if op.Kind == statement.Commit && l.wrote {
		if err := c.readyCommit(ctx, op); err != nil {
			return statement.Answer{}, err
		}
		endCommit = op.svc.startCommit()
		op.sentAfter, op.sentIn = op.svc.reportedBefore(c), l.term
	}
	answers, err := c.runStatement(ctx, op, position.Position{})
	endCommit(err == nil && lastAnswer(answers).Err == nil)
	if err != nil {
		return statement.Answer{}, noAnswerError(err, op.database)
	}
	a, err := op.checkAnswers(c, answers)
	if err != nil && a.State != statement.Open {
		l.endDatabaseTransaction(a.State)
	}
	return a, err
}

// endDatabaseTransaction releases the connection of a transaction that has failed
// or ended on the database.
func (l *local) endDatabaseTransaction(state statement.State) {
	if state != statement.Idle {
		l.rollbackAsync()
		return
	}
	c := l.conn
	l.conn = nil
	c.pool.release(c)
}

// open begins the transaction on a database and pins the connection.
func (l *local) open(ctx context.Context, op *operation) error {
	if op.readOnly {
		return l.openRead(ctx, op)
	}
	c, err := l.primaryConn(ctx, op)
	if err != nil {
		return err
	}
	if l.term, err = op.svc.leaderTerm(c); err != nil {
		c.pool.release(c)
		return err
	}
	return l.beginOn(ctx, c, op, controlRequest(statement.Begin))
}

// openRead begins a read-only transaction on a database whose log has reached
// the floor.
func (l *local) openRead(ctx context.Context, op *operation) error {
	at, err := op.floorAt(ctx, op.route, op.began)
	if err != nil {
		return err
	}
	op.floor = at
	p := op.svc.readerFor(op, op.attempts)
	if p == nil {
		return op.svc.noReadersError()
	}
	c, err := l.acquire(ctx, op, p)
	if err != nil {
		op.attempts++
		return err
	}
	return l.beginOn(ctx, c, op, statement.Request{Statement: statement.Statement{Kind: statement.BeginRead, After: at}})
}

// beginOn opens the transaction on a connection and pins the connection.
func (l *local) beginOn(ctx context.Context, c *conn, op *operation, begin statement.Request) error {
	err := op.admitCold(ctx, c, beginAndStatement)
	op.elsewhere = false // its later statements need this database
	if err != nil {
		c.pool.release(c)
		return err
	}
	before, _ := op.restoreSession(c, statement.Request{})
	sentAt := l.g.now()
	answers, err := c.run(op.stepDeadline(sentAt, verifyTimeout), append(before, begin)...)
	switch {
	case err != nil:
		err = errkind.Wrap(errkind.DatabaseUnavailable, err, "database "+op.database)
	case begin.Kind == statement.Begin:
		op.svc.chooser.recordRoundTrip(c.pool.db, sentAt)
		err = op.svc.checkPrimaryBegin(c, answers, sentAt)
	default:
		op.svc.chooser.recordRoundTrip(c.pool.db, sentAt)
		err = op.checkReadBegin(c, answers)
	}
	if err != nil {
		c.pool.release(c)
		return err
	}
	l.conn = c
	return nil
}

// checkReadBegin checks the answers to a BeginRead and the statements before it.
// Unlike Begin, its success does not show that the database is the primary.
func (op *operation) checkReadBegin(c *conn, answers []statement.Answer) error {
	for _, a := range answers {
		if a.Err == nil {
			continue
		}
		op.recordRefusal(c, a.Err)
		if a.Err.Kind != errkind.DatabaseBehind && a.Err.Kind != errkind.DatabaseBusy {
			c.broken = true
		}
		return a.Err
	}
	return nil
}
