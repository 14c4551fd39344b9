package budget

import (
	"slices"
	"time"
)

// poolKey names the permits of one kind at one database.
type poolKey struct {
	database string
	kind     Kind
}

// pool is this host's part of one database's permits of one kind.
type pool struct {
	key   poolKey
	limit int // over all hosts
	share int // standing part
	peers []string

	used     int
	loans    []*loan
	held     []*heldLoan
	asks     []*ask
	waiters  []waiter
	lastUsed time.Time // when a permit was last taken
	closing  int       // sessions that the host was asked to close and has not

	cursor int
	next   time.Time // no round of asking before
}

// loan is a number of permits that another host holds.
type loan struct {
	to    string
	id    string
	count int
	until time.Time
	ended bool // returned; kept until then so that a repeated request is known
}

// heldLoan is a number of another host's permits that this host holds.
type heldLoan struct {
	from    string
	id      string
	count   int
	until   time.Time
	asked   time.Time // of the newest renewal
	attempt uint32
	recall  bool // the lender wants it back
}

// ask is a request for a loan.
type ask struct {
	to    string
	id    string
	sent  time.Time
	until time.Time // a grant that comes later is void
}

type waiter struct {
	id       uint64
	deadline time.Time
}

// lent returns the permits that are out.
func (p *pool) lent() int {
	n := 0
	for _, l := range p.loans {
		if !l.ended {
			n += l.count
		}
	}
	return n
}

func (p *pool) borrowed() int {
	n := 0
	for _, h := range p.held {
		n += h.count
	}
	return n
}

// capacity returns the permits that may be in use.
func (p *pool) capacity() int {
	return max(0, p.share-p.lent()) + p.borrowed()
}

// free returns the permits that may be taken; below zero the host is over.
func (p *pool) free() int { return p.capacity() - p.used }

// takeable returns the permits that a request may take: those free, less what
// goes back to lenders that want it.
func (p *pool) takeable() int {
	n := p.free()
	for _, h := range p.held {
		if h.recall {
			n -= h.count
		}
	}
	return n
}

// spare returns the own permits that may be lent.
func (p *pool) spare() int {
	if len(p.waiters) > 0 {
		return 0
	}
	return max(0, min(p.share-p.lent(), p.free()))
}

func (p *pool) use(now time.Time) {
	p.used++
	p.lastUsed = now
}

// drop forgets loans and asks that have run out.
func (p *pool) drop(now time.Time) {
	over := func(until time.Time) bool { return !now.Before(until) }
	p.loans = slices.DeleteFunc(p.loans, func(l *loan) bool { return over(l.until) })
	p.held = slices.DeleteFunc(p.held, func(h *heldLoan) bool { return over(h.until) })
	p.asks = slices.DeleteFunc(p.asks, func(a *ask) bool { return over(a.until) })
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

// takeAsk removes and returns the ask that a grant answers, nil if none.
func (p *pool) takeAsk(from, id string) *ask {
	for i, a := range p.asks {
		if a.to == from && a.id == id {
			p.asks = slices.Delete(p.asks, i, i+1)
			return a
		}
	}
	return nil
}
