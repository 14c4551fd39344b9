package matrix

import (
	"fmt"
	"sort"
	"time"

	"github.com/bronzeloft/bronzeloft/position"
)

// ackedWrite is a write that a caller was told is saved.
type ackedWrite struct {
	write int
	pos   position.Position
	at    time.Time
}

// oracle holds what callers were told, and finds answers that break a promise.
type oracle struct {
	w         *World
	writes    int
	acked     []ackedWrite // by time
	seen      []entry      // longest log that a fresh read showed
	primaries map[uint64]string
	counts    Counts
	violation string // the first one
	lastWrite time.Time
	lastRead  time.Time

	freshTimes []time.Duration // of fresh reads, asked to answered
	agedTimes  []time.Duration
}

// Counts are the outcomes of a run.
type Counts struct {
	Acked         int `json:"acked"`
	UnknownWrites int `json:"unknownWrites"`
	RefusedWrites int `json:"refusedWrites"` // certain not to have run
	FreshReads    int `json:"freshReads"`
	FreshReplica  int `json:"freshReplica"` // of them served by a replica
	AgedReads     int `json:"agedReads"`
	AgedReplica   int `json:"agedReplica"`
	RefusedReads  int `json:"refusedReads"`
	Claims        int `json:"claims"`     // claims begun by any host
	Promotions    int `json:"promotions"` // databases made primary
}

func newOracle(w *World) *oracle {
	return &oracle{w: w, primaries: make(map[uint64]string)}
}

func (o *oracle) fail(format string, args ...any) {
	if o.violation != "" {
		return
	}
	o.violation = fmt.Sprintf("at %s: ", o.w.Elapsed()) + fmt.Sprintf(format, args...)
	o.w.logf("VIOLATION %s", o.violation)
}

func (o *oracle) newWrite() int {
	o.writes++
	return o.writes
}

func (o *oracle) ack(write int, pos position.Position) ackedWrite {
	a := ackedWrite{write, pos, o.w.now}
	o.counts.Acked++
	o.lastWrite = o.w.now
	o.acked = append(o.acked, a)
	return a
}

func (o *oracle) refuseRead() { o.counts.RefusedReads++ }

func (o *oracle) promoted(term uint64, id string) {
	o.counts.Promotions++
	if old, ok := o.primaries[term]; ok && old != id {
		o.fail("term %d has two primaries, %s and %s", term, old, id)
	}
	o.primaries[term] = id
}

// moment is what callers had been told when a read began.
type moment struct {
	at    time.Time
	acked int
	seen  []entry
}

func (o *oracle) moment() moment {
	return moment{at: o.w.now, acked: len(o.acked), seen: o.seen}
}

func shows(log []entry, a ackedWrite) bool {
	i := int(a.pos.Index)
	return i >= 1 && i <= len(log) && log[i-1] == entry{a.pos.Term, a.write}
}

// fresh checks a fresh read that began at m and showed log.
func (o *oracle) fresh(m moment, log []entry, replica bool) {
	o.counts.FreshReads++
	o.freshTimes = append(o.freshTimes, o.w.now.Sub(m.at))
	o.lastRead = o.w.now
	if replica {
		o.counts.FreshReplica++
	}
	o.mustShow(o.acked[:m.acked], log, "fresh read")
	if commonPrefix(log, m.seen) != len(m.seen) {
		o.fail("fresh read lacks what an earlier one showed: %d entries, then %d", len(m.seen), len(log))
	}
	if len(log) > len(o.seen) {
		o.seen = log
	}
}

// aged checks a read of accepted age, of a session with writes of its own.
func (o *oracle) aged(m moment, age time.Duration, own []ackedWrite, log []entry, replica bool) {
	o.counts.AgedReads++
	o.agedTimes = append(o.agedTimes, o.w.now.Sub(m.at))
	if replica {
		o.counts.AgedReplica++
	}
	from := m.at.Add(-age)
	n := sort.Search(len(o.acked), func(i int) bool { return !o.acked[i].at.Before(from) })
	o.mustShow(o.acked[:n], log, "aged read")
	o.mustShow(own, log, "read of a session's own writes")
}

func (o *oracle) mustShow(writes []ackedWrite, log []entry, what string) {
	for _, a := range writes {
		if !shows(log, a) {
			o.fail("%s lacks write %d acknowledged at %s (%s before)", what, a.write, a.pos, o.w.now.Sub(a.at))
			return
		}
	}
}
