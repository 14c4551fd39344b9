package dbserver

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bronzeloft/bronzeloft/database/groupsql"
	"github.com/bronzeloft/bronzeloft/position"
)

// unsupported contains the leading words of statements that the server rejects as
// not supported.
var unsupported = map[string]bool{
	"LISTEN": true, "NOTIFY": true, "UNLISTEN": true, "PREPARE": true,
	"EXECUTE": true, "DECLARE": true, "FETCH": true, "MOVE": true, "CLOSE": true,
	"LOCK": true, "TRUNCATE": true, "DO": true, "CALL": true, "GRANT": true, "REVOKE": true,
	"PRAGMA": true, "ATTACH": true, "DETACH": true, "VACUUM": true,
}

// verbOf returns the leading word of sql in upper case.
func verbOf(sql string) string {
	w := words(sql, 1)
	if len(w) == 0 {
		return ""
	}
	return w[0]
}

// describeStatement returns the description of a statement without running it.
func (c *session) describeStatement(sql string) (description, error) {
	switch verb := verbOf(sql); verb {
	case "GROUP":
		return description{columns: groupsql.Columns}, nil
	case "SHOW":
		return description{columns: []string{showName(sql)}}, nil
	case "SELECT", "INSERT", "REPLACE", "UPDATE", "DELETE", "WITH", "VALUES", "EXPLAIN":
		return c.server.engine.working.describe(rewrite(sql))
	default:
		if unsupported[verb] {
			return description{}, newError(codeNotSupported, "%s is not supported", verb)
		}
		return description{}, nil
	}
}

// execute runs one statement. withColumns requests a RowDescription before the
// rows, as the simple query protocol requires.
func (c *session) execute(ctx context.Context, sql string, args []Arg, withColumns bool) error {
	text := trimLeading(sql)
	if term, from, wait, ok := parsePull(text); ok && c.replication {
		return c.servePull(ctx, term, from, wait)
	}
	if op, ok := groupsql.Parse(strings.TrimSpace(text)); ok {
		return c.groupOp(ctx, op, withColumns)
	}
	verb := verbOf(text)
	if isControl[verb] {
		return c.control(ctx, verb, text)
	}
	if c.status == statusFailed {
		return newError(codeFailedTx, "current transaction is aborted, commands ignored until end of transaction block")
	}
	if unsupported[verb] {
		return newError(codeNotSupported, "%s is not supported", verb)
	}
	if c.handleSetting(verb, text, withColumns) {
		return nil
	}
	if verb == "COPY" {
		return c.copy(ctx, text)
	}
	return c.executeData(ctx, verb, Statement{SQL: rewrite(sql), Args: args}, withColumns)
}

// executeData runs a statement on the engine and sends its rows and its command
// tag to the client.
func (c *session) executeData(ctx context.Context, verb string, s Statement, withColumns bool) error {
	rows := 0
	onDescription := func(d description) {
		if withColumns && len(d.columns) > 0 {
			c.send(rowDescription(d.columns))
		}
	}
	emit := func(values []value) {
		rows++
		c.send(&pgproto3.DataRow{Values: values})
	}
	changed, err := c.run(ctx, s, onDescription, emit)
	if err == nil {
		c.complete(tagOf(verb, s.SQL, rows, changed))
	}
	return err
}

// errStatementWrites is returned for a statement that writes and therefore cannot
// run outside a transaction.
var errStatementWrites = errors.New("statement writes")

// run waits for a statement slot and the injected delay and executes a statement.
// onDescription is called once the statement has passed its checks, emit for each
// row. run returns the number of rows changed.
func (c *session) run(ctx context.Context, s Statement, onDescription func(description), emit func([]value)) (int, error) {
	release, err := c.acquireSlot(ctx)
	if err != nil {
		return 0, err
	}
	defer release()
	if !sleep(ctx, c.server.faults.currentDelay()) {
		return 0, canceledError()
	}
	if c.tx == nil && c.status == statusIdle && maybeReadOnly[verbOf(s.SQL)] {
		err := c.read(ctx, execution{s, nil, emit}, onDescription)
		if !errors.Is(err, errStatementWrites) {
			return 0, err
		}
	}
	return c.runInTransaction(ctx, execution{s, nil, emit}, onDescription)
}

// maybeReadOnly contains the leading words of statements that are first tried as
// reads outside a transaction.
var maybeReadOnly = map[string]bool{"SELECT": true, "VALUES": true, "WITH": true, "EXPLAIN": true}

// read executes a statement outside a transaction. It fails with
// errStatementWrites if the statement writes.
func (c *session) read(ctx context.Context, x execution, onDescription func(description)) error {
	x.check = func(d description) error {
		if d.write {
			return errStatementWrites
		}
		c.reportPosition(c.server.last())
		onDescription(d)
		return nil
	}
	return c.server.engine.read(ctx, x)
}

// runInTransaction executes a statement in the open transaction, beginning one if
// there is none.
func (c *session) runInTransaction(ctx context.Context, x execution, onDescription func(description)) (int, error) {
	if err := c.begin(ctx); err != nil {
		return 0, err
	}
	write := false
	x.check = func(d description) error {
		write = d.write
		if err := c.checkWrite(d); err != nil {
			return err
		}
		c.reportPosition(c.server.last())
		onDescription(d)
		return nil
	}
	changed, err := c.server.engine.run(ctx, c.tx, x)
	if err == nil && write {
		c.tx.statements = append(c.tx.statements, x.Statement)
	}
	return changed, err
}

// checkWrite rejects a write if the server or the transaction does not accept
// writes. On the first write of a transaction it records the term.
func (c *session) checkWrite(d description) error {
	if !d.write {
		return nil
	}
	if c.tx.readOnly {
		return newError(codeReadOnly, "cannot write in a read-only transaction")
	}
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.role != groupsql.Primary || c.tx.term != 0 && c.tx.term != s.state.term {
		return newError(codeReadOnly, "cannot write: server is not the primary of this transaction's term (role %s)", s.state.role)
	}
	c.tx.term = s.state.term
	return nil
}

// reportPosition sends p to the client unless it was the last position sent.
func (c *session) reportPosition(p position.Position) {
	if p == c.reported {
		return
	}
	c.reported = p
	c.send(&pgproto3.ParameterStatus{Name: groupsql.PositionParameter, Value: p.String()})
}

// tagOf returns the command tag of a statement.
func tagOf(verb, sql string, rows, changed int) string {
	switch verb {
	case "INSERT", "REPLACE":
		return fmt.Sprintf("INSERT 0 %d", changed)
	case "UPDATE", "DELETE":
		return fmt.Sprintf("%s %d", verb, changed)
	case "SELECT", "VALUES", "WITH":
		return fmt.Sprintf("SELECT %d", rows)
	default:
		return strings.Join(words(sql, 2), " ")
	}
}
