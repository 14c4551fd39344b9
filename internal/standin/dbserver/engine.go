package dbserver

import (
	"context"
	"time"
)

// engine is the data of a server, twice: transactions run on work, one at a
// time; view has what is committed, so that reads outside a transaction wait
// for none.
type engine struct {
	turn   chan struct{} // holds one token while a transaction runs
	work   database      // its mutex also guards holder and transaction.aborted
	view   database
	holder *transaction
}

// transaction is one running transaction. All but aborted belongs to the
// session.
type transaction struct {
	explicit   bool
	readOnly   bool
	term       uint64 // term of the primary at the first write, 0 before it
	statements []Statement
	savepoints []savepoint
	aborted    bool // rolled back by the server
}

// savepoint remembers how many statements came before it.
type savepoint struct {
	name       string
	statements int
}

func newEngine() (*engine, error) {
	e := &engine{turn: make(chan struct{}, 1)}
	if err := e.work.open(); err != nil {
		return nil, err
	}
	return e, e.view.open()
}

func (e *engine) close() {
	e.lockData()
	defer e.unlockData()
	e.work.close()
	e.view.close()
}

// lockData locks both databases.
func (e *engine) lockData() {
	e.work.mu.Lock()
	e.view.mu.Lock()
}

func (e *engine) unlockData() {
	e.view.mu.Unlock()
	e.work.mu.Unlock()
}

// lock waits for the turn of a transaction.
func (e *engine) lock(ctx context.Context, timeout time.Duration) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case e.turn <- struct{}{}:
		return nil
	case <-timer.C:
		return newError(codeLockTimeout, "lock not available within %s", timeout)
	case <-ctx.Done():
		return canceledError()
	}
}

func (e *engine) unlock() { <-e.turn }

// begin opens tx for the caller, who has the turn and keeps it until end.
func (e *engine) begin(tx *transaction) error {
	e.work.mu.Lock()
	defer e.work.mu.Unlock()
	if err := e.work.exec("BEGIN"); err != nil {
		e.unlock()
		return err
	}
	e.holder = tx
	return nil
}

// end rolls back what of tx is not committed and gives up the turn. It fails
// when the server has rolled tx back before.
func (e *engine) end(tx *transaction) error {
	e.work.mu.Lock()
	defer e.work.mu.Unlock()
	if tx.aborted {
		return abortedError()
	}
	e.release()
	return nil
}

// abort rolls back tx, if it still runs.
func (e *engine) abort(tx *transaction) {
	e.work.mu.Lock()
	defer e.work.mu.Unlock()
	if tx == nil || e.holder != tx {
		return
	}
	tx.aborted = true
	e.release()
}

// release ends the running transaction. The caller holds work.mu.
func (e *engine) release() {
	e.work.rollback()
	e.holder = nil
	e.unlock()
}

func abortedError() error {
	return newError(codeConflict, "transaction was rolled back by the server")
}

// running returns the transaction that has the turn, nil if none.
func (e *engine) running() *transaction {
	e.work.mu.Lock()
	defer e.work.mu.Unlock()
	return e.holder
}

// run executes x inside tx.
func (e *engine) run(ctx context.Context, tx *transaction, x execution) (int, error) {
	e.work.mu.Lock()
	defer e.work.mu.Unlock()
	if tx.aborted {
		return 0, abortedError()
	}
	return e.work.run(ctx, x)
}

// mark runs a savepoint statement inside tx.
func (e *engine) mark(tx *transaction, sql string) error {
	e.work.mu.Lock()
	defer e.work.mu.Unlock()
	if tx.aborted {
		return abortedError()
	}
	return e.work.exec(sql)
}

// read executes x on what is committed.
func (e *engine) read(ctx context.Context, x execution) error {
	e.view.mu.Lock()
	defer e.view.mu.Unlock()
	_, err := e.view.run(ctx, x)
	return err
}

// commit makes tx visible. The caller has locked the data.
func (e *engine) commit(tx *transaction) error {
	if tx.aborted {
		return abortedError()
	}
	if err := e.view.replay(tx.statements); err != nil {
		return err
	}
	return e.work.exec("COMMIT")
}

// apply adds entry. The caller has the turn and has locked the data.
func (e *engine) apply(entry Entry) error {
	if err := e.work.replay(entry.Statements); err != nil {
		return err
	}
	return e.view.replay(entry.Statements)
}

// rebuild makes the data that of entries. The caller has the turn and has
// locked the data.
func (e *engine) rebuild(entries []Entry) error {
	if err := e.work.rebuild(entries); err != nil {
		return err
	}
	return e.view.rebuild(entries)
}
