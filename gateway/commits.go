package gateway

import "time"

// commits follows the writes that a primary has not yet acknowledged.
type commits struct {
	last uint64
	sent map[uint64]time.Time
	done time.Time // sending time of the newest acknowledged one
}

// stuckAfter is the age of a commit that shows that the primary reaches no
// replica, if none sent after it was acknowledged: ten times the longest work
// of a statement and of a replica's delay.
const stuckAfter = 800 * time.Millisecond

func (c *commits) start(now time.Time) uint64 {
	c.last++
	c.sent[c.last] = now
	return c.last
}

func (c *commits) end(id uint64, acknowledged bool) {
	at := c.sent[id]
	delete(c.sent, id)
	if acknowledged && c.done.Before(at) {
		c.done = at
	}
}

func (c *commits) stuck(now time.Time) bool {
	for _, at := range c.sent {
		if now.Sub(at) >= stuckAfter && c.done.Before(at) {
			return true
		}
	}
	return false
}

// startCommit notes that a write was sent; the returned function ends it.
func (s *service) startCommit() func(acknowledged bool) {
	now := s.g.now()
	s.mu.Lock()
	id := s.commits.start(now)
	s.mu.Unlock()
	return func(acknowledged bool) {
		s.mu.Lock()
		s.commits.end(id, acknowledged)
		s.mu.Unlock()
	}
}
