package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/bronzeloft/bronzeloft/objectapi"
)

// kindLeases holds one lease for each service: who may replace its primary.
const kindLeases = "bronzeloft-leases"

// leaseSeen is a lease of another host, with when this host first saw it.
type leaseSeen struct {
	version uint64
	at      time.Time
}

// lease is the value of a lease object. Its version is the fence.
type lease struct {
	Holder   string `json:"holder"`
	Claim    string `json:"claim"` // unique to one write
	Released bool   `json:"released"`
	// Ordered is the database whose promotion was ordered and may still take
	// effect, unless an order with a later fence is answered.
	Ordered string `json:"ordered,omitempty"`
}

// takeLease writes this host into the service's lease object.
func (a *replacement) takeLease(ctx context.Context) error {
	old, err := a.s.g.platform.Objects().Get(ctx, kindLeases, a.s.name)
	switch {
	case errors.Is(err, objectapi.ErrNotFound):
	case err != nil:
		return err
	default:
		if !a.mayTake(old) {
			return errLeaseHeld
		}
	}
	a.held = old
	return a.writeLease(ctx, lease{Ordered: a.pendingOrder(old)})
}

// unknownOrder stands for the order that a lease that cannot be read may hide.
const unknownOrder = "unknown"

// pendingOrder returns the order that a lease's former holder left unanswered.
func (a *replacement) pendingOrder(old objectapi.Object) string {
	var held lease
	if len(old.Value) > 0 && json.Unmarshal(old.Value, &held) != nil {
		a.pending, a.ordered = true, unknownOrder
		return unknownOrder
	}
	a.pending, a.ordered = held.Ordered != "", held.Ordered
	return held.Ordered
}

// writeLease replaces the lease that this attempt holds. Its new version is the
// fence from then on.
func (a *replacement) writeLease(ctx context.Context, l lease) error {
	l.Holder, l.Claim = a.s.g.opt.Name, uuid.NewString()
	value, err := json.Marshal(l)
	if err != nil {
		return err
	}
	isMine := func(value []byte) bool {
		var held lease
		return json.Unmarshal(value, &held) == nil && held.Claim == l.Claim
	}
	held, err := objectapi.UpdateOwn(ctx, a.s.g.platform.Objects(), kindLeases, a.s.name, a.held.Version, value, isMine)
	if err == nil {
		a.held = held
	}
	return err
}

// mayTake reports whether a lease is free: given back, this host's own, or
// unchanged for its term on this host's clock.
func (a *replacement) mayTake(old objectapi.Object) bool {
	var held lease
	if err := json.Unmarshal(old.Value, &held); err != nil {
		a.log.Warn("Lease cannot be read.", "error", err)
	}
	if held.Released || held.Holder == a.s.g.opt.Name {
		return true
	}
	now := a.s.g.now()
	a.s.mu.Lock()
	defer a.s.mu.Unlock()
	seen := &a.s.duty.seen
	if seen.version != old.Version {
		*seen = leaseSeen{version: old.Version, at: now}
	}
	return now.Sub(seen.at) >= leaseTerm
}

// giveLeaseBack frees the lease for the next holder.
func (a *replacement) giveLeaseBack(ordered string) {
	ctx, cancel := context.WithTimeout(a.s.g.ctx, questionTimeout)
	defer cancel()
	if err := a.writeLease(ctx, lease{Released: true, Ordered: ordered}); err != nil {
		a.log.Info("Lease was not given back, it runs out.", "error", err)
	}
}
