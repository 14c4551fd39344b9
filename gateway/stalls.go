package gateway

import (
	"sync"
	"time"
)

// Timing of stall detection.
const (
	// stallBeat is the time between two beats of a running process.
	stallBeat = tickEvery
	// stallAfter is the gap between beats that counts as a stall; load alone does
	// not cause one.
	stallAfter = 400 * time.Millisecond
	// stallRecovery is how long after a stall a process may still read data that
	// was sent to it before the stall ended.
	stallRecovery = 100 * time.Millisecond
)

// stallDetector detects that the process did not run for a while because it was
// frozen, suspended or starved of CPU. Requests that other hosts sent before or
// during a stall may have been abandoned by their senders.
type stallDetector struct {
	mu           sync.Mutex // guards the fields below; a leaf lock
	lastBeat     time.Time
	lastStallEnd time.Time
}

// tick is called every stallBeat. It returns the length of the stall that has
// just ended, or 0.
func (s *stallDetector) tick(now time.Time) (stalled time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	gap := now.Sub(s.lastBeat)
	s.lastBeat = now
	if gap < stallAfter {
		return 0
	}
	s.lastStallEnd = now
	return gap
}

// recent reports whether tick is overdue because of a stall, or a stall ended less
// than stallRecovery ago.
func (s *stallDetector) recent(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.lastBeat) >= stallAfter || now.Sub(s.lastStallEnd) < stallRecovery
}

// watchStalls calls the stall detector every stallBeat and logs stalls.
func (g *Gateway) watchStalls() {
	ticker := time.NewTicker(stallBeat)
	defer ticker.Stop()
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-ticker.C:
		}
		if gap := g.stalls.tick(g.now()); gap > 0 {
			g.log.Warn("Process was stalled.", "part", "host", "for_ms", gap.Milliseconds())
		}
	}
}
