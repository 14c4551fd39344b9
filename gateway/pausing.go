package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/position"
	"github.com/bronzeloft/bronzeloft/statement"
)

// A promoted database leads with what it had received, but the platform does not state as
// of when: of the call, of its effect, or of some time in between. So each replacement
// pauses all replicas before it reads the logs that count, and none may receive anything
// until the order has taken effect, or can take effect no more.
//
// Neither PAUSE nor RESUME carries a fence, so either may be carried out late. The evidence
// of all copies (see acknowledge.go) rests on pauses for orders of the commit's own term: a
// RESUME that all replicas carry out after a later attempt has paused them, before its order
// takes effect, loses what is acknowledged in between. keepPaused pauses them again.

// Timing of pauses.
const (
	// keepPausedEvery is the time between two queries whether replicas are still paused while
	// an order is under way.
	keepPausedEvery = 60 * time.Millisecond
	// keepPausedTimeout bounds such a query: the effect of the order is awaited meanwhile.
	keepPausedTimeout = 150 * time.Millisecond
	// unpausedPatience is how long after its announcement a leaving primary is not replaced
	// while a replica cannot be paused. Several attempts are left until the primary ends.
	unpausedPatience = 2 * time.Second
	// pausedCheckEvery is the time between checks for replicas that an attempt has left
	// paused, while there is a sign of it. A check occupies a slot of each database for less
	// than a millisecond.
	pausedCheckEvery = time.Second
	// routineCheckEvery is that time on the first host in rank while there is no sign.
	routineCheckEvery = 5 * time.Second
	// pausedSuspectAfter is the age at which an unacknowledged commit is a sign of paused
	// replicas. It is shorter than commitStallTimeout.
	pausedSuspectAfter = 300 * time.Millisecond
	// pausedSignFor is how long a sign that replicas may have been left paused counts. It is
	// longer than a lease that was left to expire is held.
	pausedSignFor = 10 * time.Second
)

// pausing is an attempt's state of pausing replicas.
type pausing struct {
	term       uint64    // of the pauses, once a promotion is ordered; 0 before
	ordered    string    // the database of that promotion
	earlier    bool      // an order given before that one may take effect after it
	none       bool      // no replica is paused: commits do not need them, or no order can replace the primary
	lookedAt   time.Time // when the replicas were last queried while an order was under way
	unanswered bool      // a RESUME was not answered and may be carried out late
}

// pause pauses replicas and reads their logs.
func (a *replacement) pause(ctx context.Context, replicas []*controlConn) {
	if len(replicas) == 0 {
		return
	}
	term := a.pauseTerm()
	a.s.mu.Lock()
	a.s.replication.recordPause()
	a.s.mu.Unlock()
	st := statement.Statement{Kind: statement.Pause, Term: term}
	a.query(ctx, replicas, st)
	var lost []*controlConn // the statement, or its answer: the database may be reachable all the same
	for _, c := range replicas {
		if c.sent {
			c.pausedTo = max(c.pausedTo, term)
		}
		if c.sent && !c.answered && !c.refused && !c.former {
			lost = append(lost, c)
		}
	}
	a.query(ctx, lost, st)
	for _, c := range replicas {
		if c.answered && !c.report.Primary && !isPaused(c.report) {
			c.answered = false // its log may still grow
		}
	}
}

// pauseTerm returns the least term of a primary from which paused replicas receive again: the
// one that this attempt's order begins. While an earlier order may take effect after that, or
// has begun that term for another database, it is the next one.
func (a *replacement) pauseTerm() uint64 {
	next := a.newestTerm() + 1
	if a.pausing.term == 0 {
		return next
	}
	if primary := a.newestPrimary(); a.pausing.earlier || primary != nil && primary.db.ID != a.pausing.ordered {
		return next
	}
	return a.pausing.term
}

