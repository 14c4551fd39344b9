// Package retry spaces and bounds the repeats of requests.
package retry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Bounds of the pause between tries of one request.
const (
	backoffMin = 2 * time.Millisecond
	backoffMax = 50 * time.Millisecond
)

// Backoff spaces the tries of one request: exponential with full jitter.
type Backoff struct {
	limit time.Duration
}

// Pause waits and reports whether ctx still holds.
func (b *Backoff) Pause(ctx context.Context) bool {
	b.limit = min(max(2*b.limit, backoffMin), backoffMax)
	return Wait(ctx, time.Duration(rand.Int64N(int64(b.limit)))+time.Millisecond)
}

// Wait waits for d and reports whether ctx still holds.
func Wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Budget bounds the repeats of requests that may have run, so that a
// failing database is not met with a multiple of its load. It holds one entry
// per customer of the snapshot.
type Budget struct {
	share, burst float64

	mu   sync.Mutex // guards left; no other lock is taken under it
	left map[string]float64
}

// NewBudget returns a full budget: share is the repeats for each first try, burst
// the most that are saved up.
func NewBudget(share, burst float64) *Budget {
	return &Budget{share: share, burst: burst, left: map[string]float64{}}
}

// Earn counts a first try.
func (b *Budget) Earn(customer string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	left, ok := b.left[customer]
	if !ok {
		left = b.burst
	}
	b.left[customer] = min(left+b.share, b.burst)
}

// Take spends one repeat and reports whether there was one.
func (b *Budget) Take(customer string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left[customer] < 1 {
		return false
	}
	b.left[customer]--
	return true
}

// Keep drops customers that are no longer listed.
func (b *Budget) Keep(listed func(string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.left {
		if !listed(c) {
			delete(b.left, c)
		}
	}
}
