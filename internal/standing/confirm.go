package standing

import (
	"time"

	"github.com/bronzeloft/bronzeloft/link/peerpb"
)

// DefaultConfirmTerm is how long a host uses its shares after the last time that
// enough other hosts confirmed that they follow the same roster.
const DefaultConfirmTerm = 15 * time.Second

// Timing of confirmations.
const (
	confirmDivisor = 4                     // a confirmation is renewed after 1/confirmDivisor of its term
	confirmRetry   = 2 * time.Second       // longest pause after a failed attempt
	firstRetry     = 50 * time.Millisecond // first pause after a failed attempt, then doubled
	marginDivisor  = 16                    // see lapsed
)

// confirmation is the state of a host's check that other hosts follow the same
// roster. It is valid for a term from the start of an attempt in which a majority
// of the members in the host's data centre, or of all members, answered with the
// same roster version; the host itself counts. A host without a valid confirmation
// stops using its shares, so that after some time they can be reassigned to other
// hosts.
type confirmation struct {
	until    time.Time       // end of the confirmation's validity
	next     time.Time       // start of the next attempt
	id       uint64          // query id of the current attempt
	sent     time.Time       // start of the current attempt
	answered map[string]bool // hosts that confirmed the same version in this attempt
	failed   int             // attempts in a row without a majority
}

// Confirmed reports whether this host may use its shares now.
func (k *Keeper) Confirmed(now time.Time) bool {
	return now.Before(k.confirm.until)
}

// requestConfirmation starts an attempt when one is due. It queries the members
// in this data centre, and after a failed attempt all members.
func (k *Keeper) requestConfirmation(now time.Time) []Send {
	c := &k.confirm
	if now.Before(c.next) {
		return nil
	}
	k.lastID++
	c.id, c.sent = k.lastID, now
	c.answered = map[string]bool{}
	c.next = now.Add(min(confirmRetry, firstRetry<<min(c.failed, 10)))
	c.failed++
	var out []Send
	dc := k.plan.DataCentre(k.self)
	for _, m := range k.plan.members {
		if m.Address != k.self && (m.DataCentre == dc || c.failed > 1) {
			out = append(out, k.query(m.Address, c.id))
		}
	}
	k.checkConfirm()
	return out
}

// handleConfirm records an answer to the current attempt.
func (k *Keeper) handleConfirm(from string, m *peerpb.RosterAck) {
	if k.plan == nil || m.QueryId != k.confirm.id || m.RosterVersion != k.plan.Version {
		return
	}
	k.confirm.answered[from] = true
	k.checkConfirm()
}

// checkConfirm extends the confirmation if a majority has answered for every
// binding plan. The term counts from the start of the attempt.
func (k *Keeper) checkConfirm() {
	c := &k.confirm
	follows := func(a string) bool { return a == k.self || c.answered[a] }
	for _, p := range k.bindingPlans() {
		if !p.hasMajority(k.self, follows) {
			return
		}
	}
	if until := c.sent.Add(k.term); until.After(c.until) {
		c.until = until
		c.next = c.sent.Add(k.term / confirmDivisor)
		c.failed = 0
	}
}

// bindingPlans returns the plans whose lowest share is this host's share. Other
// hosts may know only the oldest of them, so each has to be confirmed.
func (k *Keeper) bindingPlans() []*Plan {
	plans := append([]*Plan{k.plan}, k.intermediate...)
	if k.base != nil && k.base != k.plan {
		plans = append(plans, k.base)
	}
	return plans
}

// expirePlans discards this host's earlier plans once its confirmation has lapsed
// and the last raise is at least a term ago: the other hosts may since have applied
// rosters that this host never received. The host then starts again without a
// share.
func (k *Keeper) expirePlans(now time.Time) {
	if k.base == nil || k.Confirmed(now) || now.Before(k.raisedAt.Add(k.term)) {
		return
	}
	k.base, k.intermediate = nil, nil
	k.settled, k.othersHeld = false, true
	k.outvotedAt = map[string]time.Time{}
	k.expectAcks()
	k.round = 0
	k.startRound(now)
}

// hasMajority reports whether the hosts for which follows is true suffice to
// confirm the share of address: a majority of the members in its data centre, or
// of all members.
func (p *Plan) hasMajority(address string, follows func(string) bool) bool {
	dc := p.DataCentre(address)
	dcFollowers, dcMembers, followers := 0, 0, 0
	for _, m := range p.members {
		if m.DataCentre == dc {
			dcMembers++
		}
		if !follows(m.Address) {
			continue
		}
		followers++
		if m.DataCentre == dc {
			dcFollowers++
		}
	}
	return 2*dcFollowers > dcMembers || 2*followers > len(p.members)
}

// lapsed reports whether the share of address, which has not acknowledged, must
// have lapsed: the hosts that may follow an older roster have been too few to
// confirm it for the sum of the confirmation term, a margin of 1/marginDivisor of
// that term for clocks that run at different speeds, and the drain time.
func (k *Keeper) lapsed(address string, now time.Time) bool {
	if !k.outvoted(address) {
		delete(k.outvotedAt, address)
		return false
	}
	since, ok := k.outvotedAt[address]
	if !ok {
		k.outvotedAt[address] = now
		return false
	}
	return now.Sub(since) >= k.term+k.term/marginDivisor+k.drain
}

// outvoted reports whether the hosts that have not acknowledged are too few, in
// every older plan that names address, to confirm its share. Without an older plan
// it uses the newest one. It reports false if this host has no base plan but
// others held shares: only those hosts can decide.
func (k *Keeper) outvoted(address string) bool {
	notAcked := func(a string) bool { return a != k.self && k.ackedRound[a] == 0 }
	if k.base == nil && k.othersHeld {
		return false
	}
	named := false
	plans := k.formerPlans
	if len(plans) == 0 {
		plans = []*Plan{k.plan}
	}
	for _, p := range plans {
		if p.DataCentre(address) == "" {
			continue
		}
		named = true
		if p.hasMajority(address, notAcked) {
			return false
		}
	}
	return named
}
