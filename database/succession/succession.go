// Package succession decides when a service's primary is replaced and by which
// database.
//
// A commit is acknowledged on either of two kinds of evidence (see Evidence): every
// replica holds it; or one replica holds it and, read after that, the lease showed
// that no order can take effect that was decided before. Whoever replaces the primary
// takes the lease, then reads the end of each log, and chooses the replica with the
// longest one. Before that it pauses the replicas, until its order has taken effect: it is
// not known as of when a promoted database leads with what it had received. The evidence
// of one replica does not rest on that. That of all replicas does, for orders of the commit's
// term, although a pause carries no fence: the late end of one can lose an acknowledged commit.
//
// A database that does not answer may return with its log, which may hold the only copy of an
// acknowledged commit: neither silence nor a refused connection nor a lapsed entry shows
// its end. What may stay unread follows from the roster (see Roster): a single copy counts
// only on a database of the roster, and a successor is chosen only once the logs of all
// databases of the roster, and of all listed ones, are read, except that of the primary which is
// replaced. A log that lacks a position known to be acknowledged, or the floor, is
// never promoted, unless an operator has given up each log that is unread.
package succession

import (
	"errors"
	"slices"
	"time"

	"github.com/bronzeloft/bronzeloft/position"
)

// ErrRefused reports that an order was refused without effect: its fence is
// outdated or the database is not running.
var ErrRefused = errors.New("succession: promotion order refused: fence is outdated or database is not running")

// Order is a request to promote a database to the primary of a service.
type Order struct {
	Service  string
	Database string
	Holder   string // host that holds the service's lease and issues the order
	Fence    uint64 // fencing token: the version of that lease; increases with each change of the holder
}

// Reason is why a primary is replaced.
type Reason string

// The reasons.
const (
	None      Reason = ""
	Silent    Reason = "silent"    // it does not answer this host and at least half of the others
	Absent    Reason = "absent"    // no primary is known
	Leaving   Reason = "leaving"   // it is shutting down
	Stalled   Reason = "stuck"     // it answers, but its commits are not acknowledged
	Unsettled Reason = "unsettled" // the primary is kept, but the lease of an earlier attempt must be settled
	Paused    Reason = "paused"    // the primary is kept, but replicas that an earlier attempt paused must be resumed
)

// View is the state of a service's primary as one host sees it.
type View struct {
	Primary     string // the presumed primary; empty if none is known
	Unreachable bool
	Stalled     bool
}

// ReasonToReplace returns the reason to replace the primary, or None, given this
// host's view and the recent views of other hosts. Unless the primary is
// leaving, at least half of the other views must agree, so that a working primary
// is not replaced because of one host's broken network path. If this host knows a
// primary, views of a different one are not counted; if it knows none, views of a
// reachable primary count against the replacement.
func ReasonToReplace(own View, leaving bool, others []View) Reason {
	if own.Primary == "" {
		return agreed(Absent, others, func(v View) bool { return v.Primary == "" || v.Unreachable })
	}
	if leaving {
		return Leaving
	}
	same := others[:0:0]
	for _, v := range others {
		if v.Primary == own.Primary || v.Primary == "" {
			same = append(same, v)
		}
	}
	switch {
	case own.Unreachable:
		return agreed(Silent, same, func(v View) bool { return v.Unreachable || v.Primary == "" })
	case own.Stalled:
		return agreed(Stalled, same, func(v View) bool { return v.Stalled })
	}
	return None
}

// agreed returns reason if agrees is true for at least half of the other hosts'
// views, and None otherwise.
func agreed(reason Reason, others []View, agrees func(View) bool) Reason {
	n := 0
	for _, v := range others {
		if agrees(v) {
			n++
		}
	}
	if 2*n < len(others) {
		return None
	}
	return reason
}

// Candidate is a replica that is considered as successor.
type Candidate struct {
	ID       string
	Answered bool // its log end is known
	Refused  bool // nothing listens at its address, or another database does
	Listed   bool // it is in the platform's list of databases, or was until recently
	CutOff   bool // no host of its data centre is reachable
	Replaced bool // it is the primary that is to be replaced: no commit rests on its log alone
	Leaving  bool
	// Evacuated is set if its data centre is to be evacuated. Its log stays.
	Evacuated bool
	// Established is set for a replica that had been in the platform's list for
	// lead.EstablishedAfter before the first log was read.
	Established bool
	// Recorded is set for a database whose process of this start is on the roster: its log may
	// hold the only copy of an acknowledged commit.
	Recorded bool
	// Abandoned is set if an operator has given up what only its log may hold.
	Abandoned bool
	// Known is set for a replica that had been in the list for lead.KnownAfter by then, so
	// that each host that counts replicas knows it.
	Known       bool
	StartMillis int64 // start time of its process, Unix milliseconds
	Received    position.Position
}

// Choose returns the successor among all databases of a service. acked is the
// last commit that any host has acknowledged, floor the end of the log of the last
// successor. ok is false if no replica answered or an acknowledged commit could be lost.
//
// While the logs grow, the longest one is not enough: a host may have acknowledged a
// commit because every replica that it knows holds it, one of which was read before it
// received the commit. A replica that hosts may not know is therefore not chosen if
// there is another one; it is for the caller to wait until that has caught up.
// primaryGone, if the primary seems to have ended, lifts this for replicas that are
// established: the logs have been paused before they were read.
func Choose(all []Candidate, acked, floor position.Position, primaryGone bool) (best Candidate, ok bool) {
	best, ok = Longest(all)
	if !ok || !MayLead(best, all, acked, floor) || !best.Established && hasEstablished(all) {
		return Candidate{}, false
	}
	if !primaryGone && !best.Known && (hasKnown(all) || isJunior(best, all)) {
		return Candidate{}, false
	}
	return best, true
}

