package gateway

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/customer/fair"
	"github.com/bronzeloft/bronzeloft/customer/turn"
	"github.com/bronzeloft/bronzeloft/database/allotment"
	"github.com/bronzeloft/bronzeloft/database/cold"
	"github.com/bronzeloft/bronzeloft/database/sessionstate"
	"github.com/bronzeloft/bronzeloft/database/window"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/position"
	"github.com/bronzeloft/bronzeloft/statement"
)

// Timing of connections to databases.
const (
	// dialTimeout is many times what setting up a connection takes, which is 30 ms
	// at most.
	dialTimeout = 700 * time.Millisecond
	// avoidRefusingFor is how long a database that answered the startup of a
	// connection with an error ranks behind the other readers. If it has reached its
	// connection limit, no additional connections are opened to it for as long.
	avoidRefusingFor = 300 * time.Millisecond
)

// pool holds at most max connections of this host to one database; there may be
// more for a moment while some are borrowed. A connection belongs to one customer.
// When a customer without a connection needs one and the pool is full, an idle
// connection is closed (see removeIdle).
type pool struct {
	g     *Gateway
	svc   *service
	turns *turn.Queue // admits customers to connections
	slots *turn.Queue // admits statements to the database
	cold  coldGate
	// coldWaiting is the number of requests that wait for a cold database.
	coldWaiting atomic.Int64

	mu     sync.Mutex // guards the fields below; a leaf lock
	db     routes.Database
	idle   []*conn // least recently used first
	open   int
	max    int
	window window.Window // of statements in flight
	closed bool
	// coldHeartbeatAt is when a STATUS replaced a sample that was held back.
	coldHeartbeatAt time.Time
	// leavingSince is when the database announced its shutdown; zero if it has not.
	leavingSince time.Time
	usage        *allotment.Usage // nil unless connections are scarce
	// fullUntil is when the database is no longer assumed to have reached its
	// connection limit. Until then, a new connection is opened only in place of an
	// idle one.
	fullUntil time.Time
}

// conn is a pooled connection, in use or idle.
type conn struct {
	Connection
	pool       *pool
	customer   string
	state      sessionstate.Connection
	turn       uint64 // in pool.turns; held while a session uses the connection
	slot       uint64 // in pool.slots, for the next statement; 0 if none is held
	usedAt     time.Time
	takenAt    time.Time         // of the check-out by a customer; zero for other uses
	txState    statement.State   // after the last answer
	reported   position.Position // of the last answer
	coldClass  cold.Class        // of the requests for which no statement has waited
	coldPaid   int               // requests admitted to a cold database and not sent yet
	coldPaidAt time.Time         // when the last of them was admitted
	refused    bool              // a statement failed or was refused
	broken     bool              // must be closed instead of reused
}

func newPool(g *Gateway, svc *service, db routes.Database, size int) *pool {
	p := &pool{g: g, svc: svc, db: db, cold: make(coldGate, 1), max: size, window: window.New(db.Slots, g.peers.dataCentreCount())}
	p.turns = turn.New(fair.Config{Slots: size, Classes: g.urgencyClasses(), Pinned: true}, g.now)
	p.slots = turn.New(fair.Config{Slots: p.window.Size(), Classes: g.urgencyClasses()}, g.now)
	return p
}

// shrinkWindow shrinks the window after the database refused a statement because
// it is overloaded.
func (p *pool) shrinkWindow(now time.Time) {
	p.resizeWindow(func() { p.window.RecordRefusal(now) })
}

// resizeWindow applies a change to the window and adjusts the number of slots to
// it.
func (p *pool) resizeWindow(change func()) {
	p.mu.Lock()
	before := p.window.Size()
	change()
	after := p.window.Size()
	p.mu.Unlock()
	if before != after {
		p.slots.SetSlots(after)
	}
}

// drainMargin is the part of Options.DatabaseDrain in which no statement is sent any
// more: a statement may still open a connection, and the announcement may have been
// under way for a while.
const drainMargin = time.Second

func (p *pool) setLeavingSince(t time.Time) {
	p.mu.Lock()
	p.leavingSince = t
	p.mu.Unlock()
}

