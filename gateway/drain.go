package gateway

import (
	"context"
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
// answered. Drain returns when no session is left, at the latest answerMargin after
// that, or when ctx ends. The listeners stay open until Close.
func (g *Gateway) Drain(ctx context.Context) {
	clock := g.drainClock
	started := clock.now()
	g.leaving.Store(true)
	g.peers.leave()
	g.log.Info("Draining the host.", "part", "host", "sessions", g.callers.count(), "grace_ms", g.opt.Grace.Milliseconds())
	clock.wait(ctx, rotationDelay)
	end := started.Add(g.opt.Grace - exitMargin)
	for stage := drainIdle; ctx.Err() == nil && g.callers.count() > 0; clock.wait(ctx, drainPoll) {
		now := clock.now()
		switch {
		case now.After(end.Add(answerMargin)):
			g.log.Warn("Sessions did not end in time.", "part", "host", "sessions", g.callers.count())
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
