// Package share divides a customer's rate and burst among the hosts that admit
// its operations, by demand.
//
// Every such host announces to the others, several times a second, how many
// operations per second each customer requests from it. A host admits its share
// of the customer's rate and burst: its own demand divided by the demand of all
// hosts. For a while after the last announcement from a host, the others keep
// counting its last demand. A host that receives no announcements at all keeps
// counting the last demands of the others, so that a network partition changes
// no host's share by much. The shares add up to one except for changes of demand
// within one exchange of announcements; the overage and the slack that the
// platform's quota bound allows cover the difference.
//
// AdmitUrgency also orders a customer's operations by urgency: the most urgent ones take
// its tokens first.
package share

import (
	"math"
	"time"
)

// PeerExpiry is how long after its last announcement a host's demand counts.
const PeerExpiry = 5 * time.Second

const (
	// demandTimeConstant is the time constant of the exponentially weighted mean
	// demand: long enough to average over a few operations of a small customer,
	// short compared with the 5 s window of quotas.
	demandTimeConstant = 1500 * time.Millisecond
	// baseDemandShare is Config.BaseShare for customers.
	baseDemandShare = 0.25
	// isolatedAfter is the time without announcements after which a host assumes that
	// its own are not received either: four announcements.
	isolatedAfter = 1200 * time.Millisecond
	// burstSlack is Config.BurstSlack for customers: the platform's quotaSlack.
	burstSlack = 20.0
	// minBurst is Config.MinBurst for customers. A bucket of size 1 would be full
	// as soon as it can admit one operation, and would accrue nothing more until
	// that operation arrives.
	minBurst = 1.2
	// unannouncedOperations is how many operations a host counts towards its own
	// demand before they have been announced to the others. A faster rise is known
	// to this host only: it would raise this host's share while the others do not
	// lower theirs.
	unannouncedOperations = 2
)

// Config holds what differs between the windows in which limits are counted.
type Config struct {
	// BurstSlack is the number of operations by which the buckets of all hosts
	// together may exceed a limit's burst.
	BurstSlack float64
	// MinBurst is the smallest bucket size of one host, in operations.
	MinBurst float64
	// BaseShare is the base demand that is added for every host, as a fraction of the
	// host's equal share of the rate.
	BaseShare float64
	// Settle is the longest time in which an announcement reaches all hosts. If it is
	// not zero, a host's own demand counts as the least that it has announced within
	// Settle, so that the shares add up to at most one also while demands change, and
	// does not rise while a known host is silent. Demands count up to the limit's rate, so
	// that many refused operations leave a new host its part. New buckets are then empty.
	Settle time.Duration
}

// Customers is the configuration for the customers' rates.
var Customers = Config{BurstSlack: burstSlack, MinBurst: minBurst, BaseShare: baseDemandShare}

// Limit is a customer's rate limit over all hosts.
type Limit struct {
	Rate  float64 // operations per second
	Burst float64 // operations
}

// Demands is the demand of one host, operations per second by customer.
type Demands map[string]float64

// Table is one host's share of every customer's rate. It is not safe for
// concurrent use: the host guards it by a mutex. It holds the customers of the
// configuration that SetLimits applied last.
type Table struct {
	cfg      Config
	accounts map[string]*account
	peers    map[string]*peer
	hosts    int       // assumed to admit operations, including this one
	heardAt  time.Time // last announcement from any other host
}

// account is the token bucket and the demand of one customer on this host.
type account struct {
	limit         Limit
	tokens        float64
	tokensAt      time.Time // time of the last update of tokens
	demand        float64
	lastAnnounced float64        // demand in the last announcement to the other hosts
	prevAnnounced float64        // demand in the announcement before that; assumed received by all hosts
	demandAt      time.Time      // time of the last update of demand
	announced     []announcement // the last ones, oldest first; only with Config.Settle
	byUrgency     *byUrgency     // nil until AdmitUrgency is called
}

// announcement is the demand that a host announced at a time.
type announcement struct {
	at     time.Time
	demand float64
}

