package report

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Counts is what one host counted since it booted, as it travels between hosts.
type Counts struct {
	Address   string              `json:"address"` // of the host's peer listener
	BootID    string              `json:"bootId"`
	Covered   []Interval          `json:"covered"` // when it counted
	Customers map[string][]Bucket `json:"customers"`
}

// Interval is a span of time.
type Interval struct {
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
}

// Bucket is what was counted in one span of time.
type Bucket struct {
	Start   int64 `json:"start"`   // Unix time, seconds
	Seconds int64 `json:"seconds"` // width
	Tally
}

// Tally counts outcomes.
type Tally struct {
	OK       uint64 `json:"ok,omitempty"`       // answered
	Slow     uint64 `json:"slow,omitempty"`     // of OK, later than the target
	Failed   uint64 `json:"failed,omitempty"`   // errors of the service
	Stale    uint64 `json:"stale,omitempty"`    // refused as too stale
	OverRate uint64 `json:"overRate,omitempty"` // refused for rate
}

func (t *Tally) add(u Tally) {
	t.OK += u.OK
	t.Slow += u.Slow
	t.Failed += u.Failed
	t.Stale += u.Stale
	t.OverRate += u.OverRate
}

// of returns the good and the bad events of a promise.
func (t Tally) of(p Promise) (good, bad uint64) {
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

// HostCover says when one host counted, over all its boots.
type HostCover struct {
	Address string     `json:"address"`
	Boots   int        `json:"boots"`
	Covered []Interval `json:"covered"` // in order, without overlap
}

// Merged is the counts of several hosts together.
type Merged struct {
	Hosts     []HostCover
	Customers map[string][]Bucket
}

// boot identifies one life of a host.
type boot struct{ address, id string }

// Merge adds up the counts of several hosts. Of two counts of one boot of a
// host, the one that reaches further counts.
func Merge(all []Counts) Merged {
	latest := map[boot]Counts{}
	for _, c := range all {
		b := boot{c.Address, c.BootID}
		if old, ok := latest[b]; !ok || old.end().Before(c.end()) {
			latest[b] = c
		}
	}
	m := Merged{Customers: map[string][]Bucket{}}
	covers := map[string]*HostCover{}
	for _, c := range latest {
		m.addBuckets(c)
		cover := covers[c.Address]
		if cover == nil {
			cover = &HostCover{Address: c.Address}
			covers[c.Address] = cover
		}
		cover.Boots++
		cover.Covered = append(cover.Covered, c.Covered...)
	}
	m.finish(covers)
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

func (m *Merged) finish(covers map[string]*HostCover) {
	for customer, buckets := range m.Customers {
		m.Customers[customer] = joined(buckets)
	}
	for _, address := range slices.Sorted(maps.Keys(covers)) {
		cover := covers[address]
		cover.Covered = union(cover.Covered)
		m.Hosts = append(m.Hosts, *cover)
	}
}

// union returns intervals in order with the overlapping ones joined.
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

// gaps returns the parts of window that ivs, in order and without overlap, do
// not cover. Gaps shorter than Resolution are left out.
func gaps(ivs []Interval, window Interval) []Interval {
	var out []Interval
	at := window.From
	for _, iv := range ivs {
		if iv.From.Sub(at) >= Resolution {
			out = append(out, Interval{From: at, To: earlier(iv.From, window.To)})
		}
		if iv.To.After(at) {
			at = iv.To
		}
	}
	if window.To.Sub(at) >= Resolution {
		out = append(out, Interval{From: at, To: window.To})
	}
	return out
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
