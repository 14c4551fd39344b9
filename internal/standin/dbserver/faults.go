package dbserver

import (
	"context"
	"sync"
	"time"
)

// faults are the disturbances that a test has asked for.
type faults struct {
	mu      sync.Mutex // guards what follows
	lag     time.Duration
	slow    time.Duration
	blocked func(addr string) bool
}

// Freeze stops the server from answering and applying anything. Its sockets
// stay open and new connections hang.
func (s *Server) Freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.thawed == nil {
		s.thawed = make(chan struct{})
	}
}

// Thaw lets a frozen server go on where it stopped.
func (s *Server) Thaw() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.thawed != nil {
		close(s.thawed)
		s.thawed = nil
	}
}

// waitThawed waits while the server is frozen, or until ctx ends.
func (s *Server) waitThawed(ctx context.Context) error {
	for {
		s.mu.Lock()
		thawed := s.thawed
		s.mu.Unlock()
		if thawed == nil {
			return ctx.Err()
		}
		select {
		case <-thawed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// SetLag sets how long after its commit an entry shows on this replica.
func (s *Server) SetLag(d time.Duration) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.lag = d
}

// SetSlow sets a delay before every statement.
func (s *Server) SetSlow(d time.Duration) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.slow = d
}

// Block keeps this replica from pulling from the addresses for which blocked
// reports true; nil lifts the block. blocked must not call the server.
func (s *Server) Block(blocked func(addr string) bool) {
	s.faults.mu.Lock()
	s.faults.blocked = blocked
	s.faults.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopPull()
}

// SetReplicationCut keeps this replica from pulling from anyone.
func (s *Server) SetReplicationCut(cut bool) {
	if !cut {
		s.Block(nil)
		return
	}
	s.Block(func(string) bool { return true })
}

// SetSilent with true makes the present client connections go silent for good:
// they stay open, take bytes and never answer. New ones work.
func (s *Server) SetSilent(silent bool) {
	if !silent {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.sessions {
		if !c.replication {
			c.silent.Store(true)
		}
	}
}

func (f *faults) lagNow() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lag
}

func (f *faults) slowNow() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.slow
}

func (f *faults) isBlocked(addr string) bool {
	f.mu.Lock()
	blocked := f.blocked
	f.mu.Unlock()
	return blocked != nil && blocked(addr)
}

// sleep waits for d and reports false when ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
