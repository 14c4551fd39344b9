package platformserver

import (
	"context"
	"time"
)

// faults are the disturbances that a test has asked for. The server's mutex
// guards them.
type faults struct {
	down bool
	slow time.Duration
	lose int           // writes whose answer is still to be dropped
	cut  chan struct{} // closed when the stand-in goes down
}

// SetDown makes every call fail by a broken connection, waiting watches too.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if down && !s.faults.down {
		close(s.faults.cut)
		s.faults.cut = make(chan struct{})
	}
	s.faults.down = down
}

// SetSlow delays every call by d before it is carried out.
func (s *Server) SetSlow(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.slow = d
}

// LoseAnswers carries out the next n writes but drops their answers.
func (s *Server) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.lose = n
}

// ServeStale makes gets and lists show the objects as they are now, until it
// is called with false. Writes and watches see the true ones.
func (s *Server) ServeStale(stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = nil
	if stale {
		s.stale = s.store.clone()
	}
}

// readStore returns what gets and lists see. The caller holds mu.
func (s *Server) readStore() *store {
	if s.stale != nil {
		return s.stale
	}
	return s.store
}

// takeLoss reports whether the answer of a write is to be dropped. The caller
// holds mu.
func (f *faults) takeLoss() bool {
	if f.lose == 0 {
		return false
	}
	f.lose--
	return true
}

// pass delays a call and reports whether it is to be served at all.
func (s *Server) pass(ctx context.Context) bool {
	s.mu.Lock()
	slow := s.faults.slow
	s.mu.Unlock()
	if slow > 0 {
		timer := time.NewTimer(slow)
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
