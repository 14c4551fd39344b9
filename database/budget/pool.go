package budget

import (
	"slices"
	"time"
)

// poolKey identifies the permits of one kind at one database.
type poolKey struct {
	database string
	kind     Kind
}

// pool is this host's share of one database's permits of one kind.
type pool struct {
	key   poolKey
	limit int      // of the database, over all hosts
	share int      // standing share of the limit
	peers []string // other holders of a share, nearest first

	used         int
	loans        []*loan
	held         []*heldLoan
	loanRequests []*loanRequest
	waiters      []waiter
	lastUsed     time.Time // when a permit was last taken
	closing      int       // sessions that the host has to close and has not yet closed

	cursor int       // next peer to query
	next   time.Time // earliest start of the next round of loan requests
}

// loan is a number of permits that are lent to another host.
type loan struct {
	to    string
	id    string
	count int
	until time.Time
	ended bool // returned; kept until its expiry to detect a duplicate request
}

// heldLoan is a number of another host's permits that this host has borrowed.
type heldLoan struct {
	from        string
	id          string
	count       int
	until       time.Time
	requestedAt time.Time // when the loan or its newest renewal was requested
	attempt     uint32    // number of the newest renewal request, 0 for the first request
	recall      bool      // the lender needs it back
}

// loanRequest is a request for a loan that has not been answered.
type loanRequest struct {
	to    string
	id    string
	sent  time.Time
	until time.Time // a grant that arrives later is void
}

// waiter is a request that waits for a permit.
type waiter struct {
	id       uint64
	deadline time.Time
}

// lent returns the number of permits in outstanding loans to other hosts.
func (p *pool) lent() int {
	n := 0
	for _, l := range p.loans {
		if !l.ended {
			n += l.count
		}
	}
	return n
}

// borrowed returns the number of permits in loans held from other hosts.
func (p *pool) borrowed() int {
	n := 0
	for _, h := range p.held {
		n += h.count
	}
	return n
}

// capacity returns the number of permits that may be in use.
func (p *pool) capacity() int {
	return max(0, p.share-p.lent()) + p.borrowed()
}

// free returns the capacity that is not in use; it is negative while the host
// exceeds its capacity.
func (p *pool) free() int { return p.capacity() - p.used }

// available returns the permits that a request may take: those free, less the
// loans that their lenders have recalled.
func (p *pool) available() int {
	n := p.free()
	for _, h := range p.held {
		if h.recall {
			n -= h.count
		}
	}
	return n
}

// lendable returns how many permits of the own share may be lent: none while a
// request waits here.
func (p *pool) lendable() int {
	if len(p.waiters) > 0 {
		return 0
	}
	return max(0, min(p.share-p.lent(), p.free()))
}

func (p *pool) use(now time.Time) {
	p.used++
	p.lastUsed = now
}

// dropExpired removes loans and loan requests that have expired.
func (p *pool) dropExpired(now time.Time) {
	expired := func(until time.Time) bool { return !now.Before(until) }
	p.loans = slices.DeleteFunc(p.loans, func(l *loan) bool { return expired(l.until) })
	p.held = slices.DeleteFunc(p.held, func(h *heldLoan) bool { return expired(h.until) })
	p.loanRequests = slices.DeleteFunc(p.loanRequests, func(r *loanRequest) bool { return expired(r.until) })
}

func (p *pool) findLoan(to, id string) *loan {
	for _, l := range p.loans {
		if l.to == to && l.id == id {
			return l
		}
	}
	return nil
}

func (p *pool) findHeld(from, id string) *heldLoan {
	for _, h := range p.held {
		if h.from == from && h.id == id {
			return h
		}
	}
	return nil
}

// removeLoanRequest removes and returns the loan request that a grant answers,
// nil if none.
func (p *pool) removeLoanRequest(from, id string) *loanRequest {
	for i, r := range p.loanRequests {
		if r.to == from && r.id == id {
			p.loanRequests = slices.Delete(p.loanRequests, i, i+1)
			return r
		}
	}
	return nil
}
