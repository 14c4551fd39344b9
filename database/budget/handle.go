package budget

import (
	"strings"
	"time"

	"github.com/bronzeloft/bronzeloft/link/peerpb"
)

// Handle takes a PermitRequest, PermitGrant or RosterAck that the host from
// sent. Other messages are ignored.
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

// handleRequest lends or renews.
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
		return // a renewal of a loan that this process did not give
	}
	t.recallFrom(p, from)
	t.lend(p, from, m, wanted, now, out)
	t.serve(p, now, out)
}

// renewLoan extends a loan, unless it was returned, was asked for twice, or is
// more than this host's share still allows.
func (t *Table) renewLoan(p *pool, l *loan, m *peerpb.PermitRequest, now time.Time, out *Output) {
	if l.ended || m.Attempt == 0 || p.lent() > p.share {
		return
	}
	l.until = now.Add(t.cfg.hold())
	sendGrant(p, l.to, l.id, l.count, m.Attempt, false, out)
}

// recallFrom marks the loans of a lender that now asks for itself.
func (t *Table) recallFrom(p *pool, lender string) {
	for _, h := range p.held {
		if h.from == lender {
			h.recall = true
		}
	}
}

// lend debits the pool, then sends the grant.
func (t *Table) lend(p *pool, to string, m *peerpb.PermitRequest, wanted int, now time.Time, out *Output) {
	count := min(wanted, p.spare())
	if count > 0 && len(p.loans) < MaxLoans {
		until := now.Add(t.cfg.hold())
		p.loans = append(p.loans, &loan{to: to, id: m.RequestId, count: count, until: until})
	} else {
		count = 0
	}
	sendGrant(p, to, m.RequestId, count, m.Attempt, false, out)
}

// handleGrant takes a loan, its renewal, or a loan that comes back.
func (t *Table) handleGrant(from string, m *peerpb.PermitGrant, now time.Time, out *Output) {
	p := t.pools[poolKey{m.Database, Kind(m.Kind)}]
	if p == nil {
		return
	}
	p.drop(now)
	switch {
	case m.Returned:
		if l := p.findLoan(from, m.RequestId); l != nil {
			l.ended = true
		}
	case m.Attempt > 0:
		t.renewed(p, from, m)
	default:
		t.take(p, from, m, out)
	}
	t.serve(p, now, out)
}

// renewed extends a held loan if the grant answers the newest renewal.
func (t *Table) renewed(p *pool, from string, m *peerpb.PermitGrant) {
	h := p.findHeld(from, m.RequestId)
	if h != nil && h.attempt == m.Attempt {
		h.until = h.asked.Add(t.cfg.LoanTerm)
	}
}

// own reports whether this process asked for a loan, not a predecessor at its
// address, whose sessions may still be open at the server.
func (t *Table) own(id string) bool {
	return strings.HasPrefix(id, t.cfg.BootID+"-")
}

// take credits a grant that answers an ask, once. A loan that this process asked
// for and will never hold is returned.
func (t *Table) take(p *pool, from string, m *peerpb.PermitGrant, out *Output) {
	count := int(m.Conns)
	if p.key.kind == Slots {
		count = int(m.Slots)
	}
	if count == 0 {
		p.takeAsk(from, m.RequestId)
		return
	}
	a := p.takeAsk(from, m.RequestId)
	if a == nil {
		if p.findHeld(from, m.RequestId) == nil && t.own(m.RequestId) {
			sendGrant(p, from, m.RequestId, 0, 0, true, out)
		}
		return
	}
	p.next = time.Time{}
	p.held = append(p.held, &heldLoan{from: from, id: a.id, count: count, until: a.until, asked: a.sent})
}