// MayLead reports whether the promotion of a candidate loses no commit that was acknowledged
// before the logs of all were read, provided that its log holds those of the others.
func MayLead(c Candidate, all []Candidate, acked, floor position.Position) bool {
	if slices.ContainsFunc(all, Candidate.MustBeRead) {
		return false
	}
	return !c.Lacks(acked) && !c.Lacks(floor) || GivenUp(all)
}

// GivenUp reports whether there are logs that are unread, and an operator has given up each
// of them.
func GivenUp(all []Candidate) bool {
	given := false
	for _, c := range all {
		switch {
		case c.Answered:
		case c.Abandoned:
			given = true
		case c.Recorded || c.Listed || c.Replaced:
			return false
		}
	}
	return given
}

// Prefer returns the candidate with an id if nothing speaks for best against it: it has the
// same log, is at least as well known to hosts, and is not leaving. An order for the database of a pending one
// can be settled sooner than one for another database; see Settlement.
func Prefer(id string, best Candidate, all []Candidate) Candidate {
	for _, c := range all {
		if c.ID == id && c.Answered && c.Received == best.Received && !c.Leaving &&
			(c.Established || !best.Established) && (c.Known || !best.Known) {
			return c
		}
	}
	return best
}

// Outside returns best, or a candidate outside of the evacuated data centres if best is in one
// and nothing else speaks against that candidate; see Prefer. As for Choose, a junior one that
// hosts may not know is no better than best.
func Outside(best Candidate, all []Candidate) Candidate {
	if !best.Evacuated {
		return best
	}
	for _, c := range all {
		if c.Evacuated || !c.Known && isJunior(c, all) {
			continue
		}
		if other := Prefer(c.ID, best, all); other.ID == c.ID {
			return other
		}
	}
	return best
}

// Staying returns the candidates that may succeed a primary that still serves: those that are
// not leaving, outside of the evacuated data centres. If the primary is ending, those in
// evacuated ones may succeed it where there is no other.
func Staying(all []Candidate, ending bool) []Candidate {
	var staying, outside []Candidate
	for _, c := range all {
		if !c.Leaving {
			staying = append(staying, c)
		}
		if !c.Leaving && !c.Evacuated {
			outside = append(outside, c)
		}
	}
	if _, ok := Senior(outside); ok || !ending {
		return outside
	}
	return staying
}

// Outgrown reports whether a candidate that answered holds more entries than best. Of
// two logs of different terms neither may hold the other.
func Outgrown(best Candidate, all []Candidate) bool {
	for _, c := range all {
		if c.Answered && c.Received.Index > best.Received.Index {
			return true
		}
	}
	return false
}

// Lacks reports whether a candidate's log ends before a position that was reached in
// the same or an earlier term. The log of a replica that has joined a newer term, and
// does not hold all of the earlier ones yet, is shorter.
func (c Candidate) Lacks(at position.Position) bool {
	return c.Received.Before(at) || c.Received.Index < at.Index
}

// MustBeRead reports whether a candidate's log end is unknown, and its log may hold the only
// copy of an acknowledged commit.
func (c Candidate) MustBeRead() bool {
	return !c.Answered && !c.Replaced && !c.Abandoned && (c.Recorded || c.Listed)
}

// Senior returns the established candidate that hosts have had the longest time to
// learn of, one that is not leaving if there is any.
func Senior(all []Candidate) (senior Candidate, ok bool) {
	for _, c := range all {
		if c.Answered && c.Established && (!ok || moreSenior(c, senior)) {
			senior, ok = c, true
		}
	}
	return senior, ok
}

func moreSenior(a, b Candidate) bool {
	if a.Leaving != b.Leaving {
		return !a.Leaving
	}
	return a.StartMillis < b.StartMillis
}

func isJunior(c Candidate, all []Candidate) bool {
	senior, ok := Senior(all)
	return ok && senior.ID != c.ID
}

func hasKnown(all []Candidate) bool {
	for _, c := range all {
		if c.Answered && c.Known {
			return true
		}
	}
	return false
}

func hasEstablished(all []Candidate) bool {
	for _, c := range all {
		if c.Answered && c.Established {
			return true
		}
	}
	return false
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

// better reports whether a is preferred to b: the longer log first, then an
// established database, then the more senior one.
func better(a, b Candidate) bool {
	if cmp := a.Received.Compare(b.Received); cmp != 0 {
		return cmp > 0
	}
	if a.Established != b.Established {
		return a.Established
	}
	return moreSenior(a, b)
}

// Timing of promotions.
const (
	// RankDelay is how much longer each host waits than the one ranked before it.
	// Taking the lease and one round of queries to the replicas take less.
	RankDelay = 300 * time.Millisecond
	// RetryDelay is the time between two attempts of one host.
	RetryDelay = 300 * time.Millisecond
	// WaitDelay replaces RetryDelay while a log is waited for that cannot be read.
	WaitDelay = time.Second
	// StalledHoldOff is how long a new primary is not replaced because of stalled
	// commits. If its predecessor stalled as well, the cause is replicas that do not
	// receive, and another replacement would not help.
	StalledHoldOff = 5 * time.Second
)
