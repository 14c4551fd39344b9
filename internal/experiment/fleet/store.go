package fleet

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzeloft/bronzeloft/contract"
)

// store simulates the platform's metadata store in memory: it holds one snapshot
// with its version, which hosts read with get and watch. It counts calls and the
// bytes of the snapshots read.
type store struct {
	calls atomic.Uint64
	bytes atomic.Uint64
	delay time.Duration // simulated latency of each call

	mu      sync.Mutex // guards the fields below
	version uint64
	data    []byte        // the snapshot's JSON
	changed chan struct{} // closed and replaced by publish
}

func newStore(delay time.Duration) *store {
	return &store{delay: delay, changed: make(chan struct{})}
}

func (s *store) publish(snap *contract.Snapshot) error {
	data, err := json.Marshal(snap)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = snap.Version
	s.data = data
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

// get returns the newest snapshot, or nil if there is none.
func (s *store) get(ctx context.Context) *contract.Snapshot {
	s.calls.Add(1)
	sleep(ctx, s.delay)
	s.mu.Lock()
	data := s.data
	s.mu.Unlock()
	s.bytes.Add(uint64(len(data)))
	snap := &contract.Snapshot{}
	if json.Unmarshal(data, snap) != nil {
		return nil
	}
	return snap
}

// watch waits until the version differs from the given one, but no longer than
// wait, and returns the version. It counts as one call, however long it waits.
func (s *store) watch(ctx context.Context, version uint64, wait time.Duration) uint64 {
	s.calls.Add(1)
	sleep(ctx, s.delay)
	s.mu.Lock()
	newest, changed := s.version, s.changed
	s.mu.Unlock()
	if newest != version {
		return newest
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
