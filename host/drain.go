package host

import (
	"context"
	"time"

	"github.com/bronzeloft/bronzeloft/customer/retry"
	"github.com/bronzeloft/bronzeloft/link/peerpb"
)

// drainPollInterval is the time between checks of the sessions of a leaving host.
const drainPollInterval = 20 * time.Millisecond

// leaving reports whether the host is shutting down.
func (h *Host) leaving() bool { return h.shuttingDown.Load() }

// Drain shuts the host down gracefully: it accepts no new callers, ends each
// session between two requests and returns the host's loans of rates and slots.
// Calls after the first only wait until ctx ends or the host stops. Drain returns
// early, with the error of ctx, when ctx ends; Close then cuts off what still runs.
func (h *Host) Drain(ctx context.Context) error {
	if h.shuttingDown.Swap(true) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-h.ctx.Done():
			return nil
		}
	}
	h.log.Info("Host is leaving.", "part", "host")
	h.callers.close()
	h.callerListener.Close()
	h.members.leave()
	h.announceLeaving()
	err := h.endSessions(ctx)
	h.rates.leave()
	h.permits.leave()
	retry.Wait(ctx, drainPollInterval)
	return err
}

func (h *Host) announceLeaving() {
	for _, p := range h.mesh.Peers() {
		h.sendToPeer(p.Address, &peerpb.Envelope{Body: &peerpb.Envelope_Leaving{
			Leaving: &peerpb.Leaving{Address: h.members.self},
		}})
	}
}

// endSessions ends sessions once they have been idle for idleBeforeLeaving, and
// the others between two requests after half of the grace period. It returns when no
// caller connection is left, or when ctx ends, with its error.
func (h *Host) endSessions(ctx context.Context) error {
	force := h.now().Add(h.set.Shutdown.Grace / 2)
	for h.callers.openConnections() > 0 {
		now := h.now()
		for _, s := range h.callers.all() {
			s.endIfIdle(now, now.After(force))
		}
		if !retry.Wait(ctx, drainPollInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// Close stops the host at once and closes the sessions that are left, of which
// there are none after a complete Drain.
func (h *Host) Close() {
	h.shuttingDown.Store(true)
	h.callers.close()
	h.stop()
	if h.callerListener != nil {
		h.callerListener.Close()
	}
	for _, s := range h.callers.all() {
		s.conn.Close()
	}
	if h.admin != nil {
		h.admin.close()
	}
	if h.mesh != nil {
		h.mesh.Close()
		h.peerListener.Close()
	}
	h.workers.Wait()
	h.closeDatabases()
}

func (h *Host) closeDatabases() {
	h.applyMu.Lock()
	defer h.applyMu.Unlock()
	for _, g := range h.groups {
		g.close()
	}
	for _, db := range h.dbs {
		db.pool.Close()
	}
}
