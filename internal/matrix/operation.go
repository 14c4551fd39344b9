package matrix

import (
	"time"

	"github.com/bronzeloft/bronzeloft/database/group"
	"github.com/bronzeloft/bronzeloft/position"
)

// Limits of callers' operations.
const (
	deadline     = 400 * time.Millisecond // time limit of an operation
	sessionCount = 8                      // sessions, each used through any host
	maxWaiting   = 64                     // operations waiting on one host; further ones are dropped
)

// acceptedAges are the maximum ages of data that aged reads accept.
var acceptedAges = []time.Duration{50 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second}

// operation is a caller's request that waits for changes of a host's table.
type operation struct {
	until     time.Time
	poll      func() (done bool) // called whenever the table may have changed
	onTimeout func()             // called once if the operation is not done at its deadline
	done      bool
}

// session is the state of a caller that may use any host: its token and its
// acknowledged writes.
type session struct {
	token position.Position
	own   []ackedWrite
}

func (w *World) randomSession() *session {
	for len(w.sessions) < sessionCount {
		w.sessions = append(w.sessions, &session{})
	}
	return w.sessions[w.rand.IntN(sessionCount)]
}

func (h *host) addOperation(op *operation) {
	if len(h.waiting) >= maxWaiting {
		return
	}
	op.until = h.w.now.Add(deadline)
	h.waiting = append(h.waiting, op)
	h.pollOperations()
	h.schedule()
}

// pollOperations polls every waiting operation and removes the ones that are done
// or past their deadline.
func (h *host) pollOperations() {
	remaining := h.waiting[:0]
	for _, op := range h.waiting {
		if !op.done && !op.poll() {
			if h.w.now.Before(op.until) {
				remaining = append(remaining, op)
				continue
			}
			op.onTimeout()
		}
		op.done = true
	}
	h.waiting = remaining
	h.schedulePoll()
}

// schedulePoll polls the waiting operations again after pollInterval.
func (h *host) schedulePoll() {
	if h.polling || len(h.waiting) == 0 {
		return
	}
	h.polling = true
	h.w.timer(&h.node, pollInterval, func() {
		h.polling = false
		h.apply(nil)
	})
}

// nextWrite starts a write and schedules the one after it.
func (h *host) nextWrite() {
	h.w.timer(&h.node, h.w.randomInterval(h.w.opt.WriteInterval), h.nextWrite)
	h.write(h.w.randomSession())
}

// write runs one write of s: it routes the write, sends it once and waits until a
// majority holds it. The write is sent again only if the database refused it.
func (h *host) write(s *session) {
	o := h.w.oracle
	var (
		sent, refused, committed bool
		pos                      position.Position
	)
	id := o.newWriteID()
	h.w.reachStep(stepWriteRoute, h, nil)
	op := &operation{}
	op.poll = func() bool {
		if !sent {
			primary, _, ok := h.table.Primary()
			if !ok {
				return false
			}
			sent = true
			h.sendWrite(h.w.db(primary), id, func(at position.Position, ok bool) {
				pos, committed, refused = at, ok, !ok
			})
			return false
		}
		if refused {
			sent, refused = false, false // the database reported that the write did not run
			return false
		}
		if !committed {
			return false
		}
		h.execute(h.table.RequestAcks(h.w.now))
		switch h.w.hooks.ackState(h, pos) {
		case group.AckYes:
			a := o.recordAck(id, pos)
			s.token = position.Max(s.token, pos)
			s.own = append(s.own, a)
			h.w.reachStep(stepWriteAcked, h, h.w.db(o.primaries[pos.Term]))
			return true
		case group.AckNever:
			o.counts.UnknownWrites++
			return true
		}
		return false
	}
	op.onTimeout = func() {
		if sent {
			o.counts.UnknownWrites++
		} else {
			o.counts.RefusedWrites++
		}
	}
	h.addOperation(op)
}

// sendWrite sends a write to d and calls onAnswer with d's answer: the position of
// the write, and false if d refused it.
func (h *host) sendWrite(d *database, id int, onAnswer func(at position.Position, ok bool)) {
	h.w.reachStep(stepWriteSend, h, d)
	h.w.send(&h.node, &d.node, func() {
		at, ok := d.commit(id)
		h.w.reachStep(stepWriteCommit, h, d)
		h.w.timer(&d.node, commitDelay, func() {
			h.w.send(&d.node, &h.node, func() {
				if ok {
					h.table.Committed(d.name, at)
				}
				onAnswer(at, ok)
				h.apply(nil)
			})
		})
	})
}