// checkDrain returns an error if the database announced its shutdown so long ago that
// it must not be sent a statement. mu is held.
func (p *pool) checkDrain() error {
	limit := p.g.opt.DatabaseDrain
	if limit <= 0 || p.leavingSince.IsZero() || p.g.now().Sub(p.leavingSince) < limit-drainMargin {
		return nil
	}
	return errkind.New(errkind.DatabaseUnavailable, "database %s is shutting down", p.db.ID)
}

// drained reports whether the database must not be sent a statement.
func (p *pool) drained() bool {
	if p.isClosed() {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.checkDrain() != nil
}

// setMax changes the maximum number of connections and closes idle ones in excess
// of it.
func (p *pool) setMax(n int) {
	p.mu.Lock()
	changed := p.max != n
	p.max = n
	var extra []*conn
	for p.open > p.max && len(p.idle) > 0 {
		extra = append(extra, p.removeIdle())
	}
	p.mu.Unlock()
	for _, c := range extra {
		p.g.metrics.closed(closedExcess)
		c.Close()
	}
	if changed {
		p.turns.SetSlots(n)
	}
}

// acquire waits for the customer's turn, then for a slot of the database, and
// only then checks out a connection: a waiting statement must not occupy a
// connection that other statements of its customer could use.
func (p *pool) acquire(ctx context.Context, item fair.Item) (*conn, error) {
	arrived := p.g.now()
	id, err := p.turns.Acquire(ctx, item)
	if err != nil {
		p.g.recordQueueWait(item, arrived, err)
		return nil, err
	}
	slot, err := p.slots.Acquire(ctx, item)
	p.g.recordQueueWait(item, arrived, err)
	if err != nil {
		p.turns.Release(id)
		return nil, err
	}
	if p.isClosed() {
		p.slots.Release(slot)
		p.turns.Release(id)
		return nil, p.closedError()
	}
	c, err := p.checkOut(ctx, item.Customer)
	if err != nil {
		p.slots.Release(slot)
		p.turns.Release(id)
		return nil, err
	}
	c.turn, c.slot = id, slot
	return c, nil
}

// freeSlot releases the slot that the connection holds, if any.
func (c *conn) freeSlot() {
	if c.slot != 0 {
		c.pool.slots.Release(c.slot)
		c.slot = 0
	}
}

// checkOut returns an idle connection of the customer, or a new one.
func (p *pool) checkOut(ctx context.Context, customer string) (*conn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, errkind.New(errkind.DatabaseUnavailable, "database %s has restarted or been removed; its connection pool is closed", p.db.ID)
	}
	if err := p.checkDrain(); err != nil {
		p.mu.Unlock()
		return nil, err
	}
	now := p.g.now()
	if p.usage != nil {
		p.usage.CheckOut(customer, now)
	}
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; c.customer == customer {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			p.mu.Unlock()
			c.takenAt = now
			return c, nil
		}
	}
	databaseFull := now.Before(p.fullUntil)
	evicted := p.evictIdle(databaseFull)
	if databaseFull && evicted == nil {
		p.mu.Unlock()
		return nil, errkind.New(errkind.DatabaseFull, "database %s recently reached its connection limit and this host has no idle connection to replace", p.db.ID)
	}
	p.open++
	db := p.db
	p.mu.Unlock()
	if evicted != nil {
		p.g.metrics.closed(closedEvicted)
		evicted.Close()
		p.g.metrics.dialling(dialledReplacing)
	} else {
		p.g.metrics.dialling(dialledAdding)
	}
	c, err := p.dial(ctx, db, customer)
	if c != nil {
		c.takenAt = now
	}
	return c, err
}

// dial opens a connection, which the caller has already counted in open.
func (p *pool) dial(ctx context.Context, db routes.Database, customer string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	sentAt := p.g.now()
	raw, err := p.g.platform.Dial(ctx, db, customer)
	if err != nil {
		p.decrementOpen()
		return nil, p.dialFailed(err, sentAt)
	}
	p.g.metrics.dialled.Inc()
	p.svc.recordAnswer(db.ID, sentAt)
	return &conn{Connection: raw, pool: p, customer: customer, usedAt: p.g.now(), coldClass: cold.Sample}, nil
}

