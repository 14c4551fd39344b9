package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/customer/retry"
	"github.com/bronzeloft/bronzeloft/database/floor"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/position"
	"github.com/bronzeloft/bronzeloft/statement"
)

// Timing of attempts.
const (
	// avoidBehindFor is how long a replica that is behind the floor ranks behind the
	// other readers: replication delay is in the order of ten milliseconds.
	avoidBehindFor = 60 * time.Millisecond
	// avoidBusyFor is how long an overloaded database ranks behind the other readers.
	avoidBusyFor = 100 * time.Millisecond
	// verifyAfterIdle is the idle time of a connection after which a write on it is
	// preceded by a check that the connection works and its database is still the
	// primary.
	verifyAfterIdle = 150 * time.Millisecond
)

// single runs a statement outside of a transaction on this host's connections.
func (l *local) single(ctx context.Context, op *operation) (statement.Answer, error) {
	switch {
	case op.writes():
		return l.write(ctx, op)
	case op.route.Freshness == routes.Current:
		return l.hedgedRead(ctx, op, l.readCurrent)
	}
	return l.hedgedRead(ctx, op, l.readReplica)
}

// write runs a write on the primary. It retries until ctx ends, but only if canResend
// shows that the write has not run.
func (l *local) write(ctx context.Context, op *operation) (statement.Answer, error) {
	var backoff retry.Backoff
	for {
		a, err := l.writeOnce(ctx, op)
		if err == nil {
			err = op.svc.acknowledge(ctx, op.commit(a))
		}
		if err == nil {
			return a, nil
		}
		if !canResend(err) || !backoff.Pause(ctx) {
			return statement.Answer{}, err
		}
	}
}

// commit describes the commit that an answer to the operation's statement confirms.
func (op *operation) commit(a statement.Answer) commit {
	return commit{primary: op.database, at: a.Position, after: op.sentAfter, term: op.sentIn, id: op.ID}
}

// canResend reports whether a statement that failed with err has certainly not run
// and may be sent to another database or again later. It is false for kinds such as
// NoPrimary and QueueFull: the statement has not run, but is not to be sent again.
func canResend(err error) bool {
	switch errkind.Of(err) {
	case errkind.DatabaseBusy, errkind.PrimaryReplaced, errkind.DatabaseBehind, errkind.DatabaseFull,
		errkind.WrongDatabase, errkind.DatabaseUnavailable, errkind.UnknownStatement:
		return true
	}
	return false
}

// writeOnce sends a write to the primary once.
func (l *local) writeOnce(ctx context.Context, op *operation) (statement.Answer, error) {
	c, err := l.primaryConn(ctx, op)
	if err != nil {
		return statement.Answer{}, err
	}
	defer c.pool.release(c)
	verify, requests := l.g.now().Sub(c.usedAt) >= verifyAfterIdle, statementOnly
	if verify {
		requests = beginAndStatement
	}
	if err := op.admitCold(ctx, c, requests); err != nil { // before the commit is counted as sent
		return statement.Answer{}, err
	}
	if verify {
		if err := op.svc.verifyPrimary(c, op.stepDeadline(l.g.now(), verifyTimeout)); err != nil {
			return statement.Answer{}, err
		}
	}
	if op.sentIn, err = op.svc.leaderTerm(c); err != nil {
		return statement.Answer{}, err
	}
	if err := c.readyCommit(ctx, op); err != nil {
		return statement.Answer{}, err
	}
	endCommit := op.svc.startCommit()
	op.sentAfter = op.svc.reportedBefore(c)
	answers, err := c.runStatement(ctx, op, position.Position{})
	endCommit(err == nil && lastAnswer(answers).Err == nil)
	if err != nil {
		return statement.Answer{}, noAnswerError(err, op.database)
	}
	return op.checkAnswers(c, answers)
}

// noAnswerError returns the error of a statement without an answer: its outcome
// is unknown, unless it was never sent.
func noAnswerError(err error, database string) error {
	var kindErr *errkind.Error
	if errors.As(err, &kindErr) {
		return kindErr
	}
	return errkind.Wrap(errkind.OutcomeUnknown, err, "database "+database)
}

// verifyTimeout bounds a Begin or a verification of the primary, which need no slot
// of the database.
const verifyTimeout = 250 * time.Millisecond

// primaryConn waits for a reachable primary and a connection to it on which nothing was
// refused. One that was sampled before its database became the primary may still carry
// a copy of that refusal, and a write must not be reported as refused because of it.
func (l *local) primaryConn(ctx context.Context, op *operation) (*conn, error) {
	for {
		p, err := op.svc.waitForPrimary(ctx)
		if err != nil {
			return nil, err
		}
		c, err := l.acquire(ctx, op, p)
		if err != nil || !c.refused {
			return c, err
		}
		p.release(c) // closes it
	}
}

