// Package share divides a customer's rate and burst among the hosts that admit
// its operations, by demand.
//
// Every such host tells the others, several times a second, how many operations
// a second each customer asks of it. A host admits its part of the customer's
// rate and burst: its own demand over that of all hosts. A host that was not
// heard for a while keeps its last demand in the others' sums, and, when it
// hears nobody, keeps the others' in its own, so that a cut changes nobody's
// part by much. The parts add up to one but for what demand changes within one
// exchange, which the platform's overage and slack cover.
package share

import (
	"math"
	"time"
)

const (
	// memory is the time constant of the mean demand: long enough for a mean
	// over a few operations of a small customer, short beside the 5 s window
	// of quotas.
	memory = 1500 * time.Millisecond
	// forgetAfter is the silence after which a host's demand no longer counts.
	forgetAfter = 5 * time.Second
	// base is the demand that every host is taken to have at least, as a part
	// of the customer's rate spread over all hosts.
	base = 0.25
	// spare is the operations that the buckets of all hosts hold together beyond
	// the customer's burst: the platform's quotaSlack.
	spare = 20.0
	// leastBurst is the least bucket of one host. At 1 a bucket would be full as
	// soon as it admits one operation, and would gain nothing while it waits.
	leastBurst = 1.2
	// unknownOperations is how many operations a host counts for itself before
	// the others were told of them. Demand that rises faster is known to this
	// host only, and would raise its part at nobody's cost.
	unknownOperations = 2
)

// Limit is what a customer may send over all hosts.
type Limit struct {
	Rate  float64 // operations per second
	Burst float64 // operations
}

// Demands is the demand of one host, operations per second by customer.
type Demands map[string]float64

// Table is one host's part of every customer's rate. It is not safe for
// concurrent use: the host guards it by a mutex. It holds as many customers as
// the configuration.
type Table struct {
	accounts map[string]*account
	peers    map[string]*peer
	hosts    int // that are believed to admit operations, this one included
}

type account struct {
	limit  Limit
	tokens float64
	at     time.Time // tokens are as of then
	demand float64
	told   float64   // demand as the other hosts were told last
	known  float64   // demand as they were told the time before: all know it
	seen   time.Time // demand is as of then
}

type peer struct {
	hosts   int // that it stands for and that admit operations
	demands Demands
	heard   time.Time
}

// New returns a table for a fleet of hosts.
func New(hosts int) *Table {
	return &Table{accounts: map[string]*account{}, peers: map[string]*peer{}, hosts: max(1, hosts)}
}

// SetHosts says how many hosts are believed to admit operations.
func (t *Table) SetHosts(n int) { t.hosts = max(1, n) }

// SetLimits takes the customers of a configuration.
func (t *Table) SetLimits(limits map[string]Limit, now time.Time) {
	for name, limit := range limits {
		a := t.accounts[name]
		if a == nil {
			t.accounts[name] = &account{limit: limit, tokens: t.burst(limit, 1/float64(t.hosts)), at: now, seen: now}
			continue
		}
		a.limit = limit
	}
	for name := range t.accounts {
		if _, ok := limits[name]; !ok {
			delete(t.accounts, name)
		}
	}
}

// Ask admits one operation. Where it does not, it returns when one more is
// admitted. A customer without a limit is not counted.
func (t *Table) Ask(customer string, now time.Time) (bool, time.Duration) {
	a := t.accounts[customer]
	if a == nil || a.limit.Rate <= 0 {
		return true, 0
	}
	a.decay(now)
	a.demand += 1 / memory.Seconds()
	part := t.part(customer, a)
	a.accrue(part*a.limit.Rate, t.burst(a.limit, part), now)
	if a.tokens >= 1 {
		a.tokens--
		return true, 0
	}
	wait := (1 - a.tokens) / (part * a.limit.Rate)
	return false, time.Duration(wait * float64(time.Second))
}

// leastDemand is the demand, in operations per second, that is worth a line to
// the other hosts.
const leastDemand = 0.05

// Demands returns this host's demand, for the other hosts. They are taken to be
// told of it.
func (t *Table) Demands(now time.Time) Demands {
	out := Demands{}
	for name, a := range t.accounts {
		a.decay(now)
		a.known, a.told = a.told, a.demand
		if a.demand > leastDemand {
			out[name] = a.demand
		}
	}
	return out
}

// Heard takes the demand of another host, or that of several hosts together.
// hosts is how many of them admit operations.
func (t *Table) Heard(name string, hosts int, demands Demands, now time.Time) {
	t.peers[name] = &peer{hosts: hosts, demands: demands, heard: now}
	t.forget(now)
}

// forget drops hosts that were silent for long while others were heard.
func (t *Table) forget(now time.Time) {
	for host, p := range t.peers {
		if now.Sub(p.heard) >= forgetAfter {
			delete(t.peers, host)
		}
	}
}

// part is this host's part of a customer's rate, 0 to 1.
func (t *Table) part(customer string, a *account) float64 {
	heard := 1
	for _, p := range t.peers {
		heard += p.hosts
	}
	hosts := max(t.hosts, heard)
	floor := base * a.limit.Rate / float64(hosts)
	own := min(a.demand, a.known+unknownOperations/memory.Seconds()) + floor
	sum := 0.0
	for _, p := range t.peers {
		sum += p.demands[customer] + floor*float64(p.hosts)
	}
	sum += float64(hosts-heard) * (own + sum) / float64(heard)
	return own / (own + sum)
}

// burst is the bucket of a host with a part of the limit.
func (t *Table) burst(limit Limit, part float64) float64 {
	return max(leastBurst, limit.Burst*part+spare/float64(t.hosts))
}

func (a *account) accrue(rate, burst float64, now time.Time) {
	if passed := now.Sub(a.at).Seconds(); passed > 0 {
		a.tokens += rate * passed
		a.at = now
	}
	a.tokens = min(a.tokens, burst)
}

func (a *account) decay(now time.Time) {
	if passed := now.Sub(a.seen); passed > 0 {
		a.demand *= math.Exp(-passed.Seconds() / memory.Seconds())
		a.seen = now
	}
}
