package gateway

import "time"

// Retry delays that are given to callers that were refused because no primary is
// reachable: network partitions end and successors are promoted within seconds.
const (
	noPrimaryRetryAfter = 500 * time.Millisecond
	// latestNoPrimaryRetryAfter bounds the delay where callers' returns are spread.
	latestNoPrimaryRetryAfter = 800 * time.Millisecond
)

// retryAfter returns the retry delay for a caller that is refused because no primary is
// reachable. Where connections are scarce, callers that are refused together are told to
// return as fast as this host can send their statements to one database. mu is held.
func (s *service) retryAfter() time.Duration {
	var spacing time.Duration
	for _, p := range s.pools {
		spacing = max(spacing, p.spacing())
	}
	if spacing == 0 {
		return noPrimaryRetryAfter
	}
	return s.returns.Delay(noPrimaryRetryAfter, latestNoPrimaryRetryAfter, spacing, s.g.now())
}
