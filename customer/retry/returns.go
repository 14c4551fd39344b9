package retry

import "time"

// Returns spreads the times at which refused callers are told to come back, so that
// callers refused together do not return together. It is not safe for concurrent use.
type Returns struct {
	next time.Time // the earliest time that has not been given to a caller
}

// Delay returns the delay for a caller that is refused now: at least least, and longer, up
// to most, while earlier callers return. spacing is the time in which the work of one
// returning caller is done.
func (r *Returns) Delay(least, most, spacing time.Duration, now time.Time) time.Duration {
	at := now.Add(least)
	if at.Before(r.next) {
		at = r.next
	}
	if latest := now.Add(most); at.After(latest) {
		// All places are taken: a second caller for each, from the first one on.
		at = now.Add(least)
	}
	r.next = at.Add(spacing)
	return at.Sub(now)
}
