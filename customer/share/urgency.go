package share

import (
	"math"
	"time"
)

// Classes is the number of classes of urgency that AdmitUrgency tells apart. Less urgent
// operations count as of the last class.
const Classes = 3

const (
	// classFloor is the share of the rate that each less urgent class keeps, whatever the
	// demand of the more urgent ones.
	classFloor = 0.1
	// maxInAdvance is the most operations of a customer that may wait for a token.
	maxInAdvance = 64
	// maxPromise is the latest time, from now, at which a refused caller is told to return.
	maxPromise = 2 * time.Second
)

// byUrgency divides one customer's tokens on this host among classes of urgency. Every
// admitted operation also takes one of the customer's tokens.
type byUrgency struct {
	at     time.Time
	demand [Classes]float64 // operations per second, admitted and refused
	// allowance[k] is what the operations of class k and the less urgent ones may take: it
	// accrues at the rate that the demand of the more urgent classes leaves. The most
	// urgent class has none.
	allowance [Classes]float64
	floor     [Classes]float64       // at most one operation that classFloor grants
	patience  [Classes]time.Duration // the longest seen of each class
	promised  [Classes]time.Time     // the last time at which a refused caller was told to return
}

// AdmitUrgency is Admit for an operation of the given urgency, 0 being the most urgent. If
// the operation is admitted, it must start after the returned time, when its token has
// accrued; that is at most patience. If not, the time is that at which a
// token is likely: after the tokens taken in advance and after those promised to earlier
// callers of its class.
func (t *Table) AdmitUrgency(customer string, urgency int, patience time.Duration, now time.Time) (bool, time.Duration) {
	a := t.accounts[customer]
	if a == nil || a.limit.Rate <= 0 {
		return true, 0
	}
	rate, burst := t.recordRequest(customer, a, now)
	if a.byUrgency == nil {
		a.byUrgency = &byUrgency{at: now, allowance: [Classes]float64{1: a.tokens, 2: a.tokens}}
	}
	c := a.byUrgency
	c.accrue(rate, burst, now)
	k := max(0, min(urgency, Classes-1))
	c.demand[k] += 1 / demandTimeConstant.Seconds()
	c.patience[k] = max(c.patience[k], patience)
	wait := seconds((1 - a.tokens) / rate)
	soon := wait <= patience && (k > 0 || c.leavesFloors(rate, wait+seconds(1/rate)))
	if !c.allows(k, a.tokens, soon) {
		return false, c.promise(k, rate, wait, now)
	}
	a.tokens--
	c.take(k)
	return true, max(0, wait)
}

// accrue updates the demands and adds what has accrued since the last update.
func (c *byUrgency) accrue(rate, burst float64, now time.Time) {
	passed := now.Sub(c.at).Seconds()
	if passed <= 0 {
		return
	}
	c.at = now
	for k := range c.demand {
		c.demand[k] *= math.Exp(-passed / demandTimeConstant.Seconds())
	}
	for k := 1; k < Classes; k++ {
		c.allowance[k] = min(c.allowance[k]+passed*c.rate(k, rate), burst)
		c.floor[k] = min(c.floor[k]+passed*classFloor*rate, 1)
	}
}

// rate returns the part of a rate that the more urgent classes leave to class k.
func (c *byUrgency) rate(k int, rate float64) float64 {
	left := rate
	for _, d := range c.demand[:k] {
		left -= d
	}
	return max(left, classFloor*rate)
}

// allows reports whether an operation of class k may take a token. soon reports whether the
// next token accrues in time for it. The most urgent class and an operation that the
// floor grants may take it in advance; while one has, no other class gets a token.
func (c *byUrgency) allows(k int, tokens float64, soon bool) bool {
	inAdvance := soon && tokens > 1-maxInAdvance
	if k == 0 {
		return inAdvance || tokens >= 1
	}
	return tokens >= 1 && c.allowance[k] >= 1 || c.floor[k] >= 1 && inAdvance
}

// leavesFloors reports whether the classes to which their floor grants an operation until then can
// still take it in advance if the next token accrues after wait.
func (c *byUrgency) leavesFloors(rate float64, wait time.Duration) bool {
	for k := 1; k < Classes; k++ {
		due := c.floor[k]+classFloor*rate*wait.Seconds() >= 1
		if due && c.demand[k] > minAnnouncedDemand && wait > c.patience[k] {
			return false
		}
	}
	return true
}

// take records an admitted operation of class k.
func (c *byUrgency) take(k int) {
	for i := 1; i <= k; i++ {
		c.allowance[i] = max(0, c.allowance[i]-1)
	}
	c.floor[k] = max(0, c.floor[k]-1)
}

// promise returns the time after which a refused operation of class k is likely to get a
// token, and records it. wait is the time until the next token that nobody has taken.
func (c *byUrgency) promise(k int, rate float64, wait time.Duration, now time.Time) time.Duration {
	left := c.rate(k, rate)
	if k > 0 {
		wait = max(wait, seconds((1-c.allowance[k])/left))
	}
	next := now.Add(wait)
	if after := c.promised[k].Add(seconds(1 / left)); after.After(next) {
		next = after
	}
	if latest := now.Add(maxPromise); next.After(latest) {
		return maxPromise
	}
	c.promised[k] = next
	return next.Sub(now)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
