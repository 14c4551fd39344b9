package dbserver

import (
	"context"
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bronzeloft/bronzeloft/database/groupsql"
	"github.com/bronzeloft/bronzeloft/position"
)

// groupOp runs a group operation and returns its report to the client as one row.
func (c *session) groupOp(ctx context.Context, op groupsql.Op, withColumns bool) error {
	if !sleep(ctx, c.server.faults.currentDelay()) {
		return canceledError()
	}
	report, err := c.server.operate(c.ctx, op)
	if err != nil {
		return fatalError(codeShutdown, "server is shutting down")
	}
	c.reportPosition(report.Position)
	if withColumns {
		c.send(rowDescription(groupsql.Columns))
	}
	var values [][]byte
	for _, text := range report.Row() {
		values = append(values, []byte(text))
	}
	c.send(&pgproto3.DataRow{Values: values})
	c.complete("GROUP")
	return nil
}

// operate runs op and returns the resulting report. It waits while the server is
// frozen and fails if ctx ends first.
func (s *Server) operate(ctx context.Context, op groupsql.Op) (groupsql.Report, error) {
	if op.Kind == groupsql.OpPosition {
		return s.Report(), s.waitThawed(ctx)
	}
	var report groupsql.Report
	err := s.update(ctx, func(st *state) {
		ok := st.apply(op, now())
		report = st.report(ok)
	})
	return report, err
}

// maxPullEntries limits the number of entries in the answer to one pull.
const maxPullEntries = 256

var pullPattern = regexp.MustCompile(`^GROUP PULL (\d+) (\d+/\d+) (\d+)$`)

// pullSQL returns the statement with which a replica of term requests the
// entries after from. The primary waits up to wait for a first entry.
func pullSQL(term uint64, from position.Position, wait time.Duration) string {
	return fmt.Sprintf("GROUP PULL %d %s %d", term, from, wait.Milliseconds())
}

// parsePull parses a statement made by pullSQL.
func parsePull(sql string) (term uint64, from position.Position, wait time.Duration, ok bool) {
	m := pullPattern.FindStringSubmatch(sql)
	if m == nil {
		return 0, position.Position{}, 0, false
	}
	term, err := strconv.ParseUint(m[1], 10, 64)
	if err != nil {
		return 0, position.Position{}, 0, false
	}
	from, err = position.Parse(m[2])
	if err != nil {
		return 0, position.Position{}, 0, false
	}
	ms, err := strconv.Atoi(m[3])
	return term, from, time.Duration(ms) * time.Millisecond, err == nil
}

// servePull answers a pull with rows of one column: the status, the hint, then
// one entry per row.
func (c *session) servePull(ctx context.Context, term uint64, from position.Position, wait time.Duration) error {
	status, entries, hint := c.server.awaitEntries(ctx, term, from, wait)
	c.send(rowDescription([]string{"pull"}))
	c.send(&pgproto3.DataRow{Values: [][]byte{[]byte(status)}})
	c.send(&pgproto3.DataRow{Values: [][]byte{strconv.AppendUint(nil, hint, 10)}})
	for _, e := range entries {
		text, err := json.Marshal(e)
		if err != nil {
			return err
		}
		c.send(&pgproto3.DataRow{Values: [][]byte{text}})
	}
	c.complete("GROUP")
	return nil
}

// awaitEntries answers a pull as soon as there are entries to return or the
// status is not pullMatch, and after wait at the latest. If ctx ends first, it
// answers pullRefused.
func (s *Server) awaitEntries(ctx context.Context, term uint64, from position.Position, wait time.Duration) (pullStatus, []Entry, uint64) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		status, entries, hint := s.state.answerPull(term, from, maxPullEntries)
		changed := s.changed
		s.mu.Unlock()
		if status != pullMatch || len(entries) > 0 {
			return status, entries, hint
		}
		select {
		case <-changed:
		case <-timer.C:
			return status, entries, hint
		case <-ctx.Done():
			return pullRefused, nil, 0
		}
	}
}
