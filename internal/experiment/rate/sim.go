package rate

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bronzeloft/bronzeloft/contract"
	"github.com/bronzeloft/bronzeloft/customer/rate"
)

// epoch is the simulated time at which every run starts.
var epoch = time.Unix(1_000_000, 0)

// host is one simulated entry host.
type host struct {
	index   int
	address string
	dc      int
	down    bool // stopped or paused: processes no messages
	boot    int  // number of its starts
	limiter limiter
	queue   []func() // deliveries while it was down: made when it resumes, dropped when it is replaced
}

// limiter is the implementation of a Way on one host.
type limiter interface {
	acquire(id uint64, customer int, now time.Time) // calls sim.admit or sim.refuse, now or later
	deliver(from *host, msg any, now time.Time)     // handles a message that arrives
	tick(now time.Time)
	next() time.Time // time of the next tick; the zero time if none is needed
}

// event is a call scheduled for a simulated time.
type event struct {
	at    time.Time
	order uint64 // order of events at the same time
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// sim is one run.
type sim struct {
	cfg      Config
	rng      *rand.Rand
	now      time.Time
	queue    events
	order    uint64
	hosts    []*host
	isolated bool // the first data centre is cut off from the others
	nextID   uint64
	pending  map[uint64]int // request id -> customer, until the request is admitted or refused
	tickAt   map[*host]time.Time

	buckets         []bucket // charged for every admitted request; must not fall below zero
	central         []bucket // the same limits and arrivals, for Result.Central
	minTokens       float64  // lowest level below zero of any of buckets; 0 without overshoot
	asked           int
	admitted        int
	centralAdmitted int
	messages        int
	bytes           int
	cpu             time.Duration
}

// bucket is a token bucket.
type bucket struct {
	tokens, rate, burst float64
	at                  time.Time
}

func (b *bucket) advance(now time.Time) {
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.at).Seconds())
	b.at = now
}

func newSim(cfg Config) *sim {
	s := &sim{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 3)), now: epoch,
		pending: map[uint64]int{}, tickAt: map[*host]time.Time{}}
	for _, c := range cfg.Customers {
		b := bucket{tokens: c.Burst, rate: c.Rate, burst: c.Burst, at: epoch}
		s.buckets = append(s.buckets, b)
		s.central = append(s.central, b)
	}
	for i := range cfg.Hosts {
		h := &host{index: i, address: fmt.Sprintf("10.0.0.%d:7000", i), dc: i % cfg.DCs}
		s.hosts = append(s.hosts, h)
	}
	for _, h := range s.hosts {
		s.start(h)
	}
	for i := range cfg.Customers {
		s.scheduleAt(epoch.Add(warmUp), func() { s.arrive(i) })
	}
	s.scheduleFault()
	return s
}

// scheduleFault schedules the start and the end of the case's fault.
func (s *sim) scheduleFault() {
	victim := s.hosts[0]
	switch s.cfg.Case {
	case HostLoss:
		s.scheduleAt(epoch.Add(faultAt), func() { victim.down = true; victim.queue = nil })
		s.scheduleAt(epoch.Add(replacedAt), func() { s.start(victim) })
	case PausedHost:
		s.scheduleAt(epoch.Add(faultAt), func() { victim.down = true })
		s.scheduleAt(epoch.Add(pauseEnd), func() { s.resume(victim) })
	case Cut:
		s.scheduleAt(epoch.Add(faultAt), func() { s.isolated = true })
		s.scheduleAt(epoch.Add(faultEnd), func() { s.isolated = false })
	}
}

// platformDown reports whether the platform is unavailable.
func (s *sim) platformDown() bool {
	since := s.now.Sub(epoch)
	return s.cfg.Case == Outage && since >= faultAt && since < faultAt+10*time.Minute
}

func (s *sim) start(h *host) {
	h.boot++
	h.down, h.queue = false, nil
	switch s.cfg.Way {
	case EvenSplit:
		h.limiter = newEvenLimiter(s)
	case HomeHost:
		h.limiter = newHomeLimiter(s, h)
	default:
		h.limiter = newSharesLimiter(s, h)
	}
	s.scheduleTick(h)
}

func (s *sim) resume(h *host) {
	h.down = false
	queue := h.queue
	h.queue = nil
	for _, do := range queue {
		do()
	}
	s.scheduleTick(h)
}

func (s *sim) scheduleAt(t time.Time, do func()) {
	s.order++
	heap.Push(&s.queue, event{t, s.order, do})
}

