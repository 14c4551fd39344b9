package host

import (
	"context"
	"errors"
	"time"

	"github.com/bronzeloft/bronzeloft/customer/retry"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/position"
)

// read runs a read on any database that has reached the read's floor. It is
// retried on other databases as long as no byte of an answer was sent to the
// caller.
func (s *session) read(ctx context.Context, r *request) error {
	var lastErr error
	var wait retry.Backoff
	for {
		floor, sampled, err := s.readFloor(ctx, r)
		if err != nil {
			return err
		}
		for _, id := range r.service.group.readers(ctx, floor, r.arrived) {
			lastErr = s.readOn(ctx, r, id, floor, sampled)
			if lastErr == nil || !canRetryRead(lastErr) {
				return lastErr
			}
			s.host.metrics.readRetries.Inc()
		}
		if !wait.Pause(ctx) {
			return readFailure(lastErr)
		}
	}
}

// canRetryRead reports whether the read may be retried on another database.
func canRetryRead(err error) bool {
	if errors.Is(err, errCallerConn) || errors.Is(err, errAnswerStarted) {
		return false
	}
	switch errkind.Of(err) {
	case errkind.OverRate, errkind.Protocol, errkind.TooLarge, errkind.Leaving:
		return false
	}
	return true
}

// readFailure returns the error for a read that no database served before the
// deadline. A read changes no data, so its outcome is always "not run".
func readFailure(lastErr error) error {
	var kindErr *errkind.Error
	if errors.As(lastErr, &kindErr) && kindErr.Kind.Answer().Outcome == errkind.NotRun {
		return kindErr
	}
	return errkind.Wrap(errkind.DatabaseUnavailable, lastErr, "no database served the read in time")
}

// errAnswerStarted reports an answer that failed after part of it had been sent
// to the caller.
var errAnswerStarted = errors.New("host: answer failed after part of it was sent")

// readOn runs the read on the database with the given id. floor and sampled are the
// results of readFloor.
func (s *session) readOn(ctx context.Context, r *request, id string, floor position.Position, sampled time.Time) error {
	lease, err := s.host.acquire(ctx, r, id)
	if err != nil {
		return err
	}
	check := func() error { return s.checkRead(ctx, r, lease.conn.Position(), floor, sampled) }
	rep, _, err := s.exchange(lease.conn, r, check)
	if err != nil {
		lease.abandon()
		if rep != nil && rep.started {
			return errors.Join(errCallerConn, errAnswerStarted, err)
		}
		return err
	}
	if !rep.started {
		if err := check(); err != nil {
			lease.release(r.dirty)
			return err
		}
	}
	if rep.status != 'I' {
		lease.abandon()
		return errkind.New(errkind.Protocol, "a read must not open a transaction")
	}
	lease.release(r.dirty)
	s.host.metrics.countRead(r.service.spec.Name, r.service.group.role(id))
	return s.finish(rep.buf, 'I')
}

// checkRead returns an error unless an answer that was read at pos may be sent to
// the caller: pos has reached the floor, and the floor is not too old or, for a fresh
// read, a majority holds pos.
func (s *session) checkRead(ctx context.Context, r *request, pos, floor position.Position, sampled time.Time) error {
	switch {
	case !r.executes:
		return nil
	case pos.Before(floor):
		return errBehind
	case !sampled.IsZero():
		if s.host.now().Sub(sampled) > r.spec.MaxAge {
			return errBehind
		}
		return nil
	}
	ok, err := r.service.group.waitForDurable(ctx, pos)
	if err == nil && !ok {
		return errBehind
	}
	return err
}

// describe runs a batch that executes no statement. It neither reads nor
// changes data, so it is not charged to the customer's rate. It is sent to the
// primary, whose schema is current, or to a replica if there is no primary or the
// primary fails.
func (s *session) describe(ctx context.Context, r *request) error {
	var lastErr error
	var wait retry.Backoff
	for {
		for _, id := range r.service.group.describeTargets() {
			if lastErr = s.readOn(ctx, r, id, position.Position{}, time.Time{}); lastErr == nil || !canRetryRead(lastErr) {
				return lastErr
			}
		}
		if !wait.Pause(ctx) {
			return readFailure(lastErr)
		}
	}
}
