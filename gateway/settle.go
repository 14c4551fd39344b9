package gateway

import (
	"context"
	"time"

	"github.com/bronzeloft/bronzeloft/customer/retry"
	"github.com/bronzeloft/bronzeloft/database/succession"
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
	a.query(ctx, a.addNewDatabases(), statement.Statement{Kind: statement.Status})
	a.giveUp(ctx)
}

// giveUp ends an attempt without a successor. The lease is settled only once no
// earlier order can still take effect. While the primary is leaving, earlier orders are
// not voided, since one of them may replace it.
func (a *replacement) giveUp(ctx context.Context) {
	switch {
	case !a.pending:
		a.releaseLease("")
	case a.reason == succession.Leaving:
		a.releaseLease(a.ordered)
	default:
		a.voidPendingOrder(ctx)
	}
}

// voidPendingOrder orders the promotion of the current primary, so that no earlier
// order can be accepted any more, and waits until those that were accepted have taken
// effect. It releases the lease with the pending order if no database reports that it
// is the primary, if that one is leaving, or if the order is not answered.
func (a *replacement) voidPendingOrder(ctx context.Context) {
	for _, c := range a.conns {
		if !c.answered || !c.report.Primary || c.db.Leaving {
			continue
		}
		a.logChosen("Primary is ordered again, to void a pending order.", succession.Candidate{ID: c.db.ID, Answered: true, Received: c.report.Received})
		if err := a.order(ctx, c.db.ID); err != nil {
			a.log.Warn("Lease is not settled: a promotion order may still take effect.", "database", a.ordered, "error", err)
			break
		}
		a.awaitSettled(c.db.ID)
		return
	}
	a.releaseLease(a.ordered)
}

// awaitSettled is called when the platform has accepted an order. It waits until
// neither that nor an earlier order can take effect any more and the primary is known,
// and then releases the lease as settled. If that takes too long, the lease is left to
// expire with its order.
func (a *replacement) awaitSettled(id string) {
	accepted := a.s.g.now()
	ctx, cancel := context.WithTimeout(a.s.g.ctx, takeOverLimit)
	defer cancel()
	var settledAfter time.Duration
	if a.pending {
		settledAfter = succession.PromotionLimit
	}
	for ctx.Err() == nil {
		isPrimary := a.sampleSuccessor(id)
		passed := a.s.g.now().Sub(accepted)
		if passed >= succession.PromotionLimit || passed >= settledAfter && isPrimary && a.leads(ctx, id) {
			break
		}
		retry.Wait(ctx, catchUpPoll)
	}
	a.addNewDatabases()
	a.query(ctx, a.conns, statement.Statement{Kind: statement.Status})
	if primary := a.newestPrimary(); primary != nil {
		a.log.Info("Service has a primary.", "database", primary.db.ID, "term", primary.report.Term, "after_ms", a.s.g.now().Sub(a.started).Milliseconds())
		a.logTakenEffect(primary)
		a.releaseLease("")
		return
	}
	a.logNoEffect(errNoPrimaryInTime)
	a.log.Warn("Lease is not settled: no database reported in time that it is the primary.", "database", id)
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

// leads queries a database and reports whether it is the primary of a term that has
// begun since the attempt was started. What this host knew before may be outdated.
func (a *replacement) leads(ctx context.Context, id string) bool {
	c := a.conn(id)
	if c == nil {
		return false
	}
	a.query(ctx, []*controlConn{c}, statement.Statement{Kind: statement.Status})
	return c.answered && c.report.Primary && c.report.Term > a.term
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
