package report

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Counts holds what one host counted since it booted, for at most Retention. Hosts
// send it to each other as JSON.
type Counts struct {
	Address   string              `json:"address"` // of the host's peer listener
	BootID    string              `json:"bootId"`
	Covered   []Interval          `json:"covered"`   // intervals for which it counted
	Customers map[string][]Bucket `json:"customers"` // in order of time, by customer id
}

// Interval is a span of time.
type Interval struct {
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
}

// Bucket is the tally of one interval.
type Bucket struct {
	Start   int64 `json:"start"`   // Unix time, seconds
	Seconds int64 `json:"seconds"` // width
	Tally
}

// Tally counts outcomes.
type Tally struct {
	OK       uint64 `json:"ok,omitempty"`       // answered
	Slow     uint64 `json:"slow,omitempty"`     // part of OK: later than the latency target
	Failed   uint64 `json:"failed,omitempty"`   // failures of the service
	Stale    uint64 `json:"stale,omitempty"`    // refused as too stale
	OverRate uint64 `json:"overRate,omitempty"` // refused for exceeding the rate
}

func (t *Tally) add(u Tally) {
	t.OK += u.OK
	t.Slow += u.Slow
	t.Failed += u.Failed
	t.Stale += u.Stale
	t.OverRate += u.OverRate
}

// events returns the numbers of good and bad events of a promise.
func (t Tally) events(p Promise) (good, bad uint64) {
	switch p {
	case Latency:
		return t.OK - min(t.Slow, t.OK), t.Slow
	case Freshness:
		return t.OK + t.Failed, t.Stale
	case Admission:
		return t.OK + t.Failed + t.Stale, t.OverRate
	default:
		return t.OK, t.Failed + t.Stale
	}
}

// HostCoverage holds the intervals for which one host counted, over all its boots.
type HostCoverage struct {
	Address string     `json:"address"`
	Boots   int        `json:"boots"`
	Covered []Interval `json:"covered"` // in order, without overlap
}

// Merged is the combined counts of several hosts.
type Merged struct {
	Hosts     []HostCoverage
	Customers map[string][]Bucket
}

// boot identifies one boot of a host.
type boot struct{ address, id string }

// Merge adds up the counts of several hosts. Of several Counts of one boot of a
// host, it uses the one whose coverage ends last.
func Merge(all []Counts) Merged {
	latest := map[boot]Counts{}
	for _, c := range all {
		b := boot{c.Address, c.BootID}
		if old, ok := latest[b]; !ok || old.end().Before(c.end()) {
			latest[b] = c
		}
	}
	m := Merged{Customers: map[string][]Bucket{}}
	coverages := map[string]*HostCoverage{}
	for _, c := range latest {
		m.addBuckets(c)
		coverage := coverages[c.Address]
		if coverage == nil {
			coverage = &HostCoverage{Address: c.Address}
			coverages[c.Address] = coverage
		}
		coverage.Boots++
		coverage.Covered = append(coverage.Covered, c.Covered...)
	}
	m.finish(coverages)
	return m
}

func (c Counts) end() time.Time {
	var end time.Time
	for _, iv := range c.Covered {
		if iv.To.After(end) {
			end = iv.To
		}
	}
	return end
}

func (m *Merged) addBuckets(c Counts) {
	for customer, buckets := range c.Customers {
		m.Customers[customer] = append(m.Customers[customer], buckets...)
	}
}

func (m *Merged) finish(coverages map[string]*HostCoverage) {
	for customer, buckets := range m.Customers {
		m.Customers[customer] = mergeBuckets(buckets)
	}
	for _, address := range slices.Sorted(maps.Keys(coverages)) {
		coverage := coverages[address]
		coverage.Covered = union(coverage.Covered)
		m.Hosts = append(m.Hosts, *coverage)
	}
}

// union returns the intervals in order, with overlapping ones merged.
func union(ivs []Interval) []Interval {
	slices.SortFunc(ivs, func(a, b Interval) int {
		return cmp.Or(a.From.Compare(b.From), a.To.Compare(b.To))
	})
	var out []Interval
	for _, iv := range ivs {
		n := len(out)
		if n == 0 || iv.From.After(out[n-1].To) {
			out = append(out, iv)
			continue
		}
		if iv.To.After(out[n-1].To) {
			out[n-1].To = iv.To
		}
	}
	return out
}

// gaps returns the intervals of window that ivs, sorted and without overlap, do
// not cover. Gaps shorter than Resolution are left out.
func gaps(ivs []Interval, window Interval) []Interval {
	var out []Interval
	coveredTo := window.From
	for _, iv := range ivs {
		if iv.From.Sub(coveredTo) >= Resolution {
			out = append(out, Interval{From: coveredTo, To: earlier(iv.From, window.To)})
		}
		if iv.To.After(coveredTo) {
			coveredTo = iv.To
		}
	}
	if window.To.Sub(coveredTo) >= Resolution {
		out = append(out, Interval{From: coveredTo, To: window.To})
	}
	return out
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
