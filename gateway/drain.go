package gateway

import (
	"context"
	"time"

	"github.com/bronzeloft/bronzeloft/customer/retry"
)

// Timing of a planned shutdown.
const (
	// rotationDelay is how long the platform may still route new callers to this
	// host: it removes a host from rotation after two failed readiness probes, which
	// it sends once a second.
	rotationDelay = 2300 * time.Millisecond
	drainPoll     = 50 * time.Millisecond
	// exitMargin is the part of the grace period that is reserved for the process
	// to exit by itself.
	exitMargin = 600 * time.Millisecond
)

// Drain shuts the host down gracefully: the host reports that it is not ready,
// closes idle sessions once no new callers arrive, and rolls back idle
// transactions after half of the grace period. Drain returns when no session is
// left, exitMargin before the end of the grace period, or when ctx ends. The
// listeners stay open until Close.
func (g *Gateway) Drain(ctx context.Context) {
	started := time.Now()
	g.leaving.Store(true)
	g.peers.leave()
	g.log.Info("Draining the host.", "part", "host", "sessions", g.callers.count(), "grace_ms", g.opt.Grace.Milliseconds())
	retry.Wait(ctx, rotationDelay)
	end := started.Add(g.opt.Grace - exitMargin)
	for time.Now().Before(end) && ctx.Err() == nil {
		for _, s := range g.callers.all() {
			s.drain(time.Since(started) >= g.opt.Grace/2)
		}
		if g.callers.count() == 0 {
			break
		}
		retry.Wait(ctx, drainPoll)
	}
	g.log.Info("Draining finished.", "part", "host", "sessions", g.callers.count(), "after_ms", time.Since(started).Milliseconds())
}
