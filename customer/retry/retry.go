// Package retry provides backoff between attempts of a request and a budget
// that bounds retries.
package retry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Bounds of Backoff.limit. A pause is 1 ms plus a random time below the limit.
const (
	backoffMin = 2 * time.Millisecond
	backoffMax = 50 * time.Millisecond
)

// Backoff computes the pauses between the attempts of one request: exponential
// backoff with full jitter. The zero value is ready for use.
type Backoff struct {
	limit time.Duration
}

// Pause waits for the next backoff interval. It returns false if ctx ends first.
func (b *Backoff) Pause(ctx context.Context) bool {
	b.limit = min(max(2*b.limit, backoffMin), backoffMax)
	return Wait(ctx, time.Duration(rand.Int64N(int64(b.limit)))+time.Millisecond)
}

// Wait waits for d. It returns false if ctx ends first.
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

// Budget bounds additional attempts, such as retries of requests that may have
// run, so that they cannot multiply the load on a failing database. It holds one
// balance for each customer that made a request, until Retain drops it.
type Budget struct {
	ratio, burst float64

	mu      sync.Mutex         // guards balance; no other lock is taken under it
	balance map[string]float64 // retries by customer
}

// NewBudget returns a budget. ratio is the number of retries that each first
// attempt adds. burst is the most retries that a customer can save up, and its
// balance at its first Deposit.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, balance: map[string]float64{}}
}

// Deposit adds ratio retries to the customer's balance for a first attempt.
func (b *Budget) Deposit(customer string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	balance, ok := b.balance[customer]
	if !ok {
		balance = b.burst
	}
	b.balance[customer] = min(balance+b.ratio, b.burst)
}

// Withdraw spends one retry of the customer's balance. It returns false if less
// than one is left.
func (b *Budget) Withdraw(customer string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance[customer] < 1 {
		return false
	}
	b.balance[customer]--
	return true
}

// Retain drops the balances of customers for which listed returns false, such as
// those that a new configuration no longer has.
func (b *Budget) Retain(listed func(string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.balance {
		if !listed(c) {
			delete(b.balance, c)
		}
	}
}
