// Package fair shares a database's slots among customers.
//
// A Queue holds the requests that wait for one database. It picks them by
// weighted deficit round robin over customers, where a request costs the time
// that it holds a slot. Customers that have recently used less than their share
// of the slots go before those that have used more. A customer that sends
// several times its rate thus gets at least its share, and beyond that only
// what others leave. An urgent request overtakes only requests of the same
// customer. A request that is expected to wait past its deadline is refused at
// once.
//
// Classes does the same in several classes of urgency, of which the most urgent one goes
// first over all customers.
//
// Only Done frees a slot. It must be called when the database is known to have
// stopped working on the request, not when the caller disconnects or while the
// outcome is unknown.
package fair

import (
	"time"

	"github.com/bronzeloft/bronzeloft/errkind"
)

// DefaultMaxQueued bounds the waiting requests of one database.
const DefaultMaxQueued = 1024

// MaxCustomers bounds the customers whose slot use is tracked while they are
// idle. At the bound all idle ones are dropped; they return as new customers.
const MaxCustomers = 16384

// idleRetention is the least time for which an idle customer still counts in the
// sum of weights that shares are computed from, unless there are MaxCustomers.
const idleRetention = 10 * time.Second

// Config sizes a Queue.
type Config struct {
	Slots     int // requests running at once
	MaxQueued int // requests waiting at once; 0 means DefaultMaxQueued
	Classes   int // classes of urgency; 0 for a Queue without them
	// Pinned is set if a request may hold its slot for longer than it runs. Classes then leaves no
	// time before its deadline for running it.
	Pinned bool
}

// Item is one request.
type Item struct {
	ID       uint64 // differs among requests that wait or run
	Customer string
	Weight   int  // of the customer; below 1 counts as 1
	Urgent   bool // goes before the customer's other requests, in a Queue
	Urgency  int  // class in Classes; 0 is the most urgent
	Deadline time.Time
}

// State is the result of enqueuing a request.
type State uint8

// The states.
const (
	Refused State = iota // not run; Verdict.Kind gives the reason
	Run                  // holds a slot now
	Queued               // waits; a later call to Done, SetSlots or Expire returns its id
)

// Verdict is the answer to Enqueue.
type Verdict struct {
	State   State
	Kind    errkind.Kind  // reason of a refusal: DeadlineNotRun if the deadline has passed, else QueueFull
	Wait    time.Duration // expected wait of a request that Classes queued or refused
	GaveWay []uint64      // waiting requests that were removed for this one; they have not run
}

// Queue holds the requests of one database. It is not safe for concurrent use:
// the owner guards it by a mutex. It holds at most MaxQueued waiting requests.
// A customer may have no more waiting than the number of free places times its
// weight, so that it cannot fill the queue alone.
type Queue struct {
	cfg       Config
	customers map[string]*customer // busy ones, and idle ones until sweep drops them, by id
	weights   int                  // sum of the weights of customers
	lastSweep time.Time
	ring      []*customer // customers with waiting requests, in turn order
	turn      int         // index in ring of the customer in turn
	granted   bool        // the customer in turn has received its quantum
	running   map[uint64]running
	queued    int
	service   mean // of all requests
	now       time.Time
}

// running is a request that holds a slot.
type running struct {
	customer *customer
	since    time.Time
	cost     time.Duration // estimate charged at its start
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	if cfg.MaxQueued == 0 {
		cfg.MaxQueued = DefaultMaxQueued
	}
	return &Queue{cfg: cfg, customers: map[string]*customer{}, running: map[uint64]running{}}
}

// Enqueue runs a request, queues it, or refuses it. It refuses one whose deadline
// has passed or would pass in the expected wait, and one for which there is no room.
func (q *Queue) Enqueue(item Item, now time.Time) Verdict {
	q.tick(now)
	if !q.now.Before(item.Deadline) {
		return Verdict{State: Refused, Kind: errkind.DeadlineNotRun}
	}
	item.Weight = max(1, item.Weight)
	c := q.customer(item)
	if q.queued == 0 && len(q.running) < q.cfg.Slots {
		c.deficit = 0
		q.start(c, item.ID)
		return Verdict{State: Run}
	}
	if !q.hasRoom(c) || q.now.Add(q.expectedWait(c, item.Urgent)).After(item.Deadline) {
		q.markIdle(c)
		return Verdict{State: Refused, Kind: errkind.QueueFull}
	}
	q.push(c, item)
	return Verdict{State: Queued}
}

