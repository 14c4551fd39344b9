package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/bronzeloft/bronzeloft/customer/retry"
	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/position"
	"github.com/bronzeloft/bronzeloft/statement"
)

// startSettling starts an attempt that ends what a host has left unfinished that was
// to replace the primary: while its lease is not settled, commits that a replica
// lacks cannot be acknowledged. It does nothing while an attempt of this host runs, or
// while the primary should be replaced: the attempt that replaces it settles the lease.
// mu is held.
func (s *service) startSettling(now time.Time) {
	if s.promotion.running || s.promotion.reason != succession.None || s.g.leaving.Load() || now.Before(s.promotion.nextAttempt) {
		return
	}
	s.startAttempt(s.newReplacement(succession.Unsettled, s.acked, now), (*replacement).settle)
}

// settle acquires the lease, voids pending orders and releases the lease.
func (a *replacement) settle() {
	ctx, cancel := context.WithTimeout(a.s.g.ctx, attemptLimit)
	defer cancel()
	if err := a.acquireLease(ctx); err != nil {
		a.log.Info("Lease not acquired.", "error", err)
		return
	}
	a.log.Info("Lease acquired to settle it.", "fence", a.leaseObject.Version, "pending", a.pending)
	defer a.closeConns()
	defer a.recordFences()
	if a.pending {
		if err := a.readDatabases(ctx); err != nil {
			a.log.Info("Reading the lists of databases failed.", "error", err)
		}
	}
	a.query(ctx, a.addNewDatabases(), statement.Statement{Kind: statement.Status})
	a.giveUp(ctx)
}

// settleListTimeout bounds the reads of the lists of databases before an order is voided, for
// which they are not needed.
const settleListTimeout = time.Second

// readDatabases reads the store's list and the record of the databases. If that fails, the
// attempt uses the databases that this host knows.
func (a *replacement) readDatabases(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleListTimeout)
	defer cancel()
	if err := a.readStoreList(ctx); err != nil {
		return err
	}
	_, roster, err := a.s.readRoster(ctx)
	if err == nil {
		a.roster, a.listsRead = roster, true
	}
	return err
}

// giveUp ends an attempt without a successor. The lease is settled only once no
// earlier order can still take effect. While the primary is leaving, earlier orders are
// not voided, since one of them may replace it, unless replicas stay paused for them: commits
// stall, and no replica catches up with the primary so that a planned replacement can go on.
func (a *replacement) giveUp(ctx context.Context) {
	switch {
	case !a.pending:
		a.releaseLease("")
	case a.reason == succession.Leaving && !(a.allPaused() && a.leavingFor(unpausedPatience)):
		a.releaseLease(a.ordered)
	default:
		a.voidPendingOrder(ctx)
	}
}

// voidPendingOrder ends the orders that may still take effect. If there is only one,
// and nothing is lost by it, it is given again: its effect shows its end sooner than orders for
// the present primary do. Otherwise the current primary is ordered, so
// that no earlier order can be accepted any more. It releases the lease with
// the pending order if no database reports that it leads the newest known term, if that one is
// leaving and not the primary to be replaced, or if the order is not answered.
func (a *replacement) voidPendingOrder(ctx context.Context) {
	if a.pausing.none = a.orderTookEffect() || a.unseen && a.rounds > 0; !a.pausing.none {
		a.pause(ctx, slices.DeleteFunc(a.replicas(), func(c *controlConn) bool { return c.answered && isPaused(c.report) }))
		a.recordReadLogs()
	}
	if late := a.conn(a.ordered); !a.unseen && late != nil && a.mayRepeat(late) {
		a.logChosen("A pending order is given again.", succession.Candidate{ID: late.db.ID, Answered: true, Received: late.report.Received})
		err := a.order(ctx, late.db.ID)
		if err == nil {
			a.awaitSettled(late.db.ID)
			return
		}
		a.log.Warn("The pending order was not given again.", "database", late.db.ID, "error", err)
	}
	c := a.newestPrimary()
	if c == nil || c.db.Leaving && a.reason != succession.Leaving {
		a.releaseLease(a.ordered)
		return
	}
	a.logChosen("Primary is ordered again, to void a pending order.", succession.Candidate{ID: c.db.ID, Answered: true, Received: c.report.Received})
	if err := a.order(ctx, c.db.ID); err != nil {
		a.log.Warn("Lease is not settled: a promotion order may still take effect.", "database", a.ordered, "error", err)
		a.releaseLease(a.ordered)
		return
	}
	a.awaitSettled(c.db.ID)
}

