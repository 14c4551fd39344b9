package fair

import (
	"time"

	"github.com/bronzeloft/bronzeloft/errkind"
)

// Floor of the less urgent classes.
const (
	// floorShare is the share of the slot time that each class gets while it waits,
	// however many requests of more urgent classes there are.
	floorShare = 0.1
	// maxFloorDebt is the time in which a class's floor accrues the most slot time that
	// the class can have used in advance.
	maxFloorDebt = 250 * time.Millisecond
)

// Classes holds the requests of one database in classes of urgency. A free slot goes to
// the most urgent class that waits, and within it as in a Queue. A less urgent class
// gets floorShare of the slot time while it waits. At the bound of waiting requests
// the least urgent one gives way to a more urgent arrival. It is not safe for
// concurrent use.
type Classes struct {
	cfg     Config
	classes []*class // most urgent first
	running map[uint64]*class
	now     time.Time
}

// class is the requests of one urgency.
type class struct {
	*Queue
	owed   time.Duration // slot time that the floor grants and that the class has not used
	owedAt time.Time     // time of the last update of owed
	denied bool          // a request was refused for its expected wait, and none has started since
	need   low           // time for which a request holds a slot; unused if Config.Pinned
}

// low is an estimate in the lower part of a distribution of durations: a few long ones, such as
// those of requests without an answer, barely raise it.
type low struct{ mean }

// Weights of a new value, as divisors, where it is below or above the estimate.
const (
	fallDivisor = 4
	riseDivisor = 64
)

func (l *low) add(d time.Duration) {
	switch {
	case !l.known:
		l.value, l.known = d, true
	case d < l.value:
		l.value += (d - l.value) / fallDivisor
	default:
		l.value += (d - l.value) / riseDivisor
	}
}

// NewClasses returns an empty queue with cfg.Classes classes.
func NewClasses(cfg Config) *Classes {
	if cfg.MaxQueued == 0 {
		cfg.MaxQueued = DefaultMaxQueued
	}
	q := &Classes{cfg: cfg, running: map[uint64]*class{}}
	for range max(1, cfg.Classes) {
		q.classes = append(q.classes, &class{Queue: New(cfg)})
	}
	return q
}

// Enqueue runs a request, queues it, or refuses it. It refuses one whose deadline has passed or
// would pass before it has waited and run for the expected time, and one for which there is
// no room. Verdict.GaveWay names the waiting requests that it removed for it.
func (q *Classes) Enqueue(item Item, now time.Time) Verdict {
	q.tick(now)
	item.Weight = max(1, item.Weight)
	item.Urgent = false
	k := max(0, min(item.Urgency, len(q.classes)-1))
	c := q.classes[k]
	customer := c.customer(item)
	if !q.now.Before(item.Deadline) {
		c.markIdle(customer)
		return Verdict{State: Refused, Kind: errkind.DeadlineNotRun}
	}
	if q.Queued() == 0 && len(q.running) < q.cfg.Slots {
		customer.deficit = 0
		q.start(c, customer, item.ID)
		return Verdict{State: Run}
	}
	wait := q.expectedWait(k, customer)
	if !q.hasRoom(k, customer) || q.now.Add(wait+c.need.value).After(item.Deadline) {
		c.markIdle(customer)
		c.denied = true
		return Verdict{State: Refused, Kind: errkind.QueueFull, Wait: wait}
	}
	v := Verdict{State: Queued, Wait: wait}
	if q.Queued() >= q.cfg.MaxQueued {
		v.GaveWay = q.giveWay(k)
	}
	c.push(customer, item)
	return v
}

// expectedWait estimates the wait of one more request of a customer in class k: that
// within its class, after the requests of the more urgent classes. It is no longer than
// the wait in its class alone at the rate of the floor, less what that has granted already.
func (q *Classes) expectedWait(k int, customer *customer) time.Duration {
	if q.cfg.Slots <= 0 {
		return 0
	}
	own := q.classes[k].expectedWait(customer, false)
	ahead := time.Duration(0)
	for _, c := range q.classes[:k] {
		ahead += time.Duration(c.queued) * c.service.value
	}
	left := 1.0
	for _, c := range q.classes[k+1:] {
		if c.queued > 0 {
			left -= floorShare
		}
	}
	wait := scale(own+ahead/time.Duration(q.cfg.Slots), 1/left)
	if k > 0 {
		granted := max(0, q.classes[k].owed) / time.Duration(q.cfg.Slots)
		wait = min(wait, max(own, scale(own-granted, 1/floorShare)))
	}
	return wait
}

// hasRoom reports whether a customer may queue one more request in class k. Requests of less
// urgent classes leave room, because they give way.
func (q *Classes) hasRoom(k int, customer *customer) bool {
	free := q.cfg.MaxQueued
	for _, c := range q.classes[:k+1] {
		free -= c.queued
	}
	return free > 0 && customer.waiting() < free*customer.weight
}

