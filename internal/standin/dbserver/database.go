package dbserver

import (
	"context"
	"encoding/hex"
	"strconv"
	"sync"

	"github.com/rotisserie/eris"
	"zombiezen.com/go/sqlite"
)

// database is one in-memory SQLite database. Callers of its methods hold mu,
// except for describe.
type database struct {
	mu     sync.Mutex // guards the fields below
	conn   *sqlite.Conn
	writes bool // the statement being prepared writes, as seen by the authorizer
}

// description is the information on a statement that is available after it is
// prepared and before it runs.
type description struct {
	columns []string
	params  int
	write   bool // the statement may change data or the schema
}

// value is one column of a result row; nil is NULL.
type value = []byte

// open replaces the database with an empty one.
func (db *database) open() error {
	conn, err := sqlite.OpenConn(":memory:", sqlite.OpenReadWrite, sqlite.OpenCreate)
	if err != nil {
		return eris.Wrap(err, "open database")
	}
	db.close()
	db.conn = conn
	if err := db.exec("PRAGMA foreign_keys=on"); err != nil {
		return err
	}
	return conn.SetAuthorizer(sqlite.AuthorizeFunc(db.authorize))
}

func (db *database) close() {
	if db.conn != nil {
		_ = db.conn.Close()
	}
}

// authorize is called by SQLite for each action of a statement that is being
// prepared. It denies PRAGMA, ATTACH and DETACH, and sets writes for any action
// that does not merely read or control transactions.
func (db *database) authorize(a sqlite.Action) sqlite.AuthResult {
	switch a.Type() {
	case sqlite.OpSelect, sqlite.OpRead, sqlite.OpFunction, sqlite.OpRecursive,
		sqlite.OpTransaction, sqlite.OpSavepoint:
	case sqlite.OpPragma, sqlite.OpAttach, sqlite.OpDetach:
		return sqlite.AuthResultDeny
	default:
		db.writes = true
	}
	return sqlite.AuthResultOK
}

// exec runs a statement that returns no rows.
func (db *database) exec(sql string) error {
	stmt, _, err := db.conn.PrepareTransient(sql)
	if err != nil {
		return err
	}
	defer stmt.Finalize()
	_, err = stmt.Step()
	return err
}

// rollback rolls back the open transaction, if there is one.
func (db *database) rollback() {
	if !db.conn.AutocommitEnabled() {
		_ = db.exec("ROLLBACK")
	}
}

// describe prepares sql and returns its description without running it.
func (db *database) describe(sql string) (description, error) {
	db.mu.Lock()
	defer db.mu.Unlock()
	stmt, d, err := db.prepare(sql)
	if err != nil {
		return description{}, err
	}
	return d, stmt.Finalize()
}

func (db *database) prepare(sql string) (*sqlite.Stmt, description, error) {
	db.writes = false
	stmt, _, err := db.conn.PrepareTransient(sql)
	if err != nil {
		return nil, description{}, err
	}
	if stmt == nil {
		return nil, description{}, newError(codeSyntax, "empty statement")
	}
	d := description{params: stmt.BindParamCount(), write: db.writes}
	for i := range stmt.ColumnCount() {
		d.columns = append(d.columns, stmt.ColumnName(i))
	}
	return stmt, d, nil
}

// execution is one statement to run. check is called with its description before
// it runs and may reject it; emit is called with each result row.
type execution struct {
	Statement
	check func(description) error
	emit  func([]value)
}

// run executes x, interrupting it when ctx ends, and returns the number of rows
// changed. The caller holds mu.
func (db *database) run(ctx context.Context, x execution) (int, error) {
	db.conn.SetInterrupt(ctx.Done())
	defer db.conn.SetInterrupt(nil)
	return db.execute(x)
}

// execute runs x to its last row and returns the number of rows changed.
func (db *database) execute(x execution) (int, error) {
	stmt, d, err := db.prepare(x.SQL)
	if err != nil {
		return 0, err
	}
	defer stmt.Finalize()
	if len(x.Args) < d.params {
		return 0, newError(codeProtocol, "statement has %d parameters, but %d values were bound", d.params, len(x.Args))
	}
	if err := x.check(d); err != nil {
		return 0, err
	}
	bind(stmt, x.Args[:d.params])
	for {
		more, err := stmt.Step()
		if err != nil {
			return 0, err
		}
		if !more {
			return db.changes(d), nil
		}
		x.emit(row(stmt, len(d.columns)))
	}
}

func (db *database) changes(d description) int {
	if !d.write {
		return 0
	}
	return db.conn.Changes()
}

// bind binds args to the parameters of stmt, in order. A text that is a decimal
// integer is bound as an integer.
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

// row returns the current row of stmt in PostgreSQL's text format.
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

// replay runs statements in one transaction.
func (db *database) replay(statements []Statement) error {
	if len(statements) == 0 {
		return nil
	}
	if err := db.exec("BEGIN"); err != nil {
		return err
	}
	for _, s := range statements {
		x := execution{Statement: s, check: func(description) error { return nil }, emit: func([]value) {}}
		if _, err := db.execute(x); err != nil {
			db.rollback()
			return err
		}
	}
	err := db.exec("COMMIT")
	db.rollback() // a failed COMMIT leaves the transaction open
	return err
}

// rebuild replaces the contents with the result of replaying entries on an empty
// database.
func (db *database) rebuild(entries []Entry) error {
	if err := db.open(); err != nil {
		return err
	}
	for _, e := range entries {
		if err := db.replay(e.Statements); err != nil {
			return eris.Wrapf(err, "replay %s", e.Position())
		}
	}
	return nil
}