// pauseAll pauses all replicas, those that appear meanwhile too, so that their logs do not
// grow after they were read.
func (a *replacement) pauseAll(ctx context.Context) {
	a.pause(ctx, a.replicas())
	for added := a.addNewDatabases(); len(added) > 0; added = a.addNewDatabases() {
		a.pause(ctx, added)
	}
	a.recordReadLogs()
}

// recordReadLogs records the logs on which the choice of the successor rests.
func (a *replacement) recordReadLogs() {
	for _, c := range a.conns {
		c.read, c.chosenWith = c.answered && !c.report.Primary, c.report.Received
	}
}

// pausePlanned pauses the replicas of a primary that still serves, the successor last: only
// once it holds what the primary and the others do, and can be the only one that confirms
// more commits.
func (a *replacement) pausePlanned(ctx context.Context, successor string) error {
	if a.pausing.none = !a.s.needsCopies(); a.pausing.none {
		return nil // the primary confirms commits on its own, which the successor would miss
	}
	a.pause(ctx, slices.DeleteFunc(a.replicas(), func(c *controlConn) bool { return c.db.ID == successor }))
	if c, ok := a.unread(); ok {
		// It may confirm commits that the successor does not receive. No host acknowledges
		// them, as the successor lacks them, but hosts cannot say that they have failed.
		if !a.leavingFor(unpausedPatience) {
			return errNoSuccessor
		}
		a.log.Warn("A replica that cannot be paused may confirm commits until the successor leads.", "database", c)
	}
	if err := a.checkView(); err != nil {
		return err
	}
	var target position.Position
	for _, c := range a.conns {
		if c.answered {
			target = position.Max(target, c.report.Received)
		}
	}
	if err := a.catchUp(ctx, a.conn(successor), target); err != nil {
		return err
	}
	a.pause(ctx, []*controlConn{a.conn(successor)})
	if !a.conn(successor).answered {
		return errNotPaused
	}
	a.recordReadLogs()
	return a.checkView()
}

// unread returns a replica that has not answered the last query, such as a Pause, and may hold
// the only copy of an acknowledged commit.
func (a *replacement) unread() (id string, ok bool) {
	for _, c := range a.allLogs() {
		if c.MustBeRead() {
			return c.ID, true
		}
	}
	return "", false
}

// orderTookEffect reports whether the order that the lease recorded is known to have taken
// effect so long ago that no earlier one can any more.
func (a *replacement) orderTookEffect() bool {
	primary := a.newestPrimary()
	if a.unseen || primary == nil || primary.db.ID != a.late || primary.report.Term <= a.leaseTerm {
		return false
	}
	a.s.mu.Lock()
	defer a.s.mu.Unlock()
	return a.s.namedTerm >= primary.report.Term && a.s.g.now().Sub(a.s.namedAt) >= succession.PromotionLimit
}

// allPaused reports whether all replicas that have answered are paused, for an order that is
// pending or by a host that has failed. None of them catches up with a primary that still
// serves; but what it has committed since is confirmed by none.
func (a *replacement) allPaused() bool {
	answered := slices.DeleteFunc(a.replicas(), func(c *controlConn) bool { return !c.answered })
	if staying := slices.DeleteFunc(slices.Clone(answered), func(c *controlConn) bool { return c.db.Leaving }); len(staying) > 0 {
		answered = staying // a leaving one may be fenced
	}
	return len(answered) > 0 && !slices.ContainsFunc(answered, func(c *controlConn) bool { return !leftPaused(c.report, a.newestTerm()) })
}

// leavingFor reports whether hosts have known for d that the primary is leaving, or this host that it
// is to be replaced because of an evacuation.
func (a *replacement) leavingFor(d time.Duration) bool {
	a.s.mu.Lock()
	defer a.s.mu.Unlock()
	since := a.s.table.LeavingSince(a.primary)
	if since.IsZero() && a.s.primaryEvacuated() && a.s.promotion.reason == succession.Leaving {
		since = a.s.promotion.since
	}
	return !since.IsZero() && a.s.g.now().Sub(since) >= d
}

