package rate

import (
	"math"
	"slices"
	"time"

	"github.com/bronzeloft/bronzeloft/contract"
)

// epsilon absorbs the rounding of sums of fractions, in tokens.
const epsilon = 1e-9

// account is this host's share of one customer's bucket.
type account struct {
	id      string
	rate    float64  // of the customer over all hosts, requests per second
	burst   float64  // of the customer over all hosts, requests
	removed bool     // withdrawn; kept until its loans have expired
	share   float64  // standing share of rate and burst, 0 to 1
	peers   []string // other holders of a share, those in this data centre first

	level     float64   // tokens of the host's own share, without held loans
	at        time.Time // time of the last update of level
	loans     []*loan
	lentBurst float64
	lentRate  float64

	held         []*heldLoan
	loanRequests []*loanRequest
	waiters      []waiter
	demand       demand

	active   bool // listed in Table.active
	round    round
	lastUsed time.Time // when a request last arrived or was admitted
}

// loan is a part of the account that is lent to another host.
type loan struct {
	to    string
	id    string
	burst float64
	rate  float64
	until time.Time
	ended bool // returned; kept until its expiry to detect a duplicate request
}

// heldLoan is a part of another host's account that this host has borrowed.
type heldLoan struct {
	from  string
	id    string
	burst float64
	rate  float64
	level float64
	at    time.Time
	until time.Time
}

// loanRequest is a request for a loan that has not been answered.
type loanRequest struct {
	to       string
	id       string
	sent     time.Time
	until    time.Time // a grant that arrives later is void
	timedOut bool      // no answer within AskTimeout; a later grant is still credited
}

// waiter is a request that waits for a token.
type waiter struct {
	id    uint64
	until time.Time
}

func newAccount(c contract.Customer, now time.Time) *account {
	return &account{id: c.ID, at: now}
}

// ownBurst returns the standing share of the burst, less what is lent.
func (a *account) ownBurst() float64 {
	return max(0, a.share*a.burst-a.lentBurst)
}

// ownRate returns the standing share of the rate, less what is lent.
func (a *account) ownRate() float64 {
	return max(0, a.share*a.rate-a.lentRate)
}

// setLimits changes the customer's rate and burst and the standing share.
func (a *account) setLimits(rate, burst, share float64) {
	a.rate, a.burst, a.share = rate, burst, share
	a.clampLevel()
}

func (a *account) clampLevel() {
	a.level = min(a.level, a.ownBurst())
}

// advance accrues tokens up to now and drops expired loans and loan requests.
// The own share accrues nothing before from.
func (a *account) advance(now, from time.Time) {
	a.endLoans(now, from)
	a.accrue(now, from)
	a.advanceHeld(now)
	a.dropExpiredRequests(now)
}

// accrue adds the tokens of the own share up to now.
func (a *account) accrue(now, from time.Time) {
	if start := later(a.at, from); now.After(start) {
		a.level = min(a.ownBurst(), a.level+a.ownRate()*now.Sub(start).Seconds())
	}
	if now.After(a.at) {
		a.at = now
	}
}

// endLoans ends the loans that have expired, each as of its own end, so that
// the lent rate accrues here from then on. Their tokens are spent or lost. All
// loans have the same term, so they are ordered by their end.
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

// endLoan adds the lent burst and rate to the own share again. Once no loan is
// outstanding it sets the lent sums to zero, which drops their rounding errors.
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

// advanceHeld accrues the tokens of the held loans up to now and drops the held
// loans that have expired.
func (a *account) advanceHeld(now time.Time) {
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

func (a *account) dropExpiredRequests(now time.Time) {
	kept := a.loanRequests[:0]
	for _, r := range a.loanRequests {
		if now.Before(r.until) {
			kept = append(kept, r)
		}
	}
	clear(a.loanRequests[len(kept):])
	a.loanRequests = kept
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

// spend takes one token, from loans before the own share and first from the
// loan that expires first. It reports whether a token was available.
func (a *account) spend() bool {
	if a.available() < 1-epsilon {
		return false
	}
	rest := 1.0
	for rest > 0 {
		h := a.firstToExpire()
		if h == nil {
			break
		}
		used := min(rest, h.level)
		h.level -= used
		rest -= used
	}
	a.level = max(0, a.level-rest)
	return true
}

// firstToExpire returns the held loan with tokens that expires first, nil if none
// has tokens.
func (a *account) firstToExpire() *heldLoan {
	var first *heldLoan
	for _, h := range a.held {
		if h.level > 0 && (first == nil || h.until.Before(first.until)) {
			first = h
		}
	}
	return first
}

// demand is an exponentially decaying mean of requests per second.
type demand struct {
	perSecond float64
	at        time.Time
}

// demandTimeConstant is the time constant of the demand mean.
const demandTimeConstant = 500 * time.Millisecond

func (d *demand) add(now time.Time) {
	d.decay(now)
	d.perSecond += 1 / demandTimeConstant.Seconds()
}

func (d *demand) decay(now time.Time) {
	dt := now.Sub(d.at)
	if dt <= 0 {
		return
	}
	d.perSecond *= math.Exp(-dt.Seconds() / demandTimeConstant.Seconds())
	d.at = now
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
