package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// SetPeers sets the addresses that this host keeps a connection to. It dials
// those that are not connected and closes the connections that it dialed to
// others; connections that others dialed stay.
func (m *Mesh) SetPeers(addresses []string) {
	wanted := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		wanted[address] = address != m.cfg.Self
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	for address, cancel := range m.dialers {
		if !wanted[address] {
			cancel()
			delete(m.dialers, address)
		}
	}
	for address, want := range wanted {
		if !want || m.dialers[address] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(m.ctx)
		m.dialers[address] = cancel
		m.wg.Go(func() { m.keepDialing(ctx, address) })
	}
}

// keepDialing keeps a connection to address until ctx ends.
func (m *Mesh) keepDialing(ctx context.Context, address string) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = m.cfg.BackoffMin
	wait.MaxInterval = m.cfg.BackoffMax
	for ctx.Err() == nil {
		if c := m.conn(address); c != nil {
			waitFor(ctx, c.done)
			sleep(ctx, rand.N(m.cfg.BackoffMin))
			continue
		}
		if m.dialOnce(ctx, address) {
			wait.Reset()
			continue
		}
		sleep(ctx, wait.NextBackOff())
	}
}

// dialOnce dials and serves the connection to its end. It reports whether the
// peer was reached.
func (m *Mesh) dialOnce(ctx context.Context, address string) bool {
	dialCtx, cancel := context.WithTimeout(ctx, m.cfg.DialTimeout)
	raw, err := m.cfg.Dial(dialCtx, address)
	cancel()
	if err != nil {
		m.meters.dialFailures.Inc()
		return false
	}
	if ctx.Err() != nil {
		_ = raw.Close()
		return false
	}
	return m.serveConn(ctx, raw, address)
}

func waitFor(ctx context.Context, done <-chan struct{}) {
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
