package standing

import (
	"time"

	"github.com/bronzeloft/bronzeloft/link/peerpb"
)

// DefaultConfirmTerm is how long a host uses its shares after it last heard
// that its roster is still followed.
const DefaultConfirmTerm = 15 * time.Second

// Timing of confirmations.
const (
	confirmParts = 4 // a confirmation is renewed after this part of its term
	confirmRetry = 2 * time.Second
	firstRetry   = 50 * time.Millisecond
	marginParts  = 16 // of a term, added by others for clocks of different speed
)

// confirmation is what a host knows of others following the same roster. It
// holds while most hosts of the data centre, or most of the roster, answered
// within the term with the same version. A host that cannot get one stops
// using its shares, so that others may take them over in time.
type confirmation struct {
	until    time.Time
	next     time.Time
	id       uint64
	sent     time.Time
	answered map[string]bool
	failed   int // attempts in a row without a majority
}

// Confirmed reports whether this host may use its shares now.
func (k *Keeper) Confirmed(now time.Time) bool {
	return now.Before(k.confirm.until)
}

// askConfirm starts an attempt: among the data centre's members, after a failed
// one among all.
func (k *Keeper) askConfirm(now time.Time) []Send {
	c := &k.confirm
	if now.Before(c.next) {
		return nil
	}
	k.nextID++
	c.id, c.sent = k.nextID, now
	c.answered = map[string]bool{}
	c.next = now.Add(min(confirmRetry, firstRetry<<min(c.failed, 10)))
	c.failed++
	var out []Send
	near := k.plan.DataCentre(k.self)
	for _, m := range k.plan.members {
		if m.Address != k.self && (m.DataCentre == near || c.failed > 1) {
			out = append(out, k.query(m.Address, c.id))
		}
	}
	k.checkConfirm()
	return out
}

// handleConfirm counts an answer to the current attempt.
func (k *Keeper) handleConfirm(from string, m *peerpb.RosterAck) {
	if k.plan == nil || m.QueryId != k.confirm.id || m.RosterVersion != k.plan.Version {
		return
	}
	k.confirm.answered[from] = true
	k.checkConfirm()
}

func (k *Keeper) checkConfirm() {
	c := &k.confirm
	follows := func(a string) bool { return a == k.self || c.answered[a] }
	for _, p := range k.binding() {
		if !p.carried(k.self, follows) {
			return
		}
	}
	if until := c.sent.Add(k.term); until.After(c.until) {
		c.until = until
		c.next = c.sent.Add(k.term / confirmParts)
		c.failed = 0
	}
}

// binding returns the plans that this host's share is the least of. Others may
// know only the oldest of them, so each has to be confirmed.
func (k *Keeper) binding() []*Plan {
	plans := append([]*Plan{k.plan}, k.lows...)
	if k.base != nil && k.base != k.plan {
		plans = append(plans, k.base)
	}
	return plans
}

// expire forgets the plans that this host has passed when its confirmation has
// run out: others may have gone on to rosters that it never saw.
func (k *Keeper) expire(now time.Time) {
	if k.base == nil || k.Confirmed(now) || now.Before(k.roseAt.Add(k.term)) {
		return
	}
	k.base, k.lows = nil, nil
	k.settled, k.othersHeld = false, true
	k.outvotedAt = map[string]time.Time{}
	k.expect()
	k.round = 0
	k.startRound(now)
}

// carried reports whether the hosts that follow suffice to confirm the share of
// address: most of its data centre's members, or most of all.
func (p *Plan) carried(address string, follows func(string) bool) bool {
	dc := p.DataCentre(address)
	near, nearAll, all := 0, 0, 0
	for _, m := range p.members {
		if m.DataCentre == dc {
			nearAll++
		}
		if !follows(m.Address) {
			continue
		}
		all++
		if m.DataCentre == dc {
			near++
		}
	}
	return 2*near > nearAll || 2*all > len(p.members)
}

// lapsed reports whether address, which has not acknowledged, cannot have used
// a share for long enough: those that follow an older roster have been too few
// to confirm it for the term and the time that its loans may last.
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
	return now.Sub(since) >= k.term+k.term/marginParts+k.drain
}

// outvoted reports whether the hosts that have not acknowledged are too few, in
// every older plan that names address, to confirm its share. A host that knows
// no older plan judges by the newest if no host has held a share before, else it
// leaves the judgement to those that have.
func (k *Keeper) outvoted(address string) bool {
	older := func(a string) bool { return a != k.self && k.need[a] == 0 }
	if k.base == nil && k.othersHeld {
		return false
	}
	named := false
	plans := k.former
	if len(plans) == 0 {
		plans = []*Plan{k.plan}
	}
	for _, p := range plans {
		if p.DataCentre(address) == "" {
			continue
		}
		named = true
		if p.carried(address, older) {
			return false
		}
	}
	return named
}
