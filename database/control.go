package database

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"github.com/bronzeloft/bronzeloft/database/groupsql"
)

// ErrBusy is the error of an operation that was rejected because the queue was full.
var ErrBusy = errors.New("database: control connection queue is full")

// controlQueue is the maximum number of operations queued for one control
// connection.
const controlQueue = 16

// probe runs an empty query.
func (c *Conn) probe() error {
	_, err := c.query("")
	return err
}

// query runs one simple query and returns its first row, nil for none.
func (c *Conn) query(sql string) ([]string, error) {
	if _, err := c.Send(&pgproto3.Query{String: sql}); err != nil {
		return nil, eris.Wrap(err, "send")
	}
	rows, err := c.ReadRows()
	if err != nil || len(rows) == 0 {
		return nil, err
	}
	return rows[0], nil
}

// RunOp runs one group operation and returns the server's report.
func (c *Conn) RunOp(op groupsql.Op) (groupsql.Report, error) {
	row, err := c.query(op.SQL())
	if err != nil {
		return groupsql.Report{}, err
	}
	return groupsql.ParseRow(row)
}

// Result is the outcome of one group operation.
type Result struct {
	Op     groupsql.Op
	SentAt time.Time // just before the operation was sent, or tried if it could not be sent; by the proxy's clock
	Report groupsql.Report
	Err    error
	// Refused reports that the connection was refused: no process listens on
	// the address.
	Refused bool
}

// Control is the control connection to one database. It dials on demand, runs
// one operation at a time and replaces a connection on which an operation failed
// or timed out.
type Control struct {
	cfg  PoolConfig
	ops  chan controlOp
	stop chan struct{}
	once sync.Once
}

type controlOp struct {
	op      groupsql.Op
	timeout time.Duration
	done    func(Result)
}

// NewControl returns a Control and starts its worker goroutine, which Close stops.
func NewControl(cfg PoolConfig) *Control {
	c := &Control{cfg: cfg, ops: make(chan controlOp, controlQueue), stop: make(chan struct{})}
	go c.serveQueue()
	return c
}

// Address returns the database's address.
func (c *Control) Address() string { return c.cfg.Address }

// Enqueue queues an operation. done is called once, from another goroutine, unless
// c is closed before the operation runs; if the queue is full it gets ErrBusy at
// once. timeout starts when the operation is taken from the queue, and includes
// the time to dial.
func (c *Control) Enqueue(op groupsql.Op, timeout time.Duration, done func(Result)) {
	select {
	case c.ops <- controlOp{op: op, timeout: timeout, done: done}:
	default:
		go done(Result{Op: op, SentAt: c.cfg.Now(), Err: ErrBusy})
	}
}

// Close stops the worker. Operations still queued are dropped without a call of
// their done.
func (c *Control) Close() { c.once.Do(func() { close(c.stop) }) }

func (c *Control) serveQueue() {
	var conn *Conn
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for {
		select {
		case <-c.stop:
			return
		case op := <-c.ops:
			conn = c.runQueued(conn, op)
		}
	}
}

// runQueued runs op and returns the connection for the next operation, nil
// after a failure.
func (c *Control) runQueued(conn *Conn, op controlOp) *Conn {
	res := Result{Op: op.op, SentAt: c.cfg.Now()}
	deadline := res.SentAt.Add(op.timeout)
	if conn == nil {
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		conn, res.Err = Dial(ctx, c.cfg.ID, c.cfg.Address, c.cfg.Login)
		cancel()
		res.Refused = errors.Is(res.Err, syscall.ECONNREFUSED)
	}
	if res.Err == nil {
		conn.SetDeadline(deadline)
		res.SentAt = c.cfg.Now()
		res.Report, res.Err = conn.RunOp(op.op)
	}
	if res.Err != nil && conn != nil {
		conn.MarkBroken()
		conn.Close()
		conn = nil
	}
	op.done(res)
	return conn
}

// ReadRows reads up to the next ReadyForQuery and returns the rows as text, NULL
// as the empty string. The error is a *ServerError if the server reported one; the
// connection then stays usable.
func (c *Conn) ReadRows() ([][]string, error) {
	var rows [][]string
	var failed error
	for {
		msg, err := c.Receive()
		if err != nil {
			return nil, eris.Wrap(err, "receive")
		}
		switch m := msg.(type) {
		case *pgproto3.DataRow:
			row := make([]string, len(m.Values))
			for i, v := range m.Values {
				row[i] = string(v)
			}
			rows = append(rows, row)
		case *pgproto3.ErrorResponse:
			failed = &ServerError{Code: m.Code, Message: m.Message}
		case *pgproto3.ReadyForQuery:
			return rows, failed
		}
	}
}