// dialFailed records a failed connection attempt and returns its error.
func (p *pool) dialFailed(err error, sentAt time.Time) error {
	p.svc.chooser.recordDialFailure(p.db, sentAt)
	var kindErr *errkind.Error
	if errors.As(err, &kindErr) {
		until := p.g.now().Add(avoidRefusingFor)
		p.svc.avoid(p.db.ID, until)
		if kindErr.Kind == errkind.DatabaseFull {
			p.mu.Lock()
			p.fullUntil = until
			p.mu.Unlock()
		}
		p.g.log.Warn("Database answered the startup of a connection with an error.", "part", "pool", "database", p.db.ID, "kind", kindErr.Kind.String())
		return kindErr
	}
	p.svc.recordFailure(p.db.ID, sentAt, errors.Is(err, syscall.ECONNREFUSED))
	return errkind.Wrap(errkind.DatabaseUnavailable, err, "database "+p.db.ID)
}

func (p *pool) decrementOpen() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// release returns a connection to the pool and ends the customer's turn. A connection on
// which the database refused a statement is closed: errors are not signed, so a second,
// late copy of one could be taken for the refusal of the next statement.
func (p *pool) release(c *conn) {
	c.freeSlot()
	c.broken = c.broken || c.refused
	id := c.turn // another session may use the connection once it is checked in
	p.checkIn(c)
	p.turns.Release(id)
}

// checkIn makes a connection available to other sessions, or closes it. A connection
// on which a transaction is open or has failed is never passed on.
func (p *pool) checkIn(c *conn) {
	c.usedAt, c.coldPaid, c.coldClass = p.g.now(), 0, cold.Sample
	c.broken = c.broken || c.txState != statement.Idle
	p.mu.Lock()
	if p.usage != nil && !c.takenAt.IsZero() {
		p.usage.CheckIn(c.usedAt.Sub(c.takenAt))
	}
	c.takenAt = time.Time{}
	if c.broken || p.closed || p.open > p.max || c.state.Full() {
		p.open--
		p.mu.Unlock()
		c.discard()
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// spareIdleTimeout is how long a host that is not the home host keeps an idle
// connection. The home host may need the connection, because the database limits
// those of all hosts together.
const spareIdleTimeout = 2 * time.Second

// closeSpare closes the connections that have been idle for spareIdleTimeout.
func (p *pool) closeSpare(now time.Time) {
	p.mu.Lock()
	keep := p.idle[:0]
	var spare []*conn
	for _, c := range p.idle {
		if now.Sub(c.usedAt) >= spareIdleTimeout {
			spare = append(spare, c)
			continue
		}
		keep = append(keep, c)
	}
	p.idle = keep
	p.open -= len(spare)
	p.mu.Unlock()
	for _, c := range spare {
		p.g.metrics.closed(closedExcess)
		c.Close()
	}
}

// borrow returns an idle connection of any customer, or opens one for the given
// customer, without waiting for a turn. It returns nil without an error if no
// connection is idle and none may be opened. A borrowed connection is returned by
// checkIn, not by release.
func (p *pool) borrow(ctx context.Context, customer string) (*conn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, errkind.New(errkind.DatabaseUnavailable, "database %s has restarted or been removed; its connection pool is closed", p.db.ID)
	}
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		return c, nil
	}
	if p.open >= p.max || p.g.now().Before(p.fullUntil) {
		p.mu.Unlock()
		return nil, nil
	}
	p.open++
	db := p.db
	p.mu.Unlock()
	return p.dial(ctx, db, customer)
}

