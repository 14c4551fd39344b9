package dbserver

import (
	"context"
	"slices"
	"strings"

	"github.com/bronzeloft/bronzeloft/position"
)

// isControl contains the leading words of the statements that control handles.
var isControl = map[string]bool{
	"BEGIN": true, "START": true, "COMMIT": true, "END": true, "ABORT": true,
	"ROLLBACK": true, "SAVEPOINT": true, "RELEASE": true,
}

// control handles the statements that begin or end a transaction, and those on
// savepoints.
func (c *session) control(ctx context.Context, verb, sql string) error {
	if !sleep(ctx, c.server.faults.currentDelay()) {
		return canceledError()
	}
	switch verb {
	case "BEGIN", "START":
		return c.beginBlock(sql)
	case "COMMIT", "END":
		return c.endBlock(true)
	case "SAVEPOINT":
		return c.savepoint(lastWord(sql))
	case "RELEASE":
		return c.releaseSavepoint(lastWord(sql))
	case "ROLLBACK":
		if slices.Contains(words(sql, 3), "TO") {
			return c.rollbackTo(lastWord(sql))
		}
	}
	return c.endBlock(false)
}

// lastWord returns the last word of sql in lower case, without double quotes.
func lastWord(sql string) string {
	fields := strings.Fields(sql)
	return strings.ToLower(strings.Trim(fields[len(fields)-1], `"`))
}

// beginBlock begins a transaction block. An open implicit transaction becomes part
// of it.
func (c *session) beginBlock(sql string) error {
	if c.status == statusFailed {
		return newError(codeFailedTx, "current transaction is aborted, commands ignored until end of transaction block")
	}
	c.status = statusActive
	c.readOnly = strings.Contains(strings.ToUpper(sql), "READ ONLY")
	if c.tx != nil {
		c.tx.explicit = true
	}
	c.complete("BEGIN")
	return nil
}

// endBlock ends the transaction block by COMMIT or ROLLBACK.
func (c *session) endBlock(commit bool) error {
	failed := c.status == statusFailed
	c.status, c.readOnly = statusIdle, false
	c.settings.endBlock()
	if failed || !commit {
		c.rollback()
		c.complete("ROLLBACK")
		return nil
	}
	if err := c.commit(); err != nil {
		return err
	}
	c.complete("COMMIT")
	return nil
}

// begin opens a transaction on the engine, unless one is open. A transaction block
// opens it at its first statement, not at BEGIN; a statement outside a block that
// is not a mere read opens an implicit one.
func (c *session) begin(ctx context.Context) error {
	if c.tx != nil {
		return nil
	}
	e := c.server.engine
	if err := e.lock(ctx, c.server.cfg.LockTimeout); err != nil {
		return err
	}
	tx := &transaction{explicit: c.status == statusActive, readOnly: c.readOnly}
	if err := e.begin(tx); err != nil {
		return err
	}
	c.tx = tx
	return nil
}

// commit commits the open transaction and reports the position of its log entry
// to the client. If the server is no longer the primary of the term in which the
// transaction wrote, commit fails and the transaction is rolled back.
func (c *session) commit() error {
	tx := c.tx
	if tx == nil {
		return nil
	}
	c.tx = nil
	if tx.term == 0 {
		return c.server.engine.end(tx)
	}
	p, err := c.server.commitEntry(c.ctx, tx)
	_ = c.server.engine.end(tx)
	if err != nil {
		return err
	}
	c.reportPosition(p)
	return nil
}

// commitEntry atomically commits tx on the engine and appends its entry to the
// log. It returns the position of the entry.
func (s *Server) commitEntry(ctx context.Context, tx *transaction) (position.Position, error) {
	var p position.Position
	var failure error
	err := s.updateData(ctx, func(st *state) {
		if !st.leads(tx.term) {
			failure = newError(codeReadOnly, "server is no longer the primary of term %d; transaction rolled back", tx.term)
			return
		}
		if failure = s.engine.commit(tx); failure == nil {
			p, _ = st.commit(tx.term, tx.statements, now())
		}
	})
	if err != nil {
		return p, fatalError(codeShutdown, "server is shutting down")
	}
	return p, failure
}

// rollback rolls back the open transaction, if there is one.
func (c *session) rollback() {
	if c.tx == nil {
		return
	}
	_ = c.server.engine.end(c.tx)
	c.tx = nil
}

// failTransaction handles the failure of a statement. Outside a transaction block
// it rolls back. In a block it marks the block as failed, and rolls back to
// release the transaction lock unless a savepoint exists to which the client can
// still roll back.
func (c *session) failTransaction() {
	if c.status == statusIdle {
		c.rollback()
		return
	}
	c.status = statusFailed
	if c.tx != nil && len(c.tx.savepoints) == 0 {
		c.rollback()
	}
}

func (c *session) savepoint(name string) error {
	if c.status != statusActive {
		return newError(codeNoTx, "SAVEPOINT can only be used in transaction blocks")
	}
	if err := c.begin(c.ctx); err != nil {
		return err
	}
	if err := c.server.engine.execSavepoint(c.tx, "SAVEPOINT "+quoteName(name)); err != nil {
		return err
	}
	c.tx.savepoints = append(c.tx.savepoints, savepoint{name: name, statements: len(c.tx.statements)})
	c.complete("SAVEPOINT")
	return nil
}

func (c *session) rollbackTo(name string) error {
	i := c.findSavepoint(name)
	if i < 0 {
		return newError("3B001", "savepoint %q does not exist", name)
	}
	if err := c.server.engine.execSavepoint(c.tx, "ROLLBACK TO "+quoteName(name)); err != nil {
		return err
	}
	c.tx.statements = c.tx.statements[:c.tx.savepoints[i].statements]
	c.tx.savepoints = c.tx.savepoints[:i+1]
	c.status = statusActive
	c.complete("ROLLBACK")
	return nil
}

func (c *session) releaseSavepoint(name string) error {
	i := c.findSavepoint(name)
	if i < 0 || c.status == statusFailed {
		return newError("3B001", "savepoint %q does not exist", name)
	}
	if err := c.server.engine.execSavepoint(c.tx, "RELEASE "+quoteName(name)); err != nil {
		return err
	}
	c.tx.savepoints = c.tx.savepoints[:i]
	c.complete("RELEASE")
	return nil
}

// findSavepoint returns the index of the newest savepoint called name, -1 if there
// is none.
func (c *session) findSavepoint(name string) int {
	if c.tx == nil {
		return -1
	}
	for i, p := range slices.Backward(c.tx.savepoints) {
		if p.name == name {
			return i
		}
	}
	return -1
}

func quoteName(name string) string {
	return `"` + strings.ReplaceAll(name, `"`, `""`) + `"`
}
