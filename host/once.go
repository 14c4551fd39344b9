package host

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/bronzeloft/bronzeloft/customer/retry"
	"github.com/bronzeloft/bronzeloft/errkind"
)

// Limits of request records.
const (
	// maxStoredAnswerBytes is the size of the largest answer that a record
	// stores.
	maxStoredAnswerBytes = 64 << 10
	maxRequestIDBytes    = 200
	// RecordRetention is how long records are kept. A repeat after that time is
	// refused if its id is time-ordered (UUID version 7); with any other id the
	// request runs again.
	RecordRetention = 7 * 24 * time.Hour
)

// Statements on the table of request records. A record is a row with a unique
// key, written in the same transaction as the changes of the request.
const (
	createRecords = `CREATE TABLE IF NOT EXISTS bronzeloft_requests (
customer TEXT NOT NULL, id TEXT NOT NULL, digest TEXT NOT NULL, created BIGINT NOT NULL, answer TEXT,
PRIMARY KEY (customer, id))`
	insertRecord  = `INSERT INTO bronzeloft_requests (customer, id, digest, created) VALUES ($1, $2, $3, $4)`
	storeAnswer   = `UPDATE bronzeloft_requests SET answer = $3 WHERE customer = $1 AND id = $2`
	readRecord    = `SELECT digest, answer FROM bronzeloft_requests WHERE customer = $1 AND id = $2`
	deleteRecords = `DELETE FROM bronzeloft_requests WHERE created < $1`
)

// SQLSTATEs that statements on the request records can fail with, and special
// values in the columns of a record.
const (
	stateUniqueViolation = "23505"
	stateUndefinedTable  = "42P01"
	classIntegrity       = "23"          // SQLSTATE class of all constraint violations
	answerNotStored      = "-"           // in answer: it was larger than maxStoredAnswerBytes
	transactionDigest    = "transaction" // in digest: the id belongs to a BEGIN and its transaction
)

// writeOnce runs a request that carries a request id. The record is committed
// together with the changes of the request, so that every later attempt,
// through any host, finds the outcome of the first. It is therefore safe to
// retry after an unknown outcome.
func (s *session) writeOnce(ctx context.Context, r *request) error {
	if err := checkRecordable(r, s.host.now()); err != nil {
		return err
	}
	var wait retry.Backoff
	var attempts attemptOutcomes
	for {
		err := attempts.merge(s.writeOnceOnPrimary(ctx, r))
		switch errkind.Of(err) {
		case errkind.PrimaryReplaced, errkind.DatabaseUnavailable, errkind.OutcomeUnknown:
		default:
			return err
		}
		if err == nil || errors.Is(err, errCallerConn) {
			return err
		}
		s.host.metrics.writeRetries.Inc()
		if !wait.Pause(ctx) {
			return err
		}
	}
}

// checkRecordable returns an error for request ids and statements that cannot
// be recorded.
func checkRecordable(r *request, now time.Time) error {
	if len(r.tags.RequestID) > maxRequestIDBytes {
		return errkind.New(errkind.TooLarge, "request id is longer than %d bytes", maxRequestIDBytes)
	}
	if id, err := uuid.Parse(r.tags.RequestID); err == nil && id.Version() == 7 {
		sec, nsec := id.Time().UnixTime()
		if now.Sub(time.Unix(sec, nsec)) > RecordRetention {
			return errkind.New(errkind.RequestIDReused, "request id is older than %s", RecordRetention)
		}
	}
	for _, st := range r.parsed {
		if transactionControl(st.Words[0]) && len(r.parsed) > 1 {
			return errkind.New(errkind.NotSupported, "transaction control statement in a query with a request id")
		}
	}
	return nil
}

func transactionControl(word string) bool {
	switch word {
	case "BEGIN", "START", "COMMIT", "END", "ROLLBACK", "ABORT", "SAVEPOINT", "RELEASE":
		return true
	}
	return false
}

// writeOnceOnPrimary makes one attempt to run the request on the primary.
func (s *session) writeOnceOnPrimary(ctx context.Context, r *request) error {
	lease, term, err := s.acquirePrimary(ctx, r)
	if err != nil {
		return err
	}
	r.service.group.startConfirmation()
	o := &onceAttempt{s: s, r: r, conn: lease.conn, lease: lease, term: term}
	if len(r.parsed) == 1 && (r.parsed[0].Is("BEGIN") || r.parsed[0].Is("START")) {
		return o.begin(ctx)
	}
	answer, err := o.run()
	if err != nil {
		return o.fail(err)
	}
	err = s.acknowledge(ctx, r, lease, term, o.recorded)
	lease.release(r.dirty)
	if err != nil {
		return err
	}
	if answer == nil {
		return errkind.New(errkind.AnswerNotKept, "answer to request id %s was not stored", r.tags.RequestID)
	}
	return s.finish(answer, 'I')
}