// nextRead starts a read, fresh in half of the cases, and schedules the one after
// it.
func (h *host) nextRead() {
	h.w.timer(&h.node, h.w.randomInterval(h.w.opt.ReadInterval), h.nextRead)
	if h.w.rand.IntN(2) == 0 {
		h.freshRead()
		return
	}
	h.agedRead(h.w.randomSession(), acceptedAges[h.w.rand.IntN(len(acceptedAges))])
}

// freshRead starts a read that must see every write acknowledged before now.
func (h *host) freshRead() {
	h.w.reachStep(stepReadConfirm, h, nil)
	since, state := h.w.now, h.w.oracle.observed()
	h.execute(h.table.RequestConfirmation(since))
	r := &readOperation{h: h, awaitSettled: true, requestedAt: since}
	r.floor = func() (position.Position, bool) { return h.w.hooks.confirmedFloor(h, since) }
	r.deliver = func(log []entry, replica bool) { h.w.oracle.checkFreshRead(state, log, replica) }
	h.addOperation(&operation{poll: r.poll, onTimeout: h.w.oracle.countRefusedRead})
}

// agedRead starts a read of s that accepts data of up to the given age but must
// see the session's own writes.
func (h *host) agedRead(s *session, age time.Duration) {
	state, own, token := h.w.oracle.observed(), s.own, s.token
	r := &readOperation{h: h, requestedAt: h.w.now}
	h.w.reachStep(stepReadAged, h, nil)
	requestedAt := h.w.now
	floor, known := h.w.hooks.agedFloor(h, age)
	if !known {
		h.execute(h.table.RequestConfirmation(requestedAt))
	}
	r.floor = func() (position.Position, bool) {
		if !known {
			floor, known = h.w.hooks.confirmedFloor(h, requestedAt)
		}
		return position.Max(floor, h.w.hooks.tokenFloor(token)), known
	}
	r.deliver = func(log []entry, replica bool) { h.w.oracle.checkAgedRead(state, age, own, log, replica) }
	h.addOperation(&operation{poll: r.poll, onTimeout: h.w.oracle.countRefusedRead})
}

// readOperation is a read in progress: it waits for its floor, is sent to a
// database that has reached the floor, and is answered. A fresh read also waits
// until the data that it returned can no longer be lost.
type readOperation struct {
	h            *host
	awaitSettled bool
	floor        func() (position.Position, bool)
	deliver      func(log []entry, replica bool)
	inFlight     bool // sent and not yet answered
	requestedAt  time.Time
	sentAt       time.Time
	attempt      int
	answered     bool
	at           position.Position
	log          []entry
	replica      bool
}

// readTimeout is the time after which an unanswered read is sent to the next
// candidate.
const readTimeout = 30 * time.Millisecond

func (r *readOperation) poll() bool {
	floor, ok := r.floor()
	if !ok {
		return false
	}
	if r.answered && r.h.w.hooks.satisfiesFloor(r.at, floor) {
		return r.finish()
	}
	if r.answered || r.inFlight && r.h.w.now.Sub(r.sentAt) > readTimeout {
		r.answered, r.inFlight = false, false
		r.attempt++
	}
	if !r.inFlight {
		r.send(floor)
	}
	return false
}

func (r *readOperation) send(floor position.Position) {
	ids := r.h.table.Readers(floor, r.h.w.now)
	if r.attempt == 0 && r.h.table.ShouldAwaitReplica(ids, r.requestedAt, r.h.w.now) {
		r.h.execute(r.h.table.RequestConfirmation(r.requestedAt))
		return
	}
	if len(ids) == 0 {
		return
	}
	d := r.h.w.db(ids[r.attempt%len(ids)])
	r.h.w.reachStep(stepReadSend, r.h, d)
	r.inFlight, r.sentAt = true, r.h.w.now
	attempt := r.attempt
	r.h.w.send(&r.h.node, &d.node, func() {
		at, log, replica := d.position(), d.log, d.name != r.h.w.oracle.primaries[d.accepted]
		r.h.w.send(&d.node, &r.h.node, func() {
			if r.attempt != attempt {
				return // answer to an earlier attempt
			}
			r.inFlight, r.answered, r.at, r.log, r.replica = false, true, at, log, replica
			r.h.apply(nil)
		})
	})
}

// finish delivers the answer. A fresh read is delivered once its data is settled,
// and attempted again if its data may have been truncated. finish returns whether
// the answer was delivered.
func (r *readOperation) finish() bool {
	if r.awaitSettled {
		settled, truncated := r.h.w.hooks.settled(r.h, r.at)
		if truncated {
			r.answered = false
			r.attempt++
			return false
		}
		if !settled {
			r.h.execute(r.h.table.RequestAcks(r.h.w.now))
			return false
		}
	}
	r.h.w.reachStep(stepReadAnswer, r.h, nil)
	r.deliver(r.log, r.replica)
	return true
}
