// Package matrix tests the decisions of package database/group in a
// deterministic simulation. It drives the group tables of several hosts and
// small models of databases with simulated messages and a simulated clock,
// injects faults at named steps or at random, and checks every answer that a
// caller received with an oracle. The same simulation measures the failover gap,
// the time from the loss of a primary until the hosts route to the next one.
//
// The result of a run depends only on its seed. The simulation opens no socket,
// reads no system clock and starts no goroutine.
package matrix

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bronzeloft/bronzeloft/database/group"
)

// node is a simulated process: a host or a database.
type node struct {
	name   string
	dc     string
	alive  bool
	frozen bool
	boot   int      // incremented by every kill
	inbox  []func() // messages and timers that arrived while frozen
}

// event is a callback scheduled for a simulated time; seq orders events of the
// same time.
type event struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// link is one direction between two nodes.
type link struct{ from, to string }

// path is the state of a link.
type path struct {
	cut    bool
	hold   bool // deliver messages sent during the cut after it ends, instead of losing them
	silent bool // the open connection delivers nothing; a new one works
	slow   time.Duration
	drop   int       // number of further messages to lose
	lastAt time.Time // when the latest message sent arrives
	held   []func()  // messages to deliver after the cut
}

// Options configure a world. A zero field takes its default.
type Options struct {
	Seed           uint64
	Databases      int
	Hosts          int
	Centres        int           // data centres
	OneWayDelay    time.Duration // between data centres
	Jitter         time.Duration // maximum extra delay of a message
	WriteInterval  time.Duration // mean time between writes of one host
	ReadInterval   time.Duration // mean time between reads of one host
	ReplicationLag time.Duration // extra delay of replication
	SameRank       bool          // every host has rank 0, the rank that may promote first
	Timing         group.Timing
}

func (o Options) withDefaults() Options {
	if o.Databases == 0 {
		o.Databases = 3
	}
	if o.Hosts == 0 {
		o.Hosts = 3
	}
	if o.Centres == 0 {
		o.Centres = 3
	}
	if o.OneWayDelay == 0 {
		o.OneWayDelay = time.Millisecond
	}
	if o.Jitter == 0 {
		o.Jitter = 100 * time.Microsecond
	}
	if o.WriteInterval == 0 {
		o.WriteInterval = 35 * time.Millisecond
	}
	if o.ReadInterval == 0 {
		o.ReadInterval = 35 * time.Millisecond
	}
	return o
}

// Delays and limits that Options do not set.
const (
	localDelay  = 100 * time.Microsecond // one way, within a data centre
	commitDelay = 300 * time.Microsecond // time that a database takes to commit
	opTimeout   = 250 * time.Millisecond // of a host's control operation
	traceLines  = 400                    // log lines kept for the report of a failure
)

// World is a simulated fleet. It is not safe for concurrent use.
type World struct {
	opt      Options
	start    time.Time
	now      time.Time
	seq      int
	queue    eventQueue
	rand     *rand.Rand
	paths    map[link]*path
	dbs      []*database
	hosts    []*host
	oracle   *oracle
	record   platformRecord
	armed    *armedFault
	hooks    hooks
	trace    []string
	sessions []*session
}

// platformRecord is the group's primary as the platform has recorded it.
type platformRecord struct {
	down    bool
	term    uint64
	primary string
}

// New returns a world whose databases are all fenced at term 0 with empty logs,
// so that the hosts have to promote the first primary.
func New(opt Options) *World {
	opt = opt.withDefaults()
	w := &World{
		opt:   opt,
		start: time.Unix(1000, 0),
		rand:  rand.New(rand.NewPCG(opt.Seed, 0x9e3779b97f4a7c15)),
		paths: make(map[link]*path),
	}
	w.now = w.start
	w.oracle = newOracle(w)
	w.hooks = defaultHooks()
	for i := range opt.Databases {
		w.dbs = append(w.dbs, newDatabase(w, i))
	}
	for i := range opt.Hosts {
		w.hosts = append(w.hosts, newHost(w, i))
	}
	return w
}

// Run advances the simulated time by d and runs the events that fall due.
func (w *World) Run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// Elapsed returns the simulated time since the start.
func (w *World) Elapsed() time.Duration { return w.now.Sub(w.start) }

