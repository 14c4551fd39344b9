package matrix

import (
	"fmt"
	"sort"
	"time"

	"github.com/bronzeloft/bronzeloft/position"
)

// ackedWrite is a write that was acknowledged to its caller.
type ackedWrite struct {
	write int
	pos   position.Position
	at    time.Time
}

// oracle records the answers that callers received and checks each against the
// guarantees. It also checks that no term has two primaries.
type oracle struct {
	w         *World
	writes    int               // id of the latest write
	acked     []ackedWrite      // in order of time
	seen      []entry           // longest log that a fresh read has returned
	primaries map[uint64]string // by term
	counts    Counts
	violation string    // the first one found; empty for none
	lastWrite time.Time // when the latest write was acknowledged
	lastRead  time.Time // when the latest fresh read was answered

	freshTimes []time.Duration // of fresh reads, from request to answer
	agedTimes  []time.Duration // of aged reads
}

// Counts are the numbers of outcomes and events in a run.
type Counts struct {
	Acked         int `json:"acked"`
	UnknownWrites int `json:"unknownWrites"` // sent, but neither acknowledged nor refused
	RefusedWrites int `json:"refusedWrites"` // certain not to have run
	FreshReads    int `json:"freshReads"`
	FreshReplica  int `json:"freshReplica"` // fresh reads served by a replica
	AgedReads     int `json:"agedReads"`
	AgedReplica   int `json:"agedReplica"`
	RefusedReads  int `json:"refusedReads"` // not answered before their deadline
	Claims        int `json:"claims"`       // claims started by any host
	Promotions    int `json:"promotions"`   // databases promoted to primary
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

func (o *oracle) newWriteID() int {
	o.writes++
	return o.writes
}

func (o *oracle) recordAck(write int, pos position.Position) ackedWrite {
	a := ackedWrite{write, pos, o.w.now}
	o.counts.Acked++
	o.lastWrite = o.w.now
	o.acked = append(o.acked, a)
	return a
}

func (o *oracle) countRefusedRead() { o.counts.RefusedReads++ }

func (o *oracle) recordPromotion(term uint64, id string) {
	o.counts.Promotions++
	if old, ok := o.primaries[term]; ok && old != id {
		o.fail("term %d has two primaries, %s and %s", term, old, id)
	}
	o.primaries[term] = id
}

// observedState is what callers had observed when a read began: the number of
// acknowledged writes and the longest log returned by a fresh read.
type observedState struct {
	at    time.Time
	acked int
	seen  []entry
}

func (o *oracle) observed() observedState {
	return observedState{at: o.w.now, acked: len(o.acked), seen: o.seen}
}

func containsWrite(log []entry, a ackedWrite) bool {
	i := int(a.pos.Index)
	return i >= 1 && i <= len(log) && log[i-1] == entry{a.pos.Term, a.write}
}

// checkFreshRead checks a fresh read that began in the given state and returned
// log.
func (o *oracle) checkFreshRead(state observedState, log []entry, replica bool) {
	o.counts.FreshReads++
	o.freshTimes = append(o.freshTimes, o.w.now.Sub(state.at))
	o.lastRead = o.w.now
	if replica {
		o.counts.FreshReplica++
	}
	o.requireWrites(o.acked[:state.acked], log, "fresh read")
	if commonPrefix(log, state.seen) != len(state.seen) {
		o.fail("fresh read lacks entries that an earlier fresh read returned: %d entries, then %d", len(state.seen), len(log))
	}
	if len(log) > len(o.seen) {
		o.seen = log
	}
}

// checkAgedRead checks a read that accepts data of up to the given age. log must
// contain the writes that were acknowledged more than age before the read began,
// and the session's own writes.
func (o *oracle) checkAgedRead(state observedState, age time.Duration, own []ackedWrite, log []entry, replica bool) {
	o.counts.AgedReads++
	o.agedTimes = append(o.agedTimes, o.w.now.Sub(state.at))
	if replica {
		o.counts.AgedReplica++
	}
	from := state.at.Add(-age)
	n := sort.Search(len(o.acked), func(i int) bool { return !o.acked[i].at.Before(from) })
	o.requireWrites(o.acked[:n], log, "aged read")
	o.requireWrites(own, log, "read of a session's own writes")
}

func (o *oracle) requireWrites(writes []ackedWrite, log []entry, what string) {
	for _, a := range writes {
		if !containsWrite(log, a) {
			o.fail("%s lacks write %d at position %s, acknowledged %s before", what, a.write, a.pos, o.w.now.Sub(a.at))
			return
		}
	}
}
