package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/errkind"
)

// takeovers holds how long services were without a reachable primary until another database
// led, as seen from this host.
type takeovers struct {
	mu       sync.Mutex // guards shortest; a leaf lock
	shortest time.Duration
}

// record adds a takeover that took d.
func (t *takeovers) record(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.shortest == 0 || d < t.shortest {
		t.shortest = d
	}
}

// left returns the least time that a takeover may still need if no primary has been reachable
// for the given time, judged by the shortest one seen. It is 0 if none was seen.
func (t *takeovers) left(unreachableFor time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(0, t.shortest-unreachableFor)
}

// recordOutageEnd records a takeover if another database than the one that was lost leads
// now. mu is held.
func (s *service) recordOutageEnd(leader string, now time.Time) {
	if s.unreachableSince.IsZero() || s.lostPrimary == "" || s.lostPrimary == leader {
		return
	}
	s.g.takeovers.record(now.Sub(s.unreachableSince))
}

// takeoverTooLate reports whether no takeover can end before ctx does: the primary has been
// unreachable for so short a time that even the shortest takeover seen would take longer. mu is held.
func (s *service) takeoverTooLate(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	if !ok || !s.g.opt.Features.UrgentFirst || s.unreachableSince.IsZero() {
		return false
	}
	return s.g.takeovers.left(s.g.now().Sub(s.unreachableSince)) > time.Until(deadline)
}

// primaryRetryAfter returns when a caller that was refused without a primary may come back. mu is
// held.
func (s *service) primaryRetryAfter() time.Duration {
	if !s.g.opt.Features.UrgentFirst || s.unreachableSince.IsZero() {
		return noPrimaryRetryAfter
	}
	return max(noPrimaryRetryAfter, s.g.takeovers.left(s.g.now().Sub(s.unreachableSince)))
}

// cutOffAfter is the silence after which a data centre counts as out of contact: three rounds of
// messages are lost.
const cutOffAfter = 3*gossipEvery + 100*time.Millisecond

// cutOff reports whether this host is out of contact with so many data centres that most of
// the known ones are elsewhere: no takeover that happens there is seen here, and its databases
// do not lead one.
func (p *peers) cutOff(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, inContact := 1, 1 // this host's own
	for name, c := range p.contacts {
		if name == "" || name == p.g.opt.DataCentre || now.Sub(c.last) >= membershipTTL {
			continue
		}
		known++
		if now.Sub(c.last) < cutOffAfter {
			inContact++
		}
	}
	return 2*inContact < known
}

// leaderElsewhere reports whether the presumed primary stands in another data centre, or none is
// presumed. One in this data centre may become reachable again without a takeover. mu is held.
func (s *service) leaderElsewhere() bool {
	db, ok := s.table.Leader()
	return !ok || db.DataCentre != s.g.opt.DataCentre
}

// refusedEverywhere reports whether a read need not be tried again, where urgent statements go
// first: as many databases as may serve it have no room for it in time.
func (op *operation) refusedEverywhere(err error, attempts int) bool {
	if !op.svc.g.opt.Features.UrgentFirst || errkind.Of(err) != errkind.QueueFull {
		return false
	}
	if op.route.Freshness == routes.Current {
		return true
	}
	return attempts >= len(op.svc.readers(op.customer))
}
