package gateway

import (
	"sync"
	"time"
)

// Timing of stalls.
const (
	// stallBeat is the time between two beats of a process that runs.
	stallBeat = 50 * time.Millisecond
	// stallAfter is a gap between beats that load alone does not make.
	stallAfter = 400 * time.Millisecond
	// stallRecovery is how long after a stall a process may still read what was
	// sent to it before.
	stallRecovery = 100 * time.Millisecond
)

// stalls notices when the process stood still: frozen, suspended or starved.
// What other hosts sent before that may have been given up since.
type stalls struct {
	mu   sync.Mutex // guards all below; a leaf
	beat time.Time
	end  time.Time // of the last stall
}

// tick is called every stallBeat.
func (s *stalls) tick(now time.Time) (stalled time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	gap := now.Sub(s.beat)
	s.beat = now
	if gap < stallAfter {
		return 0
	}
	s.end = now
	return gap
}

// recent reports whether the process has just stood still.
func (s *stalls) recent(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.beat) >= stallAfter || now.Sub(s.end) < stallRecovery
}

// watchStalls keeps the beat.
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
			g.log.Warn("Process stood still.", "part", "host", "for_ms", gap.Milliseconds())
		}
	}
}
