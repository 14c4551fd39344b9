package takeovermodel

import (
	"fmt"
	"hash/maphash"
	"runtime"
	"slices"
	"strings"
	"sync"
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

// maxWorkers bounds the processors that an exploration uses.
const maxWorkers = 3

// shards is the number of parts of the set of visited states. Each is changed by one worker.
const shards = 16

// batch is how many states a worker expands at a time.
const batch = 256

// found is a state, and how it was reached.
type found struct {
	hash   uint64
	parent parent
	state  State
}

// exploration is the state of Explore. Visited states are known by a hash of 64 bits.
type exploration struct {
	m    Model
	seed maphash.Seed
	seen [shards]visited
}

// Explore visits the states of a model breadth first, at most about limit, until it finds
// one in which a commit is lost.
func (m Model) Explore(limit int) Result {
	e := exploration{m: m, seed: maphash.MakeSeed()}
	first := found{state: m.Initial()}
	first.hash = e.hash(first.state)
	e.seen[first.hash%shards].add(first.hash, parent{})
	frontier := []*found{&first}
	r := Result{Complete: true, States: 1}
	for len(frontier) > 0 {
		frontier = e.insert(e.expand(frontier))
		r.States += len(frontier)
		for _, f := range frontier {
			if _, lost := f.state.Lost(); lost {
				r.Trace = e.trace(first.hash, f.hash)
				return r
			}
		}
		if r.States >= limit {
			r.Complete = false
			return r
		}
		r.Depth++
	}
	return r
}

// hash returns the hash of a state, which is not 0.
func (e *exploration) hash(s State) uint64 { return max(1, maphash.Comparable(e.seed, s)) }

// inParallel calls do for the numbers below n, on several processors.
func inParallel(n int, do func(int)) {
	workers := min(n, maxWorkers, runtime.GOMAXPROCS(0))
	numbers := make(chan int, n)
	for i := range n {
		numbers <- i
	}
	close(numbers)
	var all sync.WaitGroup
	for range workers {
		all.Go(func() {
			for i := range numbers {
				do(i)
			}
		})
	}
	all.Wait()
}

// expansion is what follows a batch of states: the states, and pointers to them by shard.
type expansion struct {
	states []found
	shards [shards][]int32
}

// expand returns the states that follow those of a frontier and were not visited before,
// by batch. It changes nothing, so that workers need no locks.
func (e *exploration) expand(frontier []*found) []expansion {
	batches := slices.Collect(slices.Chunk(frontier, batch))
	next := make([]expansion, len(batches))
	inParallel(len(batches), func(i int) {
		var own visited
		x := &next[i]
		x.states = make([]found, 0, 2*len(batches[i]))
		for _, f := range batches[i] {
			e.m.Next(f.state, func(a Action, to State) {
				h := e.hash(to)
				if e.seen[h%shards].has(h) || !own.add(h, parent{}) {
					return
				}
				x.shards[h%shards] = append(x.shards[h%shards], int32(len(x.states)))
				x.states = append(x.states, found{h, parent{f.hash, a}, to})
			})
		}
	})
	return next
}

// insert records states as visited and returns those that were not before.
func (e *exploration) insert(next []expansion) []*found {
	var fresh [shards][]*found
	inParallel(shards, func(i int) {
		for b := range next {
			for _, n := range next[b].shards[i] {
				if f := &next[b].states[n]; e.seen[i].add(f.hash, f.parent) {
					fresh[i] = append(fresh[i], f)
				}
			}
		}
	})
	return slices.Concat(fresh[:]...)
}

// trace replays the path to a state.
func (e *exploration) trace(first, last uint64) []Line {
	var path []parent
	hashes := []uint64{last}
	for h := last; h != first; {
		p := e.seen[h%shards].parent(h)
		path, hashes = append(path, p), append(hashes, p.hash)
		h = p.hash
	}
	s := e.m.Initial()
	var lines []Line
	for i := len(path) - 1; i >= 0; i-- {
		var line Line
		e.m.Next(s, func(a Action, to State) {
			if a == path[i].action && e.hash(to) == hashes[i] {
				line = Line{a, to}
			}
		})
		lines = append(lines, line)
		s = line.State
	}
	return lines
}
