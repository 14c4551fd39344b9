package budget

import (
	"strings"
	"time"

	"github.com/bronzeloft/bronzeloft/link/peerpb"
)

// Handle processes a PermitRequest, PermitGrant or RosterAck. Other messages are
// ignored. from is the peer address of the sender.
func (t *Table) Handle(from string, env *peerpb.Envelope, now time.Time) Output {
	var out Output
	now = t.tick(now, &out)
	switch m := env.GetBody().(type) {
	case *peerpb.Envelope_PermitRequest:
		t.handleRequest(from, m.PermitRequest, now, &out)
	case *peerpb.Envelope_PermitGrant:
		t.handleGrant(from, m.PermitGrant, now, &out)
	case *peerpb.Envelope_RosterAck:
		t.handleRoster(from, m.RosterAck, now, &out)
	}
	return out
}

// handleRequest answers a request for a loan, or for the renewal of one. A new
// request also marks the loans held from the requester as recalled.
func (t *Table) handleRequest(from string, m *peerpb.PermitRequest, now time.Time, out *Output) {
	key, wanted := poolKey{m.Database, Conns}, int(m.Conns)
	if m.Slots > 0 {
		key, wanted = poolKey{m.Database, Slots}, int(m.Slots)
	}
	p := t.pools[key]
	if p == nil {
		return
	}
	t.serve(p, now, out)
	l := p.findLoan(from, m.RequestId)
	if l != nil {
		t.renewLoan(p, l, m, now, out)
		return
	}
	if m.Attempt > 0 {
		return // renewal of a loan that is not known here: given by a predecessor, or expired
	}
	t.recallFrom(p, from)
	t.lend(p, from, m, wanted, now, out)
	t.serve(p, now, out)
}

// renewLoan extends a loan, unless it was returned, the request is a duplicate
// of the first one, or the loans outstanding exceed this host's share.
func (t *Table) renewLoan(p *pool, l *loan, m *peerpb.PermitRequest, now time.Time, out *Output) {
	if l.ended || m.Attempt == 0 || p.lent() > p.share {
		return
	}
	l.until = now.Add(t.cfg.lenderTerm())
	sendGrant(p, l.to, l.id, l.count, m.Attempt, false, out)
}

// recallFrom marks the loans held from a lender that now requests permits
// itself; they are returned as soon as enough permits are free.
func (t *Table) recallFrom(p *pool, lender string) {
	for _, h := range p.held {
		if h.from == lender {
			h.recall = true
		}
	}
}

// lend debits the pool, then sends the grant. A grant of zero permits answers a
// request for which nothing can be lent.
func (t *Table) lend(p *pool, to string, m *peerpb.PermitRequest, wanted int, now time.Time, out *Output) {
	count := min(wanted, p.lendable())
	if count > 0 && len(p.loans) < MaxLoans {
		until := now.Add(t.cfg.lenderTerm())
		p.loans = append(p.loans, &loan{to: to, id: m.RequestId, count: count, until: until})
	} else {
		count = 0
	}
	sendGrant(p, to, m.RequestId, count, m.Attempt, false, out)
}

// handleGrant processes a new loan, the renewal of a held loan, or the return of
// a loan that this host gave.
func (t *Table) handleGrant(from string, m *peerpb.PermitGrant, now time.Time, out *Output) {
	p := t.pools[poolKey{m.Database, Kind(m.Kind)}]
	if p == nil {
		return
	}
	p.dropExpired(now)
	switch {
	case m.Returned:
		if l := p.findLoan(from, m.RequestId); l != nil {
			l.ended = true
		}
	case m.Attempt > 0:
		t.applyRenewal(p, from, m)
	default:
		t.creditLoan(p, from, m, out)
	}
	t.serve(p, now, out)
}

// applyRenewal extends a held loan if the grant answers the newest renewal
// request.
func (t *Table) applyRenewal(p *pool, from string, m *peerpb.PermitGrant) {
	h := p.findHeld(from, m.RequestId)
	if h != nil && h.attempt == m.Attempt {
		h.until = h.requestedAt.Add(t.cfg.LoanTerm)
	}
}

// isOwnRequest reports whether this process requested the loan id, rather than a
// predecessor at its address, whose sessions may still be open at the server.
func (t *Table) isOwnRequest(id string) bool {
	return strings.HasPrefix(id, t.cfg.BootID+"-")
}

// creditLoan credits a grant that answers a loan request, once. A loan that this
// process requested but no longer expects is returned, because it will never be
// held.
func (t *Table) creditLoan(p *pool, from string, m *peerpb.PermitGrant, out *Output) {
	count := int(m.Conns)
	if p.key.kind == Slots {
		count = int(m.Slots)
	}
	if count == 0 {
		p.removeLoanRequest(from, m.RequestId)
		return
	}
	r := p.removeLoanRequest(from, m.RequestId)
	if r == nil {
		if p.findHeld(from, m.RequestId) == nil && t.isOwnRequest(m.RequestId) {
			sendGrant(p, from, m.RequestId, 0, 0, true, out)
		}
		return
	}
	p.next = time.Time{}
	p.held = append(p.held, &heldLoan{from: from, id: r.id, count: count, until: r.until, requestedAt: r.sent})
}
