// Package choice chooses the database for a read by the expected time to its answer,
// as this host's own statements show it.
package choice

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Reason is why a read goes to the database that was chosen.
type Reason string

// The reasons.
const (
	Preferred Reason = "preferred"     // the customer's database in the data centre of this host
	Better    Reason = "better"        // another one of this data centre that answers earlier
	Left      Reason = "left_for_wait" // one in another data centre that answers earlier
	LeftOut   Reason = "left_out_slow" // the customer's database is slow or fails
	Probe     Reason = "probe"         // a database with a share below 1 is tested
	NoneNear  Reason = "none_near"     // no database of this data centre can be used
	NoneGood  Reason = "none_usable"   // no database can be used: the order of the readers applies
)

// Candidate is a database that may serve a read.
type Candidate struct {
	ID         string
	DataCentre string
	Primary    bool
	Usable     bool // it answers, and has not refused a moment ago
	Slots      int  // statements that this host may send at once
	Busy       int  // statements of this host that hold a slot or wait for one
}

// Read is a read for which a database is to be chosen.
type Read struct {
	Customer string
	Urgent   bool    // it may leave the data centre for a smaller gain
	Draw     float64 // random, from 0 to below 1; selects the reads that probe
}

// Choice is the outcome of one decision, with its inputs.
type Choice struct {
	Order  []string // all candidates, best first
	Reason Reason
	Here   time.Duration // expected time at the customer's database of this data centre; 0 if there is none
	There  time.Duration // expected time at the best database with a free slot elsewhere; 0 if there is none
	Share  float64       // of the reads that may leave the data centre
}

// Rules of the choice.
const (
	// betterBy and betterByAtLeast are the margin by which another database must be
	// better than that of the customer, whose connections are there.
	betterBy        = 0.25
	betterByAtLeast = 5 * time.Millisecond
	// primaryShare is the part of a host's slots on the primary beyond which no further
	// read starts there, and primaryExtra what a read there counts more: only the
	// primary serves writes.
	primaryShare = 0.5
	primaryExtra = 10 * time.Millisecond
	// classPrior is the number of answers, at the mean of all reads, with which the mean
	// of a class begins.
	classPrior = 2.0
	// defaultService is the service time of databases before the first answer.
	defaultService = 10 * time.Millisecond
)

// Table holds the estimates of one service's databases on one host. It is not safe
// for concurrent use.
type Table struct {
	dataCentre string // of this host
	databases  map[string]*estimate
	distances  map[string]*distance // by data centre
	service    mean                 // time of answers beyond their distance, of all databases
	bytes      mean                 // of answers
	raw        mean                 // the same, before Comparable
	classes    map[string]*mean     // the same by class of read
	steppedAt  time.Time
	leaving    leaving
	changes    []ShareChange // since the last Changes
}

// New returns an empty table of a host in the given data centre.
func New(dataCentre string) *Table {
	return &Table{
		dataCentre: dataCentre,
		databases:  map[string]*estimate{},
		distances:  map[string]*distance{},
		service:    mean{half: usualHalfLife},
		raw:        mean{half: usualHalfLife},
		classes:    map[string]*mean{},
		bytes:      mean{half: halfLife},
		leaving:    newLeaving(),
	}
}

// Comparable returns what a read of a class that was answered within took would have
// taken if its class took as long as the mean of all: a database is not slow because a
// customer's long reads go to it.
func (t *Table) Comparable(class, dataCentre string, took time.Duration, now time.Time) time.Duration {
	far := t.distance(dataCentre)
	near := float64(max(0, took-far))
	m := t.classes[class]
	if m == nil {
		m = &mean{half: usualHalfLife}
		t.classes[class] = m
	}
	all := t.raw.value(near, 1, now)
	usual := m.value(all, classPrior, now)
	m.add(near, now)
	t.raw.add(near, now)
	if usual <= 0 {
		return took
	}
	return min(took, far) + time.Duration(near*all/usual)
}

// Retain forgets all databases but the given ones.
func (t *Table) Retain(ids []string) {
	maps.DeleteFunc(t.databases, func(id string, _ *estimate) bool { return !slices.Contains(ids, id) })
}

func (t *Table) database(id, dataCentre string) *estimate {
	e := t.databases[id]
	if e == nil {
		e = newEstimate(dataCentre)
		t.databases[id] = e
	}
	return e
}

// RecordAnswer records a statement that succeeded within took and returned bytes.
func (t *Table) RecordAnswer(id, dataCentre string, took time.Duration, bytes int, now time.Time) {
	e := t.database(id, dataCentre)
	e.response.add(float64(took), now)
	e.failed.add(0, now)
	e.behind.add(0, now)
	e.answers++
	t.bytes.add(float64(bytes), now)
	t.RecordRoundTrip(dataCentre, took, now)
	t.service.add(float64(took-t.distance(dataCentre)), now)
}

// RecordAbandoned records a statement that was given up after took because another
// attempt was answered: its answer would have taken longer.
func (t *Table) RecordAbandoned(id, dataCentre string, took time.Duration, now time.Time) {
	e := t.database(id, dataCentre)
	if float64(took) > e.response.value(0, 0, now) {
		e.response.add(float64(took), now)
	}
}

// RecordFailure records a statement that was refused, failed or got no answer within
// took.
func (t *Table) RecordFailure(id, dataCentre string, took time.Duration, now time.Time) {
	e := t.database(id, dataCentre)
	e.failed.add(1, now)
	e.lost.add(float64(took), now)
}

// RecordBehind records a statement that a replica refused after took because its log
// lags.
func (t *Table) RecordBehind(id, dataCentre string, took time.Duration, now time.Time) {
	e := t.database(id, dataCentre)
	e.behind.add(1, now)
	e.lost.add(float64(took), now)
}

