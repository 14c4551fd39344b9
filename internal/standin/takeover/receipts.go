package main

import (
	"slices"
	"time"
)

// receipts are the entries that a replica has confirmed to the primary, by number.
type receipts struct {
	UpTo int   // all up to this one
	Each []int // and each of these
}

func (r receipts) has(number int) bool { return number <= r.UpTo || slices.Contains(r.Each, number) }

// recent is the number of its last entries that a replica whose log may have gaps names.
const recent = 500

// add adds what a replica has confirmed meanwhile.
func (r receipts) add(more receipts) receipts {
	r.UpTo = max(r.UpTo, more.UpTo)
	r.Each = append(r.Each, more.Each...)
	r.Each = r.Each[max(0, len(r.Each)-recent):]
	return r
}

// received returns the receipts for all that the database holds. mu is held.
func (d *database) received() receipts {
	if !d.Gaps {
		return receipts{UpTo: d.numberAt(len(d.log))}
	}
	return receipts{Each: numbersOf(d.log[max(0, len(d.log)-recent):])}
}

func numbersOf(log []entry) []int {
	out := make([]int, len(log))
	for i, e := range log {
		out[i] = e.Number
	}
	return out
}

// isConfirmed reports whether a replica has confirmed an entry. mu is held.
func (d *database) isConfirmed(number int) bool {
	for _, r := range d.confirmed {
		if r.has(number) {
			return true
		}
	}
	return false
}

// gapAfter is the time that a replica may have received nothing without a gap in its log,
// if logs may have gaps.
const gapAfter = 500 * time.Millisecond

// sendFrom returns the index of the first entry that a replica is sent which has all up to
// a number, or the newest of these. One that has missed what is too old goes on from the
// present entry, and from the first that still waits for its confirmation. mu is held.
func (d *database) sendFrom(after int) int {
	next := d.indexBehind(after)
	if !d.Gaps || next == len(d.log) || time.Since(d.log[next].At) < gapAfter {
		return next
	}
	present := len(d.log) - 1
	for i := present; i >= next && d.log[i].Term == d.term; i-- {
		if !d.isConfirmed(d.log[i].Number) {
			present = i
		}
	}
	return present
}

// indexBehind returns the index of the first entry with a number above another. mu is held.
func (d *database) indexBehind(number int) int {
	i, _ := slices.BinarySearchFunc(d.log, number+1, func(e entry, n int) int { return e.Number - n })
	return i
}
