package objectapi

import (
	"sync"
	"time"
)

// budget limits the rate of calls with a token bucket. It is safe for
// concurrent use.
type budget struct {
	mu     sync.Mutex // guards tokens and last
	rate   float64    // tokens per second
	burst  float64    // maximum number of tokens
	tokens float64
	last   time.Time
}

func newBudget(rate, burst float64, now time.Time) *budget {
	return &budget{rate: rate, burst: burst, tokens: burst, last: now}
}

// allow takes one token. It returns false when none is available.
func (b *budget) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if elapsed := now.Sub(b.last).Seconds(); elapsed > 0 {
		b.tokens = min(b.burst, b.tokens+elapsed*b.rate)
		b.last = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
