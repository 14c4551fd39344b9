package succession

import (
	"time"

	"github.com/bronzeloft/bronzeloft/position"
)

// Lease is the value of the object in the store that admits one host at a time to
// replacing a service's primary. The version of the object is the fence of the orders
// given under the lease.
type Lease struct {
	Holder   string `json:"holder"`
	Claim    string `json:"claim"` // unique for each write
	Released bool   `json:"released"`
	// Ordered is the database of a promotion order that may still take effect. It is
	// recorded before the order is given.
	Ordered string `json:"ordered,omitempty"`
	// Accepted is set if the platform has answered that order.
	Accepted bool `json:"accepted,omitempty"`
	// Unseen is set if an order for a database other than Ordered may still take effect too.
	// Rounds counts the orders for the present primary since then; see VoidRounds.
	Unseen bool `json:"unseen,omitempty"`
	Rounds int  `json:"rounds,omitempty"`
	// Term is the newest term that a holder of the lease has known of.
	Term uint64 `json:"term,omitempty"`
	// Floor is the end of the log of the successor that was chosen last. Each later
	// successor's log is at least as long.
	Floor position.Position `json:"floor,omitzero"`
	// Rules is the version of the rules that the writer follows; see Rules.
	Rules uint32 `json:"rules,omitempty"`
	// Era is the newest era of the store that the writer knew; see CopiedTo.
	Era uint64 `json:"era,omitempty"`
}

// CopiedTo returns what a lease that was read in an era of the store says. One that was written in
// an earlier era comes from the copy with which the store returned. The leases after it are gone,
// and with them orders that may still take effect: it counts as one by older rules.
func (l Lease) CopiedTo(era uint64) Lease {
	if l.Era < era {
		l.Rules = 0
	}
	return l
}

// Settled reports whether no order that was given so far can still replace the
// primary of a term: no host is replacing it, no order is pending, and it has not been
// replaced. The zero value, for a lease that nobody has taken, is not settled, and
// neither is one that a host of older rules has released.
func (l Lease) Settled(term uint64) bool {
	return l.Released && l.Ordered == "" && !l.ByOlderRules() && l.Term <= term
}

// Waited reports whether all orders that were given before a lease was read take effect
// beyond PromotionLimit or not at all: it is settled, or a later order was accepted that long ago
// in the same term.
func (l Lease) Waited(term uint64) bool {
	return l.Settled(term) || l.Rounds > 0 && l.Term == term && !l.ByOlderRules()
}

// PromotionLimit bounds the time from the platform's acceptance of an order to the
// change of the primary. It is twice the time that a promotion takes. An order whose
// answer is lost may be accepted until a later one, with a higher fence, has been. One
// that takes longer stays pending; see Settlement.
const PromotionLimit = 2 * time.Second
