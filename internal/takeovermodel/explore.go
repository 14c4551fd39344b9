package takeovermodel

import (
	"fmt"
	"hash/maphash"
	"slices"
	"strings"
)

// Result is the outcome of an exploration.
type Result struct {
	States   int  // distinct states
	Depth    int  // steps of the longest path explored
	Complete bool // every state within the bounds was visited
	Trace    []Line
}

// Line is one step of a trace.
type Line struct {
	Action Action
	State  State
}

// Lost reports whether the exploration found a lost commit; Trace is a shortest path to it.
func (r Result) Lost() bool { return r.Trace != nil }

// String returns the trace, one step a line.
func (r Result) String() string {
	var b strings.Builder
	for i, l := range r.Trace {
		fmt.Fprintf(&b, "%2d %-60s %s\n", i+1, l.Action, l.State)
	}
	return b.String()
}

// parent is how a state was reached first.
type parent struct {
	hash   uint64
	action Action
}

// Explore visits the states of a model breadth first, at most limit, until it finds one
// in which a commit is lost. Visited states are known by a hash of 64 bits.
func (m Model) Explore(limit int) Result {
	seed := maphash.MakeSeed()
	first := m.Initial()
	firstHash := maphash.Comparable(seed, first)
	seen := map[uint64]parent{firstHash: {}}
	frontier := []State{first}
	r := Result{Complete: true}
	for len(frontier) > 0 {
		var next []State
		for _, s := range frontier {
			from := maphash.Comparable(seed, s)
			m.Next(s, func(a Action, to State) {
				h := maphash.Comparable(seed, to)
				if _, ok := seen[h]; ok || r.Trace != nil {
					return
				}
				if len(seen) >= limit {
					r.Complete = false
					return
				}
				seen[h] = parent{from, a}
				if _, lost := to.Lost(); lost {
					r.Trace = m.trace(seed, seen, firstHash, h)
					return
				}
				next = append(next, to)
			})
			if r.Trace != nil || !r.Complete {
				r.States = len(seen)
				return r
			}
		}
		frontier = next
		r.Depth++
	}
	r.States = len(seen)
	return r
}

// trace replays the path to a state.
func (m Model) trace(seed maphash.Seed, seen map[uint64]parent, first, last uint64) []Line {
	var hashes []uint64
	for h := last; h != first; h = seen[h].hash {
		hashes = append(hashes, h)
	}
	slices.Reverse(hashes)
	s := m.Initial()
	var lines []Line
	for _, h := range hashes {
		var line Line
		m.Next(s, func(a Action, to State) {
			if a == seen[h].action && maphash.Comparable(seed, to) == h {
				line = Line{a, to}
			}
		})
		lines = append(lines, line)
		s = line.State
	}
	return lines
}
