package succession

import "time"

// VoidRounds is the number of orders for the present primary, PromotionLimit apart, after
// which an earlier order that was accepted counts as void though its effect has not been
// seen.
const VoidRounds = 3

// Settlement is what is known of a service's orders once the platform has accepted the
// last one.
type Settlement struct {
	Since   time.Duration // since the last order was accepted
	Void    bool          // it was for the primary of that time
	Effect  bool          // its database has led a term newer than those known when it was given
	Earlier bool          // an earlier order may have been accepted
	Unseen  bool          // an earlier order was accepted, and its effect has not been seen
	Rounds  int           // orders for the present primary, since then, that were waited for
}

// SettlementOutcome is what follows from a Settlement.
type SettlementOutcome uint8

// The outcomes.
const (
	Waiting   SettlementOutcome = iota
	Settles                     // no order can take effect any more
	Unsettles                   // the last order, or an earlier one, may still take effect
)

// Outcome decides whether the orders are settled. An order that was accepted ends with its
// effect, or with that of a later one. The present primary's order has none to be seen; it
// keeps earlier ones from being accepted, and those accepted before take effect within
// PromotionLimit, or VoidRounds times that if one of them is known to be late.
func (s Settlement) Outcome() SettlementOutcome {
	switch {
	case s.Effect && !s.Earlier:
		return Settles
	case s.Since < PromotionLimit:
		return Waiting
	case s.Effect:
		return Settles
	case s.Void && (!s.Unseen || s.Rounds+1 >= VoidRounds):
		return Settles
	}
	return Unsettles
}
