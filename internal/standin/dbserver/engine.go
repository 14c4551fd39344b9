package dbserver

import (
	"context"
	"encoding/hex"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"zombiezen.com/go/sqlite"
)

// engine is the SQLite database of a server. One transaction runs at a time:
// it holds turn from begin to end. mu guards the connection itself, which
// prepare also uses outside a transaction.
type engine struct {
	turn chan struct{} // holds one token while a transaction runs

	mu     sync.Mutex
	conn   *sqlite.Conn
	wrote  bool // the authorizer saw a write during the current prepare
	holder *transaction
}

// transaction is one running transaction. The engine's mutex guards aborted;
// the rest belongs to the session.
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

// description is what is known of a statement before it runs.
type description struct {
	columns []string
	params  int
	write   bool
}

// value is one result column; nil is NULL.
type value = []byte

func newEngine() (*engine, error) {
	e := &engine{turn: make(chan struct{}, 1)}
	return e, e.open()
}

// open replaces the database by an empty one. The caller holds mu, or is the
// only user.
func (e *engine) open() error {
	conn, err := sqlite.OpenConn(":memory:", sqlite.OpenReadWrite, sqlite.OpenCreate)
	if err != nil {
		return eris.Wrap(err, "open database")
	}
	if e.conn != nil {
		_ = e.conn.Close()
	}
	e.conn = conn
	if err := e.exec("PRAGMA foreign_keys=on"); err != nil {
		return err
	}
	return conn.SetAuthorizer(sqlite.AuthorizeFunc(e.authorize))
}

func (e *engine) authorize(a sqlite.Action) sqlite.AuthResult {
	switch a.Type() {
	case sqlite.OpSelect, sqlite.OpRead, sqlite.OpFunction, sqlite.OpRecursive,
		sqlite.OpTransaction, sqlite.OpSavepoint:
	case sqlite.OpPragma, sqlite.OpAttach, sqlite.OpDetach:
		return sqlite.AuthResultDeny
	default:
		e.wrote = true
	}
	return sqlite.AuthResultOK
}

// exec runs a statement without rows. The caller holds mu.
func (e *engine) exec(sql string) error {
	stmt, _, err := e.conn.PrepareTransient(sql)
	if err != nil {
		return err
	}
	defer stmt.Finalize()
	_, err = stmt.Step()
	return err
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
		return newError(codeCanceled, "canceling statement due to user request")
	}
}

func (e *engine) unlock() { <-e.turn }

// begin opens tx for the caller, who holds the turn and keeps it until end.
func (e *engine) begin(tx *transaction) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.exec("BEGIN"); err != nil {
		e.unlock()
		return err
	}
	e.holder = tx
	return nil
}

// end commits or rolls back tx and gives up the turn. decide runs with the
// engine locked and tells whether to commit.
func (e *engine) end(tx *transaction, decide func() error) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if tx.aborted {
		return newError(codeConflict, "transaction was rolled back by the server")
	}
	err := decide()
	if !e.conn.AutocommitEnabled() {
		_ = e.exec("ROLLBACK")
	}
	e.holder = nil
	e.unlock()
	return err
}

// abort rolls back whatever transaction runs, if it still is tx.
func (e *engine) abort(tx *transaction) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if tx == nil || e.holder != tx {
		return
	}
	tx.aborted = true
	if !e.conn.AutocommitEnabled() {
		_ = e.exec("ROLLBACK")
	}
	e.holder = nil
	e.unlock()
}

// running returns the transaction that has the turn, nil if none.
func (e *engine) running() *transaction {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holder
}

// describe prepares sql to learn its shape.
func (e *engine) describe(sql string) (description, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	stmt, d, err := e.prepare(sql)
	if err != nil {
		return description{}, err
	}
	return d, stmt.Finalize()
}

func (e *engine) prepare(sql string) (*sqlite.Stmt, description, error) {
	e.wrote = false
	stmt, _, err := e.conn.PrepareTransient(sql)
	if err != nil {
		return nil, description{}, err
	}
	if stmt == nil {
		return nil, description{}, newError(codeSyntax, "empty statement")
	}
	d := description{params: stmt.BindParamCount(), write: e.wrote}
	for i := range stmt.ColumnCount() {
		d.columns = append(d.columns, stmt.ColumnName(i))
	}
	return stmt, d, nil
}

// run executes sql inside tx and hands each row to emit; it returns the number
// of rows changed. check may refuse the statement once its shape is known.
func (e *engine) run(ctx context.Context, tx *transaction, s Statement, check func(description) error, emit func([]value)) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if tx.aborted {
		return 0, newError(codeConflict, "transaction was rolled back by the server")
	}
	e.conn.SetInterrupt(ctx.Done())
	defer e.conn.SetInterrupt(nil)
	return e.step(s, check, emit)
}

func (e *engine) step(s Statement, check func(description) error, emit func([]value)) (int, error) {
	stmt, d, err := e.prepare(s.SQL)
	if err != nil {
		return 0, err
	}
	defer stmt.Finalize()
	if len(s.Args) < d.params {
		return 0, newError(codeProtocol, "statement has %d parameters, %d given", d.params, len(s.Args))
	}
	if err := check(d); err != nil {
		return 0, err
	}
	bind(stmt, s.Args[:d.params])
	for {
		more, err := stmt.Step()
		if err != nil {
			return 0, err
		}
		if !more {
			return e.changes(d), nil
		}
		emit(row(stmt, len(d.columns)))
	}
}

func (e *engine) changes(d description) int {
	if !d.write {
		return 0
	}
	return e.conn.Changes()
}

func bind(stmt *sqlite.Stmt, args []Arg) {
	for i, a := range args {
		n, err := strconv.ParseInt(a.Text, 10, 64)
		switch {
		case a.Null:
			stmt.BindNull(i + 1)
		case a.Blob != nil:
			stmt.BindBytes(i+1, a.Blob)
		case err == nil && strconv.FormatInt(n, 10) == a.Text:
			stmt.BindInt64(i+1, n)
		default:
			stmt.BindText(i+1, a.Text)
		}
	}
}

func row(stmt *sqlite.Stmt, columns int) []value {
	values := make([]value, columns)
	for i := range values {
		switch stmt.ColumnType(i) {
		case sqlite.TypeNull:
		case sqlite.TypeBlob:
			raw := make([]byte, stmt.ColumnLen(i))
			stmt.ColumnBytes(i, raw)
			values[i] = append([]byte(`\x`), hex.EncodeToString(raw)...)
		default:
			values[i] = []byte(stmt.ColumnText(i))
		}
	}
	return values
}

// replay runs the statements of entries. The caller has the turn.
func (e *engine) replay(entries []Entry) error {
	for _, entry := range entries {
		for _, s := range entry.Statements {
			if _, err := e.step(s, func(description) error { return nil }, func([]value) {}); err != nil {
				return eris.Wrapf(err, "replay %s", entry.Position())
			}
		}
	}
	return nil
}

// apply runs entries as one transaction. The caller has the turn and mu.
func (e *engine) apply(entries []Entry) error {
	if err := e.exec("BEGIN"); err != nil {
		return err
	}
	if err := e.replay(entries); err != nil {
		_ = e.exec("ROLLBACK")
		return err
	}
	return e.exec("COMMIT")
}

// rebuild makes the database that of entries. The caller has the turn and mu.
func (e *engine) rebuild(entries []Entry) error {
	if err := e.open(); err != nil {
		return err
	}
	return e.apply(entries)
}

func (e *engine) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.conn.Close()
}
