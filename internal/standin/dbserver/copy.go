package dbserver

import (
	"context"
	"fmt"
	"regexp"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

var (
	copyInPattern  = regexp.MustCompile(`(?is)^COPY\s+([\w."]+)\s*(\([^)]*\))?\s+FROM\s+STDIN\s*$`)
	copyOutPattern = regexp.MustCompile(`(?is)^COPY\s+(?:\((.*)\)|([\w."]+)\s*(?:\(([^)]*)\))?)\s+TO\s+STDOUT\s*$`)
)

// copy handles COPY FROM STDIN and COPY TO STDOUT in the text format.
func (c *session) copy(ctx context.Context, sql string) error {
	sql = strings.TrimSpace(sql)
	if m := copyInPattern.FindStringSubmatch(sql); m != nil {
		return c.copyIn(ctx, m[1], m[2])
	}
	m := copyOutPattern.FindStringSubmatch(sql)
	if m == nil {
		return newError(codeNotSupported, "COPY is supported from STDIN and to STDOUT in the text format only")
	}
	query := m[1]
	if query == "" {
		columns := m[3]
		if columns == "" {
			columns = "*"
		}
		query = "SELECT " + columns + " FROM " + m[2]
	}
	return c.copyOut(ctx, rewrite(query))
}

func (c *session) copyOut(ctx context.Context, query string) error {
	rows := 0
	onDescription := func(d description) {
		c.send(&pgproto3.CopyOutResponse{ColumnFormatCodes: make([]uint16, len(d.columns))})
	}
	emit := func(values []value) {
		rows++
		c.send(&pgproto3.CopyData{Data: []byte(copyLine(values))})
	}
	if _, err := c.run(ctx, Statement{SQL: query}, onDescription, emit); err != nil {
		return err
	}
	c.send(&pgproto3.CopyDone{})
	c.complete(fmt.Sprintf("COPY %d", rows))
	return nil
}

func (c *session) copyIn(ctx context.Context, table, columns string) error {
	list := strings.Trim(columns, "()")
	if list == "" {
		list = "*"
	}
	d, err := c.server.engine.working.describe("SELECT " + list + " FROM " + table)
	if err != nil {
		return err
	}
	if err := c.begin(ctx); err != nil {
		return err
	}
	if err := c.checkWrite(description{write: true}); err != nil {
		return err
	}
	c.send(&pgproto3.CopyInResponse{ColumnFormatCodes: make([]uint16, len(d.columns))})
	lines, err := c.receiveCopy()
	if err != nil {
		return err
	}
	insert := fmt.Sprintf("INSERT INTO %s %s VALUES (%s)", table, columns, placeholders(len(d.columns)))
	for _, line := range lines {
		args := copyFields(line)
		if len(args) != len(d.columns) {
			return newError("22P04", "row has %d columns, want %d", len(args), len(d.columns))
		}
		x := execution{Statement: Statement{SQL: insert, Args: args}, emit: func([]value) {}}
		if _, err := c.runInTransaction(ctx, x, func(description) {}); err != nil {
			return err
		}
	}
	c.complete(fmt.Sprintf("COPY %d", len(lines)))
	return nil
}

// receiveCopy reads the client's COPY data until CopyDone and returns its lines.
func (c *session) receiveCopy() ([]string, error) {
	if err := c.flush(); err != nil {
		return nil, fatalError(codeShutdown, "server is shutting down")
	}
	var data strings.Builder
	for {
		msg, err := c.receive()
		if err != nil {
			return nil, fatalError(codeProtocol, "connection lost during COPY")
		}
		switch msg := msg.(type) {
		case *pgproto3.CopyData:
			data.Write(msg.Data)
		case *pgproto3.CopyDone:
			return copyLines(data.String()), nil
		case *pgproto3.CopyFail:
			return nil, newError(codeCanceled, "COPY from stdin failed: %s", msg.Message)
		case *pgproto3.Flush, *pgproto3.Sync:
		default:
			return nil, fatalError(codeProtocol, "unexpected message %T during COPY", msg)
		}
	}
}

func placeholders(n int) string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("?%d", i+1)
	}
	return strings.Join(list, ", ")
}

// copyLines splits data in the text format into lines, up to the end marker \..
func copyLines(data string) []string {
	var lines []string
	for line := range strings.Lines(data) {
		line = strings.TrimRight(line, "\r\n")
		if line == `\.` {
			break
		}
		lines = append(lines, line)
	}
	return lines
}

var (
	copyEscape   = strings.NewReplacer(`\`, `\\`, "\t", `\t`, "\n", `\n`, "\r", `\r`)
	copyUnescape = strings.NewReplacer(`\\`, `\`, `\t`, "\t", `\n`, "\n", `\r`, "\r")
)

// copyFields parses one line in the text format into its values.
func copyFields(line string) []Arg {
	var args []Arg
	for field := range strings.SplitSeq(line, "\t") {
		if field == `\N` {
			args = append(args, Arg{Null: true})
			continue
		}
		args = append(args, Arg{Text: copyUnescape.Replace(field)})
	}
	return args
}

// copyLine formats values as one line in the text format.
func copyLine(values []value) string {
	fields := make([]string, len(values))
	for i, v := range values {
		fields[i] = `\N`
		if v != nil {
			fields[i] = copyEscape.Replace(string(v))
		}
	}
	return strings.Join(fields, "\t") + "\n"
}
