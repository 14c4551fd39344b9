package succession

import "time"

// VoidRounds is the number of orders for the present primary, PromotionLimit apart, after
// which an earlier order for another database counts as void though its effect has not been
// seen.
const VoidRounds = 3

// Settlement is what is known of a service's orders once the platform has accepted the
// last one.
type Settlement struct {
	Since   time.Duration // since the last order was accepted
	Void    bool          // it was for the primary of that time
	Effect  bool          // its database has led a term newer than those known when it was given
	Earlier bool          // an earlier order may still take effect
	Other   bool          // an earlier order for another database may
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

// Outcome decides whether the orders are settled. An order ends with its effect. An accepted
// one keeps earlier ones, whose fences are lower, from being accepted; but one that had no
// answer may have been accepted just before, and be as late as one that was answered. For the
// same database it changes nothing once that is the primary, or is over within
// PromotionLimit; for another one it is waited for VoidRounds times that.
func (s Settlement) Outcome() SettlementOutcome {
	switch {
	case s.Effect && !s.Earlier:
		return Settles
	case s.Since < PromotionLimit:
		return Waiting
	case (s.Effect || s.Void) && (!s.Other || s.Rounds+1 >= VoidRounds):
		return Settles
	}
	return Unsettles
}
