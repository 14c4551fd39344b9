package gateway

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"time"

	"github.com/bronzeloft/bronzeloft/customer/intake"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/link/accesspb"
	"github.com/bronzeloft/bronzeloft/link/peer"
	"github.com/bronzeloft/bronzeloft/link/peerpb"
	"github.com/bronzeloft/bronzeloft/statement"
)

// jobStream runs the Jobs of one stream. The sending host numbers the transactions
// of the stream, and a statement runs only in the transaction whose number it
// carries: every other one has been rolled back on the database by then.
type jobStream struct {
	g           *Gateway
	runner      *local
	transaction uint64 // number of the current or last transaction
	ended       bool   // the transaction is not open any more
}

// serveJobs runs the statements that another host sends over one stream.
func (g *Gateway) serveJobs(from peer.Info, _ *peerpb.OpenSession, raw net.Conn) {
	defer raw.Close()
	s := &jobStream{g: g, runner: newLocal(g), ended: true}
	defer s.leave()
	ctx, cancel := context.WithCancel(g.statements)
	defer cancel()
	memory := g.memory.Account()
	defer memory.Close()
	jobs := make(chan receivedJob)
	go g.readJobs(ctx, cancel, from, raw, memory.HoldMessage, jobs)
	for j := range jobs {
		result := s.serve(ctx, j)
		_ = memory.HoldMessage(0) // ends a reservation, which never fails
		if err := writeMessage(raw, result); err != nil {
			return
		}
	}
}

// receivedJob is a Job, or the reason for which its statement is refused.
type receivedJob struct {
	*accesspb.Job
	refused error
}

// serve runs one Job unless it is refused. A refused one may be part of a transaction, which
// then ends.
func (s *jobStream) serve(ctx context.Context, j receivedJob) *accesspb.Result {
	if j.refused == nil {
		return s.run(ctx, j.Job)
	}
	s.leave()
	op := &operation{}
	return op.result(statement.Answer{}, errkind.Wrap(errkind.QueueFull, j.refused, "forwarded statement"))
}

// run runs one Job. After an error, a commit or a rollback no transaction is open on
// the stream.
func (s *jobStream) run(ctx context.Context, j *accesspb.Job) *accesspb.Result {
	s.enter(j.Transaction)
	if statement.Kind(j.Kind) == statement.Rollback {
		s.leave()
		return &accesspb.Result{}
	}
	op, err := s.g.newJobOperation(j)
	var a statement.Answer
	if err == nil {
		a, err = s.runOperation(ctx, op)
	}
	if err != nil || op.Kind == statement.Commit {
		s.leave()
	}
	return op.result(a, err)
}

// enter prepares the stream for a statement of the transaction with the given
// number, or of none if it is 0, and rolls back any other transaction.
func (s *jobStream) enter(transaction uint64) {
	if transaction == 0 || transaction != s.transaction {
		s.leave()
		s.transaction, s.ended = transaction, transaction == 0
	}
}

// leave rolls back the open transaction, if any.
func (s *jobStream) leave() {
	s.runner.rollbackAsync()
	s.runner, s.ended = newLocal(s.g), true
}

// runOperation runs one statement. It refuses the statement after a stall of this
// process, since the sending host may no longer wait for the result.
func (s *jobStream) runOperation(ctx context.Context, op *operation) (statement.Answer, error) {
	if op.inTransaction && s.ended {
		return statement.Answer{}, errkind.New(errkind.TransactionAborted, "transaction %d of the stream has ended", s.transaction)
	}
	if s.g.stalls.recent(s.g.now()) {
		return statement.Answer{}, errkind.New(errkind.DatabaseUnavailable, "the process was stalled moments ago; the sending host may have abandoned the statement")
	}
	if s.g.statements.Err() != nil {
		return statement.Answer{}, errkind.New(errkind.DatabaseUnavailable, "the host is shutting down")
	}
	ctx, cancel := context.WithTimeout(ctx, op.deadline.Sub(s.g.now()))
	defer cancel()
	return s.runner.run(ctx, op)
}

// readJobs passes on the Jobs from a stream until the stream ends. It then
// cancels the statement that is still running for it, because the sending host
// no longer waits for the result.
func (g *Gateway) readJobs(ctx context.Context, cancel func(), from peer.Info, raw net.Conn, hold func(bytes int) error, jobs chan<- receivedJob) {
	defer close(jobs)
	defer cancel()
	r := bufio.NewReader(raw)
	var waited time.Duration
	timedHold := func(bytes int) error {
		began := time.Now()
		err := hold(bytes)
		waited = time.Since(began)
		if bytes > intake.FreeBytes {
			// Fails only on a closed stream, which the next read reports.
			_ = raw.SetReadDeadline(time.Now().Add(g.opt.MessageTimeout))
		}
		return err
	}
	for {
		j := receivedJob{Job: &accesspb.Job{}}
		var err error
		if j.refused, err = readHeldMessage(r, j.Job, timedHold); j.refused != nil {
			g.metrics.refusedCaller(refusedStatement)
		}
		if err != nil {
			if !errors.Is(err, io.EOF) && g.ctx.Err() == nil {
				g.log.Debug("Reading statements from another host failed.", "part", "access", "host", from.Address, "error", err)
			}
			return
		}
		_ = raw.SetReadDeadline(time.Time{}) // as above
		ageJob(j.Job, waited)                // the sending host does not wait longer for it
		select {
		case jobs <- j:
		case <-ctx.Done():
			return
		}
	}
}