// checkPauses shows that no log has grown since the successor was chosen: each replica that
// was read then is still paused and has the same log. It runs right before each call for the
// successor. The order may have taken effect by an earlier call that had no answer.
func (a *replacement) checkPauses(ctx context.Context, called bool) error {
	if a.void || a.pausing.none {
		return nil
	}
	replicas := slices.DeleteFunc(slices.Clone(a.conns), func(c *controlConn) bool { return !c.read })
	a.query(ctx, replicas, statement.Statement{Kind: statement.Status})
	if primary := a.newestPrimary(); primary != nil && primary.report.Term > a.orderTerm {
		if called && primary.db.ID == a.pausing.ordered {
			return nil
		}
		return errNewerTerm
	}
	for _, c := range replicas {
		if !c.answered || !isPaused(c.report) || c.report.Received != c.chosenWith {
			a.log.Warn("Replica is not known to be paused with the log that was read.", "database", c.db.ID, "answered", c.answered,
				"term", c.report.Term, "paused", c.report.Paused, "received", c.report.Received.String(), "read", c.chosenWith.String())
			return errNotPaused
		}
	}
	if added := a.addNewDatabases(); len(added) > 0 {
		return errNotPaused
	}
	return nil
}

// keepPaused queries the replicas while an order is under way, and pauses those that may
// receive from a primary of before, and new ones.
func (a *replacement) keepPaused(ctx context.Context) {
	if a.pausing.none || a.s.g.now().Sub(a.pausing.lookedAt) < keepPausedEvery {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, keepPausedTimeout)
	defer cancel()
	a.pausing.lookedAt = a.s.g.now()
	a.addNewDatabases()
	running := slices.DeleteFunc(a.replicas(), func(c *controlConn) bool { return c.refused })
	a.query(ctx, running, statement.Statement{Kind: statement.Status})
	term := a.pauseTerm()
	a.pause(ctx, slices.DeleteFunc(running, func(c *controlConn) bool {
		return !c.answered || c.report.Primary || isPaused(c.report) || c.report.Term >= term
	}))
}

// resume resumes the replicas that may be paused. It shows first that this host still
// holds the lease: another one may have paused them since. It reports whether the lease may
// be released: it is left to expire if a RESUME is not answered.
func (a *replacement) resume() bool {
	if len(a.pausedReplicas()) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(a.s.g.ctx, controlTimeout)
	defer cancel()
	if err := a.writeLease(ctx, succession.Lease{}); err != nil {
		a.log.Warn("Replicas stay paused: the lease could not be renewed.", "error", err)
		return false
	}
	return a.resumeReplicas()
}

// pausedReplicas returns the replicas that may be paused. A promotion ends pauses. A replica
// that has not joined the primary's term yet, and is paused up to that, would receive from the
// former one.
func (a *replacement) pausedReplicas() (out []*controlConn) {
	newest := a.newestTerm()
	for _, c := range a.conns {
		if c.pausedTo > newest || c.answered && leftPaused(c.report, newest) {
			out = append(out, c)
		}
	}
	return out
}

// resumeReplicas resumes the replicas that may be paused, right after a write of the lease, and
// reports whether each RESUME that was sent has been answered. Leaving ones stay paused: they may
// be fenced (see succession.Roster), and no commit is acknowledged on them alone.
func (a *replacement) resumeReplicas() bool {
	paused := a.pausedReplicas()
	if len(paused) == 0 {
		return true
	}
	if !a.listsRead {
		if err := a.readDatabases(a.s.g.ctx); err != nil {
			a.log.Warn("Replicas stay paused: it is not known which of them are leaving.", "error", err)
			return false
		}
	}
	if paused = slices.DeleteFunc(paused, func(c *controlConn) bool { return a.isLeaving(c.db) }); len(paused) == 0 {
		return true
	}
	a.query(a.s.g.ctx, paused, statement.Statement{Kind: statement.Resume})
	for _, c := range paused {
		switch {
		case c.answered:
			c.pausedTo = 0
		case c.sent:
			a.pausing.unanswered = true
			a.log.Warn("Database did not answer a RESUME, which may be carried out late.", "database", c.db.ID)
		default:
			a.s.mu.Lock()
			a.s.promotion.sawPaused = true // the next check resumes it, if it runs
			a.s.mu.Unlock()
		}
	}
	a.log.Info("Replicas were resumed.", "fence", a.leaseObject.Version, "replicas", len(paused))
	return !a.pausing.unanswered
}

