package host

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bronzeloft/bronzeloft/database"
	"github.com/bronzeloft/bronzeloft/errkind"
)

// onceAttempt is one attempt to run a request with a request id, on one
// connection.
type onceAttempt struct {
	s     *session
	r     *request
	conn  *database.Conn
	lease *lease
	term  uint64

	committing bool // COMMIT may have reached the database
	recorded   bool // the record is committed, by this attempt or an earlier one
	clean      bool // the connection is outside a transaction: the database reported it, or nothing was sent
}

// fail releases the connection, or closes it if it may be inside a transaction,
// and returns the error that states whether the request may have run.
func (o *onceAttempt) fail(err error) error {
	if o.clean {
		o.lease.release(o.r.dirty)
	} else {
		o.lease.abandon()
	}
	var kindErr *errkind.Error
	if errors.As(err, &kindErr) || errors.Is(err, errCallerConn) {
		return err
	}
	if o.committing {
		return errkind.Wrap(errkind.OutcomeUnknown, err, "connection to the primary failed during the commit")
	}
	return errkind.Wrap(errkind.PrimaryReplaced, err, "transaction was rolled back")
}

// run inserts the record, runs the request and commits both. It returns the
// answer for the caller. If an earlier attempt completed the request, that is
// the stored answer, or nil if the answer was not stored. If the database rejects
// the request, the answer is its error message and nothing is committed.
func (o *onceAttempt) run() ([]byte, error) {
	rep, state, err := o.recordAndRun()
	if err != nil {
		return nil, err
	}
	if state != "" {
		return o.handleInsertFailure(state)
	}
	if rep.sqlState != "" {
		return o.forwardError(rep)
	}
	if rep.status != 'T' {
		return nil, errkind.New(errkind.NotSupported, "transaction control statement in a query with a request id")
	}
	answer := append([]byte(nil), rep.buf...)
	o.committing = true
	if err := o.send(append(extendedQuery(storeAnswer, o.r.customerID(), o.r.tags.RequestID, encodeAnswer(answer)), &pgproto3.Query{String: "COMMIT"})...); err != nil {
		return nil, err
	}
	_, storeErr := o.conn.ReadRows()
	if storeErr != nil && !isServerError(storeErr) {
		return nil, storeErr
	}
	if _, err := o.conn.ReadRows(); err != nil {
		return nil, o.classifyCommitError(err)
	}
	o.clean = o.conn.TxStatus() == 'I'
	if storeErr != nil {
		// COMMIT in a failed transaction is answered with success but rolls
		// back.
		return nil, errkind.Wrap(rollbackKind(serverState(storeErr)), storeErr, "transaction was rolled back")
	}
	o.recorded = true
	return answer, nil
}

// recordAndRun sends BEGIN, the insert of the record and the request in one
// round trip. state is the SQLSTATE of a failed insert, empty if it succeeded.
func (o *onceAttempt) recordAndRun() (rep *reply, state string, err error) {
	p, err := o.s.newPlan(o.r, o.conn)
	if err != nil {
		o.clean = true
		return nil, "", err
	}
	o.conn.SetDeadline(o.r.deadline)
	o.s.setRunning(o.conn)
	defer o.s.setRunning(nil)
	msgs := []pgproto3.FrontendMessage{&pgproto3.Query{String: "BEGIN"}}
	msgs = append(msgs, o.insertMessages(o.digest())...)
	msgs = append(msgs, p.messages...)
	if err := o.send(msgs...); err != nil {
		return nil, "", err
	}
	if _, err := o.conn.ReadRows(); err != nil {
		return nil, "", err
	}
	_, insertErr := o.conn.ReadRows()
	if insertErr != nil && !isServerError(insertErr) {
		return nil, "", insertErr
	}
	rep = &reply{conn: o.conn, steps: p.steps, write: rejectLargeAnswer}
	if err := rep.read(); err != nil {
		return nil, "", err
	}
	return rep, serverState(insertErr), nil
}

// rejectLargeAnswer is the write function for answers that must be buffered
// until the commit. It is called only when an answer exceeds
// streamThresholdBytes.
func rejectLargeAnswer([]byte) error {
	return errkind.New(errkind.TooLarge, "answer to a request with a request id is larger than %d bytes", streamThresholdBytes)
}

func (o *onceAttempt) insertMessages(digest string) []pgproto3.FrontendMessage {
	return extendedQuery(insertRecord, o.r.customerID(), o.r.tags.RequestID, digest, unixMillis(o.s.host.now()))
}

// handleInsertFailure rolls back after a failed insert of the record. For a
// duplicate key it returns the stored answer, nil if none was stored; otherwise it
// returns an error. A missing table is created for the next attempt.
func (o *onceAttempt) handleInsertFailure(state string) ([]byte, error) {
	if err := o.rollback(); err != nil {
		return nil, err
	}
	switch {
	case state == stateUniqueViolation:
		return o.readStoredAnswer()
	case state == stateUndefinedTable:
		if err := o.send(&pgproto3.Query{String: createRecords}); err != nil {
			return nil, err
		}
		if _, err := o.conn.ReadRows(); err != nil {
			return nil, err
		}
		return nil, errkind.New(errkind.DatabaseUnavailable, "table of request records did not exist and was created")
	case refusedByRole(state):
		o.clean = false
		return nil, errkind.New(errkind.PrimaryReplaced, "primary of group %s refused the statement as read-only or unavailable", o.r.service.group.name)
	}
	return nil, errkind.New(errkind.OutcomeUnknown, "insert of the request record failed with SQLSTATE %s: an earlier attempt may be running", state)
}

