package allotment

import (
	"math"
	"time"
)

const (
	// rateTimeConstant is the time constant of a customer's mean rate: several check-outs
	// of a customer that sends one every two seconds.
	rateTimeConstant = 10 * time.Second
	// demandTimeConstant is that of the rate of all customers together.
	demandTimeConstant = 3 * time.Second
	// meanHeldDivisor sets the weight of a new value in the mean time that a connection is
	// held: one over it.
	meanHeldDivisor = 16
	// forgottenBelow is the rate, in check-outs a second, below which a customer is
	// forgotten once there are more than maxCustomers.
	forgottenBelow = 0.01
	maxCustomers   = 1024
)

// Usage is how often customers check out connections of one pool. It is not safe for
// concurrent use.
type Usage struct {
	all       rate
	customers map[string]*rate
	held      time.Duration // mean time for which a connection is checked out
}

// rate is an exponentially weighted mean rate.
type rate struct {
	perSecond float64
	at        time.Time
}

func (r *rate) value(constant time.Duration, now time.Time) float64 {
	return r.perSecond * math.Exp(-now.Sub(r.at).Seconds()/constant.Seconds())
}

func (r *rate) add(constant time.Duration, now time.Time) {
	r.perSecond, r.at = r.value(constant, now)+1/constant.Seconds(), now
}

// NewUsage returns a Usage without customers.
func NewUsage() *Usage { return &Usage{customers: map[string]*rate{}} }

// CheckOut records that a customer uses a connection.
func (u *Usage) CheckOut(customer string, now time.Time) {
	u.all.add(demandTimeConstant, now)
	r := u.customers[customer]
	if r == nil {
		if len(u.customers) >= maxCustomers {
			u.forget(now)
		}
		r = &rate{at: now}
		u.customers[customer] = r
	}
	r.add(rateTimeConstant, now)
}

// CheckIn records for how long a connection was used.
func (u *Usage) CheckIn(held time.Duration) {
	u.held += (held - u.held) / meanHeldDivisor
}

// Held returns the mean time for which a connection is checked out; 0 before the first.
func (u *Usage) Held() time.Duration { return u.held }

// Demand returns the check-outs in a second.
func (u *Usage) Demand(now time.Time) float64 { return u.all.value(demandTimeConstant, now) }

// LeastUseful returns the index of the idle connection with the longest expected time until
// its next use. customers are those of the idle connections, least recently used first.
// A further connection of one customer is used only while its others are busy.
func (u *Usage) LeastUseful(customers []string, now time.Time) int {
	worst, least := 0, math.Inf(1)
	others := map[string]float64{} // chance that all connections of the customer looked at so far are busy
	for i := len(customers) - 1; i >= 0; i-- {
		perSecond := 0.0
		if r := u.customers[customers[i]]; r != nil {
			perSecond = r.value(rateTimeConstant, now)
		}
		busy, seen := others[customers[i]]
		if !seen {
			busy = 1
		}
		others[customers[i]] = busy * min(1, perSecond*u.held.Seconds())
		if useful := perSecond * busy; useful <= least {
			worst, least = i, useful
		}
	}
	return worst
}

func (u *Usage) forget(now time.Time) {
	for name, r := range u.customers {
		if r.value(rateTimeConstant, now) < forgottenBelow {
			delete(u.customers, name)
		}
	}
}
