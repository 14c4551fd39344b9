package dbserver

import (
	"context"
	"time"
)

// engine holds the data of a server in two SQLite databases: transactions run on
// working, one at a time; committed contains committed data only, so that reads
// outside a transaction never wait for a running transaction.
type engine struct {
	lockToken chan struct{} // the transaction lock: holds one token while the lock is held
	working   database      // its mutex also guards holder and transaction.aborted
	committed database
	holder    *transaction // the running transaction; nil also while replication holds the lock
}

// transaction is one running transaction. Only its session accesses the fields,
// except for aborted.
type transaction struct {
	explicit   bool        // belongs to a transaction block
	readOnly   bool        // the block was begun as READ ONLY
	term       uint64      // term of the primary at the first write, 0 before the first write
	statements []Statement // the writes so far, for the log entry
	savepoints []savepoint // oldest first
	aborted    bool        // rolled back by the server
}

// savepoint is a savepoint and the number of entries in transaction.statements
// that preceded it.
type savepoint struct {
	name       string
	statements int
}

func newEngine() (*engine, error) {
	e := &engine{lockToken: make(chan struct{}, 1)}
	if err := e.working.open(); err != nil {
		return nil, err
	}
	return e, e.committed.open()
}

func (e *engine) close() {
	e.lockData()
	defer e.unlockData()
	e.working.close()
	e.committed.close()
}

// lockData locks both SQLite databases.
func (e *engine) lockData() {
	e.working.mu.Lock()
	e.committed.mu.Lock()
}

func (e *engine) unlockData() {
	e.committed.mu.Unlock()
	e.working.mu.Unlock()
}

// lock acquires the transaction lock. It fails after timeout or when ctx ends.
func (e *engine) lock(ctx context.Context, timeout time.Duration) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case e.lockToken <- struct{}{}:
		return nil
	case <-timer.C:
		return newError(codeLockTimeout, "lock not available within %s", timeout)
	case <-ctx.Done():
		return canceledError()
	}
}

func (e *engine) unlock() { <-e.lockToken }

// begin opens tx. The caller holds the transaction lock; end releases it, or begin
// itself if it fails.
func (e *engine) begin(tx *transaction) error {
	e.working.mu.Lock()
	defer e.working.mu.Unlock()
	if err := e.working.exec("BEGIN"); err != nil {
		e.unlock()
		return err
	}
	e.holder = tx
	return nil
}

// end rolls back tx unless it is committed and releases the transaction lock. It
// fails if the server has already rolled tx back.
func (e *engine) end(tx *transaction) error {
	e.working.mu.Lock()
	defer e.working.mu.Unlock()
	if tx.aborted {
		return abortedError()
	}
	e.release()
	return nil
}

// abort rolls back tx on behalf of the server if it is still running. tx may be
// nil.
func (e *engine) abort(tx *transaction) {
	e.working.mu.Lock()
	defer e.working.mu.Unlock()
	if tx == nil || e.holder != tx {
		return
	}
	tx.aborted = true
	e.release()
}

// release rolls back the running transaction unless it is committed, and releases
// the transaction lock. The caller holds working.mu.
func (e *engine) release() {
	e.working.rollback()
	e.holder = nil
	e.unlock()
}

func abortedError() error {
	return newError(codeConflict, "transaction was rolled back by the server because it blocked replication")
}

// running returns the transaction that holds the transaction lock, nil if there is
// none.
func (e *engine) running() *transaction {
	e.working.mu.Lock()
	defer e.working.mu.Unlock()
	return e.holder
}

// run executes x inside tx.
func (e *engine) run(ctx context.Context, tx *transaction, x execution) (int, error) {
	e.working.mu.Lock()
	defer e.working.mu.Unlock()
	if tx.aborted {
		return 0, abortedError()
	}
	return e.working.run(ctx, x)
}

// execSavepoint runs a savepoint statement inside tx.
func (e *engine) execSavepoint(tx *transaction, sql string) error {
	e.working.mu.Lock()
	defer e.working.mu.Unlock()
	if tx.aborted {
		return abortedError()
	}
	return e.working.exec(sql)
}

// read executes x on the committed data.
func (e *engine) read(ctx context.Context, x execution) error {
	e.committed.mu.Lock()
	defer e.committed.mu.Unlock()
	_, err := e.committed.run(ctx, x)
	return err
}

// commit commits tx on working and replays its statements on committed, which
// makes them visible to reads. The caller has locked the data.
func (e *engine) commit(tx *transaction) error {
	if tx.aborted {
		return abortedError()
	}
	if err := e.committed.replay(tx.statements); err != nil {
		return err
	}
	return e.working.exec("COMMIT")
}

// apply replays entry on both SQLite databases. The caller holds the transaction
// lock and has locked the data.
func (e *engine) apply(entry Entry) error {
	if err := e.working.replay(entry.Statements); err != nil {
		return err
	}
	return e.committed.replay(entry.Statements)
}

// rebuild replaces the data with the result of replaying entries. The caller
// holds the transaction lock and has locked the data.
func (e *engine) rebuild(entries []Entry) error {
	if err := e.working.rebuild(entries); err != nil {
		return err
	}
	return e.committed.rebuild(entries)
}
