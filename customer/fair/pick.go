package fair

import (
	"slices"
	"time"
)

// minQuantum is the least slot time that a turn gives per unit of weight, and
// the least that is charged when a request starts. It applies while service
// times are unknown or shorter.
const minQuantum = time.Millisecond

// push adds a request to its customer's queue.
func (q *Queue) push(c *customer, item Item) {
	if c.waiting() == 0 {
		q.joinRing(c)
	}
	if item.Urgent {
		c.urgent = append(c.urgent, item)
	} else {
		c.plain = append(c.plain, item)
	}
	q.queued++
}

// joinRing inserts a customer as the last in turn order. The customer keeps no
// unused slot time from its earlier turns. It keeps a negative deficit only while
// some of its requests run.
func (q *Queue) joinRing(c *customer) {
	if c.running == 0 {
		c.deficit = 0
	}
	c.deficit = min(c.deficit, 0)
	q.ring = slices.Insert(q.ring, q.turn, c)
	if len(q.ring) > 1 {
		q.turn++
	}
}

// leaveRing removes a customer from the ring if it has no waiting requests.
func (q *Queue) leaveRing(c *customer) {
	if c.waiting() > 0 {
		return
	}
	i := slices.Index(q.ring, c)
	if i < 0 {
		return
	}
	q.ring = slices.Delete(q.ring, i, i+1)
	switch {
	case i < q.turn:
		q.turn--
	case i == q.turn:
		q.granted = false
	}
	if q.turn >= len(q.ring) {
		q.turn = 0
	}
	q.markIdle(c)
}

// fill starts requests while slots are free and returns their ids.
func (q *Queue) fill() []uint64 {
	var out []uint64
	for len(q.running) < q.cfg.Slots {
		c, item, ok := q.pick()
		if !ok {
			return out
		}
		q.start(c, item.ID)
		q.leaveRing(c)
		out = append(out, item.ID)
	}
	return out
}

// customerFilter selects customers.
type customerFilter func(*customer) bool

func anyCustomer(*customer) bool { return true }

// pick takes the next request: in turn among customers within their share, else
// in turn among all.
func (q *Queue) pick() (*customer, Item, bool) {
	if c, item, ok := q.pickFrom(q.withinShare); ok {
		return c, item, true
	}
	return q.pickFrom(anyCustomer)
}

// pickFrom takes the next request in turn among the eligible customers. When none
// of them has slot time left, it skips turns and tries once more.
func (q *Queue) pickFrom(eligible customerFilter) (*customer, Item, bool) {
	for range 2 {
		for range len(q.ring) + 1 {
			if c, item, ok := q.pickCurrent(eligible); ok {
				return c, item, true
			}
			q.endTurn()
		}
		q.skipTurns(eligible)
	}
	return nil, Item{}, false
}

// pickCurrent takes a request of the customer in turn, if it is eligible and
// has slot time left.
func (q *Queue) pickCurrent(eligible customerFilter) (*customer, Item, bool) {
	if len(q.ring) == 0 || !eligible(q.ring[q.turn]) {
		return nil, Item{}, false
	}
	c := q.ring[q.turn]
	if !q.granted {
		q.granted = true
		q.grant(c, 1)
	}
	if c.deficit <= 0 {
		return nil, Item{}, false
	}
	item, ok := c.pop(q.now)
	if ok {
		q.queued--
	}
	return c, item, ok
}

func (q *Queue) endTurn() {
	if len(q.ring) == 0 {
		return
	}
	q.turn = (q.turn + 1) % len(q.ring)
	q.granted = false
}

// grant adds the quantum of the given number of turns to a customer's deficit,
// which is capped at one quantum.
func (q *Queue) grant(c *customer, turns time.Duration) {
	quantum := q.quantum(c)
	c.deficit = min(c.deficit+turns*quantum, quantum)
}

// skipTurns grants the eligible customers as many turns at once as are needed
// until one of them can start a request in its next turn.
func (q *Queue) skipTurns(eligible customerFilter) {
	turns := time.Duration(-1)
	for _, c := range q.ring {
		if !eligible(c) || !c.hasUnexpired(q.now) {
			continue
		}
		need := max(0, -c.deficit) / q.quantum(c)
		if turns < 0 || need < turns {
			turns = need
		}
	}
	if turns <= 0 {
		return
	}
	for _, c := range q.ring {
		if eligible(c) {
			q.grant(c, turns)
		}
	}
}

// quantum is the slot time that a customer gets per turn.
func (q *Queue) quantum(c *customer) time.Duration {
	return time.Duration(c.weight) * max(q.service.value, minQuantum)
}

// expectedWait estimates the wait of one more request of c: the sum of the
// service times ahead of it, divided by the number of slots. The sum counts c's
// own requests ahead, one more of c's to stand for the requests that run, and as
// many requests of each other customer as the weights let pass meanwhile.
func (q *Queue) expectedWait(c *customer, urgent bool) time.Duration {
	if q.cfg.Slots <= 0 {
		return 0
	}
	own := len(c.urgent)
	if !urgent {
		own += len(c.plain)
	}
	ahead := time.Duration(own+1) * c.service.value
	for _, o := range q.ring {
		if o == c {
			continue
		}
		passing := min(o.waiting(), (own+1)*o.weight/c.weight+1)
		ahead += time.Duration(passing) * o.service.value
	}
	return ahead / time.Duration(q.cfg.Slots)
}
