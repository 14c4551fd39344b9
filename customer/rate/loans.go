package rate

import (
	"math"
	"time"

	"github.com/bronzeloft/bronzeloft/link/peerpb"
)

// Policy of lending.
const (
	reserveTime   = 20 * time.Millisecond  // a lender keeps the tokens that its own demand uses in this time
	refillTime    = 200 * time.Millisecond // burst lent with a rate, as the time in which the rate fills it
	minLentTokens = 0.01                   // smaller amounts are not lent
	minTermTokens = 0.05                   // a rate that accrues fewer tokens in the term is not lent
	returnDivisor = 16                     // a loan is returned 1/returnDivisor of its term before its end
)

// Handle processes a TokenRequest, TokenGrant or RosterAck. Other messages are
// ignored. from is the peer address of the sender.
func (t *Table) Handle(from string, env *peerpb.Envelope, now time.Time) Output {
	now = t.tick(now)
	var out Output
	switch m := env.GetBody().(type) {
	case *peerpb.Envelope_TokenRequest:
		t.handleRequest(from, m.TokenRequest, now, &out)
	case *peerpb.Envelope_TokenGrant:
		if m.TokenGrant.Returned {
			t.handleReturn(from, m.TokenGrant, now, &out)
			break
		}
		t.handleGrant(from, m.TokenGrant, now, &out)
	case *peerpb.Envelope_RosterAck:
		t.handleRoster(from, m.RosterAck, now, &out)
	}
	return out
}

// handleRequest returns the loans held from the requester, then answers its loan
// request with what this host can spare. A request for which a loan was already
// given is a duplicate: it gets neither a second loan nor an answer.
func (t *Table) handleRequest(from string, m *peerpb.TokenRequest, now time.Time, out *Output) {
	grant := &peerpb.TokenGrant{
		Customer:      m.Customer,
		RequestId:     m.RequestId,
		RosterVersion: t.keeper.Version(),
	}
	if a := t.accounts[m.Customer]; a != nil {
		a.advance(now, t.accrueFrom)
		if a.findLoan(from, m.RequestId) != nil {
			return
		}
		t.returnTo(a, from, out)
		t.lend(a, from, m, grant, now)
	}
	env := &peerpb.Envelope{Body: &peerpb.Envelope_TokenGrant{TokenGrant: grant}}
	out.Send = append(out.Send, Send{To: from, Msg: env})
}

// lend debits the account and fills in the grant. If nothing can be lent, it
// leaves the grant empty.
func (t *Table) lend(a *account, to string, m *peerpb.TokenRequest, grant *peerpb.TokenGrant, now time.Time) {
	if len(a.loans) >= MaxLoans {
		return
	}
	tokens, burst, rate := t.lendable(a, to, m, now)
	if burst <= 0 {
		return
	}
	a.level -= tokens
	a.lentBurst += burst
	a.lentRate += rate
	a.clampLevel()
	until := now.Add(lenderTerm(t.cfg.LoanTerm))
	a.loans = append(a.loans, &loan{to: to, id: m.RequestId, burst: burst, rate: rate, until: until})
	grant.Tokens = tokens
	grant.Burst = burst
	grant.Rate = rate
	grant.LifetimeMs = uint64(t.cfg.LoanTerm.Milliseconds())
}

// lendable returns what the account can lend for a request. A rate is lent
// together with a burst in which its tokens accrue, and with the tokens that would
// not fit into the burst left here.
func (t *Table) lendable(a *account, to string, m *peerpb.TokenRequest, now time.Time) (tokens, burst, rate float64) {
	if len(a.waiters) > 0 {
		tokens = t.lendableRemainder(a, to, m)
		return tokens, tokens, 0
	}
	a.demand.decay(now)
	demand := a.demand.perSecond
	if t.leaving {
		demand = 0
	}
	tokens = min(finite(m.Wanted), a.level-demand*reserveTime.Seconds())
	if tokens < minLentTokens {
		tokens = 0
	}
	rate = min(finite(m.WantedRate), a.ownRate()-demand*rateAllowance)
	if rate*t.cfg.LoanTerm.Seconds() < minTermTokens {
		return tokens, tokens, 0
	}
	own := a.ownBurst()
	burst = min(own, max(tokens, 1, rate*refillTime.Seconds()))
	tokens = max(tokens, burst-(own-a.level))
	return tokens, burst, rate
}

// lendableRemainder returns the remainder that is too small to admit a request
// waiting here. It is lent to hosts of a lower address only: otherwise such
// remainders could be passed around for ever.
func (t *Table) lendableRemainder(a *account, to string, m *peerpb.TokenRequest) float64 {
	remainder := min(finite(m.Wanted), a.level)
	if a.available() >= 1-epsilon || remainder < minLentTokens || to >= t.cfg.Self {
		return 0
	}
	return remainder
}

// finite returns an amount from a message, or 0 for one that is not positive
// and finite.
func finite(x float64) float64 {
	if x > 0 && !math.IsInf(x, 1) {
		return x
	}
	return 0
}

// handleGrant credits a loan that this host requested, once. It declines a grant
// that answers no pending loan request, unless the loan is held already.
func (t *Table) handleGrant(from string, m *peerpb.TokenGrant, now time.Time, out *Output) {
	delete(t.unresponsive, from)
	a := t.accounts[m.Customer]
	if a == nil {
		t.decline(from, m, out)
		return
	}
	a.advance(now, t.accrueFrom)
	r := a.removeLoanRequest(from, m.RequestId)
	if r == nil {
		if !a.holds(from, m.RequestId) {
			t.decline(from, m, out)
		}
		return
	}
	t.creditLoan(a, r, m, now)
	t.serve(a, now, out)
}

