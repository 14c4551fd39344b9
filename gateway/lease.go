package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/objectapi"
	"github.com/bronzeloft/bronzeloft/position"
)

// kindLeases is the object kind with one succession.Lease for each service. Only the
// holder of the lease may replace the service's primary.
const kindLeases = succession.KindLeases

// leaseObservation is the version of another host's lease and the time at which
// this host first saw it.
type leaseObservation struct {
	version uint64
	at      time.Time
}

// acquireLease makes this host the holder of the service's lease. It returns
// errLeaseHeld if another host holds it.
func (a *replacement) acquireLease(ctx context.Context) error {
	old, err := a.s.g.platform.Objects().Get(ctx, kindLeases, a.s.name)
	a.era = a.s.g.platform.Eras().Newest()
	switch {
	case errors.Is(err, objectapi.ErrNotFound):
	case err != nil:
		return err
	default:
		if !a.canAcquireLease(old) {
			var held succession.Lease
			a.orderedElsewhere = json.Unmarshal(old.Value, &held) == nil && !held.Released && held.Ordered != ""
			return errLeaseHeld
		}
	}
	if a.s.g.justReturned() {
		a.s.g.metrics.awaitingReturn.Inc()
		return errStoreReturned
	}
	a.leaseObject, a.trace.leaseBefore = old, leaseText(old)
	ordered := a.pendingOrder(old)
	if a.olderLease {
		if err := a.readFloor(ctx); err != nil {
			return err
		}
		if a.era > 0 {
			kept := a.s.keptFloor()
			a.leaseTerm, a.floor = max(a.leaseTerm, kept.Term), position.Max(a.floor, kept.Floor)
		}
	}
	return a.writeLease(ctx, succession.Lease{Ordered: ordered})
}

// unknownOrder is the value of Ordered after a lease that could not be decoded, or that
// was written by a host of older rules: there may be an order that it does not record.
const unknownOrder = "unknown"

// pendingOrder records and returns the database of the order that the previous
// lease holder left unanswered; it is empty if there is none.
func (a *replacement) pendingOrder(old objectapi.Object) string {
	held, err := a.s.decodeLease(old)
	if len(old.Value) > 0 && err != nil {
		a.pending, a.ordered, a.olderLease = true, unknownOrder, true
		return unknownOrder
	}
	a.pending, a.ordered, a.leaseTerm, a.floor = held.Ordered != "", held.Ordered, held.Term, held.Floor
	a.olderLease = (len(old.Value) > 0 || a.era > 0) && held.ByOlderRules() // the copy may lack the lease
	a.late, a.accepted, a.unseen, a.rounds = held.Ordered, held.Accepted, held.Unseen || a.olderLease, held.Rounds
	if a.olderLease && held.Ordered == "" {
		a.pending, a.ordered = true, unknownOrder
	}
	return a.ordered
}

// writeLease replaces the lease object last read or written by this attempt. The
// object's new version becomes the fence. The newest term and the floor are kept from
// lease to lease.
func (a *replacement) writeLease(ctx context.Context, l succession.Lease) error {
	l.Holder, l.Claim, l.Rules = a.s.g.opt.Name, uuid.NewString(), succession.Rules
	l.Era, l.Term, l.Floor = a.era, max(a.leaseTerm, a.newestTerm()), a.floor
	if l.Ordered != "" {
		l.Accepted = a.accepted && l.Ordered == a.ordered
		l.Unseen, l.Rounds = l.Unseen || a.unseen, a.rounds
	}
	value, err := json.Marshal(l)
	if err != nil {
		return err
	}
	isOwn := func(value []byte) bool {
		var held succession.Lease
		return json.Unmarshal(value, &held) == nil && held.Claim == l.Claim
	}
	held, err := objectapi.UpdateOwn(ctx, a.s.g.platform.Objects(), kindLeases, a.s.name, a.leaseObject.Version, value, isOwn)
	switch {
	case err == nil:
		a.leaseObject = held
		a.s.rememberFloor(succession.KeptFloor{Term: l.Term, Floor: l.Floor})
	case !isConflict(err):
		a.unconfirmed = append(a.unconfirmed, l.Claim)
	}
	return err
}

func isConflict(err error) bool {
	return errors.Is(err, objectapi.ErrConflict) || errors.Is(err, objectapi.ErrExists)
}

// canAcquireLease reports whether a lease is free: released, held by this host,
// or unchanged for leaseTerm by this host's clock. A lease that cannot be decoded
// counts as held by another host, and so does one with a pending order that only is to
// be settled: the host that released it settles it first, so that two hosts do not order
// in turns.
func (a *replacement) canAcquireLease(old objectapi.Object) bool {
	var held succession.Lease
	if err := json.Unmarshal(old.Value, &held); err != nil {
		a.log.Warn("Cannot decode the lease.", "error", err)
		held = succession.Lease{} // decoding may have set some of the fields
	}
	settles := a.reason == succession.Unsettled || a.reason == succession.Paused
	if held.Holder == a.s.g.opt.Name || held.Released && (held.Ordered == "" || !settles) {
		return true
	}
	now := a.s.g.now()
	a.s.mu.Lock()
	defer a.s.mu.Unlock()
	seen := &a.s.promotion.observedLease
	if seen.version != old.Version {
		*seen = leaseObservation{version: old.Version, at: now}
	}
	return now.Sub(seen.at) >= leaseTerm
}

// releaseLease releases the lease and records in it the database, if any, whose
// promotion may still take effect. If there is none, it resumes paused replicas before.
func (a *replacement) releaseLease(ordered string) {
	if ordered == "" && !a.resume() {
		return
	}
	ctx, cancel := context.WithTimeout(a.s.g.ctx, controlTimeout)
	defer cancel()
	released := succession.Lease{Released: true, Ordered: ordered}
	err := a.writeLease(ctx, released)
	if isConflict(err) && a.readUnconfirmed(ctx) {
		err = a.writeLease(ctx, released)
	}
	if err != nil {
		a.log.Info("Lease was not released; it will expire.", "error", err)
		return
	}
	a.settled = ordered == ""
	a.log.Info("Lease released.", "fence", a.leaseObject.Version, "pending_order", ordered)
}

// readUnconfirmed reads the lease and reports whether it is one that this attempt
// has written without learning that the write took effect.
func (a *replacement) readUnconfirmed(ctx context.Context) bool {
	if len(a.unconfirmed) == 0 {
		return false
	}
	stored, err := a.s.g.platform.Objects().Get(ctx, kindLeases, a.s.name)
	if err != nil {
		a.log.Info("Reading the lease back failed.", "error", err)
		return false
	}
	var held succession.Lease
	if json.Unmarshal(stored.Value, &held) != nil || !slices.Contains(a.unconfirmed, held.Claim) {
		return false // another host's
	}
	a.leaseObject = stored
	return true
}
