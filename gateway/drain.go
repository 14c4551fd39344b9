package gateway

import (
	"context"
	"slices"
	"time"
)

// Timing of a planned shutdown.
const (
	// rotationDelay is how long the platform may still route new callers to this
	// host: it removes a host from rotation after two failed readiness probes, which
	// it sends once a second.
	rotationDelay = 2300 * time.Millisecond
	drainPoll     = 50 * time.Millisecond
	// exitMargin is the part of the grace period that is reserved for answering the
	// statements that are still running and for the process to exit by itself.
	exitMargin = 600 * time.Millisecond
	// answerMargin is the part of exitMargin in which the statements are answered.
	answerMargin = 400 * time.Millisecond
)

// clock is the time by which Drain acts.
type clock struct {
	now  func() time.Time
	wait func(ctx context.Context, d time.Duration) bool
}

// drainStage is how far a draining host has come, in the order of the stages.
type drainStage int32

const (
	serving           drainStage = iota
	drainIdle                    // sessions outside of a transaction are closed
	drainTransactions            // transactions end, as soon as no statement of theirs is running
	drainAll                     // all sessions are closed after the answer to what has arrived
)

// Drain shuts the host down gracefully: the host reports that it is not ready,
// closes idle sessions once no new callers arrive, and rolls back transactions after
// half of the grace period. exitMargin before the end of the grace period it cancels
// the statements that are still running, and closes their sessions once they are
// answered. It lets an attempt to replace a primary end, so that no other host has to wait until
// the lease has expired. Drain returns when no session and no attempt is left, at the latest
// answerMargin after that, or when ctx ends. The listeners stay open until Close.
func (g *Gateway) Drain(ctx context.Context) {
	clock := g.drainClock
	started := clock.now()
	g.leaving.Store(true)
	g.peers.leave()
	g.log.Info("Draining the host.", "part", "host", "sessions", g.callers.count(), "grace_ms", g.opt.Grace.Milliseconds())
	clock.wait(ctx, rotationDelay)
	end := started.Add(g.opt.Grace - exitMargin)
	for stage := drainIdle; ctx.Err() == nil && (g.callers.count() > 0 || g.replacing()); clock.wait(ctx, drainPoll) {
		now := clock.now()
		switch {
		case now.After(end.Add(answerMargin)):
			g.log.Warn("Sessions or attempts to replace a primary did not end in time.", "part", "host", "sessions", g.callers.count())
			return
		case !now.Before(end):
			stage = drainAll
			g.cancelStatements()
		case now.Sub(started) >= g.opt.Grace/2:
			stage = drainTransactions
		}
		for _, s := range g.callers.all() {
			s.drain(stage)
		}
	}
	g.log.Info("Draining finished.", "part", "host", "sessions", g.callers.count(), "after_ms", clock.now().Sub(started).Milliseconds())
}

// replacing reports whether an attempt to replace a primary, or to settle its lease, is running.
func (g *Gateway) replacing() bool {
	return slices.ContainsFunc(g.allServices(), func(s *service) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.promotion.running
	})
}
