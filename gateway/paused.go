package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/statement"
)

// pausedCheckEvery is the time between checks for replicas that an attempt has
// left paused. A check occupies a slot of each database for less than a
// millisecond.
const pausedCheckEvery = time.Second

// checkPaused starts a check for paused replicas, which resumes them if there are
// any. A host that paused them and then failed, or was cut off, cannot resume
// them itself. The attempt that resumes them has the reason
// succession.ReplicasPaused, logged as "stopped". mu is held.
func (s *service) checkPaused(now time.Time) {
	state := &s.promotion
	if state.checkingPaused || now.Before(state.nextPausedCheck) {
		return
	}
	state.checkingPaused, state.nextPausedCheck = true, now.Add(pausedCheckEvery)
	pools := slices.Collect(maps.Values(s.pools))
	a := s.newReplacement(succession.ReplicasPaused, s.acked, now)
	go func() {
		if s.anyPaused(pools) {
			s.g.metrics.takeover(a.reason, a.resumePaused())
		}
		s.mu.Lock()
		s.promotion.checkingPaused = false
		s.mu.Unlock()
	}()
}

// anyPaused queries the databases and reports whether one of them is paused.
func (s *service) anyPaused(pools []*pool) bool {
	reports := make([]statement.Report, len(pools))
	var all sync.WaitGroup
	for i, p := range pools {
		all.Go(func() { reports[i], _ = s.queryStatus(p) }) // one that cannot be queried is checked the next time
	}
	all.Wait()
	for _, r := range reports {
		if r.Paused != 0 {
			return true
		}
	}
	return false
}

// resumePaused resumes paused replicas while holding the lease, so that replicas
// paused by an attempt in progress are not resumed.
func (a *replacement) resumePaused() takeoverOutcome {
	ctx, cancel := context.WithTimeout(a.s.g.ctx, attemptLimit)
	defer cancel()
	if err := a.acquireLease(ctx); err != nil {
		a.log.Info("Lease not acquired.", "error", err)
		return takeoverNoLease
	}
	defer a.closeConns()
	a.query(ctx, a.addNewDatabases(), statement.Statement{Kind: statement.Status})
	a.log.Info("Replicas are paused and no attempt is in progress.", "fence", a.leaseObject.Version, "pending", a.pending)
	return a.giveUp(ctx, takeoverResumed)
}

// giveUp ends an attempt without a successor. Replicas may receive from the
// current primary again only once no earlier order can still take effect. It
// returns the attempt's outcome: the given one, or takeoverPending if the replicas
// stay paused.
func (a *replacement) giveUp(ctx context.Context, outcome takeoverOutcome) takeoverOutcome {
	if err := a.voidPendingOrder(ctx); err != nil {
		a.log.Warn("Replicas stay paused: a promotion order may still take effect.", "database", a.ordered, "error", err)
		a.releaseLease(a.ordered)
		return takeoverPending
	}
	a.resumeAll()
	a.releaseLease("")
	return outcome
}
