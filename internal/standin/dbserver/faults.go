package dbserver

import (
	"context"
	"sync"
	"time"
)

// faults are the faults that a test has injected.
type faults struct {
	mu      sync.Mutex // guards the fields below
	lag     time.Duration
	delay   time.Duration
	blocked func(addr string) bool
}

// Freeze makes the server stop answering and stop changing its state. Its sockets
// stay open and new connections hang.
func (s *Server) Freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.thawed == nil {
		s.thawed = make(chan struct{})
	}
}

// Thaw lets a frozen server resume where it stopped.
func (s *Server) Thaw() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.thawed != nil {
		close(s.thawed)
		s.thawed = nil
	}
}

// waitThawed blocks while the server is frozen, or until ctx ends.
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

// SetLag sets the delay between the commit of an entry on the primary and its
// application on this replica.
func (s *Server) SetLag(d time.Duration) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.lag = d
}

// SetDelay sets a delay before every group operation and statement, except for
// COPY FROM STDIN and statements on settings such as SET and SHOW.
func (s *Server) SetDelay(d time.Duration) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.delay = d
}

// BlockReplication keeps this replica from pulling from the addresses for which
// blocked returns true; nil removes the block. It ends the running pull. blocked
// is called from the pull loop, at times with the server's mutex held, so it must
// not call the server.
func (s *Server) BlockReplication(blocked func(addr string) bool) {
	s.faults.mu.Lock()
	s.faults.blocked = blocked
	s.faults.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopPull()
}

// SetReplicationCut with true keeps this replica from pulling from any server;
// with false it removes every block on replication.
func (s *Server) SetReplicationCut(cut bool) {
	if !cut {
		s.BlockReplication(nil)
		return
	}
	s.BlockReplication(func(string) bool { return true })
}

// SetSilent with true permanently silences the existing client connections: they
// stay open and accept input, but are never answered. New connections work.
// SetSilent with false does nothing.
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

func (f *faults) currentLag() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lag
}

func (f *faults) currentDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.delay
}

func (f *faults) isBlocked(addr string) bool {
	f.mu.Lock()
	blocked := f.blocked
	f.mu.Unlock()
	return blocked != nil && blocked(addr)
}

// sleep waits for d. It returns false if ctx ended first.
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
