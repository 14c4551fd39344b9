package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/customer/retry"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/position"
	"github.com/bronzeloft/bronzeloft/statement"
)

// controlConn is a replacement attempt's connection to one database, with the
// database's last report.
type controlConn struct {
	db       routes.Database
	conn     Connection // nil before the first query and after a failed one
	report   statement.Report
	askedAt  time.Time // when the query was sent that it answers
	answered bool      // the last query was answered
	refused  bool      // the last query showed that the database is not running at its address
	failure  failure   // why the last query was not answered
	former   bool      // no longer listed
	sent     bool      // the last query may have reached the database
	pausedTo uint64    // the newest term of a Pause that was sent, and of no Resume answered since; 0 for none
	// Set when the successor was chosen: the log was read, and ended there.
	read       bool
	chosenWith position.Position
}

// addNewDatabases adds a controlConn for each present or former database, and each one of
// the store's list or the roster, that has none yet, and returns the added ones. They are
// dialled at the first query.
func (a *replacement) addNewDatabases() []*controlConn {
	known := map[string]bool{}
	for _, c := range a.conns {
		known[c.db.ID] = true
	}
	a.s.mu.Lock()
	present, former := a.s.table.All(), a.s.table.Former()
	a.s.mu.Unlock()
	// This host's list may not show yet that a database has restarted.
	present = slices.DeleteFunc(present, func(db routes.Database) bool { return inList(a.storeList, db.ID) })
	present = append(present, a.storeList...)
	for i, db := range former {
		if place, ok := a.roster.Databases[db.ID]; ok && place.StartMillis > db.StartMillis {
			former[i].Address, former[i].StartMillis = place.Address, place.StartMillis // a later process, of which this host has not heard
		}
	}
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

func inList(list []routes.Database, id string) bool {
	return slices.ContainsFunc(list, func(db routes.Database) bool { return db.ID == id })
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
	c.answered, c.refused, c.sent, c.failure = false, false, false, ""
	var backoff retry.Backoff
	for {
		mayHaveRun := c.sent
		err := a.roundTrip(ctx, c, st)
		if errkind.Of(err) == errkind.DatabaseBusy {
			c.sent = mayHaveRun // a refused statement has not run
		}
		if err == nil {
			c.answered, c.failure = true, ""
			a.s.mu.Lock()
			if c.report.Primary {
				a.s.table.RecordLed(c.report.Term, c.db.ID)
			}
			a.s.table.RecordTerm(c.report.Term)
			a.s.mu.Unlock()
			return
		}
		c.failure = laterFailure(c.failure, failureOf(err))
		if errkind.Of(err) != errkind.DatabaseBusy && c.conn != nil {
			c.conn.Reset() // a PAUSE or RESUME that has not left this host must not be delivered later
			c.conn = nil
		}
		if c.refused = notRunning(err); c.refused || !backoff.Pause(ctx) {
			a.log.Info("Database did not answer.", "database", c.db.ID, "error", err)
			return
		}
	}
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
	c.sent = true
	deadline, _ := ctx.Deadline()
	askedAt := a.s.g.now()
	answers, err := c.conn.Run(deadline, statement.Request{Statement: st})
	if err != nil {
		return err
	}
	report, err := c.conn.Report(answers[0])
	if err == nil {
		c.report, c.askedAt = report, askedAt
	}
	return err
}

func (a *replacement) closeConns() {
	for _, c := range a.conns {
		if c.conn != nil {
			c.conn.Close()
		}
	}
}
