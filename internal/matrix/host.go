package matrix

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bronzeloft/bronzeloft/database/group"
	"github.com/bronzeloft/bronzeloft/database/groupsql"
	"github.com/bronzeloft/bronzeloft/objectapi"
	"github.com/bronzeloft/bronzeloft/position"
)

// Intervals of a host's periodic work.
const (
	digestInterval = 500 * time.Millisecond // between announcements of the view to peers
	publishRetry   = 200 * time.Millisecond
	pollInterval   = 2 * time.Millisecond // between polls of a waiting operation
)

// Errors of control operations that the database did not answer.
var (
	errTimeout = errors.New("matrix: control operation timed out")
	errRefused = errors.New("matrix: connection refused")
)

// host models an entry host: a group table, and callers' operations that wait for
// the table to change.
type host struct {
	node
	w                *World
	rank             int
	table            *group.Table
	tickAt           time.Time // when the next tick is scheduled; zero for none
	waiting          []*operation
	routedAt         map[uint64]time.Time // by term: when this host first routed to its primary
	claims           []group.ClaimTimes   // oldest first; kept over restarts
	polling          bool
	controlOps       int               // number of control operations sent
	primaryPositions []primaryPosition // the latest maxPrimaryPositions, oldest first
}

// primaryPosition is a position that a primary reported, with the time at which
// the host sent the operation.
type primaryPosition struct {
	sentAt time.Time
	at     position.Position
}

// maxPrimaryPositions bounds the primary positions that a host keeps.
const maxPrimaryPositions = 128

func newHost(w *World, i int) *host {
	dc := fmt.Sprintf("dc%d", i%w.opt.Centres+1)
	h := &host{w: w, rank: i}
	if w.opt.SameRank {
		h.rank = 0
	}
	h.node = node{name: fmt.Sprintf("h%d", i), dc: dc, alive: true}
	h.startEmpty()
	return h
}

// startEmpty starts the host without any state.
func (h *host) startEmpty() {
	h.alive = true
	h.waiting, h.polling, h.tickAt = nil, false, time.Time{}
	h.routedAt = make(map[uint64]time.Time)
	h.table = group.New(group.Config{
		Group: "g", Self: h.name, DataCentre: h.dc,
		Rand: rand.New(rand.NewPCG(h.w.rand.Uint64(), uint64(h.boot))), Timing: h.w.opt.Timing,
	})
	h.table.SetMembers(h.w.members(), h.w.now)
	h.table.SetRank(h.rank)
	h.w.timer(&h.node, 0, func() { h.apply(h.table.Tick(h.w.now)) })
	h.w.timer(&h.node, digestInterval, h.sendDigest)
	h.w.timer(&h.node, h.w.randomInterval(h.w.opt.WriteInterval), h.nextWrite)
	h.w.timer(&h.node, h.w.randomInterval(h.w.opt.ReadInterval), h.nextRead)
}

func (w *World) members() []group.Member {
	var all []group.Member
	for _, d := range w.dbs {
		all = append(all, d.member)
	}
	return all
}

func (w *World) randomInterval(mean time.Duration) time.Duration {
	return time.Duration(w.rand.ExpFloat64() * float64(mean))
}

// restart replaces the host by a new process without any state.
func (h *host) restart() {
	if h.alive {
		h.w.kill(&h.node)
	}
	h.w.logf("restart %s", h.name)
	h.startEmpty()
}

// apply executes actions of the table, polls the waiting operations and schedules
// the next tick.
func (h *host) apply(actions []group.Action) {
	h.execute(actions)
	h.pollOperations()
	h.schedule()
}

func (h *host) execute(actions []group.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case group.Send:
			h.sendControl(a)
		case group.AskPeers:
			h.queryPeers(a.Database)
		case group.Publish:
			h.publish(a.State)
		}
	}
	h.observe()
}

// observe records the host's claims and changes of the primary that it routes to.
func (h *host) observe() {
	c := h.table.LastClaim()
	n := len(h.claims)
	switch {
	case c.Term == 0:
	case n == 0 || h.claims[n-1].Claimed != c.Claimed:
		h.claims = append(h.claims, c)
		h.w.oracle.counts.Claims++
		h.w.logf("%s claims term %d: %s", h.name, c.Term, c.Cause)
	default:
		h.claims[n-1] = c
	}
	if id, term, ok := h.table.Primary(); ok && h.routedAt[term].IsZero() {
		h.routedAt[term] = h.w.now
		h.w.logf("%s routes to %s of term %d", h.name, id, term)
	}
}

