// Package fair shares a database's slots among customers.
//
// A Queue holds the requests that wait for one database. It picks them by
// deficit round robin over customers, weighted, where a request costs the time
// that it holds a slot. Customers that have lately used less than their share
// of the slots go before those that have used more, so that a customer that
// sends several times its rate gets what others leave, and its share at least.
// Urgent requests go ahead of the same customer's others only. A request whose
// expected wait passes its deadline is refused at once.
//
// A slot is freed by Done only. The caller calls it when the database is known
// to have stopped working on the request, not when the caller went away or an
// outcome stayed unknown.
package fair

import (
	"time"

	"github.com/bronzeloft/bronzeloft/errkind"
)

// DefaultMaxQueued bounds the waiting requests of one database.
const DefaultMaxQueued = 1024

// MaxCustomers bounds the idle customers whose use of slots is remembered. At
// the bound all idle ones are forgotten and start afresh.
const MaxCustomers = 16384

// idleKeep is how long an idle customer counts among those that share.
const idleKeep = 10 * time.Second

// Config sizes a Queue.
type Config struct {
	Slots     int // requests running at once
	MaxQueued int // requests waiting at once; 0 means DefaultMaxQueued
}

// Item is one request.
type Item struct {
	ID       uint64 // differs among requests that wait or run
	Customer string
	Weight   int // of the customer; below 1 counts as 1
	Urgent   bool
	Deadline time.Time
}

// State says what became of a request.
type State uint8

// The states.
const (
	Refused State = iota // not run, for the Kind of the Verdict
	Run                  // holds a slot now
	Queued               // a later call returns its id
)

// Verdict is the answer to Enqueue.
type Verdict struct {
	State State
	Kind  errkind.Kind // of a refusal: QueueFull or DeadlineNotRun
}

// Queue holds the requests of one database. It is not safe for concurrent use:
// the owner guards it by a mutex. It holds at most MaxQueued waiting requests;
// each customer may fill as many places as are left free, times its weight, so
// that one customer cannot fill it for others.
type Queue struct {
	cfg       Config
	customers map[string]*customer // those that were busy within idleKeep
	weights   int                  // sum over customers
	swept     time.Time
	ring      []*customer // those with waiting requests, in turn order
	turn      int         // index in ring
	granted   bool        // the customer in turn has its slot time
	running   map[uint64]running
	queued    int
	service   mean // of all requests
	now       time.Time
}

// running is a request that holds a slot.
type running struct {
	customer *customer
	since    time.Time
	cost     time.Duration // charged when it was picked
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	if cfg.MaxQueued == 0 {
		cfg.MaxQueued = DefaultMaxQueued
	}
	return &Queue{cfg: cfg, customers: map[string]*customer{}, running: map[uint64]running{}}
}

// Enqueue runs a request, queues it, or refuses it.
func (q *Queue) Enqueue(item Item, now time.Time) Verdict {
	q.tick(now)
	if !q.now.Before(item.Deadline) {
		return Verdict{Refused, errkind.DeadlineNotRun}
	}
	item.Weight = max(1, item.Weight)
	c := q.customer(item)
	if q.queued == 0 && len(q.running) < q.cfg.Slots {
		c.deficit = 0
		q.start(c, item.ID)
		return Verdict{State: Run}
	}
	if !q.room(c) || q.now.Add(q.expectedWait(c, item.Urgent)).After(item.Deadline) {
		q.rest(c)
		return Verdict{Refused, errkind.QueueFull}
	}
	q.push(c, item)
	return Verdict{State: Queued}
}

// Done frees the slot of a request and returns the requests that run now.
func (q *Queue) Done(id uint64, now time.Time) []uint64 {
	q.tick(now)
	r, ok := q.running[id]
	if !ok {
		return nil
	}
	delete(q.running, id)
	took := q.now.Sub(r.since)
	q.service.add(took)
	r.customer.service.add(took)
	r.customer.deficit -= took - r.cost
	r.customer.credit.value -= took - r.cost
	r.customer.running--
	q.rest(r.customer)
	return q.fill()
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
// them. Their kind is DeadlineNotRun.
func (q *Queue) Expire(now time.Time) []uint64 {
	q.tick(now)
	var out []uint64
	for i := 0; i < len(q.ring); {
		c := q.ring[i]
		out = append(out, c.expire(q.now)...)
		if c.waiting() == 0 {
			q.leaveRing(c)
			continue
		}
		i++
	}
	q.queued -= len(out)
	return out
}

// SetSlots changes the number of slots and returns the requests that run now.
// Requests above a lowered number run on.
func (q *Queue) SetSlots(n int, now time.Time) []uint64 {
	q.tick(now)
	q.cfg.Slots = n
	return q.fill()
}

// Queued returns the number of waiting requests.
func (q *Queue) Queued() int { return q.queued }

// Running returns the number of requests that hold a slot.
func (q *Queue) Running() int { return len(q.running) }

func (q *Queue) tick(now time.Time) {
	if now.After(q.now) {
		q.now = now
	}
}

func (q *Queue) start(c *customer, id uint64) {
	cost := max(c.service.value, leastQuantum)
	c.deficit -= cost
	c.credit.value -= cost
	c.running++
	q.running[id] = running{c, q.now, cost}
}

// customer returns the state of an item's customer, new with full credit.
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

// rest notes since when a customer has been idle.
func (q *Queue) rest(c *customer) {
	if c.waiting() == 0 && c.running == 0 {
		c.idle = q.now
	}
}

// sweep forgets the customers that have been idle for long, all idle ones when
// there are MaxCustomers.
func (q *Queue) sweep() {
	full := len(q.customers) >= MaxCustomers
	if !full && q.now.Sub(q.swept) < idleKeep {
		return
	}
	q.swept = q.now
	for id, c := range q.customers {
		idle := c.waiting() == 0 && c.running == 0
		if idle && (full || q.now.Sub(c.idle) >= idleKeep) {
			q.weights -= c.weight
			delete(q.customers, id)
		}
	}
}

// withinShare reports whether a customer has lately used no more than its share
// of the slots.
func (q *Queue) withinShare(c *customer) bool {
	share := float64(q.cfg.Slots) * float64(c.weight) / float64(max(1, q.weights))
	c.credit.accrue(share, q.now)
	return c.credit.value > 0
}

// room reports whether a customer may queue one more request.
func (q *Queue) room(c *customer) bool {
	free := q.cfg.MaxQueued - q.queued
	return free > 0 && c.waiting() < free*c.weight
}