func (l *local) acquire(ctx context.Context, op *operation, p *pool) (*conn, error) {
	c, err := p.acquire(ctx, op.queueItem())
	if err != nil {
		return nil, err
	}
	op.attempts++
	op.database = p.db.ID
	return c, nil
}

// stepDeadline returns the deadline of a step that may take d, at most that of
// the statement.
func (op *operation) stepDeadline(now time.Time, d time.Duration) time.Time {
	if t := now.Add(d); t.Before(op.deadline) {
		return t
	}
	return op.deadline
}

// checkAnswers evaluates the answers to a batch: the last one is that to the
// operation's statement, the others are those to the statements that restored the
// session's state on the connection. The outcome is unknown if one of the others failed,
// or if the answer to the statement has no signature.
func (op *operation) checkAnswers(c *conn, answers []statement.Answer) (statement.Answer, error) {
	main := lastAnswer(answers)
	for _, a := range answers[:len(answers)-1] {
		if a.Err != nil {
			c.broken = true
			return main, errkind.Wrap(errkind.OutcomeUnknown, a.Err, "session state could not be restored on the connection")
		}
	}
	if main.Err == nil {
		if main.Signature == "" {
			return main, errkind.New(errkind.OutcomeUnknown, "database answered without a signature")
		}
		return main, nil
	}
	op.recordRefusal(c, main.Err)
	return main, main.Err
}

// recordRefusal updates what this host knows about a database that refused a
// statement.
func (op *operation) recordRefusal(c *conn, err *errkind.Error) {
	now := op.svc.g.now()
	id := c.pool.db.ID
	switch err.Kind {
	case errkind.PrimaryReplaced:
		op.svc.recordNotPrimary(id, now)
	case errkind.DatabaseBehind:
		op.svc.avoid(id, now.Add(avoidBehindFor))
	case errkind.DatabaseBusy:
		c.pool.shrinkWindow(now)
		op.svc.avoid(id, now.Add(avoidBusyFor))
	case errkind.UnknownStatement:
		c.broken = true // the connection lacks a prepared statement that it should hold
	}
}

// maxParallelReads is the maximum number of concurrent attempts of one read.
const maxParallelReads = 2

// hedgeAfter is the fraction of the route's latency objective after which a read
// without an answer is sent to a second database: late enough that few reads are
// sent twice, early enough for the second attempt to meet the objective.
const hedgeAfter = 0.5

// minHedgeDelay applies to routes with a very short or no latency objective.
const minHedgeDelay = 10 * time.Millisecond

// readOutcome is the outcome of one attempt of a read.
type readOutcome struct {
	answer   statement.Answer
	err      error
	database string
	floor    position.Position
}

// hedgedRead runs a read until one attempt succeeds. Another attempt starts when
// all have failed with errors that permit a retry. One more starts, if the budget of
// hedges permits it, when a read that was sent takes long, since its answer may be
// lost. read is called with the number of the attempt, starting at 0.
func (l *local) hedgedRead(ctx context.Context, op *operation, read func(context.Context, *operation, int) readOutcome) (statement.Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan readOutcome, maxParallelReads)
	running, started := 0, 0
	var sent atomic.Bool
	var failed error // of the attempt that a database ran and failed, if it was repeated
	if op.svc.chooser != nil {
		op.tried = &triedReaders{}
	}
	// An attempt that is still running must end before the caller is answered: its
	// statement depends on the session's state at this point.
	defer func() {
		cancel()
		for ; running > 0; running-- {
			<-results
		}
	}()
	start := func() {
		n, copied := started, *op
		copied.sent = &sent
		started++
		running++
		go func() {
			got := read(ctx, &copied, n)
			got.database, got.floor = copied.database, copied.floor
			results <- got
		}()
	}
	start()
	op.svc.hedges.Deposit(hedgeBudgetKey)
	hedgeDelay := max(minHedgeDelay, time.Duration(float64(op.route.Objective)*hedgeAfter))
	hedgeTimer := time.NewTimer(hedgeDelay)
	defer hedgeTimer.Stop()
	var backoff retry.Backoff
	for {
		select {
		case got := <-results:
			running--
			if got.err == nil {
				op.attempts, op.database, op.floor = started, got.database, got.floor
				return got.answer, nil
			}
			if !canRetryRead(got.err) {
				if !op.svc.mayRepeat(op, got.err, started) {
					return statement.Answer{}, cmp.Or(failed, got.err)
				}
				failed = got.err
			}
			if running > 0 {
				continue
			}
			if op.refusedEverywhere(got.err, started) || started >= maxParallelReads+2 && !backoff.Pause(ctx) || ctx.Err() != nil {
				return statement.Answer{}, cmp.Or(failed, got.err)
			}
			start()
		case <-hedgeTimer.C:
			if !sent.Load() {
				hedgeTimer.Reset(hedgeDelay) // still queued on this host: a second attempt would queue behind it
			} else if running < maxParallelReads && op.svc.hedges.Withdraw(hedgeBudgetKey) {
				start()
			}
		case <-ctx.Done():
			err := ctx.Err()
			for ; running > 0; running-- {
				err = moreUncertain(err, (<-results).err)
			}
			return statement.Answer{}, cmp.Or(failed, readTimeoutError(err, started))
		}
	}
}