// peer is the last announcement of another host, or of the sum over several hosts.
type peer struct {
	hosts    int // admitting hosts that it represents
	demands  Demands
	lastSeen time.Time
}

// New returns a table of customers' rates for a fleet of the given number of hosts.
func New(hosts int) *Table { return NewWith(Customers, hosts) }

// NewWith returns a table for a fleet of the given number of hosts.
func NewWith(cfg Config, hosts int) *Table {
	return &Table{cfg: cfg, accounts: map[string]*account{}, peers: map[string]*peer{}, hosts: max(1, hosts)}
}

// SetHosts sets the number of hosts that are assumed to admit operations.
func (t *Table) SetHosts(n int) { t.hosts = max(1, n) }

// SetLimits replaces the customers and their limits by those of a configuration. A
// new customer starts with a full bucket, sized for an equal share of the hosts.
func (t *Table) SetLimits(limits map[string]Limit, now time.Time) {
	for name, limit := range limits {
		a := t.accounts[name]
		if a == nil {
			t.accounts[name] = t.newAccount(limit, now)
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

func (t *Table) newAccount(limit Limit, now time.Time) *account {
	a := &account{limit: limit, tokensAt: now, demandAt: now}
	if t.cfg.Settle > 0 {
		a.announced = []announcement{{at: now}}
	} else {
		a.tokens = t.burst(limit, 1/float64(t.hosts))
	}
	return a
}

// Admit reports whether one more operation is admitted. If not, it also returns
// the time until one would be. Operations of customers without a limit are always
// admitted.
func (t *Table) Admit(customer string, now time.Time) (bool, time.Duration) {
	a := t.accounts[customer]
	if a == nil || a.limit.Rate <= 0 {
		return true, 0
	}
	rate, _ := t.recordRequest(customer, a, now)
	if a.tokens >= 1 {
		a.tokens--
		return true, 0
	}
	wait := (1 - a.tokens) / rate
	return false, time.Duration(wait * float64(time.Second))
}

// recordRequest counts a requested operation and adds the tokens since the last update. It
// returns this host's rate of the customer, operations per second, and its bucket size.
func (t *Table) recordRequest(customer string, a *account, now time.Time) (rate, burst float64) {
	a.decay(now)
	a.demand += 1 / demandTimeConstant.Seconds()
	hostShare := t.share(customer, a)
	rate, burst = hostShare*a.limit.Rate, t.burst(a.limit, hostShare)
	a.accrue(rate, burst, now)
	return rate, burst
}

// Want counts operations that are requested and were refused without Admit.
func (t *Table) Want(customer string, n int, now time.Time) {
	if a := t.accounts[customer]; a != nil {
		a.decay(now)
		a.demand += float64(n) / demandTimeConstant.Seconds()
	}
}

// Wait returns the time until this host could admit n more operations, one after the
// other, with its present share.
func (t *Table) Wait(customer string, n int, now time.Time) time.Duration {
	a := t.accounts[customer]
	if a == nil || a.limit.Rate <= 0 {
		return 0
	}
	hostShare := t.share(customer, a)
	a.accrue(hostShare*a.limit.Rate, t.burst(a.limit, hostShare), now)
	return time.Duration(max(0, float64(n)-a.tokens) / (hostShare * a.limit.Rate) * float64(time.Second))
}

// minAnnouncedDemand is the demand, in operations per second, at or below which a
// customer is left out of the announcement to the other hosts.
const minAnnouncedDemand = 0.05

// Demands returns this host's demand for the announcement to the other hosts. It
// records the demand as announced, unless the host is isolated: the others would not
// lower their shares for it.
func (t *Table) Demands(now time.Time) Demands {
	isolated := t.isolated(now) || t.cfg.Settle > 0 && t.anySilent(now)
	out := Demands{}
	for name, a := range t.accounts {
		a.decay(now)
		if !isolated {
			a.prevAnnounced, a.lastAnnounced = a.lastAnnounced, a.demand
			t.recordAnnouncement(a, now)
		}
		if demand := t.counted(a); demand > minAnnouncedDemand {
			out[name] = demand
		}
	}
	return out
}

// RecordDemands records the demand of another host, or the sum over several
// hosts. hosts is how many of them admit operations. The table keeps demands: the
// caller must not change it afterwards.
func (t *Table) RecordDemands(name string, hosts int, demands Demands, now time.Time) {
	t.peers[name] = &peer{hosts: hosts, demands: demands, lastSeen: now}
	t.heardAt = now
	t.expirePeers(now)
}

// expirePeers drops hosts whose last announcement is older than PeerExpiry. It
// runs only when another announcement arrives, so that an isolated host keeps
// the demands that it has.
func (t *Table) expirePeers(now time.Time) {
	for host, p := range t.peers {
		if now.Sub(p.lastSeen) >= PeerExpiry {
			delete(t.peers, host)
		}
	}
}

// share returns this host's share of a customer's rate, 0 to 1. Hosts that have
// not announced a demand are assumed to have the mean demand of those that have.
func (t *Table) share(customer string, a *account) float64 {
	reporting := 1
	for _, p := range t.peers {
		reporting += p.hosts
	}
	hosts := max(t.hosts, reporting)
	base := t.cfg.BaseShare * a.limit.Rate / float64(hosts)
	own := t.ownDemand(a) + base
	sum := 0.0
	for _, p := range t.peers {
		sum += p.demands[customer] + base*float64(p.hosts)
	}
	sum += float64(hosts-reporting) * (own + sum) / float64(reporting)
	return own / (own + sum)
}

// ownDemand returns this host's demand as far as the other hosts may be assumed to
// know it.
func (t *Table) ownDemand(a *account) float64 {
	if t.cfg.Settle == 0 {
		return min(a.demand, a.prevAnnounced+unannouncedOperations/demandTimeConstant.Seconds())
	}
	own := t.counted(a)
	for _, past := range a.announced {
		own = min(own, past.demand)
	}
	return own
}

// counted returns the part of this host's demand that counts for its share.
func (t *Table) counted(a *account) float64 {
	if t.cfg.Settle == 0 {
		return a.demand
	}
	return min(a.demand, a.limit.Rate)
}

// recordAnnouncement keeps the announcements within settle and the one before, which
// the others may still count.
func (t *Table) recordAnnouncement(a *account, now time.Time) {
	if t.cfg.Settle == 0 {
		return
	}
	a.announced = append(a.announced, announcement{at: now, demand: t.counted(a)})
	for len(a.announced) > 1 && now.Sub(a.announced[1].at) >= t.cfg.Settle {
		a.announced = a.announced[1:]
	}
}

// anySilent reports whether a host whose demand counts has announced none for so long
// that this host's own may not be received there either.
func (t *Table) anySilent(now time.Time) bool {
	for _, p := range t.peers {
		if now.Sub(p.lastSeen) >= t.cfg.Settle {
			return true
		}
	}
	return false
}

// isolated reports whether other hosts have sent no announcements for so long that
// this host's own are not received either, as far as it knows.
func (t *Table) isolated(now time.Time) bool {
	return t.hosts > 1 && now.Sub(t.heardAt) >= isolatedAfter
}

// burst returns the bucket size of a host that has the given share of the limit.
func (t *Table) burst(limit Limit, hostShare float64) float64 {
	return max(t.cfg.MinBurst, limit.Burst*hostShare+t.cfg.BurstSlack/float64(t.hosts))
}

// accrue adds the tokens since the last update; burst is the bucket size.
func (a *account) accrue(rate, burst float64, now time.Time) {
	if passed := now.Sub(a.tokensAt).Seconds(); passed > 0 {
		a.tokens += rate * passed
		a.tokensAt = now
	}
	a.tokens = min(a.tokens, burst)
}

// decay lets the mean demand fall by the time since its last update.
func (a *account) decay(now time.Time) {
	if passed := now.Sub(a.demandAt); passed > 0 {
		a.demand *= math.Exp(-passed.Seconds() / demandTimeConstant.Seconds())
		a.demandAt = now
	}
}
