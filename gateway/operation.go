package gateway

import (
	"sync/atomic"
	"time"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/customer/fair"
	"github.com/bronzeloft/bronzeloft/database/sessionstate"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/position"
	"github.com/bronzeloft/bronzeloft/statement"
)

// operation is the execution of one statement.
type operation struct {
	statement.Request
	route      routes.Route
	svc        *service
	customer   string
	arrived    time.Time
	deadline   time.Time            // of the statement
	attempts   int                  // attempts to run it on a database
	tried      *triedReaders        // shared by the attempts of a read; nil if its reader is not chosen by expected time
	database   string               // the database of the last attempt, or of the one that succeeded
	floor      position.Position    // that the log of the database must have reached; zero for none
	state      sessionstate.Session // the session's state when the statement arrived
	lastCommit position.Position    // position of the session's last commit in the service
	sentAfter  position.Position    // reported before the last write or commit was sent
	sentIn     uint64               // the term that its database led then
	sent       *atomic.Bool         // set when the statement is sent to a database; nil if not needed

	elsewhere     bool // another database that is not cold may serve it
	inTransaction bool
	readOnly      bool      // the transaction is read-only
	began         time.Time // when the transaction's Begin or BeginRead arrived
}

// newOperation checks that the session may run a statement now and prepares its
// execution. If the session's key is no longer valid, it discards the transaction.
func (s *session) newOperation(req statement.Request) (*operation, error) {
	now := s.g.now()
	op := &operation{Request: req, arrived: now, state: s.state}
	route, err := s.route()
	if err != nil {
		s.discardTransaction()
		return nil, err
	}
	op.route, op.customer, op.lastCommit = route, s.customer, s.lastCommits[route.Service]
	timeout := route.Timeout
	if timeout <= 0 {
		timeout = defaultStatementTimeout
	}
	op.deadline = now.Add(timeout)
	if op.svc = s.g.service(route.Service); op.svc == nil {
		return nil, errkind.New(errkind.DatabaseUnavailable, "service %s has no databases", route.Service)
	}
	if s.tx != nil {
		op.inTransaction, op.readOnly, op.began = true, s.tx.readOnly, s.tx.began
	}
	return op, nil
}

// queueItem describes the operation to a database's queues.
func (op *operation) queueItem() fair.Item {
	urgent := op.route.Urgency <= urgentUpTo || op.inTransaction // an open transaction occupies a connection
	return fair.Item{Customer: op.customer, Urgent: urgent, Urgency: op.route.Urgency, Deadline: op.deadline}
}

// queueItemWithConnection describes an operation that holds a connection: it is of the
// most urgent class, because the connection serves nobody else meanwhile.
func (op *operation) queueItemWithConnection() fair.Item {
	item := op.queueItem()
	item.Urgency = 0
	return item
}

// urgentUpTo is the highest urgency number that is queued ahead of a customer's
// other requests. Routes number urgency from 0, the most urgent.
const urgentUpTo = 1

// writes reports whether the statement changes data.
func (op *operation) writes() bool {
	if op.Kind == statement.Execute {
		return op.state.Prepared[op.Name].Writes
	}
	return op.Kind == statement.Write
}

// restoreSession returns the statements that restore the session's state on a
// connection, and the request with its prepared statement named as on that
// connection.
func (op *operation) restoreSession(c *conn, req statement.Request) (before []statement.Request, main statement.Request) {
	steps := c.state.Sync(op.state)
	if req.Kind == statement.Execute {
		name, prepare := c.state.EnsurePrepared(op.state.Prepared[req.Name])
		req.Name = name
		steps = append(steps, prepare...)
	}
	for _, step := range steps {
		before = append(before, statement.Request{Statement: step})
	}
	return before, req
}
