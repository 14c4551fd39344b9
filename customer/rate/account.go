package rate

import (
	"math"
	"slices"
	"time"

	"github.com/bronzeloft/bronzeloft/contract"
)

// epsilon absorbs the rounding of sums of fractions, in tokens.
const epsilon = 1e-9

// account is one customer's part on this host.
type account struct {
	id      string
	rate    float64 // of the customer over all hosts, requests per second
	burst   float64 // of the customer over all hosts, requests
	removed bool    // withdrawn; kept until its loans have run out
	share   float64 // standing part of rate and burst, 0 to 1
	holders []string

	level     float64 // tokens of the own part
	at        time.Time
	loans     []*loan
	lentBurst float64
	lentRate  float64

	held    []*heldLoan
	asks    []*ask
	waiters []waiter
	demand  demand

	active   bool
	round    round
	lastUsed time.Time
}

// loan is a part of the account that another host holds.
type loan struct {
	to    string
	id    string
	burst float64
	rate  float64
	until time.Time
	ended bool // returned; kept until then so that a repeated request is known
}

// heldLoan is a part of another host's account that this host holds.
type heldLoan struct {
	from  string
	id    string
	burst float64
	rate  float64
	level float64
	at    time.Time
	until time.Time
}

// ask is a loan request without an answer.
type ask struct {
	to     string
	id     string
	sent   time.Time
	until  time.Time // a grant that comes later is void
	passed bool      // timed out: no longer awaited
}

// waiter is a request that waits for a token.
type waiter struct {
	id    uint64
	until time.Time
}

func newAccount(c contract.Customer, now time.Time) *account {
	return &account{id: c.ID, at: now}
}

// ownBurst is the part of the burst that is neither lent nor another's.
func (a *account) ownBurst() float64 {
	return max(0, a.share*a.burst-a.lentBurst)
}

// ownRate is the part of the rate that is neither lent nor another's.
func (a *account) ownRate() float64 {
	return max(0, a.share*a.rate-a.lentRate)
}

// set changes what the customer may send and the standing share.
func (a *account) set(rate, burst, share float64) {
	a.rate, a.burst, a.share = rate, burst, share
	a.clip()
}

func (a *account) clip() {
	a.level = min(a.level, a.ownBurst())
}

// advance accrues up to now and drops what has run out. Nothing accrues before
// from.
func (a *account) advance(now, from time.Time) {
	a.endLoans(now, from)
	a.accrue(now, from)
	a.dropHeld(now)
	a.dropAsks(now)
}

// accrue fills the own part of the bucket up to now.
func (a *account) accrue(now, from time.Time) {
	if start := later(a.at, from); now.After(start) {
		a.level = min(a.ownBurst(), a.level+a.ownRate()*now.Sub(start).Seconds())
	}
	if now.After(a.at) {
		a.at = now
	}
}

// endLoans takes back loans that have run out, each at its end, so that what
// they held accrues from then on. Their tokens are spent or lost. Loans have
// one term, so they are in order of their end.
func (a *account) endLoans(now, from time.Time) {
	n := 0
	for n < len(a.loans) && !now.Before(a.loans[n].until) {
		l := a.loans[n]
		if !l.ended {
			a.accrue(l.until, from)
			a.endLoan(l)
		}
		n++
	}
	if n > 0 {
		a.loans = slices.Delete(a.loans, 0, n)
	}
}

// endLoan makes the lent part the host's own again.
func (a *account) endLoan(l *loan) {
	if l.ended {
		return
	}
	l.ended = true
	a.lentBurst -= l.burst
	a.lentRate -= l.rate
	if a.openLoans() == 0 {
		a.lentBurst, a.lentRate = 0, 0
	}
}

func (a *account) openLoans() int {
	n := 0
	for _, l := range a.loans {
		if !l.ended {
			n++
		}
	}
	return n
}

func (a *account) findLoan(to, id string) *loan {
	for _, l := range a.loans {
		if l.to == to && l.id == id {
			return l
		}
	}
	return nil
}

func (a *account) dropHeld(now time.Time) {
	kept := a.held[:0]
	for _, h := range a.held {
		if !now.Before(h.until) {
			continue
		}
		h.accrue(now)
		kept = append(kept, h)
	}
	clear(a.held[len(kept):])
	a.held = kept
}

func (h *heldLoan) accrue(now time.Time) {
	if !now.After(h.at) {
		return
	}
	h.level = min(h.burst, h.level+h.rate*now.Sub(h.at).Seconds())
	h.at = now
}

func (a *account) dropAsks(now time.Time) {
	kept := a.asks[:0]
	for _, k := range a.asks {
		if now.Before(k.until) {
			kept = append(kept, k)
		}
	}
	clear(a.asks[len(kept):])
	a.asks = kept
}

// available returns the tokens that can be spent now.
func (a *account) available() float64 {
	sum := a.level
	for _, h := range a.held {
		sum += h.level
	}
	return sum
}

// totalRate returns the rate at which tokens accrue here.
func (a *account) totalRate() float64 {
	sum := a.ownRate()
	for _, h := range a.held {
		sum += h.rate
	}
	return sum
}

// spend takes one token, from loans before the own part and from the loan that
// ends first before others. It reports whether there was one.
func (a *account) spend() bool {
	if a.available() < 1-epsilon {
		return false
	}
	rest := 1.0
	for rest > 0 {
		h := a.firstToEnd()
		if h == nil {
			break
		}
		part := min(rest, h.level)
		h.level -= part
		rest -= part
	}
	a.level = max(0, a.level-rest)
	return true
}

// firstToEnd returns the held loan with tokens that ends first.
func (a *account) firstToEnd() *heldLoan {
	var first *heldLoan
	for _, h := range a.held {
		if h.level > 0 && (first == nil || h.until.Before(first.until)) {
			first = h
		}
	}
	return first
}

// demand is a decaying mean of requests per second.
type demand struct {
	perSecond float64
	at        time.Time
}

// demandMemory is the time constant of the mean.
const demandMemory = 500 * time.Millisecond

func (d *demand) add(now time.Time) {
	d.decay(now)
	d.perSecond += 1 / demandMemory.Seconds()
}

func (d *demand) decay(now time.Time) {
	dt := now.Sub(d.at)
	if dt <= 0 {
		return
	}
	d.perSecond *= math.Exp(-dt.Seconds() / demandMemory.Seconds())
	d.at = now
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