func (w *World) at(at time.Time, run func()) {
	w.seq++
	heap.Push(&w.queue, event{at: at, seq: w.seq, run: run})
}

func (w *World) after(d time.Duration, run func()) { w.at(w.now.Add(d), run) }

// timer runs fn on n after d. A timer is dropped if n is killed meanwhile, and
// delayed until n is unfrozen if n is frozen when it is due.
func (w *World) timer(n *node, d time.Duration, fn func()) {
	boot := n.boot
	w.after(d, func() { w.deliver(n, boot, fn) })
}

func (w *World) deliver(n *node, boot int, fn func()) {
	switch {
	case !n.alive || n.boot != boot:
	case n.frozen:
		n.inbox = append(n.inbox, func() {
			if n.alive && n.boot == boot {
				fn()
			}
		})
	default:
		fn()
	}
}

func (w *World) path(from, to string) *path {
	l := link{from, to}
	p := w.paths[l]
	if p == nil {
		p = &path{}
		w.paths[l] = p
	}
	return p
}

// send runs fn on the receiving node after the delay of the path. Messages of a
// path arrive in order, unless a cut holds some of them back: later ones may then
// overtake them. Messages are lost on a silent path, while drop is above 0, at a cut
// without hold, and if either end is killed before they arrive.
func (w *World) send(from, to *node, fn func()) {
	p := w.path(from.name, to.name)
	if p.silent {
		return
	}
	if p.drop > 0 {
		p.drop--
		return
	}
	fromBoot, toBoot := from.boot, to.boot
	receive := func() {
		if from.boot == fromBoot {
			w.deliver(to, toBoot, fn)
		}
	}
	if p.cut {
		if p.hold {
			p.held = append(p.held, receive)
		}
		return
	}
	at := w.now.Add(w.delay(from, to) + p.slow)
	if at.Before(p.lastAt) {
		at = p.lastAt
	}
	p.lastAt = at
	w.at(at, func() {
		if p.cut && !p.hold {
			return
		}
		if p.cut {
			p.held = append(p.held, receive)
			return
		}
		receive()
	})
}

// connected reports whether messages pass between two nodes in both directions.
func (w *World) connected(a, b *node) bool {
	forward, backward := w.path(a.name, b.name), w.path(b.name, a.name)
	return !forward.cut && !backward.cut && !forward.silent && !backward.silent
}

func (w *World) delay(from, to *node) time.Duration {
	base := localDelay
	if from.dc != to.dc {
		base = w.opt.OneWayDelay
	}
	return base + time.Duration(w.rand.Int64N(int64(w.opt.Jitter)))
}

// Faults of one node or one link.

func (w *World) cut(from, to string, hold bool) {
	p := w.path(from, to)
	p.cut, p.hold = true, hold
	w.logf("cut %s -> %s hold=%t", from, to, hold)
}

func (w *World) restore(from, to string) {
	p := w.path(from, to)
	if !p.cut {
		return
	}
	p.cut = false
	held := p.held
	p.held = nil
	w.logf("restore %s -> %s", from, to)
	for _, fn := range held {
		w.after(w.opt.OneWayDelay, fn)
	}
}

func (w *World) freeze(n *node) {
	n.frozen = true
	w.logf("freeze %s", n.name)
}

func (w *World) unfreeze(n *node) {
	if !n.frozen {
		return
	}
	n.frozen = false
	inbox := n.inbox
	n.inbox = nil
	w.logf("unfreeze %s", n.name)
	for _, fn := range inbox {
		fn()
	}
}

func (w *World) kill(n *node) {
	n.alive, n.frozen, n.inbox = false, false, nil
	n.boot++
	w.logf("kill %s", n.name)
}

// logf appends a line to the trace that a Failure reports. Only the last
// traceLines lines are kept.
func (w *World) logf(format string, args ...any) {
	line := fmt.Sprintf("%9.3fms %s", float64(w.Elapsed().Microseconds())/1000, fmt.Sprintf(format, args...))
	if len(w.trace) == traceLines {
		w.trace = append(w.trace[:0], w.trace[1:]...)
	}
	w.trace = append(w.trace, line)
}
