package host

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bronzeloft/bronzeloft/errkind"
)

// Bounds of the pause between tries of one request.
const (
	backoffMin = 2 * time.Millisecond
	backoffMax = 50 * time.Millisecond
)

// backoff spaces the tries of one request: exponential with full jitter.
type backoff struct {
	limit time.Duration
}

// pause waits and reports whether ctx still holds.
func (b *backoff) pause(ctx context.Context) bool {
	b.limit = min(max(2*b.limit, backoffMin), backoffMax)
	return pause(ctx, time.Duration(rand.Int64N(int64(b.limit)))+time.Millisecond)
}

// pause waits for d and reports whether ctx still holds.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// outcome joins what is known of the tries of one write.
type outcome struct {
	unknown error // of the last try that may have run
}

// add returns what the caller may be told after a further try: once a try may
// have run, a refusal of a later one does not mean that the write did not.
func (o *outcome) add(err error) error {
	if errkind.Of(err) == errkind.OutcomeUnknown {
		o.unknown = err
	}
	var known *errkind.Error
	if o.unknown != nil && !errors.Is(err, errCaller) && errors.As(err, &known) && known.Kind.Answer().Outcome == errkind.NotRun {
		return o.unknown
	}
	return err
}

// Retry budget of one customer.
const (
	retryShare = 0.1 // retries per first try
	retryBurst = 20  // retries at once
)

// retryBudget bounds the repeats of requests that may have run, so that a
// failing database is not met with a multiple of its load. It holds one entry
// per customer of the snapshot.
type retryBudget struct {
	mu   sync.Mutex // guards left; no other lock is taken under it
	left map[string]float64
}

func newRetryBudget() *retryBudget { return &retryBudget{left: map[string]float64{}} }

// earn counts a first try.
func (b *retryBudget) earn(customer string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	left, ok := b.left[customer]
	if !ok {
		left = retryBurst
	}
	b.left[customer] = min(left+retryShare, retryBurst)
}

// take spends one repeat and reports whether there was one.
func (b *retryBudget) take(customer string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left[customer] < 1 {
		return false
	}
	b.left[customer]--
	return true
}

// keep drops customers that are no longer listed.
func (b *retryBudget) keep(listed func(string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.left {
		if !listed(c) {
			delete(b.left, c)
		}
	}
}
