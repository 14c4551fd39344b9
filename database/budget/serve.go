package budget

import (
	"slices"
	"strconv"
	"time"

	"github.com/bronzeloft/bronzeloft/link/peerpb"
)

// Sizes and parts of borrowing.
const (
	fanout     = 3 // peers asked in one round
	renewParts = 2 // a loan in use is renewed this part of its term before its end
	renewRetry = 8 // and again after this part of its term
)

// serve does all that is due for one pool.
func (t *Table) serve(p *pool, now time.Time, out *Output) {
	p.drop(now)
	t.admit(p, now, out)
	t.expireWaiters(p, now, out)
	t.returnIdle(p, now, out)
	t.renew(p, now, out)
	t.borrow(p, now, out)
	t.closeOver(p, out)
}

func (t *Table) admit(p *pool, now time.Time, out *Output) {
	for len(p.waiters) > 0 && p.takeable() > 0 {
		id := p.waiters[0].id
		p.waiters = slices.Delete(p.waiters, 0, 1)
		delete(t.waiting, id)
		p.use(now)
		out.Admitted = append(out.Admitted, id)
	}
}

func (t *Table) expireWaiters(p *pool, now time.Time, out *Output) {
	p.waiters = slices.DeleteFunc(p.waiters, func(w waiter) bool {
		if now.Before(w.deadline) {
			return false
		}
		delete(t.waiting, w.id)
		out.Refused = append(out.Refused, w.id)
		return true
	})
}

// returnIdle gives back the loans that the lender wants and, when no request
// waits, those that are not in use or not needed when this host leaves.
func (t *Table) returnIdle(p *pool, now time.Time, out *Output) {
	t.returnWhere(p, out, func(h *heldLoan) bool { return h.recall })
	idle := t.leaving || now.Sub(p.lastUsed) >= t.cfg.idle(p.key.kind)
	if idle && len(p.waiters) == 0 {
		t.returnWhere(p, out, func(*heldLoan) bool { return true })
	}
}

// returnWhere gives back the loans that match and that fit into what is free.
func (t *Table) returnWhere(p *pool, out *Output, match func(*heldLoan) bool) {
	kept := p.held[:0]
	free := p.free()
	for _, h := range p.held {
		if !match(h) || h.count > free {
			kept = append(kept, h)
			continue
		}
		free -= h.count
		sendGrant(p, h.from, h.id, 0, h.attempt, true, out)
	}
	clear(p.held[len(kept):])
	p.held = kept
}

// renew asks the lenders of loans in use for another term.
func (t *Table) renew(p *pool, now time.Time, out *Output) {
	for _, h := range p.held {
		if now.Before(t.renewAt(h)) {
			continue
		}
		h.attempt++
		h.asked = now
		sendRequest(p, h.from, h.id, h.count, h.attempt, out)
	}
}

func (t *Table) renewAt(h *heldLoan) time.Time {
	first := h.until.Add(-t.cfg.LoanTerm / renewParts)
	again := h.asked.Add(t.cfg.LoanTerm / renewRetry)
	if again.After(first) {
		return again
	}
	return first
}

// borrow asks the next few holders for the permits that waiting requests lack.
func (t *Table) borrow(p *pool, now time.Time, out *Output) {
	missing := len(p.waiters) - max(0, p.takeable())
	if missing <= 0 || t.leaving || now.Before(p.next) || len(p.peers) == 0 {
		return
	}
	n := min(fanout, len(p.peers))
	for range n {
		if len(p.held)+len(p.asks) >= MaxLoans {
			break
		}
		peer := p.peers[p.cursor%len(p.peers)]
		p.cursor = (p.cursor + 1) % len(p.peers)
		t.asked++
		id := t.cfg.BootID + "-" + strconv.FormatUint(t.asked, 36)
		p.asks = append(p.asks, &ask{to: peer, id: id, sent: now, until: now.Add(t.cfg.LoanTerm)})
		sendRequest(p, peer, id, (missing+n-1)/n, 0, out)
	}
	p.next = now.Add(t.cfg.Pause)
}

// closeOver asks the host to close the sessions that are above what it may
// use, and those that keep a lender from its own.
func (t *Table) closeOver(p *pool, out *Output) {
	over := -p.free()
	for _, h := range p.held {
		if h.recall {
			over += h.count
		}
	}
	over = min(max(0, over), p.used)
	if over > p.closing {
		out.Close = append(out.Close, Close{p.key.database, p.key.kind, over - p.closing})
	}
	p.closing = over
}

// due returns when a pool needs a tick.
func (t *Table) due(p *pool) time.Time {
	var next time.Time
	for _, w := range p.waiters {
		next = soonest(next, w.deadline)
	}
	if len(p.waiters) > 0 {
		if len(p.peers) > 0 && !t.leaving {
			next = soonest(next, p.next)
		}
		for _, l := range p.loans {
			next = soonest(next, l.until)
		}
	}
	idle := p.lastUsed.Add(t.cfg.idle(p.key.kind))
	for _, h := range p.held {
		next = soonest(next, h.until)
		next = soonest(next, t.renewAt(h))
		if h.count <= p.free() && len(p.waiters) == 0 {
			next = soonest(next, idle)
		}
	}
	return next
}

func sendRequest(p *pool, to, id string, count int, attempt uint32, out *Output) {
	m := &peerpb.PermitRequest{Database: p.key.database, RequestId: id, Attempt: attempt}
	if p.key.kind == Slots {
		m.Slots = uint32(count)
	} else {
		m.Conns = uint32(count)
	}
	env := &peerpb.Envelope{Body: &peerpb.Envelope_PermitRequest{PermitRequest: m}}
	out.Send = append(out.Send, Send{To: to, Msg: env})
}

// sendGrant lends count permits, or returns a loan.
func sendGrant(p *pool, to, id string, count int, attempt uint32, returned bool, out *Output) {
	m := &peerpb.PermitGrant{Database: p.key.database, RequestId: id, Attempt: attempt, Returned: returned}
	m.Kind = uint32(p.key.kind)
	if p.key.kind == Slots {
		m.Slots = uint32(count)
	} else {
		m.Conns = uint32(count)
	}
	env := &peerpb.Envelope{Body: &peerpb.Envelope_PermitGrant{PermitGrant: m}}
	out.Send = append(out.Send, Send{To: to, Msg: env})
}