// borrowInTurn is borrow, but if all connections are in use, it waits until ctx ends for the
// turn of an urgent statement. giveBack returns the connection.
func (p *pool) borrowInTurn(ctx context.Context) (c *conn, giveBack func(), err error) {
	customer := p.g.anyCustomer()
	if c, err = p.borrow(ctx, customer); c != nil || err != nil {
		return c, func() { p.checkIn(c) }, err
	}
	deadline, _ := ctx.Deadline()
	id, err := p.turns.Acquire(ctx, fair.Item{Customer: customer, Urgent: true, Deadline: p.g.now().Add(time.Until(deadline))})
	if err != nil {
		return nil, nil, err
	}
	if c, err = p.checkOut(ctx, customer); err != nil {
		p.turns.Release(id)
		return nil, nil, err
	}
	c.turn = id
	return c, func() { p.release(c) }, nil
}

// close closes the idle connections; those in use are closed when checked in.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.open -= len(idle)
	p.mu.Unlock()
	p.turnAway("restarted or has been removed")
	for _, c := range idle {
		p.g.metrics.closed(closedExcess)
		c.Close()
	}
}

// discard closes a connection that is not returned to the pool. A broken one is
// reset, because statements in flight on it must not run after their caller has
// been answered.
func (c *conn) discard() {
	if c.broken {
		c.pool.g.metrics.closed(closedBroken)
		c.Reset()
		return
	}
	c.pool.g.metrics.closed(closedExcess)
	c.Close()
}

// runStatement waits for a slot of the database, unless the connection holds one,
// and runs the operation's statement. In the same batch it runs the statements
// that restore the session's state on the connection before it, and those in then
// after it. A database whose log has not reached after refuses the statement. If
// runStatement returns an errkind.Error, nothing was sent.
func (c *conn) runStatement(ctx context.Context, op *operation, after position.Position, then ...statement.Request) ([]statement.Answer, error) {
	if c.slot == 0 {
		var err error
		if c.slot, err = c.pool.slots.Acquire(ctx, op.queueItemWithConnection()); err != nil {
			return nil, err
		}
	}
	defer c.freeSlot()
	if err := op.admitCold(ctx, c, statementOnly); err != nil {
		return nil, err
	}
	requests, main := op.restoreSession(c, op.Request)
	main.After = after
	requests = append(append(requests, main), then...)
	if op.sent != nil {
		op.sent.Store(true)
	}
	stop := context.AfterFunc(ctx, c.Reset)
	sentAt := c.pool.g.now()
	answers, err := c.run(op.deadline, requests...)
	c.pool.svc.chooser.record(ctx, c, op, answers, err, sentAt)
	if !stop() {
		c.broken = true
	}
	if err == nil {
		c.pool.resizeWindow(c.pool.window.RecordAnswer)
	}
	return answers, err
}

// run sends requests and records whether the database answered; if it answered
// only some of them, nothing is recorded. After an error the connection is marked
// broken. To a database whose data centre is evacuated nothing is sent, not even the end of a
// transaction: closing the connection rolls it back. To a cold one nothing is sent that it may
// not be sent now; run then fails with DatabaseBusy. If run returns an errkind.Error, nothing
// was sent.
func (c *conn) run(deadline time.Time, requests ...statement.Request) ([]statement.Answer, error) {
	g, svc, id := c.pool.g, c.pool.svc, c.pool.db.ID
	if c.pool.isClosed() && !onlyStatus(requests) {
		c.broken = true
		return nil, c.pool.closedError()
	}
	if err := c.payCold(requests); err != nil {
		return nil, err
	}
	sentAt := g.now()
	// The gateway's clock may have another origin than the wall clock that network
	// deadlines use.
	answers, err := c.Run(time.Now().Add(deadline.Sub(sentAt)), requests...)
	if err != nil {
		c.broken = true
		if errors.Is(err, statement.ErrMismatch) {
			g.log.Warn("Database sent an answer that is not that to the statement; the connection is closed.", "part", "pool", "database", id, "error", err)
		}
		if len(answers) == 0 {
			svc.recordFailure(id, sentAt, false)
		}
		return answers, err
	}
	svc.recordAnswer(id, sentAt)
	c.txState, c.reported = lastAnswer(answers).State, lastAnswer(answers).Position
	for _, a := range answers {
		c.refused = c.refused || a.Err != nil
	}
	return answers, nil
}
