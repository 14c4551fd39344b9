package main

import (
	"fmt"
	"math"
	"sort"
	"strconv"
	"strings"
)

// Numbers of entries.
const (
	firstNumber = 1000 // precedes the first one, unless numbers jump
	termNumbers = 1000 // that a term has at least, if they jump
)

// nextNumber returns the number of the next entry of the log. mu is held.
func (d *database) nextNumber() int {
	last := d.numberAt(len(d.log))
	if d.JumpingNumbers && d.termAt(len(d.log)) < d.term {
		last = max((d.term-firstTerm)*termNumbers, (last/termNumbers+1)*termNumbers)
	}
	return last + 1
}

// numberAt returns the number of the last of the first n entries. mu is held.
func (d *database) numberAt(n int) int {
	switch {
	case n > 0:
		return d.log[n-1].Number
	case d.JumpingNumbers:
		return 0
	}
	return firstNumber
}

// termAt returns the term of the last of the first n entries. mu is held.
func (d *database) termAt(n int) int {
	if n == 0 {
		return firstTerm
	}
	return d.log[n-1].Term
}

// position returns the position that is named for the first n entries. mu is held.
func (d *database) position(n int) string {
	term := d.term
	if d.EntryTerm {
		term = d.termAt(n)
	}
	return fmt.Sprintf("%d.%d", term, d.numberAt(n))
}

// lastEntry returns the position of the last entry in the form of the record. mu is held.
func (d *database) lastEntry() string {
	return entry{Term: d.termAt(len(d.log)), Number: d.numberAt(len(d.log))}.place()
}

// place returns the position of an entry in the form of the record.
func (e entry) place() string { return fmt.Sprintf("%d/%d", e.Term, e.Number) }

// parsePosition returns the number that the log has to reach to cover a position, or one
// beyond every log for a newer term. A log covers all of an older term: what it lacks of it
// was rolled back. mu is held.
func (d *database) parsePosition(text string) int {
	term, number, _ := strings.Cut(text, ".")
	t, err1 := strconv.Atoi(term)
	n, err2 := strconv.Atoi(number)
	switch {
	case err1 != nil || err2 != nil || t > d.term:
		return math.MaxInt
	case t < d.term:
		kept := sort.Search(len(d.log), func(i int) bool { return d.log[i].Term > t })
		return min(n, d.numberAt(kept))
	}
	return n
}

// isBehind reports whether what is applied does not cover a position, if one is given. mu
// is held.
func (d *database) isBehind(after string) bool {
	return after != "" && d.parsePosition(after) > d.numberAt(d.applied)
}
