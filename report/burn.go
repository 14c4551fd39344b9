package report

import (
	"maps"
	"slices"
	"time"

	"github.com/bronzeloft/bronzeloft/contract"
)

// Windows over which burn is computed.
const (
	FastShort = 5 * time.Minute
	FastLong  = time.Hour
	SlowShort = 30 * time.Minute
	SlowLong  = 6 * time.Hour
)

// Burn rates that raise an alert. A rate of 1 spends exactly the budget.
const (
	FastRate = 14.4 // over FastShort and FastLong
	SlowRate = 6.0  // over SlowShort and SlowLong
)

// minAlertBad is the number of bad events in the long window below which no alert
// is raised, so that a single failure of a low-traffic customer pages nobody.
const minAlertBad = 5

// Alert is the urgency of a burn.
type Alert string

// The alerts.
const (
	NoAlert   Alert = ""
	FastAlert Alert = "fast" // FastRate or more, which if sustained spends the budget of SlowLong within 25 minutes: act now
	SlowAlert Alert = "slow" // SlowRate or more, which if sustained spends it within an hour: act today
)

// Objectives maps customers to their objectives.
type Objectives map[string]contract.Objective

// ObjectivesOf returns the objectives that a snapshot sets.
func ObjectivesOf(s *contract.Snapshot) Objectives {
	out := make(Objectives, len(s.Customers))
	for i := range s.Customers {
		out[s.Customers[i].ID] = s.Customers[i].Objective
	}
	return out
}

// Report is the burn of all customers at one time.
type Report struct {
	At        time.Time      `json:"at"`
	Period    string         `json:"period"` // duration that the budgets cover, such as 6h0m0s
	Hosts     []HostReport   `json:"hosts"`
	Unreached []string       `json:"unreached,omitempty"` // hosts that were queried and did not answer
	Customers []CustomerBurn `json:"customers"`
}

// HostReport describes the intervals for which one host's counts are included.
type HostReport struct {
	HostCoverage
	Gaps []Interval `json:"gaps"` // intervals of the period in which it counted nothing
}

// CustomerBurn is the burn of one customer.
type CustomerBurn struct {
	Customer string        `json:"customer"`
	Promises []PromiseBurn `json:"promises"`
}

// PromiseBurn is the burn of one promise to one customer.
type PromiseBurn struct {
	Promise    Promise `json:"promise"`
	Objective  float64 `json:"objective"`        // share that must be good; 0 where none is set
	Target     string  `json:"target,omitempty"` // latency target, for Latency only
	Good       uint64  `json:"good"`             // over the period
	Bad        uint64  `json:"bad"`              // over the period
	BudgetLeft float64 `json:"budgetLeft"`       // share of the period's budget; negative when overspent
	Fast       Rates   `json:"fast"`             // over FastShort and FastLong
	Slow       Rates   `json:"slow"`             // over SlowShort and SlowLong
	Alert      Alert   `json:"alert,omitempty"`
}

// Rates are burn rates over a short and a long window.
type Rates struct {
	Short float64 `json:"short"`
	Long  float64 `json:"long"`
}

// atLeast reports whether the burn rate reaches rate in both windows: the long
// one shows that the burn is significant, the short one that it is still going on.
func (r Rates) atLeast(rate float64) bool { return r.Short >= rate && r.Long >= rate }

// Burn computes the burn of every customer that has objectives or counts. The
// caller sets Unreached.
func Burn(m Merged, objectives Objectives, now time.Time) Report {
	rep := Report{At: now.UTC(), Period: SlowLong.String()}
	window := Interval{From: now.Add(-SlowLong).UTC(), To: now.UTC()}
	for _, h := range m.Hosts {
		rep.Hosts = append(rep.Hosts, HostReport{HostCoverage: h, Gaps: gaps(h.Covered, window)})
	}
	customers := map[string]bool{}
	for c := range objectives {
		customers[c] = true
	}
	for c := range m.Customers {
		customers[c] = true
	}
	for _, c := range slices.Sorted(maps.Keys(customers)) {
		rep.Customers = append(rep.Customers, customerBurn(c, m.Customers[c], objectives[c], now))
	}
	return rep
}

func customerBurn(customer string, buckets []Bucket, o contract.Objective, now time.Time) CustomerBurn {
	w := windows{
		fastShort: sum(buckets, now, FastShort),
		fastLong:  sum(buckets, now, FastLong),
		slowShort: sum(buckets, now, SlowShort),
		slowLong:  sum(buckets, now, SlowLong),
	}
	cb := CustomerBurn{Customer: customer}
	for _, p := range Promises {
		cb.Promises = append(cb.Promises, w.promiseBurn(p, o))
	}
	return cb
}

// windows are the tallies of one customer over each window.
type windows struct{ fastShort, fastLong, slowShort, slowLong Tally }

// sum adds up the buckets that overlap the last window before now.
func sum(buckets []Bucket, now time.Time, window time.Duration) Tally {
	var t Tally
	from := now.Add(-window).Unix()
	for _, b := range buckets {
		if b.Start+b.Seconds > from && b.Start <= now.Unix() {
			t.add(b.Tally)
		}
	}
	return t
}

func (w *windows) promiseBurn(p Promise, o contract.Objective) PromiseBurn {
	pb := PromiseBurn{Promise: p, Objective: objectiveShare(p, o)}
	if p == Latency && o.Latency > 0 {
		pb.Target = o.Latency.String()
	}
	pb.Good, pb.Bad = w.slowLong.events(p)
	if pb.Objective <= 0 {
		return pb
	}
	pb.BudgetLeft = 1 - burnRate(w.slowLong, p, pb.Objective)
	pb.Fast = Rates{burnRate(w.fastShort, p, pb.Objective), burnRate(w.fastLong, p, pb.Objective)}
	pb.Slow = Rates{burnRate(w.slowShort, p, pb.Objective), burnRate(w.slowLong, p, pb.Objective)}
	pb.Alert = w.alert(pb)
	return pb
}

func (w *windows) alert(pb PromiseBurn) Alert {
	_, fastBad := w.fastLong.events(pb.Promise)
	switch {
	case fastBad >= minAlertBad && pb.Fast.atLeast(FastRate):
		return FastAlert
	case pb.Bad >= minAlertBad && pb.Slow.atLeast(SlowRate):
		return SlowAlert
	default:
		return NoAlert
	}
}

// objectiveShare returns the share of good events that o sets for promise p.
func objectiveShare(p Promise, o contract.Objective) float64 {
	switch p {
	case Latency:
		return o.LatencyShare
	case Freshness:
		return o.Freshness
	case Admission:
		return o.Admission
	default:
		return o.Availability
	}
}

// burnRate returns the burn rate of a promise: the share of bad events divided by
// the share that the objective allows, 0 without bad events.
func burnRate(t Tally, p Promise, objective float64) float64 {
	good, bad := t.events(p)
	if bad == 0 {
		return 0
	}
	return float64(bad) / float64(good+bad) / (1 - objective)
}

// Alerts returns the number of fast and slow alerts.
func (r Report) Alerts() (fast, slow int) {
	for _, c := range r.Customers {
		for _, p := range c.Promises {
			switch p.Alert {
			case FastAlert:
				fast++
			case SlowAlert:
				slow++
			}
		}
	}
	return fast, slow
}
