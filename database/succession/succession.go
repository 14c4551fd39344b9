// Package succession decides when a service's primary is replaced and by which
// database.
//
// A commit is acknowledged when the primary and one replica hold it. So the
// replica that is named must hold whatever any replica holds: first every
// replica is stopped from receiving, then each one's log end is read, and the
// longest log wins. A replica whose log end cannot be read may hold the only
// copy of an acknowledged commit. Without it, the others may only be named where
// it is no longer listed, where hosts of its data centre are heard, so that it
// is gone and not cut off together with the primary and hosts that acknowledge,
// and where a log reaches the last commit that any host has acknowledged.
package succession

import (
	"errors"
	"time"

	"github.com/bronzeloft/bronzeloft/position"
)

// ErrRefused reports an order with an outdated fence, or for a database that
// does not run.
var ErrRefused = errors.New("succession: order refused")

// Order makes a database lead a service.
type Order struct {
	Service  string
	Database string
	Holder   string // the host that acts
	Fence    uint64 // rises with each change of the holder
}

// Reason says why a primary is replaced.
type Reason string

// The reasons.
const (
	None    Reason = ""
	Silent  Reason = "silent"  // most hosts get no answer
	Absent  Reason = "absent"  // no database leads
	Leaving Reason = "leaving" // it ends soon
	Stuck   Reason = "stuck"   // it answers, but commits are not acknowledged
	Stopped Reason = "stopped" // it stays; replicas that no host has resumed receive nothing
)

// Opinion is what one host finds of a service's primary.
type Opinion struct {
	Primary     string // the database that it believes to lead; empty for none
	Unreachable bool
	Stuck       bool
}

// Judge returns the reason to replace the primary, given this host's opinion
// and those of the hosts that it heard lately. Most of the hosts that speak of
// the same primary must agree that it is of no use, so that one host's broken
// path does not cost a working primary.
func Judge(own Opinion, leaving bool, others []Opinion) Reason {
	if own.Primary == "" {
		return agreed(Absent, others, func(o Opinion) bool { return o.Primary == "" || o.Unreachable })
	}
	if leaving {
		return Leaving
	}
	same := others[:0:0]
	for _, o := range others {
		if o.Primary == own.Primary || o.Primary == "" {
			same = append(same, o)
		}
	}
	switch {
	case own.Unreachable:
		return agreed(Silent, same, func(o Opinion) bool { return o.Unreachable || o.Primary == "" })
	case own.Stuck:
		return agreed(Stuck, same, func(o Opinion) bool { return o.Stuck })
	}
	return None
}

// agreed returns the reason if at least half of the others hold it.
func agreed(reason Reason, others []Opinion, holds func(Opinion) bool) Reason {
	n := 0
	for _, o := range others {
		if holds(o) {
			n++
		}
	}
	if 2*n < len(others) {
		return None
	}
	return reason
}

// Candidate is a replica as the successor's choice sees it.
type Candidate struct {
	ID       string
	Answered bool // its log end is known and it receives nothing more
	Listed   bool // the platform lists it as alive
	CutOff   bool // no host of its data centre is heard
	Leaving  bool
	Received position.Position
}

// Choose names the successor among all replicas of a service. acked is the
// last commit that any host has acknowledged. ok is false while an
// acknowledged commit could be lost.
func Choose(all []Candidate, acked position.Position) (best Candidate, ok bool) {
	best, ok = Longest(all)
	if !ok {
		return Candidate{}, false
	}
	if missing(all) && (unsure(all) || best.Received.Before(acked)) {
		return Candidate{}, false
	}
	return best, true
}

// Longest returns the candidate with the longest log among those that answered.
func Longest(all []Candidate) (best Candidate, ok bool) {
	for _, c := range all {
		if c.Answered && (best.ID == "" || better(c, best)) {
			best = c
		}
	}
	return best, best.ID != ""
}

// missing reports whether a replica has not been read.
func missing(all []Candidate) bool {
	for _, c := range all {
		if !c.Answered {
			return true
		}
	}
	return false
}

// unsure reports whether a replica that may be alive has not been read.
func unsure(all []Candidate) bool {
	for _, c := range all {
		if !c.Answered && (c.Listed || c.CutOff) {
			return true
		}
	}
	return false
}

// better prefers the longer log, then a database that stays.
func better(a, b Candidate) bool {
	if cmp := a.Received.Compare(b.Received); cmp != 0 {
		return cmp > 0
	}
	return !a.Leaving && b.Leaving
}

// Timing of promotions.
const (
	// RankDelay is how long each host waits for the one ranked before it: a
	// lease and a round of questions to the replicas take less.
	RankDelay = 300 * time.Millisecond
	// RetryDelay is the time between two attempts of one host.
	RetryDelay = 300 * time.Millisecond
	// StuckAgain keeps a primary that has just begun to lead from being replaced
	// for being stuck: if its predecessor was stuck too, it is the replicas that
	// do not receive.
	StuckAgain = 5 * time.Second
)
