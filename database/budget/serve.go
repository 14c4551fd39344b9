package budget

import (
	"slices"
	"strconv"
	"time"

	"github.com/bronzeloft/bronzeloft/link/peerpb"
)

// Sizes and timing of borrowing.
const (
	fanout            = 3 // peers queried in one round
	renewDivisor      = 2 // a held loan is renewed 1/renewDivisor of its term before its end
	renewRetryDivisor = 8 // an unanswered renewal is repeated after 1/renewRetryDivisor of the term
)

// serve performs the work that is due for one pool: it admits and refuses
// waiting requests, and returns, renews and requests loans.
func (t *Table) serve(p *pool, now time.Time, out *Output) {
	p.dropExpired(now)
	t.admit(p, now, out)
	t.expireWaiters(p, now, out)
	t.returnIdle(p, now, out)
	t.renew(p, now, out)
	t.borrow(p, now, out)
	t.closeExcess(p, out)
}

// admit gives permits to waiting requests, first come first served.
func (t *Table) admit(p *pool, now time.Time, out *Output) {
	for len(p.waiters) > 0 && p.available() > 0 {
		id := p.waiters[0].id
		p.waiters = slices.Delete(p.waiters, 0, 1)
		delete(t.waiting, id)
		p.use(now)
		out.Admitted = append(out.Admitted, id)
	}
}

// expireWaiters refuses the requests whose deadline has passed.
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

// returnIdle returns the loans that their lenders have recalled. If the host is
// leaving or the pool has been idle, it returns the others as well, unless
// requests wait. Loans whose permits are in use are kept.
func (t *Table) returnIdle(p *pool, now time.Time, out *Output) {
	t.returnWhere(p, out, func(h *heldLoan) bool { return h.recall })
	idle := t.leaving || now.Sub(p.lastUsed) >= t.cfg.idle(p.key.kind)
	if idle && len(p.waiters) == 0 {
		t.returnWhere(p, out, func(*heldLoan) bool { return true })
	}
}

// returnWhere returns the loans that match, as far as enough permits are free.
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

// renew requests another term for the held loans that are due for renewal.
func (t *Table) renew(p *pool, now time.Time, out *Output) {
	for _, h := range p.held {
		if now.Before(t.renewAt(h)) {
			continue
		}
		h.attempt++
		h.requestedAt = now
		sendRequest(p, h.from, h.id, h.count, h.attempt, out)
	}
}

// renewAt returns when the next renewal of a held loan is to be requested.
func (t *Table) renewAt(h *heldLoan) time.Time {
	first := h.until.Add(-t.cfg.LoanTerm / renewDivisor)
	again := h.requestedAt.Add(t.cfg.LoanTerm / renewRetryDivisor)
	if again.After(first) {
		return again
	}
	return first
}

// borrow requests the permits that waiting requests lack from the next few
// holders, in equal shares.
func (t *Table) borrow(p *pool, now time.Time, out *Output) {
	missing := len(p.waiters) - max(0, p.available())
	if missing <= 0 || t.leaving || now.Before(p.next) || len(p.peers) == 0 {
		return
	}
	n := min(fanout, len(p.peers))
	for range n {
		if len(p.held)+len(p.loanRequests) >= MaxLoans {
			break
		}
		peer := p.peers[p.cursor%len(p.peers)]
		p.cursor = (p.cursor + 1) % len(p.peers)
		t.requestCount++
		id := t.cfg.BootID + "-" + strconv.FormatUint(t.requestCount, 36)
		p.loanRequests = append(p.loanRequests, &loanRequest{to: peer, id: id, sent: now, until: now.Add(t.cfg.LoanTerm)})
		sendRequest(p, peer, id, (missing+n-1)/n, 0, out)
	}
	p.next = now.Add(t.cfg.Pause)
}

// closeExcess instructs the host to close the sessions above its capacity, and
// those whose permits belong to recalled loans.
func (t *Table) closeExcess(p *pool, out *Output) {
	excess := -p.free()
	for _, h := range p.held {
		if h.recall {
			excess += h.count
		}
	}
	excess = min(max(0, excess), p.used)
	if excess > p.closing {
		out.Close = append(out.Close, Close{p.key.database, p.key.kind, excess - p.closing})
	}
	p.closing = excess
}

// due returns when a pool next needs a tick, the zero time if it needs none.
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

// sendRequest sends a request for a loan of count permits, or for its renewal if
// attempt is not 0.
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

// sendGrant sends a grant of count permits, or the return of a loan.
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
