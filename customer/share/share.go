// Package share divides a customer's rate and burst among hosts by demand.
//
// Every host tells the others, several times a second, how many operations a
// second each customer asks of it. A host admits its part of the customer's
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
	// leastBurst is the least bucket of one host: a customer's operations come
	// in ones and twos. 15 hosts add 1.2 each to the quota's slack of 20.
	leastBurst = 2.0
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
	hosts    int // that are believed to serve, this one included
}

type account struct {
	limit  Limit
	tokens float64
	at     time.Time // tokens are as of then
	demand float64
	seen   time.Time // demand is as of then
}

type peer struct {
	hosts   int // that it stands for
	demands Demands
	heard   time.Time
}

// New returns a table for a fleet of hosts.
func New(hosts int) *Table {
	return &Table{accounts: map[string]*account{}, peers: map[string]*peer{}, hosts: max(1, hosts)}
}

// SetHosts says how many hosts are believed to serve.
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

// Demands returns this host's demand, for the other hosts.
func (t *Table) Demands(now time.Time) Demands {
	out := Demands{}
	for name, a := range t.accounts {
		a.decay(now)
		if a.demand > 0.05 {
			out[name] = a.demand
		}
	}
	return out
}

// Heard takes the demand of another host, or that of several hosts together.
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
	own := a.demand + floor
	sum := 0.0
	for _, p := range t.peers {
		sum += p.demands[customer] + floor*float64(p.hosts)
	}
	sum += float64(hosts-heard) * (own + sum) / float64(heard)
	return own / (own + sum)
}

// burst is the bucket of a host with a part of the limit.
func (t *Table) burst(limit Limit, part float64) float64 {
	return max(leastBurst, limit.Burst*part)
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