// isLeaving reports whether a database has announced its shutdown, as the store's list or, if that
// lacks it, the roster shows. One that neither has was taken off the roster.
func (a *replacement) isLeaving(db routes.Database) bool {
	if i := slices.IndexFunc(a.storeList, func(listed routes.Database) bool { return listed.ID == db.ID }); i >= 0 {
		return a.storeList[i].Leaving
	}
	place, recorded := a.roster.Databases[db.ID]
	return place.Leaving || !recorded && len(a.roster.Databases) > 0
}

// isLeaving reports whether a database is listed as leaving. mu is held.
func (s *service) isLeaving(id string) bool {
	db, ok := s.table.Get(id)
	return ok && db.Leaving
}

// checkPaused starts a check for paused replicas. A host that paused them and then failed, or
// was cut off, cannot resume them itself. Signs of it are a paused replica, commits that the
// primary does not confirm and, for the first host in rank, that the primary was to be
// replaced a short time ago. mu is held.
func (s *service) checkPaused(now time.Time, rank int) {
	state := &s.promotion
	every := routineCheckEvery
	switch unconfirmed := s.commits.waitingFor(pausedSuspectAfter, now) || s.commits.failedAt.After(state.lastPausedCheck); {
	case state.sawPaused || unconfirmed:
		every = pausedCheckEvery
	case rank != 0:
		return
	case now.Sub(state.pausedSign) < pausedSignFor:
		every = pausedCheckEvery
	}
	if state.checkingPaused || now.Sub(state.lastPausedCheck) < every {
		return
	}
	state.checkingPaused, state.lastPausedCheck = true, now
	pools := slices.Collect(maps.Values(s.pools))
	pools = slices.DeleteFunc(pools, func(p *pool) bool { return s.isLeaving(p.db.ID) })
	go func() {
		paused := s.anyPaused(pools)
		s.mu.Lock()
		defer s.mu.Unlock()
		state.checkingPaused, state.sawPaused = false, paused
		now := s.g.now()
		if paused && !state.running && keepsPrimary(state.reason) && !s.g.leaving.Load() && !now.Before(state.nextAttempt) {
			s.startAttempt(s.newReplacement(succession.Paused, s.acked, now), (*replacement).settle)
		}
	}()
}

// keepsPrimary reports whether replicas that are paused without a replacement under way are
// to be resumed first: commits stall because of it.
func keepsPrimary(reason succession.Reason) bool {
	return reason == succession.None || reason == succession.Stalled
}

// anyPaused queries the databases and reports whether one of them is paused.
func (s *service) anyPaused(pools []*pool) bool {
	reports := make([]statement.Report, len(pools))
	var all sync.WaitGroup
	for i, p := range pools {
		all.Go(func() { reports[i], _ = s.queryStatus(p) }) // one that cannot be queried is checked the next time
	}
	all.Wait()
	s.mu.Lock()
	newest := max(s.table.Term(), s.replication.term)
	s.mu.Unlock()
	for _, r := range reports {
		newest = max(newest, r.Term)
	}
	return slices.ContainsFunc(reports, func(r statement.Report) bool { return leftPaused(r, newest) })
}

// leftPaused reports whether a replica receives nothing from the primary of the newest term
// either, which it may not have joined yet.
func leftPaused(r statement.Report, newest uint64) bool { return !r.Primary && r.Paused > newest }

// isPaused reports whether a replica receives nothing from the primary of its term.
func isPaused(r statement.Report) bool { return !r.Primary && r.Paused > r.Term }