// creditLoan credits a grant that answers the loan request r.
func (t *Table) creditLoan(a *account, r *loanRequest, m *peerpb.TokenGrant, now time.Time) {
	if finite(m.Burst) <= 0 {
		if !r.timedOut {
			a.round.recordNoLoan(len(a.peers), now)
		}
		return
	}
	if m.Tokens >= 1 || m.Rate > 0 {
		a.round.recordLoan()
	}
	lifetime := time.Duration(m.LifetimeMs) * time.Millisecond
	a.held = append(a.held, &heldLoan{
		from:  r.to,
		id:    r.id,
		burst: m.Burst,
		rate:  finite(m.Rate),
		level: min(finite(m.Tokens), m.Burst),
		at:    now,
		until: earlier(r.until, r.sent.Add(lifetime)),
	})
	t.activate(a)
}

// removeLoanRequest removes and returns the loan request that a grant answers,
// nil if none.
func (a *account) removeLoanRequest(from, id string) *loanRequest {
	for i, r := range a.loanRequests {
		if r.to == from && r.id == id {
			a.loanRequests = append(a.loanRequests[:i], a.loanRequests[i+1:]...)
			return r
		}
	}
	return nil
}

func (a *account) holds(from, id string) bool {
	for _, h := range a.held {
		if h.from == from && h.id == id {
			return true
		}
	}
	return false
}

// decline returns a loan that this host does not hold and can no longer credit,
// because its loan request was dropped or has been answered. The grant may repeat
// one whose tokens have been spent, so no tokens are returned.
func (t *Table) decline(from string, m *peerpb.TokenGrant, out *Output) {
	if m.Burst > 0 {
		sendReturn(m.Customer, from, m.RequestId, 0, out)
	}
}

// handleReturn ends a loan that this host gave. Tokens that no longer fit into
// the bucket are lost.
func (t *Table) handleReturn(from string, m *peerpb.TokenGrant, now time.Time, out *Output) {
	a := t.accounts[m.Customer]
	if a == nil {
		return
	}
	a.advance(now, t.accrueFrom)
	l := a.findLoan(from, m.RequestId)
	if l == nil || l.ended {
		return
	}
	a.endLoan(l)
	a.level = min(a.ownBurst(), a.level+min(finite(m.Tokens), l.burst))
	t.serve(a, now, out)
}

// returnSpent returns the loans without a rate whose tokens are spent. When no
// request waits, it returns all loans without a rate, and those whose rate the
// demand does not need.
func (t *Table) returnSpent(a *account, out *Output) {
	a.demand.decay(a.at)
	surplus := a.totalRate() - a.demand.perSecond
	t.returnWhere(a, out, func(h *heldLoan) bool {
		if h.rate == 0 {
			return len(a.waiters) == 0 || h.level < epsilon
		}
		if len(a.waiters) > 0 || h.rate > surplus {
			return false
		}
		surplus -= h.rate
		return true
	})
}

// returnTo returns the loans held from a lender that now requests a loan
// itself.
func (t *Table) returnTo(a *account, lender string, out *Output) {
	t.returnWhere(a, out, func(h *heldLoan) bool { return h.from == lender })
}

// returnAll returns every held loan.
func (t *Table) returnAll(a *account, out *Output) {
	t.returnWhere(a, out, func(*heldLoan) bool { return true })
}

// returnDue returns loans that are idle or about to expire. For those with a rate
// that are still in use, it requests new ones from the same lenders.
func (t *Table) returnDue(a *account, now time.Time, out *Output) {
	var renew []string
	t.returnWhere(a, out, func(h *heldLoan) bool {
		if now.Before(t.returnAt(a, h)) {
			return false
		}
		if t.inUse(a, now) && h.rate > 0 {
			renew = append(renew, h.from)
		}
		return true
	})
	for _, peer := range renew {
		t.requestLoan(a, peer, 0, now, out)
	}
}

// returnAt returns when a held loan is to be returned.
func (t *Table) returnAt(a *account, h *heldLoan) time.Time {
	end := h.until.Add(-t.cfg.LoanTerm / returnDivisor)
	if len(a.waiters) > 0 {
		return end
	}
	return earlier(end, a.lastUsed.Add(t.cfg.IdleReturn))
}

func (t *Table) inUse(a *account, now time.Time) bool {
	return !t.leaving && (len(a.waiters) > 0 || now.Sub(a.lastUsed) < t.cfg.IdleReturn)
}

// returnWhere sends back the held loans that match and removes them from the
// account.
func (t *Table) returnWhere(a *account, out *Output, match func(*heldLoan) bool) {
	kept := a.held[:0]
	for _, h := range a.held {
		if !match(h) {
			kept = append(kept, h)
			continue
		}
		sendReturn(a.id, h.from, h.id, h.level, out)
	}
	clear(a.held[len(kept):])
	a.held = kept
}

func sendReturn(customer, to, id string, tokens float64, out *Output) {
	m := &peerpb.TokenGrant{Customer: customer, RequestId: id, Tokens: tokens, Returned: true}
	env := &peerpb.Envelope{Body: &peerpb.Envelope_TokenGrant{TokenGrant: m}}
	out.Send = append(out.Send, Send{To: to, Msg: env})
}