// mayRepeat reports whether the database of a pending order still is one to promote. If the
// order may not have been accepted, it must hold what every other one that answers holds: a
// database that was missing from the hosts' lists for a while may lack commits that were
// acknowledged without it.
func (a *replacement) mayRepeat(c *controlConn) bool {
	if !c.answered || c.report.Primary || c.db.Leaving || !a.listsRead {
		return false
	}
	late, logs := succession.Candidate{Received: c.report.Received}, a.allLogs()
	acked, floor := a.bounds(position.Max(a.acked, a.ackedElsewhere()))
	if !succession.MayLead(late, logs, acked, floor) {
		return false
	}
	return a.accepted || !slices.ContainsFunc(logs, func(o succession.Candidate) bool { return o.Answered && late.Lacks(o.Received) })
}

// awaitSettled is called when the platform has accepted an order. It waits until
// neither that nor an earlier order can take effect any more and the primary is known,
// and then releases the lease as settled. Otherwise the lease is left to expire with its
// order.
func (a *replacement) awaitSettled(id string) {
	accepted := a.s.g.now()
	ctx, cancel := context.WithTimeout(a.s.g.ctx, takeOverLimit)
	defer cancel()
	var beside sync.WaitGroup
	floor := a.lastFloor()
	beside.Go(func() { a.keepFloor(floor) })
	for {
		a.keepPaused(ctx)
		isPrimary := a.sampleSuccessor(id)
		state := a.settlement(id, accepted)
		if isPrimary && !a.pending || state.Since >= succession.PromotionLimit {
			a.query(ctx, []*controlConn{a.conn(id)}, statement.Statement{Kind: statement.Status})
			state = a.settlement(id, accepted)
		}
		if state.Outcome() != succession.Waiting || ctx.Err() != nil {
			break
		}
		retry.Wait(ctx, catchUpPoll)
	}
	beside.Wait()
	a.addNewDatabases()
	a.query(a.s.g.ctx, a.conns, statement.Statement{Kind: statement.Status})
	primary, state := a.newestPrimary(), a.settlement(id, accepted)
	if primary != nil && state.Outcome() == succession.Settles {
		a.log.Info("Service has a primary.", "database", primary.db.ID, "term", primary.report.Term, "after_ms", a.s.g.now().Sub(a.started).Milliseconds())
		a.logTakenEffect(primary)
		if received := primary.report.Received; received.Index < a.floor.Index {
			a.log.Error("Primary leads with a shorter log than it had when it was chosen: it has restarted in between.", "database", primary.db.ID, "received", received.String(), "chosen_with", a.floor.String())
		}
		a.releaseLease("")
		return
	}
	if a.void || a.effect {
		a.rounds++
	}
	a.accepted = !a.void && !a.effect
	a.pending, a.ordered, a.unseen = true, id, a.other
	a.logNoEffect(errNoEffectInTime)
	a.log.Warn("Lease is not settled: an order may still take effect.", "database", id, "effect", a.effect, "rounds", a.rounds)
	writeCtx, cancelWrite := context.WithTimeout(a.s.g.ctx, controlTimeout)
	defer cancelWrite()
	if err := a.writeLease(writeCtx, succession.Lease{Ordered: id}); err != nil {
		a.log.Info("Recording that an order is late failed.", "database", id, "error", err)
		return
	}
	if a.rounds > 0 {
		a.resumeReplicas() // an order takes effect within PromotionLimit, or is beyond what the platform states
	}
}

// settlement returns what is known of the orders, the last of which was that of the given
// database, from the last reports.
func (a *replacement) settlement(id string, accepted time.Time) succession.Settlement {
	out := succession.Settlement{Since: a.s.g.now().Sub(accepted), Earlier: a.pending, Other: a.other, Void: a.void, Rounds: a.rounds}
	if primary := a.newestPrimary(); primary != nil && primary.db.ID == id {
		a.effect = a.effect || a.replica || primary.report.Term > a.orderTerm || id == a.late && primary.report.Term > a.leaseTerm
	}
	out.Effect = a.effect
	return out
}

// sampleSuccessor queries a database and reports whether it is known as the primary.
func (a *replacement) sampleSuccessor(id string) bool {
	a.s.mu.Lock()
	p := a.s.pools[id]
	primary, ok := a.s.table.Leader()
	a.s.mu.Unlock()
	if p != nil {
		a.s.sample(p)
	}
	return ok && primary.ID == id
}

// newestPrimary returns the database that reports that it is the primary, if it
// reports the newest term of all.
func (a *replacement) newestPrimary() *controlConn {
	newest := a.newestTerm()
	for _, c := range a.conns {
		if c.answered && c.report.Primary && c.report.Term == newest {
			return c
		}
	}
	return nil
}
