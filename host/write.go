package host

import (
	"context"
	"errors"
	"strings"

	"github.com/bronzeloft/bronzeloft/customer/retry"
	"github.com/bronzeloft/bronzeloft/errkind"
)

// SQLSTATEs with which a database refuses a statement because of its role. The
// statement did not run.
const (
	stateReadOnly      = "25006"
	stateCannotConnect = "57P03"
)

// refusedByRole reports whether the SQLSTATE means that the database is not the
// primary and therefore did not run the statement.
func refusedByRole(state string) bool {
	return state == stateReadOnly || state == stateCannotConnect
}

// writeRequest runs a request on the primary. It is retried only if it
// certainly did not run, or if its contract declares it idempotent and the customer's
// retry budget allows it.
func (s *session) writeRequest(ctx context.Context, r *request) error {
	s.host.retries.Deposit(s.customer)
	var wait retry.Backoff
	var attempts attemptOutcomes
	for {
		err := attempts.merge(s.writeOnPrimary(ctx, r))
		if err == nil || !s.canRetryWrite(r, err) {
			return err
		}
		s.host.metrics.writeRetries.Inc()
		if !wait.Pause(ctx) {
			return err
		}
	}
}

// canRetryWrite reports whether a failed write may be retried. After an unknown
// outcome it takes a retry from the customer's budget.
func (s *session) canRetryWrite(r *request, err error) bool {
	switch errkind.Of(err) {
	case errkind.PrimaryReplaced, errkind.DatabaseUnavailable:
		return true
	case errkind.OutcomeUnknown:
		return r.spec.Idempotent && s.host.retries.Withdraw(s.customer)
	}
	return false
}

// writeOnPrimary sends the request to the primary once. It sends the end of the
// answer after a majority has reached the position of the write in the primary's
// term. If the request opened a transaction, its connection is pinned.
func (s *session) writeOnPrimary(ctx context.Context, r *request) error {
	lease, term, err := s.acquirePrimary(ctx, r)
	if err != nil {
		return err
	}
	r.service.group.startConfirmation()
	rep, sent, err := s.exchange(lease.conn, r, nil)
	if err != nil {
		lease.abandon()
		return writeFailure(rep, sent, err)
	}
	if refusedByRole(rep.sqlState) && rep.tag == "" && !rep.started {
		lease.abandon()
		return errkind.New(errkind.PrimaryReplaced, "primary of group %s refused the statement as read-only or unavailable", r.service.group.name)
	}
	if rep.status != 'I' {
		return s.beginTransaction(ctx, r, rep, lease, term)
	}
	err = s.acknowledge(ctx, r, lease, term, rowsWritten(rep.tag))
	lease.release(r.dirty)
	if err != nil {
		return startedFailure(rep, err)
	}
	return s.finish(rep.buf, 'I')
}

// acquirePrimary waits for a primary and for a connection to it. Retrying here
// is safe because nothing of the request was sent yet.
func (s *session) acquirePrimary(ctx context.Context, r *request) (*lease, uint64, error) {
	var wait retry.Backoff
	for {
		id, term, err := r.service.group.waitForPrimary(ctx)
		if err != nil {
			return nil, 0, err
		}
		lease, err := s.host.acquire(ctx, r, id)
		if err == nil {
			return lease, term, nil
		}
		if errkind.Of(err) != errkind.DatabaseUnavailable || !wait.Pause(ctx) {
			return nil, 0, err
		}
	}
}

// acknowledge waits until the answer on the lease's connection may be sent: a
// majority must have reached its position in the primary's term. Unless the
// answer is that of a commit, the term must also be confirmed after the request
// arrived, because a replaced primary may return old data. A commit that a
// majority has reached is preserved in every later term. On success acknowledge
// raises the session's token to the position.
func (s *session) acknowledge(ctx context.Context, r *request, l *lease, term uint64, committed bool) error {
	pos := l.conn.Position()
	if pos.Term != term {
		return errkind.New(errkind.OutcomeUnknown, "answer of the primary has position %s, which does not belong to term %d", pos, term)
	}
	r.service.group.committed(l.db.spec.ID, pos)
	if err := r.service.group.waitForAck(ctx, pos); err != nil {
		return err
	}
	if !committed {
		if err := s.confirmTerm(ctx, r, term); err != nil {
			return err
		}
	}
	s.token.Raise(r.service.spec.Group, pos)
	return nil
}

// rowsWritten reports whether the command tag shows that the statement wrote
// rows. The position after such a statement is that of its commit or later.
func rowsWritten(tag string) bool {
	words := strings.Fields(tag)
	if len(words) < 2 || words[len(words)-1] == "0" {
		return false
	}
	switch words[0] {
	case "INSERT", "UPDATE", "DELETE", "MERGE", "COPY":
		return true
	}
	return false
}

// confirmTerm waits until a majority confirms, after the request arrived, that
// term is the group's current one. Otherwise it returns OutcomeUnknown.
func (s *session) confirmTerm(ctx context.Context, r *request, term uint64) error {
	confirmed, err := r.service.group.waitForConfirmation(ctx, r.arrived)
	if err != nil || confirmed.Term != term {
		return errkind.New(errkind.OutcomeUnknown, "no majority confirmed term %d after the request arrived", term)
	}
	return nil
}

// writeFailure returns the error for a write whose connection failed, which
// states whether the write may have run.
func writeFailure(rep *reply, sent bool, err error) error {
	var kindErr *errkind.Error
	if errors.As(err, &kindErr) {
		return kindErr
	}
	if errors.Is(err, errCallerConn) {
		return err
	}
	if !sent {
		return errkind.Wrap(errkind.DatabaseUnavailable, err, "connection to the primary failed before the statement was sent")
	}
	return startedFailure(rep, errkind.Wrap(errkind.OutcomeUnknown, err, "connection to the primary failed before its answer was complete"))
}

// startedFailure returns an error that ends the session if part of the answer
// was already sent, and err otherwise. An error message after rows could not be
// distinguished from an error of another statement.
func startedFailure(rep *reply, err error) error {
	if rep != nil && rep.started {
		return errors.Join(errCallerConn, errAnswerStarted, err)
	}
	return err
}

// weight returns the customer's weight in fair queues, at least 1.
func (r *request) weight() int {
	if r.customer == nil || r.customer.Weight < 1 {
		return 1
	}
	return r.customer.Weight
}

// customerID returns the customer's id, empty for a caller without a key.
func (r *request) customerID() string {
	if r.customer == nil {
		return ""
	}
	return r.customer.ID
}
