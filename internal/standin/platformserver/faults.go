package platformserver

import (
	"context"
	"time"
)

// faults are the faults that a test has injected. The server's mutex guards them.
type faults struct {
	down          bool
	delay         time.Duration
	answersToDrop int           // number of coming writes that get no answer
	goingDown     chan struct{} // closed and replaced when SetDown(true) takes the server down
}

// SetDown with true makes the server close the connection of every call without
// an answer, also those of watches that are already waiting; with false it makes
// the server answer again.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if down && !s.faults.down {
		close(s.faults.goingDown)
		s.faults.goingDown = make(chan struct{})
	}
	s.faults.down = down
}

// SetDelay delays every call by d before it is processed.
func (s *Server) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.delay = d
}

// DropAnswers makes the server process the next n writes, but close their
// connections without an answer.
func (s *Server) DropAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.answersToDrop = n
}

// ServeStale with true makes gets and lists return the objects as they are now,
// until ServeStale is called with false. Writes and watches use the current
// objects.
func (s *Server) ServeStale(stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = nil
	if stale {
		s.stale = s.store.clone()
	}
}

// readStore returns the store that gets and lists read. The caller holds mu.
func (s *Server) readStore() *store {
	if s.stale != nil {
		return s.stale
	}
	return s.store
}

// consumeDrop reports whether to drop the answer to a write and, if so, decrements
// answersToDrop. The caller holds the server's mutex.
func (f *faults) consumeDrop() bool {
	if f.answersToDrop == 0 {
		return false
	}
	f.answersToDrop--
	return true
}

// waitAdmitted waits for the injected delay, at most until ctx or the server ends.
// It returns false if the server is down after the wait.
func (s *Server) waitAdmitted(ctx context.Context) bool {
	s.mu.Lock()
	delay := s.faults.delay
	s.mu.Unlock()
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		case <-s.ctx.Done():
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.faults.down
}

// SetEra makes the server name an era in all its answers.
func (s *Server) SetEra(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}

// Copy takes the copy of the store that Return restores.
func (s *Server) Copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied = s.store.clone()
}

// Return makes the server answer again with the state of the last Copy, in the next era.
// Watches of before end without an answer. What others have written since is Put again by the test.
func (s *Server) Return() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.faults.goingDown)
	s.faults.goingDown = make(chan struct{})
	s.store, s.stale, s.faults.down = s.copied.clone(), nil, false
	s.era++
}
