package gateway

import (
	"sync"

	"github.com/bronzeloft/bronzeloft/customer/intake"
)

// registry holds the sessions of a host.
type registry struct {
	mu       sync.Mutex // guards the fields below; a leaf lock
	sessions map[*session]struct{}
	limits   *intake.Sessions[*session]
}

func newRegistry(limit int) *registry {
	return &registry{sessions: map[*session]struct{}{}, limits: intake.NewSessions[*session](limit)}
}

// add registers a session that has not logged in, and reports whether the host accepts it.
// It returns the session that must be closed in its place, if any.
func (r *registry) add(s *session) (closed *session, accepted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if closed, accepted = r.limits.Add(s); accepted {
		delete(r.sessions, closed)
		r.sessions[s] = struct{}{}
	}
	return closed, accepted
}

// assign records that a session has logged in, and reports whether its customer may hold it.
func (r *registry) assign(s *session, customer string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limits.Assign(s, customer)
}

func (r *registry) remove(s *session) {
	r.mu.Lock()
	delete(r.sessions, s)
	r.limits.Remove(s)
	r.mu.Unlock()
}

func (r *registry) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.sessions)
}

// all returns a copy of the current sessions.
func (r *registry) all() []*session {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*session, 0, len(r.sessions))
	for s := range r.sessions {
		out = append(out, s)
	}
	return out
}

func (r *registry) closeAll() {
	for _, s := range r.all() {
		s.caller.Close()
	}
}
