package gateway

import (
	"time"

	"github.com/bronzeloft/bronzeloft/position"
)

// commitTracker tracks the writes that were sent to a primary and have not ended:
// single writes, and the commits of transactions that wrote. service.mu guards it.
type commitTracker struct {
	lastID      uint64
	sent        map[uint64]time.Time // send times of these writes, by id
	newestAcked time.Time            // send time of the most recently sent write that was acknowledged
	failedAt    time.Time            // when a write last ended without an acknowledgement
}

// commitStallTimeout is the age at which an unacknowledged commit shows that the
// primary reaches no replica, unless a commit sent after it was acknowledged. It
// is ten times the longest execution time of a statement and the longest
// replication delay.
const commitStallTimeout = 800 * time.Millisecond

func (c *commitTracker) start(now time.Time) uint64 {
	c.lastID++
	c.sent[c.lastID] = now
	return c.lastID
}

func (c *commitTracker) end(id uint64, acknowledged bool, now time.Time) {
	at := c.sent[id]
	delete(c.sent, id)
	if !acknowledged {
		c.failedAt = now
	}
	if acknowledged && c.newestAcked.Before(at) {
		c.newestAcked = at
	}
}

// stalled reports whether a write has been in flight for commitStallTimeout and
// none that was sent after it has been acknowledged.
func (c *commitTracker) stalled(now time.Time) bool { return c.waitingFor(commitStallTimeout, now) }

// waitingFor reports the same for a time other than commitStallTimeout.
func (c *commitTracker) waitingFor(d time.Duration, now time.Time) bool {
	for _, at := range c.sent {
		if now.Sub(at) >= d && c.newestAcked.Before(at) {
			return true
		}
	}
	return false
}

// startCommit records that a write was sent. The returned function records its
// end and whether the primary acknowledged it.
func (s *service) startCommit() func(acknowledged bool) {
	now := s.g.now()
	s.mu.Lock()
	id := s.commits.start(now)
	s.mu.Unlock()
	return func(acknowledged bool) {
		now := s.g.now()
		s.mu.Lock()
		s.commits.end(id, acknowledged, now)
		s.mu.Unlock()
	}
}

// reportedBefore returns the newest position that is known to lie before the next commit
// on a connection.
func (s *service) reportedBefore(c *conn) position.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return position.Max(c.reported, s.samples.Newest().Position)
}
