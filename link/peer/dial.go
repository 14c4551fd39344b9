package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// SetPeers sets the addresses to which this host maintains a connection; its own
// is ignored. It dials those that are not connected and closes the connections that
// it dialed to other addresses; inbound connections stay open.
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
		m.wg.Go(func() { m.maintainConnection(ctx, address) })
	}
}

// maintainConnection redials address, with backoff, whenever it has no
// connection, until ctx ends.
func (m *Mesh) maintainConnection(ctx context.Context, address string) {
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

// dialOnce dials address and serves the connection until it ends. It reports
// whether the handshake succeeded and the connection was registered.
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
