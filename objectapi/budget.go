package objectapi

import (
	"sync"
	"time"
)

// budget is a token bucket over calls. It is safe for concurrent use.
type budget struct {
	mu     sync.Mutex // guards tokens and last
	rate   float64    // tokens per second
	burst  float64    // most tokens held
	tokens float64
	last   time.Time
}

func newBudget(rate, burst float64, now time.Time) *budget {
	return &budget{rate: rate, burst: burst, tokens: burst, last: now}
}

// take spends one token; it reports false when there is none.
func (b *budget) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if passed := now.Sub(b.last).Seconds(); passed > 0 {
		b.tokens = min(b.burst, b.tokens+passed*b.rate)
		b.last = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