// readStoredAnswer reads the record that an earlier attempt committed and
// returns its answer, nil if the answer was not stored.
func (o *onceAttempt) readStoredAnswer() ([]byte, error) {
	if err := o.send(extendedQuery(readRecord, o.r.customerID(), o.r.tags.RequestID)...); err != nil {
		return nil, err
	}
	rows, err := o.conn.ReadRows()
	if err != nil {
		return nil, err
	}
	o.recorded = len(rows) > 0
	if !o.recorded {
		return nil, errkind.New(errkind.DatabaseUnavailable, "an earlier attempt with the request id was rolled back")
	}
	if rows[0][0] != o.digest() {
		return nil, errkind.New(errkind.RequestIDReused, "request id %s was used with another statement or other parameters", o.r.tags.RequestID)
	}
	if rows[0][1] == answerNotStored || rows[0][1] == "" {
		return nil, nil
	}
	return hex.DecodeString(rows[0][1])
}

// forwardError rolls back and returns the database's error as the answer, or
// PrimaryReplaced if the database is not the primary. The request did not take
// effect, and its id can be used again because the record was rolled back too.
func (o *onceAttempt) forwardError(rep *reply) ([]byte, error) {
	answer := append([]byte(nil), rep.buf...)
	if err := o.rollback(); err != nil {
		return nil, err
	}
	if refusedByRole(rep.sqlState) {
		return nil, errkind.New(errkind.PrimaryReplaced, "primary of group %s refused the statement as read-only or unavailable", o.r.service.group.name)
	}
	return answer, nil
}

func (o *onceAttempt) rollback() error {
	if err := o.send(&pgproto3.Query{String: "ROLLBACK"}); err != nil {
		return err
	}
	if _, err := o.conn.ReadRows(); err != nil {
		return err
	}
	o.clean = o.conn.TxStatus() == 'I'
	return nil
}

// classifyCommitError classifies the error of a failed COMMIT: if the database
// reported it, the transaction was rolled back; with any other error the
// outcome is unknown.
func (o *onceAttempt) classifyCommitError(err error) error {
	if !isServerError(err) {
		return err
	}
	o.clean = o.conn.TxStatus() == 'I'
	return errkind.Wrap(errkind.PrimaryReplaced, err, "COMMIT was refused")
}

// rollbackKind returns the error kind for a transaction that was rolled back
// because its answer could not be stored. A retry can succeed unless the record
// violates a constraint.
func rollbackKind(state string) errkind.Kind {
	if strings.HasPrefix(state, classIntegrity) {
		return errkind.TransactionAborted
	}
	return errkind.PrimaryReplaced
}

// begin opens a transaction, inserts the record in it and pins the connection to the
// session. A later BEGIN with the same request id gets AnswerNotKept if the
// transaction was committed.
func (o *onceAttempt) begin(ctx context.Context) error {
	o.conn.SetDeadline(o.r.deadline)
	rep, _, err := o.s.exchange(o.conn, o.r, nil)
	if err != nil {
		return o.fail(err)
	}
	if rep.status != 'T' {
		return o.fail(errkind.New(errkind.PrimaryReplaced, "BEGIN was refused"))
	}
	if err := o.send(o.insertMessages(transactionDigest)...); err != nil {
		return o.fail(err)
	}
	_, err = o.conn.ReadRows()
	if err == nil {
		return o.s.beginTransaction(ctx, o.r, rep, o.lease, o.term)
	}
	if !isServerError(err) {
		return o.fail(err)
	}
	if serverState(err) != stateUniqueViolation {
		_, err = o.handleInsertFailure(serverState(err))
		return o.fail(err)
	}
	if err := o.rollback(); err != nil {
		return o.fail(err)
	}
	err = o.s.acknowledge(ctx, o.r, o.lease, o.term, true)
	if err == nil {
		err = errkind.New(errkind.AnswerNotKept, "transaction with request id %s was committed by an earlier attempt", o.r.tags.RequestID)
	}
	return o.fail(err)
}

func (o *onceAttempt) send(msgs ...pgproto3.FrontendMessage) error {
	_, err := o.conn.Send(msgs...)
	return err
}

// digest returns a hash of the request's statements and parameters. The names
// of prepared statements are left out, since they can differ between attempts.
func (o *onceAttempt) digest() string {
	h := sha256.New()
	for _, text := range o.r.texts {
		h.Write([]byte(text))
	}
	for _, msg := range o.r.batch.Messages {
		if b, ok := msg.(*pgproto3.Bind); ok {
			c := *b
			c.PreparedStatement = ""
			raw, _ := c.Encode(nil)
			h.Write(raw)
		}
	}
	return hex.EncodeToString(h.Sum(nil))
}

// encodeAnswer returns the form in which an answer is stored: hexadecimal, or
// answerNotStored if it is larger than maxStoredAnswerBytes.
func encodeAnswer(answer []byte) string {
	if len(answer) > maxStoredAnswerBytes {
		return answerNotStored
	}
	return hex.EncodeToString(answer)
}

// extendedQuery returns the extended-protocol messages that run sql once with
// parameters in text format.
func extendedQuery(sql string, params ...string) []pgproto3.FrontendMessage {
	bind := &pgproto3.Bind{}
	for _, p := range params {
		bind.Parameters = append(bind.Parameters, []byte(p))
	}
	return []pgproto3.FrontendMessage{&pgproto3.Parse{Query: sql}, bind, &pgproto3.Execute{}, &pgproto3.Sync{}}
}

func isServerError(err error) bool { return serverState(err) != "" }

// serverState returns the SQLSTATE of an error that a database reported, empty
// for any other error.
func serverState(err error) string {
	var se *database.ServerError
	if errors.As(err, &se) {
		return se.Code
	}
	return ""
}

// unixMillis returns t as Unix time in milliseconds, in decimal.
func unixMillis(t time.Time) string { return strconv.FormatInt(t.UnixMilli(), 10) }
