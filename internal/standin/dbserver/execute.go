package dbserver

import (
	"context"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bronzeloft/bronzeloft/database/groupsql"
	"github.com/bronzeloft/bronzeloft/position"
)

// refused are statements of PostgreSQL that the server does not have.
var refused = map[string]bool{
	"COPY": true, "LISTEN": true, "NOTIFY": true, "UNLISTEN": true, "PREPARE": true,
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

// shape describes a statement before it runs.
func (c *session) shape(sql string) (description, error) {
	switch verb := verbOf(sql); verb {
	case "GROUP":
		return description{columns: groupsql.Columns}, nil
	case "SHOW":
		return description{columns: []string{showName(sql)}}, nil
	case "SELECT", "INSERT", "REPLACE", "UPDATE", "DELETE", "WITH", "VALUES", "EXPLAIN":
		return c.server.engine.describe(rewrite(sql))
	default:
		if refused[verb] {
			return description{}, newError(codeNotSupported, "%s is not supported", verb)
		}
		return description{}, nil
	}
}

// execute runs one statement. withColumns asks for a RowDescription, as the
// simple protocol has it.
func (c *session) execute(ctx context.Context, sql string, args []Arg, withColumns bool) error {
	text := trimLeading(sql)
	if term, from, wait, ok := parsePull(text); ok && c.replication {
		return c.servePull(ctx, term, from, wait)
	}
	if !sleep(ctx, c.server.faults.slowNow()) {
		return newError(codeCanceled, "canceling statement due to user request")
	}
	if op, ok := groupsql.Parse(strings.TrimSpace(text)); ok {
		return c.groupOp(op, withColumns)
	}
	verb := verbOf(text)
	if handled, err := c.control(verb, text); handled {
		return err
	}
	if c.status == statusFailed {
		return newError(codeFailedTx, "current transaction is aborted, commands ignored until end of transaction block")
	}
	if refused[verb] {
		return newError(codeNotSupported, "%s is not supported", verb)
	}
	if c.setting(verb, text, withColumns) {
		return nil
	}
	return c.data(ctx, verb, Statement{SQL: rewrite(sql), Args: args}, withColumns)
}

// data runs a statement on the engine, beginning a transaction if none is open.
func (c *session) data(ctx context.Context, verb string, s Statement, withColumns bool) error {
	release, err := c.acquireSlot(ctx)
	if err != nil {
		return err
	}
	defer release()
	if err := c.begin(ctx); err != nil {
		return err
	}
	write, rows := false, 0
	check := func(d description) error {
		write = d.write
		if err := c.permit(d); err != nil {
			return err
		}
		c.tell(c.server.last())
		if withColumns && len(d.columns) > 0 {
			c.send(rowDescription(d.columns))
		}
		return nil
	}
	emit := func(values []value) {
		rows++
		c.send(&pgproto3.DataRow{Values: values})
	}
	changed, err := c.server.engine.run(ctx, c.tx, s, check, emit)
	if err != nil {
		return err
	}
	if write {
		c.tx.statements = append(c.tx.statements, s)
	}
	c.complete(tagOf(verb, s.SQL, rows, changed))
	if !write && !c.tx.explicit && c.tx.term == 0 {
		return c.commit() // a read outside a block needs the lock no longer
	}
	return nil
}

// permit refuses a write where the server or the transaction takes none, and
// notes the term of a first write.
func (c *session) permit(d description) error {
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
		return newError(codeReadOnly, "server is not the primary (%s)", s.state.role)
	}
	c.tx.term = s.state.term
	return nil
}

// tell reports the position of the connection if the client does not know it.
func (c *session) tell(p position.Position) {
	if p == c.heard {
		return
	}
	c.heard = p
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

// setting handles SET, RESET, SHOW, DISCARD and DEALLOCATE.
func (c *session) setting(verb, sql string, withColumns bool) bool {
	switch verb {
	case "SET":
		name, val := splitSetting(sql)
		c.settings[name] = val
		c.complete("SET")
	case "RESET":
		clear(c.settings)
		c.complete("RESET")
	case "DISCARD":
		clear(c.settings)
		clear(c.statements)
		c.complete("DISCARD ALL")
	case "DEALLOCATE":
		c.deallocate(sql)
	case "SHOW":
		c.show(showName(sql), withColumns)
	default:
		return false
	}
	return true
}

// splitSetting reads "SET [SESSION|LOCAL] name {=|TO} value".
func splitSetting(sql string) (name, val string) {
	fields := strings.Fields(strings.ReplaceAll(sql, "=", " "))[1:]
	if len(fields) > 0 && (strings.EqualFold(fields[0], "session") || strings.EqualFold(fields[0], "local")) {
		fields = fields[1:]
	}
	if len(fields) == 0 {
		return "", ""
	}
	rest := fields[1:]
	if len(rest) > 0 && strings.EqualFold(rest[0], "to") {
		rest = rest[1:]
	}
	return strings.ToLower(fields[0]), strings.Trim(strings.Join(rest, " "), "'")
}

func (c *session) deallocate(sql string) {
	fields := strings.Fields(sql)
	name := fields[len(fields)-1]
	if strings.EqualFold(name, "all") {
		clear(c.statements)
	}
	delete(c.statements, strings.Trim(name, `"`))
	c.complete("DEALLOCATE")
}

func showName(sql string) string {
	fields := strings.Fields(sql)
	return strings.ToLower(fields[len(fields)-1])
}

func (c *session) show(name string, withColumns bool) {
	if withColumns {
		c.send(rowDescription([]string{name}))
	}
	c.send(&pgproto3.DataRow{Values: [][]byte{[]byte(c.settings[name])}})
	c.complete("SHOW")
}
