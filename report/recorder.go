package report

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/bronzeloft/bronzeloft/contract"
)

// Limits of a Recorder.
const (
	Resolution   = time.Minute      // width of a recent bucket
	Retention    = 6 * time.Hour    // age up to which outcomes are kept
	MaxCustomers = 2048             // customers counted separately; the rest are counted as Other
	Other        = "(other)"        // name for the customers beyond MaxCustomers
	coarseAfter  = time.Hour        // age beyond which Counts merges buckets
	coarse       = 10 * time.Minute // width of a merged bucket

	slots = int(Retention / Resolution)
)

// Recorder counts outcomes per customer over the last Retention. It holds at
// most MaxCustomers customers and Other, of 12 KB each. It is safe for concurrent
// use.
type Recorder struct {
	address string
	bootID  string
	start   time.Time

	mu        sync.Mutex // guards the fields below
	targets   map[string]time.Duration
	customers map[string]*ring
}

// ring holds the buckets of one customer, indexed by minute modulo its length.
type ring [slots]minute

// minute is one bucket of a ring.
type minute struct {
	number int64 // minutes since the epoch; 0 for an unused bucket
	tally  tally32
}

// tally32 is a Tally with 32-bit counters, which suffice for one minute.
type tally32 struct{ ok, slow, failed, stale, overRate uint32 }

// NewRecorder returns an empty recorder for the host at address with boot id
// bootID, which counts from start on.
func NewRecorder(address, bootID string, start time.Time) *Recorder {
	return &Recorder{
		address:   address,
		bootID:    bootID,
		start:     start,
		targets:   map[string]time.Duration{},
		customers: map[string]*ring{},
	}
}

// Apply sets the latency targets from a snapshot. An outcome is compared with the
// target in force when it is recorded.
func (r *Recorder) Apply(s *contract.Snapshot) {
	targets := make(map[string]time.Duration, len(s.Customers))
	for i := range s.Customers {
		targets[s.Customers[i].ID] = s.Customers[i].Objective.Latency
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.targets = targets
}

// Record counts one request that ended at now and took latency. Errors of the
// caller are not counted. An outcome is dropped if its bucket has been reused for a
// minute at least Retention later.
func (r *Recorder) Record(now time.Time, customer string, o Outcome, latency time.Duration) {
	c := o.class()
	if c == classIgnored {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	target := r.targets[customer]
	t := r.bucket(now, customer)
	if t != nil {
		t.add(c, target > 0 && latency > target)
	}
}

// bucket returns the tally for now, nil if its bucket has been reused for a later
// minute. The caller holds mu.
func (r *Recorder) bucket(now time.Time, customer string) *tally32 {
	rg := r.customers[customer]
	if rg == nil {
		if len(r.customers) >= MaxCustomers {
			customer = Other
		}
		rg = r.customers[customer]
	}
	if rg == nil {
		rg = &ring{}
		r.customers[customer] = rg
	}
	number := now.Unix() / int64(Resolution/time.Second)
	m := &rg[number%int64(slots)]
	switch {
	case m.number > number:
		return nil
	case m.number < number:
		*m = minute{number: number}
	}
	return &m.tally
}

func (t *tally32) add(c class, slow bool) {
	switch c {
	case classOK:
		t.ok++
		if slow {
			t.slow++
		}
	case classFailed:
		t.failed++
	case classStale:
		t.stale++
	case classOverRate:
		t.overRate++
	}
}

// Counts returns what was counted up to now.
func (r *Recorder) Counts(now time.Time) Counts {
	from := now.Add(-Retention)
	if r.start.After(from) {
		from = r.start
	}
	c := Counts{
		Address:   r.address,
		BootID:    r.bootID,
		Covered:   []Interval{{From: from.UTC(), To: now.UTC()}},
		Customers: map[string][]Bucket{},
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for customer, rg := range r.customers {
		if buckets := rg.buckets(now); len(buckets) > 0 {
			c.Customers[customer] = buckets
		}
	}
	return c
}

// buckets returns the used buckets of the last Retention in order of time, with
// those older than coarseAfter merged.
func (rg *ring) buckets(now time.Time) []Bucket {
	var out []Bucket
	for i := range rg {
		m := &rg[i]
		start := m.number * int64(Resolution/time.Second)
		age := now.Unix() - start
		if m.number == 0 || age < 0 || age >= int64(Retention/time.Second) {
			continue
		}
		width := int64(Resolution / time.Second)
		if age > int64(coarseAfter/time.Second) {
			width = int64(coarse / time.Second)
			start -= start % width
		}
		out = append(out, Bucket{Start: start, Seconds: width, Tally: m.tally.toTally()})
	}
	return mergeBuckets(out)
}

func (t tally32) toTally() Tally {
	return Tally{OK: uint64(t.ok), Slow: uint64(t.slow), Failed: uint64(t.failed), Stale: uint64(t.stale), OverRate: uint64(t.overRate)}
}

// mergeBuckets sorts buckets and adds up those with the same start and width. It
// overwrites its argument.
func mergeBuckets(buckets []Bucket) []Bucket {
	slices.SortFunc(buckets, func(a, b Bucket) int {
		return cmp.Or(cmp.Compare(a.Start, b.Start), cmp.Compare(a.Seconds, b.Seconds))
	})
	out := buckets[:0]
	for _, b := range buckets {
		if n := len(out); n > 0 && out[n-1].Start == b.Start && out[n-1].Seconds == b.Seconds {
			out[n-1].add(b.Tally)
			continue
		}
		out = append(out, b)
	}
	return out
}