// Done frees the slot of a request and returns the ids of the requests that
// start now. It has no effect if the request holds no slot.
func (q *Queue) Done(id uint64, now time.Time) []uint64 {
	q.tick(now)
	if _, ok := q.running[id]; !ok {
		return nil
	}
	q.finish(id)
	return q.fill()
}

// finish frees the slot of a running request and returns by how much it used more than
// was charged at its start.
func (q *Queue) finish(id uint64) time.Duration {
	r := q.running[id]
	delete(q.running, id)
	took := q.now.Sub(r.since)
	q.service.add(took)
	r.customer.service.add(took)
	r.customer.deficit -= took - r.cost
	r.customer.credit.value -= took - r.cost
	r.customer.running--
	q.markIdle(r.customer)
	return took - r.cost
}

// Cancel removes a waiting request. It frees no slot.
func (q *Queue) Cancel(id uint64) {
	for _, c := range q.ring {
		if c.remove(id) {
			q.queued--
			q.leaveRing(c)
			return
		}
	}
}

// Expire removes the waiting requests whose deadline has passed and returns
// their ids. The kind of their refusal is DeadlineNotRun.
func (q *Queue) Expire(now time.Time) []uint64 {
	q.tick(now)
	return q.expireBefore(q.now)
}

// expireBefore removes the waiting requests whose deadline is not after limit and returns
// their ids.
func (q *Queue) expireBefore(limit time.Time) []uint64 {
	var out []uint64
	for i := 0; i < len(q.ring); {
		c := q.ring[i]
		out = append(out, c.expire(limit)...)
		if c.waiting() == 0 {
			q.leaveRing(c)
			continue
		}
		i++
	}
	q.queued -= len(out)
	return out
}

// SetSlots changes the number of slots and returns the ids of the requests that
// start now. When the number is lowered, requests that already run keep their
// slots.
func (q *Queue) SetSlots(n int, now time.Time) []uint64 {
	q.tick(now)
	q.cfg.Slots = n
	return q.fill()
}

// Queued returns the number of waiting requests.
func (q *Queue) Queued() int { return q.queued }

// Running returns the number of requests that hold a slot.
func (q *Queue) Running() int { return len(q.running) }

// Load returns the number of requests that run or wait per slot.
func (q *Queue) Load() float64 {
	return float64(len(q.running)+q.queued) / float64(max(1, q.cfg.Slots))
}

func (q *Queue) tick(now time.Time) {
	if now.After(q.now) {
		q.now = now
	}
}

func (q *Queue) start(c *customer, id uint64) {
	cost := max(c.service.value, minQuantum)
	c.deficit -= cost
	c.credit.value -= cost
	c.running++
	q.running[id] = running{c, q.now, cost}
}

// customer returns the state of an item's customer and updates its weight. A
// new customer starts with full credit.
func (q *Queue) customer(item Item) *customer {
	c := q.customers[item.Customer]
	if c == nil {
		q.sweep()
		c = &customer{id: item.Customer}
		c.service.value = q.service.value
		c.credit = credit{maxCredit * time.Duration(max(1, q.cfg.Slots)), q.now}
		q.customers[item.Customer] = c
	}
	q.weights += item.Weight - c.weight
	c.weight = item.Weight
	return c
}

// markIdle records the time at which a customer became idle, if it is idle.
func (q *Queue) markIdle(c *customer) {
	if c.waiting() == 0 && c.running == 0 {
		c.idleSince = q.now
	}
}

// sweep drops the customers that have been idle for idleRetention, at most once in
// that time. When there are MaxCustomers, it drops all idle ones at once.
func (q *Queue) sweep() {
	full := len(q.customers) >= MaxCustomers
	if !full && q.now.Sub(q.lastSweep) < idleRetention {
		return
	}
	q.lastSweep = q.now
	for id, c := range q.customers {
		idle := c.waiting() == 0 && c.running == 0
		if idle && (full || q.now.Sub(c.idleSince) >= idleRetention) {
			q.weights -= c.weight
			delete(q.customers, id)
		}
	}
}

// withinShare reports whether a customer has recently used no more than its
// share of the slots. It first brings the customer's credit up to date.
func (q *Queue) withinShare(c *customer) bool {
	share := float64(q.cfg.Slots) * float64(c.weight) / float64(max(1, q.weights))
	c.credit.accrue(share, q.now)
	return c.credit.value > 0
}

// hasRoom reports whether a customer may queue one more request.
func (q *Queue) hasRoom(c *customer) bool {
	free := q.cfg.MaxQueued - q.queued
	return free > 0 && c.waiting() < free*c.weight
}