// scheduleTick schedules a host's next tick, unless one is already scheduled for
// that time or earlier.
func (s *sim) scheduleTick(h *host) {
	next := h.limiter.next()
	if next.IsZero() {
		return
	}
	if next.Before(s.now) {
		next = s.now
	}
	if at, ok := s.tickAt[h]; ok && !at.After(next) && !at.Before(s.now) {
		return
	}
	s.tickAt[h] = next
	s.scheduleAt(next, func() {
		if !s.tickAt[h].Equal(next) {
			return
		}
		delete(s.tickAt, h)
		if h.down {
			return
		}
		h.limiter.tick(s.now)
		s.scheduleTick(h)
	})
}

func (s *sim) run() {
	end := epoch.Add(s.cfg.Time)
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		if e.at.After(end) {
			return
		}
		s.now = e.at
		e.do()
	}
}

// arrive sends one request of a customer and schedules its next.
func (s *sim) arrive(customer int) {
	load := usualLoad
	if s.cfg.Case == Tenfold && customer == 0 {
		load = tenfold
	}
	gap := s.rng.ExpFloat64() / (s.cfg.Customers[customer].Rate * load)
	s.scheduleAt(s.now.Add(time.Duration(gap*float64(time.Second))), func() { s.arrive(customer) })
	h := s.pickHost()
	s.asked++
	s.nextID++
	s.pending[s.nextID] = customer
	b := &s.central[customer]
	b.advance(s.now)
	if b.tokens >= 1 {
		b.tokens--
		s.centralAdmitted++
	}
	h.limiter.acquire(s.nextID, customer, s.now)
	s.scheduleTick(h)
}

// pickHost returns the live host that receives a request: a random one, or always
// the last one for Skew.
func (s *sim) pickHost() *host {
	if s.cfg.Case == Skew {
		return s.hosts[len(s.hosts)-1]
	}
	for {
		if h := s.hosts[s.rng.IntN(len(s.hosts))]; !h.down {
			return h
		}
	}
}

// admit charges an admitted request to its customer's bucket.
func (s *sim) admit(id uint64) {
	b := &s.buckets[s.pending[id]]
	delete(s.pending, id)
	b.advance(s.now)
	b.tokens--
	s.minTokens = min(s.minTokens, b.tokens)
	s.admitted++
}

func (s *sim) refuse(id uint64) { delete(s.pending, id) }

// send delivers a message after the network delay and up to half as much jitter. A
// message is lost if the cut separates the two hosts when it arrives, or if the
// receiver was replaced in the meantime.
func (s *sim) send(from, to *host, msg any) {
	s.messages++
	s.bytes += size(msg)
	delay := s.cfg.OneWay / 4
	if from.dc != to.dc {
		delay = s.cfg.OneWay
	}
	delay += time.Duration(s.rng.Int64N(int64(delay)/2 + 1))
	boot := to.boot
	s.scheduleAt(s.now.Add(delay), func() {
		if s.isolated && (from.dc == 0) != (to.dc == 0) || boot != to.boot {
			return
		}
		do := func() {
			to.limiter.deliver(from, msg, s.now)
			s.scheduleTick(to)
		}
		if to.down {
			to.queue = append(to.queue, do)
			return
		}
		do()
	})
}

func size(msg any) int {
	if m, ok := msg.(proto.Message); ok {
		return proto.Size(m)
	}
	return messageSize
}

func (s *sim) hostByAddress(address string) *host {
	for _, h := range s.hosts {
		if h.address == address {
			return h
		}
	}
	return nil
}

// timed adds the wall-clock duration of a call of the rate table to cpu.
func (s *sim) timed(call func() rate.Output) rate.Output {
	began := time.Now()
	out := call()
	s.cpu += time.Since(began)
	return out
}

func (s *sim) roster() contract.Roster {
	r := contract.Roster{Version: 1}
	for _, h := range s.hosts {
		r.Hosts = append(r.Hosts, contract.RosterHost{Address: h.address, DataCentre: fmt.Sprint(h.dc)})
	}
	return r
}

func (s *sim) result() Result {
	seconds := s.cfg.Time.Seconds() * float64(s.cfg.Hosts)
	r := Result{
		Way: s.cfg.Way, Case: s.cfg.Case, Hosts: s.cfg.Hosts,
		Asked: s.asked, Admitted: s.admitted, Central: s.centralAdmitted,
		MessagesPerSec: float64(s.messages) / seconds,
		BytesPerSec:    float64(s.bytes) / seconds,
		CPUPercent:     100 * s.cpu.Seconds() / seconds,
	}
	if s.minTokens < -1e-6 {
		r.Overshoot = -s.minTokens
	}
	if s.centralAdmitted > s.admitted {
		r.WrongfulPercent = 100 * float64(s.centralAdmitted-s.admitted) / float64(s.centralAdmitted)
	}
	return r
}