// option is a candidate with its expected times.
type option struct {
	Candidate
	estimate *estimate
	service  time.Duration // expected time to an answer without waiting here
	expected time.Duration // with waiting here
	u        float64       // fraction from the hash of customer and database; compared with the share
}

// in reports whether the customer may use the database.
func (o *option) in() bool { return o.u < o.estimate.share }

// free reports whether a read would get a slot at once.
func (o *option) free() bool { return o.Busy < o.slots() }

// mayReceive reports whether a read may leave its data centre for the database. A
// primary is kept for writes and for the reads of its own data centre.
func (o *option) mayReceive() bool { return !o.Primary && o.free() }

// slots returns the number of this host's slots that reads use.
func (o *option) slots() int {
	if o.Primary {
		return 1 + int(primaryShare*float64(o.Slots))
	}
	return max(1, o.Slots)
}

// Choose orders the candidates for a read. They are given in the order that applies
// among those that are not usable, which come last.
func (t *Table) Choose(read Read, candidates []Candidate, now time.Time) Choice {
	options := t.options(read, candidates, now)
	usable := slices.DeleteFunc(slices.Clone(options), func(o *option) bool { return !o.Usable })
	t.step(usable, now)
	c := Choice{Reason: NoneGood}
	var chosen *option
	if len(usable) > 0 {
		chosen, c = t.choose(read, usable)
	}
	c.Share = t.leaving.share
	c.Order = order(chosen, options)
	return c
}

func (t *Table) choose(read Read, usable []*option) (*option, Choice) {
	if o := probed(read, usable); o != nil {
		return o, Choice{Reason: Probe}
	}
	near, far := split(usable, t.dataCentre)
	if len(near) == 0 {
		return preferred(far), Choice{Reason: NoneNear}
	}
	first := near[0]
	here := preferred(near)
	c := Choice{Reason: Preferred, Here: here.expected}
	if here != first {
		c.Reason = Better
	}
	far = keep(far, (*option).in)
	if there := preferred(far); there != nil && !here.in() && there.expected < here.expected {
		c.Reason, c.There = LeftOut, there.expected
		return there, c
	}
	if there := preferred(keep(far, (*option).mayReceive)); there != nil {
		c.There = there.expected
		gain := here.expected - there.expected - t.price() - margin(read.Urgent)
		if here.free() {
			gain -= here.expected / 2
		}
		if t.leaving.leaves(gain) {
			c.Reason = Left
			return there, c
		}
	}
	return here, c
}

// options evaluates the candidates.
func (t *Table) options(read Read, candidates []Candidate, now time.Time) []*option {
	prior := time.Duration(t.service.value(float64(defaultService), 1, now))
	out := make([]*option, len(candidates))
	for i, c := range candidates {
		e := t.database(c.ID, c.DataCentre)
		o := &option{Candidate: c, estimate: e, u: fraction(read.Customer, c.ID)}
		far := t.distance(c.DataCentre)
		once := time.Duration(e.response.value(float64(prior+far), priorWeight, now))
		var wait time.Duration
		if ahead := c.Busy + 1 - o.slots(); ahead > 0 {
			wait = time.Duration(float64(once) * float64(ahead) / float64(o.slots()))
		}
		if c.Primary {
			wait += primaryExtra
		}
		o.service = e.withFailures(once, 0, now)
		o.expected = wait + e.withFailures(once, wait, now)
		out[i] = o
	}
	return out
}

// split divides options into those of a data centre and the others, each in the order
// of the customer's preference, replicas first.
func split(options []*option, dataCentre string) (near, far []*option) {
	sorted := slices.SortedFunc(slices.Values(options), func(a, b *option) int {
		if a.Primary != b.Primary {
			if b.Primary {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.u, b.u)
	})
	for _, o := range sorted {
		if o.DataCentre == dataCentre {
			near = append(near, o)
		} else {
			far = append(far, o)
		}
	}
	return near, far
}

// preferred returns the first option whose share holds the customer, or another one
// that is better by the margin. If the shares keep the customer off all, they don't
// count. It returns nil for no options.
func preferred(options []*option) *option {
	if len(options) == 0 {
		return nil
	}
	in := keep(options, (*option).in)
	if len(in) == 0 {
		in = options
	}
	best := in[0]
	for _, o := range in[1:] {
		if o.expected+max(betterByAtLeast, time.Duration(betterBy*float64(o.expected))) < best.expected {
			best = o
		}
	}
	return best
}

// keep returns the options for which condition holds.
func keep(options []*option, condition func(*option) bool) []*option {
	return slices.DeleteFunc(slices.Clone(options), func(o *option) bool { return !condition(o) })
}

// order returns the ids of the options: the chosen one, the other usable ones by their
// expected time, then the rest in their order.
func order(chosen *option, options []*option) []string {
	rank := func(o *option) int {
		switch {
		case o == chosen:
			return 0
		case o.Usable:
			return 1
		}
		return 2
	}
	sorted := slices.SortedStableFunc(slices.Values(options), func(a, b *option) int {
		if c := cmp.Compare(rank(a), rank(b)); c != 0 || !a.Usable {
			return c
		}
		return cmp.Compare(a.expected, b.expected)
	})
	ids := make([]string, len(sorted))
	for i, o := range sorted {
		ids[i] = o.ID
	}
	return ids
}

// fraction returns a number from 0 to below 1 that orders databases differently for
// each customer.
func fraction(customer, id string) float64 {
	return float64(xxhash.Sum64String(customer+"\x00"+id)) / math.Exp2(64)
}
