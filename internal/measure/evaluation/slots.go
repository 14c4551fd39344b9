package evaluation

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/bronzeloft/bronzeloft/customer/fair"
)

// request is one simulated request.
type request struct {
	customer    int
	at          time.Time
	serviceTime time.Duration
}

// slotEvent is the arrival of a request, its end if ended is set, or, with id 0, a
// check for expired requests.
type slotEvent struct {
	at    time.Time
	id    uint64
	ended bool
}

type slotEvents []slotEvent

func (e slotEvents) Len() int { return len(e) }
func (e slotEvents) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].id < e[j].id
	}
	return e[i].at.Before(e[j].at)
}
func (e slotEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *slotEvents) Push(x any)   { *e = append(*e, x.(slotEvent)) }
func (e *slotEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// slotSim simulates the slots of one database and the queue for them.
type slotSim struct {
	load     load
	start    time.Time
	end      time.Time
	queue    *fair.Queue
	events   slotEvents
	requests []request // indexed by id, from 1
	totals   []customerTotals
}

func newSlotSim(l load, seed uint64) *slotSim {
	start := time.Unix(1_000_000, 0)
	s := &slotSim{
		load: l, start: start, end: start.Add(l.duration),
		queue:    fair.New(fair.Config{Slots: l.size.Slots}),
		requests: make([]request, 1),
		totals:   make([]customerTotals, l.size.Customers),
	}
	weights := 0
	for i := range l.size.Customers {
		weights += l.mix.weight(i)
	}
	perWeight := usualLoad * float64(l.size.Slots) / meanServiceTime.Seconds() / float64(weights)
	for i := range l.size.Customers {
		perSecond := perWeight * float64(l.mix.weight(i))
		if i == 0 {
			perSecond *= l.factor
		}
		s.scheduleArrivals(i, perSecond, rand.New(rand.NewPCG(seed, uint64(i))))
	}
	for at := start; at.Before(s.end); at = at.Add(expireEvery) {
		s.events = append(s.events, slotEvent{at: at})
	}
	heap.Init(&s.events)
	return s
}

// scheduleArrivals schedules a customer's requests. They arrive as a Poisson process,
// with exponentially distributed service times.
func (s *slotSim) scheduleArrivals(customer int, perSecond float64, rng *rand.Rand) {
	at := s.start
	for {
		at = at.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		if !at.Before(s.end) {
			return
		}
		serviceTime := time.Duration(rng.ExpFloat64() * float64(meanServiceTime))
		s.events = append(s.events, slotEvent{at: at, id: uint64(len(s.requests))})
		s.requests = append(s.requests, request{customer: customer, at: at, serviceTime: serviceTime})
	}
}

func (s *slotSim) run() {
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(slotEvent)
		if e.at.After(s.end) {
			return
		}
		switch {
		case e.id == 0:
			s.refuse(s.queue.Expire(e.at)...)
		case e.ended:
			s.recordStarted(e.at, s.queue.Done(e.id, e.at)...)
		default:
			s.arrive(e.id, e.at)
		}
	}
}

// arrive enqueues a request. For FirstCome all requests share one queue, that of the
// customer "all".
func (s *slotSim) arrive(id uint64, now time.Time) {
	r := s.requests[id]
	t := &s.totals[r.customer]
	t.requests++
	t.demanded += r.serviceTime
	item := fair.Item{ID: id, Customer: "all", Weight: 1, Deadline: now.Add(requestDeadline)}
	if s.load.queueing == DeficitRoundRobin {
		item.Customer, item.Weight = strconv.Itoa(r.customer), s.load.mix.weight(r.customer)
	}
	switch s.queue.Enqueue(item, now).State {
	case fair.Run:
		s.recordStarted(now, id)
	case fair.Refused:
		s.refuse(id)
	}
}

// recordStarted records the wait of requests that got a slot and schedules their
// end.
func (s *slotSim) recordStarted(now time.Time, ids ...uint64) {
	for _, id := range ids {
		r := s.requests[id]
		t := &s.totals[r.customer]
		t.waits = append(t.waits, now.Sub(r.at))
		t.served += r.serviceTime
		heap.Push(&s.events, slotEvent{at: now.Add(r.serviceTime), id: id, ended: true})
	}
}

func (s *slotSim) refuse(ids ...uint64) {
	for _, id := range ids {
		s.totals[s.requests[id].customer].refused++
	}
}