// moreUncertain returns the error that is less certain about whether the read ran.
func moreUncertain(a, b error) error {
	if b == nil || errkind.Of(a).Answer().Outcome == errkind.Unknown && errors.As(a, new(*errkind.Error)) {
		return a
	}
	return b
}

// readTimeoutError returns the error of a read that reached its deadline: a
// database may have run it, unless the last attempts were never sent.
func readTimeoutError(err error, attempts int) error {
	var kindErr *errkind.Error
	if errors.As(err, &kindErr) && kindErr.Kind.Answer().Outcome == errkind.NotRun {
		return kindErr
	}
	return errkind.Wrap(errkind.StatementTimeout, err, fmt.Sprintf("after %d attempts", attempts))
}

// canRetryRead reports whether a read that failed with err may be retried.
func canRetryRead(err error) bool {
	switch errkind.Of(err) {
	case errkind.DatabaseBusy, errkind.PrimaryReplaced, errkind.DatabaseBehind, errkind.DatabaseFull, errkind.WrongDatabase,
		errkind.DatabaseUnavailable, errkind.UnknownStatement, errkind.OutcomeUnknown, errkind.QueueFull:
		return true
	}
	return false
}

// readCurrent reads on the primary in a read-write transaction, which the
// database refuses if it is no longer the primary.
func (l *local) readCurrent(ctx context.Context, op *operation, _ int) readOutcome {
	c, err := l.primaryConn(ctx, op)
	if err != nil {
		return readOutcome{err: err}
	}
	defer c.pool.release(c)
	if err := op.admitCold(ctx, c, beginAndStatement); err != nil {
		return readOutcome{err: err}
	}
	before, _ := op.restoreSession(c, statement.Request{})
	sentAt := l.g.now()
	answers, err := c.run(op.stepDeadline(sentAt, verifyTimeout), append(before, controlRequest(statement.Begin))...)
	if err != nil {
		return readOutcome{err: errkind.Wrap(errkind.DatabaseUnavailable, err, "database "+op.database)}
	}
	if err := op.svc.checkPrimaryBegin(c, answers, sentAt); err != nil {
		return readOutcome{err: err}
	}
	answers, err = c.runStatement(ctx, op, position.Position{}, controlRequest(statement.Rollback))
	if err != nil {
		return readOutcome{err: noAnswerError(err, op.database)}
	}
	a, err := op.checkAnswers(c, answers[:len(answers)-1])
	a.State = statement.Idle
	return readOutcome{answer: a, err: err}
}

// readReplica reads on a database whose log has reached the read's floor: that of the
// nth attempt.
func (l *local) readReplica(ctx context.Context, op *operation, n int) readOutcome {
	at, err := op.floorAt(ctx, op.route, op.arrived)
	if err != nil {
		return readOutcome{err: err}
	}
	op.floor = at
	p := op.svc.readerFor(op, n)
	if p == nil {
		return readOutcome{err: op.svc.noReadersError()}
	}
	c, err := l.acquire(ctx, op, p)
	if err != nil {
		return readOutcome{err: err}
	}
	defer c.pool.release(c)
	answers, err := c.runStatement(ctx, op, at)
	if err != nil {
		return readOutcome{err: noAnswerError(err, op.database)}
	}
	a, err := op.checkAnswers(c, answers)
	return readOutcome{answer: a, err: err}
}

// floorAt returns the log position that a database must have reached to serve a
// read or a read-only transaction that arrived at the given time.
func (op *operation) floorAt(ctx context.Context, route routes.Route, arrived time.Time) (position.Position, error) {
	sample, err := op.svc.waitForSample(ctx, arrived.Add(-route.MaxAge))
	if err != nil {
		return position.Position{}, err
	}
	if route.Freshness != routes.ReadYourWrites {
		return sample.Position, nil
	}
	return floor.Required(sample, op.lastCommit), nil
}