// giveWay removes the least urgent waiting request that is less urgent than class k.
func (q *Classes) giveWay(k int) []uint64 {
	for i := len(q.classes) - 1; i > k; i-- {
		if id, ok := q.classes[i].dropLast(); ok {
			return []uint64{id}
		}
	}
	return nil
}

// dropLast removes the newest request of the customer with the most waiting requests.
func (q *Queue) dropLast() (uint64, bool) {
	var most *customer
	for _, c := range q.ring {
		if most == nil || c.waiting() > most.waiting() {
			most = c
		}
	}
	if most == nil {
		return 0, false
	}
	id := most.plain[len(most.plain)-1].ID
	q.Cancel(id)
	return id, true
}

// Done frees the slot of a request and returns the ids of the requests that start now.
func (q *Classes) Done(id uint64, now time.Time) []uint64 {
	q.tick(now)
	c := q.running[id]
	if c == nil {
		return nil
	}
	delete(q.running, id)
	if !q.cfg.Pinned {
		c.need.add(q.now.Sub(c.running[id].since))
	}
	c.owed -= c.finish(id)
	return q.fill()
}

// fill starts requests while slots are free and returns their ids.
func (q *Classes) fill() []uint64 {
	var out []uint64
	for len(q.running) < q.cfg.Slots {
		id, ok := q.startNext()
		if !ok {
			return out
		}
		out = append(out, id)
	}
	return out
}

// startNext starts the next request: of a class that is owed one, else of the most urgent
// class.
func (q *Classes) startNext() (uint64, bool) {
	for _, c := range q.classes[1:] {
		if c.queued > 0 && c.owed >= c.cost() {
			if id, ok := q.startFrom(c); ok {
				return id, true
			}
		}
	}
	for _, c := range q.classes {
		if id, ok := q.startFrom(c); ok {
			return id, true
		}
	}
	return 0, false
}

func (q *Classes) startFrom(c *class) (uint64, bool) {
	customer, item, ok := c.pick()
	if !ok {
		return 0, false
	}
	q.start(c, customer, item.ID)
	c.leaveRing(customer)
	return item.ID, true
}

func (q *Classes) start(c *class, customer *customer, id uint64) {
	c.start(customer, id)
	c.owed -= c.running[id].cost
	c.denied = false
	q.running[id] = c
}

// cost is the slot time that a request of the class is expected to use.
func (c *class) cost() time.Duration { return max(c.service.value, minQuantum) }

// accrue adds the slot time that the floor grants while the class waits. A class that is refused
// because it would wait too long waits as well: else requests that need more of the floor than
// accrues before their deadline would never run.
func (c *class) accrue(slots int, now time.Time) {
	if c.queued > 0 || c.denied {
		c.owed += scale(now.Sub(c.owedAt), floorShare*float64(slots))
	} else {
		c.owed = min(c.owed, 0)
	}
	c.owedAt = now
	c.owed = max(min(c.owed, c.cost()), scale(-maxFloorDebt, floorShare*float64(slots)))
}

func (q *Classes) tick(now time.Time) {
	if now.After(q.now) {
		q.now = now
	}
	for _, c := range q.classes {
		c.accrue(q.cfg.Slots, q.now)
		c.tick(q.now)
	}
}

// Cancel removes a waiting request. It frees no slot.
func (q *Classes) Cancel(id uint64) {
	for _, c := range q.classes {
		c.Cancel(id)
	}
}

// Expire removes the waiting requests that cannot end before their deadline any more, even
// if they started now, and returns their ids. The kind of their refusal is DeadlineNotRun.
func (q *Classes) Expire(now time.Time) []uint64 {
	q.tick(now)
	var out []uint64
	for _, c := range q.classes {
		out = append(out, c.expireBefore(q.now.Add(c.need.value))...)
	}
	return out
}

// TurnAway removes all waiting requests and returns their ids.
func (q *Classes) TurnAway() []uint64 {
	var out []uint64
	for _, c := range q.classes {
		out = append(out, c.expireBefore(endOfTime)...)
	}
	return out
}

// endOfTime is after every deadline.
var endOfTime = time.Unix(1<<40, 0)

// SetSlots changes the number of slots and returns the ids of the requests that start now.
func (q *Classes) SetSlots(n int, now time.Time) []uint64 {
	q.tick(now)
	q.cfg.Slots = n
	for _, c := range q.classes {
		c.cfg.Slots = n
	}
	return q.fill()
}

// Queued returns the number of waiting requests.
func (q *Classes) Queued() int {
	n := 0
	for _, c := range q.classes {
		n += c.queued
	}
	return n
}

// Load returns the number of requests that run or wait per slot.
func (q *Classes) Load() float64 {
	return float64(len(q.running)+q.Queued()) / float64(max(1, q.cfg.Slots))
}