func (h *host) schedule() {
	next := h.table.Next()
	if earliest := h.w.now.Add(100 * time.Microsecond); next.Before(earliest) {
		next = earliest
	}
	if h.tickAt.After(h.w.now) && !next.Before(h.tickAt) {
		return
	}
	h.tickAt = next
	h.w.timer(&h.node, next.Sub(h.w.now), func() {
		if h.tickAt.Equal(next) {
			h.tickAt = time.Time{}
			h.apply(h.table.Tick(h.w.now))
		}
	})
}

// sendControl sends an operation on the control connection to a database and
// passes the report to the table, or an error if the connection is refused or no
// answer arrives within opTimeout.
func (h *host) sendControl(s group.Send) {
	d := h.w.db(s.Database)
	if d == nil {
		return
	}
	h.controlOps++
	h.w.reachStep(sendSteps[s.Op.Kind], h, d)
	sentAt, done := h.w.now, false
	finish := func(r groupsql.Report, err error) {
		if done {
			return
		}
		done = true
		h.recordPrimaryPosition(sentAt, r)
		h.apply(h.table.OpResult(d.name, s.Op, sentAt, r, err, h.w.now))
	}
	if !d.alive && h.w.connected(&h.node, &d.node) {
		h.w.timer(&h.node, 2*h.w.delay(&h.node, &d.node), func() { finish(groupsql.Report{}, errRefused) })
		return
	}
	h.w.send(&h.node, &d.node, func() {
		r := d.execute(s.Op)
		h.w.reachStep(doneSteps[s.Op.Kind], h, d)
		h.w.send(&d.node, &h.node, func() { finish(h.w.hooks.editReport(r), nil) })
	})
	h.w.timer(&h.node, opTimeout, func() {
		if !done {
			h.w.reconnect(h, d)
			finish(groupsql.Report{}, errTimeout)
		}
	})
}

// recordPrimaryPosition records the position in a primary's report.
func (h *host) recordPrimaryPosition(sentAt time.Time, r groupsql.Report) {
	if r.Role != groupsql.Primary {
		return
	}
	if len(h.primaryPositions) == maxPrimaryPositions {
		h.primaryPositions = append(h.primaryPositions[:0], h.primaryPositions[1:]...)
	}
	h.primaryPositions = append(h.primaryPositions, primaryPosition{sentAt, r.Position})
}

// reconnect opens a new connection, which works even if the old one was silent.
func (w *World) reconnect(h *host, d *database) {
	w.path(h.name, d.name).silent = false
	w.path(d.name, h.name).silent = false
}

func (w *World) db(id string) *database {
	for _, d := range w.dbs {
		if d.name == id {
			return d
		}
	}
	return nil
}

func (h *host) queryPeers(id string) {
	h.w.reachStep(stepAskPeers, h, h.w.db(id))
	if h.w.hooks.skipPeerQuery {
		h.w.timer(&h.node, 0, func() { h.apply(h.table.PeerReply("", id, false, 0, h.w.now)) })
		return
	}
	for _, p := range h.w.hosts {
		if p == h {
			continue
		}
		h.w.send(&h.node, &p.node, func() {
			reachable, sinceAnswer, actions := p.table.Reachability(id, p.w.now)
			p.apply(actions)
			p.w.send(&p.node, &h.node, func() {
				h.apply(h.table.PeerReply(p.name, id, reachable, sinceAnswer, h.w.now))
			})
		})
	}
}

func (h *host) publish(s objectapi.GroupState) {
	h.w.reachStep(stepPublish, h, h.w.db(s.Primary))
	h.announceView()
	if h.w.record.down {
		h.w.timer(&h.node, publishRetry, func() { h.publish(s) })
		return
	}
	if s.Term > h.w.record.term {
		h.w.record.term, h.w.record.primary = s.Term, s.Primary
	}
}

// announceView sends this host's view of the group to its peers.
func (h *host) announceView() {
	v, ok := h.table.View()
	if !ok {
		return
	}
	for _, p := range h.w.hosts {
		if p != h {
			h.w.send(&h.node, &p.node, func() { p.apply(p.table.ApplyHint(v, p.w.now)) })
		}
	}
}

// sendDigest announces this host's view to its peers, and applies the platform's
// record as a hint.
func (h *host) sendDigest() {
	h.w.timer(&h.node, digestInterval, h.sendDigest)
	h.announceView()
	if !h.w.record.down && h.w.record.term > 0 {
		h.apply(h.table.ApplyHint(group.View{Term: h.w.record.term, Primary: h.w.record.primary}, h.w.now))
	}
}
