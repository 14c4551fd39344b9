package gateway

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/customer/retry"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/statement"
)

// controlConn is a replacement attempt's connection to one database, with the
// database's last report.
type controlConn struct {
	db       routes.Database
	conn     Connection // nil before the first query and after a failed one
	report   statement.Report
	answered bool // the last query was answered
	former   bool // no longer listed
	sends    sends
}

// sends counts how often the last statement was sent to a database without success.
type sends struct {
	unanswered int // got no answer; the database may still carry them out, seconds later
	refused    int
}

// addNewDatabases adds a controlConn for each present or former database, and each
// one of the roster, that has none yet, and returns the added ones. They are dialled at the first query.
func (a *replacement) addNewDatabases() []*controlConn {
	known := map[string]bool{}
	for _, c := range a.conns {
		known[c.db.ID] = true
	}
	a.s.mu.Lock()
	present, former := a.s.table.All(), a.s.table.Former()
	a.s.mu.Unlock()
	former = append(former, a.roster.Missing(a.s.name, append(present, former...))...)
	var out []*controlConn
	for _, db := range present {
		if !known[db.ID] {
			out = append(out, &controlConn{db: db})
		}
	}
	for _, db := range former {
		if !known[db.ID] {
			out = append(out, &controlConn{db: db, former: true})
		}
	}
	a.conns = append(a.conns, out...)
	return out
}

// query sends a statement to all given databases concurrently and waits for their
// answers.
func (a *replacement) query(ctx context.Context, conns []*controlConn, st statement.Statement) {
	var all sync.WaitGroup
	for _, c := range conns {
		all.Go(func() { a.queryOne(ctx, c, st) })
	}
	all.Wait()
}

// queryOne sends a statement to one database. It retries until the timeout unless
// the database is not running.
func (a *replacement) queryOne(ctx context.Context, c *controlConn, st statement.Statement) {
	limit := controlTimeout
	if c.former {
		limit = formerTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	c.answered, c.sends = false, sends{}
	if st.Kind != statement.Status {
		started := a.s.g.now()
		defer func() { a.recordOrder(c, st, a.s.g.now().Sub(started)) }()
	}
	var backoff retry.Backoff
	for {
		err := a.roundTrip(ctx, c, st)
		if err == nil {
			c.answered = true
			a.s.mu.Lock()
			a.s.table.RecordTerm(c.report.Term)
			a.s.mu.Unlock()
			return
		}
		if errkind.Of(err) != errkind.DatabaseBusy && c.conn != nil {
			c.conn.Close()
			c.conn = nil
		}
		if notRunning(err) || !backoff.Pause(ctx) {
			a.log.Info("Database did not answer.", "database", c.db.ID, "error", err)
			return
		}
	}
}

// Outcomes of a control order to one database, with all its retries.
const (
	orderAnswered   = "answered"
	orderUnanswered = "unanswered" // may still be carried out
	orderRefused    = "refused"    // without effect
	orderUnsent     = "unsent"     // the database could not be dialled
)

func (c *controlConn) orderOutcome() string {
	switch {
	case c.answered:
		return orderAnswered
	case c.sends.unanswered > 0:
		return orderUnanswered
	case c.sends.refused > 0:
		return orderRefused
	}
	return orderUnsent
}

// recordOrder logs and counts an order that changes a database's state. The term,
// received and paused of the line are those that the database answered.
func (a *replacement) recordOrder(c *controlConn, st statement.Statement, took time.Duration) {
	outcome := c.orderOutcome()
	a.s.g.metrics.controlOrder(st.Kind, outcome)
	attrs := []any{
		"order", st.Kind.String(), "order_term", st.Term, "fence", a.leaseObject.Version, "database", c.db.ID, "outcome", outcome,
		"unanswered_sends", c.sends.unanswered, "refused_sends", c.sends.refused, "took_ms", took.Milliseconds(),
	}
	if c.answered {
		attrs = append(attrs, "is_primary", c.report.Primary, "term", c.report.Term, "received", c.report.Received.String(), "paused", c.report.Paused)
	}
	a.log.Info("Control order.", attrs...)
}

// notRunning reports whether an error shows that the database is not running at
// its announced address.
func notRunning(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errkind.Of(err) == errkind.WrongDatabase
}

func (a *replacement) roundTrip(ctx context.Context, c *controlConn, st statement.Statement) error {
	if c.conn == nil {
		dialCtx, cancel := context.WithTimeout(ctx, controlDialTimeout)
		defer cancel()
		conn, err := a.s.g.platform.Dial(dialCtx, c.db, a.s.g.anyCustomer())
		if err != nil {
			return err
		}
		c.conn = conn
	}
	deadline, _ := ctx.Deadline()
	answers, err := c.conn.Run(deadline, statement.Request{Statement: st})
	if err != nil {
		c.sends.unanswered++
		return err
	}
	if c.report, err = c.conn.Report(answers[0]); err != nil {
		c.sends.refused++
	}
	return err
}

// resumeAll resumes replication on all databases of the attempt.
func (a *replacement) resumeAll() {
	ctx, cancel := context.WithTimeout(a.s.g.ctx, controlTimeout)
	defer cancel()
	a.query(ctx, a.conns, statement.Statement{Kind: statement.Resume})
}

func (a *replacement) closeConns() {
	for _, c := range a.conns {
		if c.conn != nil {
			c.conn.Close()
		}
	}
}
