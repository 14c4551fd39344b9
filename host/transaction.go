package host

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bronzeloft/bronzeloft/database"
	"github.com/bronzeloft/bronzeloft/errkind"
)

// transaction is a connection that is pinned to a session from BEGIN to the end
// of the transaction.
type transaction struct {
	lease *lease
	conn  *database.Conn
	term  uint64 // of the primary that holds the transaction
	dirty bool   // a request of the transaction is dirty
}

// beginTransaction pins the connection on which a request opened a transaction, and
// sends the answer to the request once the term is confirmed.
func (s *session) beginTransaction(ctx context.Context, r *request, rep *reply, l *lease, term uint64) error {
	if err := s.confirmOpen(ctx, r, l, term); err != nil {
		l.abandon()
		return startedFailure(rep, err)
	}
	s.tx = &transaction{lease: l, conn: l.conn, term: term, dirty: r.dirty}
	s.pinned.Store(true)
	return s.finish(rep.buf, rep.status)
}

// runInTransaction runs a request on the pinned connection. The term is
// confirmed as current before the end of an answer is sent; the end of the
// transaction is acknowledged like a write.
func (s *session) runInTransaction(ctx context.Context, r *request) error {
	tx := s.tx
	tx.dirty = tx.dirty || r.dirty
	if r.executes && !endsTransaction(r) {
		if err := s.admit(ctx, r); err != nil {
			return err
		}
	}
	r.service.group.startConfirmation()
	rep, sent, err := s.exchange(tx.conn, r, nil)
	if err != nil {
		if rep == nil {
			return err // nothing was sent
		}
		return s.failTransaction(r, rep, sent, err)
	}
	if rep.status != 'I' {
		if err := s.confirmOpen(ctx, r, tx.lease, tx.term); err != nil {
			s.dropTransaction()
			return startedFailure(rep, err)
		}
		return s.finish(rep.buf, rep.status)
	}
	s.unpin()
	err = s.acknowledgeEnd(ctx, r, rep, tx)
	tx.lease.release(tx.dirty)
	if err != nil {
		return startedFailure(rep, err)
	}
	return s.finish(rep.buf, 'I')
}

// confirmOpen confirms an answer after which a transaction is open. If the
// request may also have committed, as "COMMIT; BEGIN" does, it is acknowledged
// like a write.
func (s *session) confirmOpen(ctx context.Context, r *request, l *lease, term uint64) error {
	if mayCommit(r) {
		return s.acknowledge(ctx, r, l, term, false)
	}
	if err := s.confirmTerm(ctx, r, term); err != nil {
		return errkind.New(errkind.PrimaryReplaced, "transaction was rolled back: no majority confirmed term %d after the request arrived", term)
	}
	return nil
}

// acknowledgeEnd waits until the end of a transaction may be acknowledged. A
// rollback does not need a majority, and neither does an error before any statement
// of the request was completed.
func (s *session) acknowledgeEnd(ctx context.Context, r *request, rep *reply, tx *transaction) error {
	if rep.tag == "ROLLBACK" && len(r.parsed) == 1 || rep.sqlState != "" && rep.tag == "" {
		return nil
	}
	// A commit needs no further confirmation of the term: the data that the
	// transaction read was confirmed with each statement.
	committed := rep.tag == "COMMIT" && len(r.parsed) == 1
	return s.acknowledge(ctx, r, tx.lease, tx.term, committed)
}

// failTransaction ends a transaction after an exchange that failed. If nothing that
// may commit was sent, the database rolls back; otherwise the outcome is unknown.
func (s *session) failTransaction(r *request, rep *reply, sent bool, err error) error {
	s.dropTransaction()
	if sent && mayCommit(r) {
		return writeFailure(rep, sent, err)
	}
	return startedFailure(rep, errkind.Wrap(errkind.PrimaryReplaced, err, "transaction was rolled back"))
}

// dropTransaction closes the pinned connection, if there is one, so that the database
// rolls back.
func (s *session) dropTransaction() {
	if s.tx == nil {
		return
	}
	s.tx.lease.abandon()
	s.unpin()
}

func (s *session) unpin() {
	s.tx = nil
	s.pinned.Store(false)
}

// endsTransaction reports whether the request consists only of a statement that
// ends the transaction.
func endsTransaction(r *request) bool {
	if len(r.parsed) != 1 {
		return false
	}
	st := r.parsed[0]
	return st.Is("COMMIT") || st.Is("END") || st.Is("ROLLBACK") || st.Is("ABORT")
}

// mayCommit reports whether the request could commit the transaction.
func mayCommit(r *request) bool {
	for _, msg := range r.batch.Messages {
		switch msg.(type) {
		case *pgproto3.Query, *pgproto3.Execute:
			if containsCommit(r) {
				return true
			}
		}
	}
	return false
}

// containsCommit reports whether any statement may commit. The statement of a
// portal bound by an earlier batch is unknown and is assumed to commit.
func containsCommit(r *request) bool {
	for _, st := range r.parsed {
		if st.Is("COMMIT") || st.Is("END") || st.Is("PREPARE") {
			return true
		}
	}
	bound := map[string]bool{}
	for _, m := range r.batch.Messages {
		switch m := m.(type) {
		case *pgproto3.Bind:
			bound[m.DestinationPortal] = true
		case *pgproto3.Execute:
			if !bound[m.Portal] {
				return true
			}
		}
	}
	return false
}
