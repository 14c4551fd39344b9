package gateway

import (
	"context"
	"time"

	"github.com/bronzeloft/bronzeloft/customer/retry"
)

// Timing of a planned stop.
const (
	// rotationDelay is how long the platform may still send new callers: it
	// takes a host out after two probes, one a second.
	rotationDelay = 2300 * time.Millisecond
	drainPoll     = 50 * time.Millisecond
	// exitMargin is kept of the grace for the process to end by itself.
	exitMargin = 600 * time.Millisecond
)

// Drain ends the host in a planned way: it stops being ready, ends idle
// sessions when callers no longer arrive, and ends open transactions at half
// of the grace. It returns when no session is left or the grace is over.
func (g *Gateway) Drain(ctx context.Context) {
	started := time.Now()
	g.leaving.Store(true)
	g.log.Info("Host leaves.", "part", "host", "sessions", g.callers.count(), "grace_ms", g.opt.Grace.Milliseconds())
	retry.Wait(ctx, rotationDelay)
	end := started.Add(g.opt.Grace - exitMargin)
	for time.Now().Before(end) && ctx.Err() == nil {
		for _, s := range g.callers.all() {
			s.leave(time.Since(started) >= g.opt.Grace/2)
		}
		if g.callers.count() == 0 {
			break
		}
		retry.Wait(ctx, drainPoll)
	}
	g.log.Info("Host stops.", "part", "host", "sessions", g.callers.count(), "after_ms", time.Since(started).Milliseconds())
}
