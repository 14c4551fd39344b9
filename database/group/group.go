// Package group holds one host's decisions about one database group: which
// database is the primary, when to replace it, when a write is acknowledged,
// which position a fresh read must reach and which databases can serve a read.
//
// The package does no IO, reads no clock and starts no goroutine. The host passes
// events and their times to a Table, and carries out the actions that it returns.
// No decision relies on information from the platform or from another host alone:
// the terms that the databases themselves have promised (fences) are the
// authority, and hints only make a Table probe sooner.
//
// A primary begins its term with an entry of its own, the term's marker. The
// primary is established once a majority of the group holds the marker.
//
// The package makes two assumptions about a database: what it has promised and
// stored survives its restart, and a replica in term T stores only what the
// primary of T sent, in order. The members of a group change by one database at a
// time.
package group

import (
	"math/rand/v2"
	"time"

	"github.com/bronzeloft/bronzeloft/database/groupsql"
	"github.com/bronzeloft/bronzeloft/internal/defaults"
	"github.com/bronzeloft/bronzeloft/objectapi"
	"github.com/bronzeloft/bronzeloft/position"
)

// MaxMembers is the maximum number of databases in a group; SetMembers ignores
// the rest.
const MaxMembers = 15

// Member is one database of the group.
type Member struct {
	ID         string
	Address    string // IP:port
	DataCentre string
	Leaving    bool // gets no new work: no reads as a replica, and as primary it is replaced
}

// View is the primary of a term, as a host knows it.
type View struct {
	Term    uint64
	Primary string // database id
	Marker  uint64 // lowest index known to belong to Term, at or past that of its marker; 0 if unknown
}

// Config configures a Table.
type Config struct {
	Group      string
	Self       string // host address, used in claimant ids
	DataCentre string
	Rand       *rand.Rand
	Timing     Timing
}

// Timing holds the durations of a Table. A zero field takes its default.
type Timing struct {
	ProbeInterval time.Duration // between probes of a member by a host of a rank below Promoters
	IdleInterval  time.Duration // between probes by the other hosts
	Promoters     int           // number of ranks, from 0, that probe at ProbeInterval
	ProbeTimeout  time.Duration // after which an unanswered probe may be sent again
	SuspectAfter  time.Duration // silence after which a primary is suspected
	RefusedAfter  time.Duration // the same for one whose machine refuses connections
	AskWindow     time.Duration // time given to peers to report that they reach the primary
	AloneDelay    time.Duration // extra wait when no peer answers
	RankDelay     time.Duration // extra wait before a claim, for each rank below this host's
	ClaimTimeout  time.Duration // time limit of the fencing and the promoting step of a claim; also the wait for another host's claim
	FenceGrace    time.Duration // wait for the other members once a majority is fenced
	RetryInterval time.Duration // between Ticks of a claim, and from an operation of the claim that failed to its repeat
	BackoffMin    time.Duration // shortest wait after a lost claim
	BackoffMax    time.Duration // limit of the random time that is added to BackoffMin
	StallAfter    time.Duration // time without replica progress while the primary is ahead; also the limit of a claim's marking step
	StrandedAfter time.Duration // time for which a member must be fenced above the established term to cause a claim
	DrainMin      time.Duration // shortest pause of new writes before a planned switchover: hosts learn of it at different times
	DrainMax      time.Duration // longest such pause
	SwitchRetry   time.Duration // between attempts at a planned switchover
	FollowRetry   time.Duration // shortest time between follow orders to one member; also their delay for each rank
	ConfirmRetry  time.Duration // between confirmation rounds that failed
	SampleEvery   time.Duration // spacing of the samples kept for reads that accept data of some age
	LagOut        time.Duration // replica lag above which a replica counts as lagging, and others are preferred for reads
	LagIn         time.Duration // replica lag below which it no longer counts as lagging
	ReplicaWait   time.Duration // how long a read waits for a replica that can serve it
	SilentReader  time.Duration // silence after which a database is excluded from reads
}

// DefaultTiming returns durations for data centres 0.5 to 1 ms apart.
func DefaultTiming() Timing {
	return Timing{
		ProbeInterval: 50 * time.Millisecond,
		IdleInterval:  500 * time.Millisecond,
		Promoters:     3,
		ProbeTimeout:  100 * time.Millisecond,
		SuspectAfter:  300 * time.Millisecond,
		RefusedAfter:  150 * time.Millisecond,
		AskWindow:     40 * time.Millisecond,
		AloneDelay:    200 * time.Millisecond,
		RankDelay:     150 * time.Millisecond,
		ClaimTimeout:  150 * time.Millisecond,
		FenceGrace:    5 * time.Millisecond,
		RetryInterval: 5 * time.Millisecond,
		BackoffMin:    20 * time.Millisecond,
		BackoffMax:    200 * time.Millisecond,
		StallAfter:    500 * time.Millisecond,
		StrandedAfter: 3 * time.Second,
		DrainMin:      250 * time.Millisecond,
		DrainMax:      600 * time.Millisecond,
		SwitchRetry:   2 * time.Second,
		FollowRetry:   50 * time.Millisecond,
		ConfirmRetry:  5 * time.Millisecond,
		SampleEvery:   20 * time.Millisecond,
		LagOut:        500 * time.Millisecond,
		LagIn:         100 * time.Millisecond,
		ReplicaWait:   5 * time.Millisecond,
		SilentReader:  250 * time.Millisecond,
	}
}

// withDefaults fills the zero fields of t.
func (t Timing) withDefaults() Timing {
	d := DefaultTiming()
	defaults.Set(&t.ProbeInterval, d.ProbeInterval)
	defaults.Set(&t.IdleInterval, d.IdleInterval)
	defaults.Set(&t.ProbeTimeout, d.ProbeTimeout)
	defaults.Set(&t.SuspectAfter, d.SuspectAfter)
	defaults.Set(&t.RefusedAfter, d.RefusedAfter)
	defaults.Set(&t.AskWindow, d.AskWindow)
	defaults.Set(&t.AloneDelay, d.AloneDelay)
	defaults.Set(&t.RankDelay, d.RankDelay)
	defaults.Set(&t.ClaimTimeout, d.ClaimTimeout)
	defaults.Set(&t.FenceGrace, d.FenceGrace)
	defaults.Set(&t.RetryInterval, d.RetryInterval)
	defaults.Set(&t.BackoffMin, d.BackoffMin)
	defaults.Set(&t.BackoffMax, d.BackoffMax)
	defaults.Set(&t.StallAfter, d.StallAfter)
	defaults.Set(&t.StrandedAfter, d.StrandedAfter)
	defaults.Set(&t.DrainMin, d.DrainMin)
	defaults.Set(&t.DrainMax, d.DrainMax)
	defaults.Set(&t.SwitchRetry, d.SwitchRetry)
	defaults.Set(&t.FollowRetry, d.FollowRetry)
	defaults.Set(&t.ConfirmRetry, d.ConfirmRetry)
	defaults.Set(&t.SampleEvery, d.SampleEvery)
	defaults.Set(&t.LagOut, d.LagOut)
	defaults.Set(&t.LagIn, d.LagIn)
	defaults.Set(&t.ReplicaWait, d.ReplicaWait)
	defaults.Set(&t.SilentReader, d.SilentReader)
	defaults.Set(&t.Promoters, d.Promoters)
	return t
}

// Action is an instruction to the host: a Send, AskPeers or Publish.
type Action interface{ action() }

// Send instructs the host to run Op on the control connection to Database. The
// host passes the result to OpResult, with the time just before it sent the
// operation.
type Send struct {
	Database string
	Op       groupsql.Op
}

// AskPeers instructs the host to ask peers in this and in other data centres
// whether Database answers them. The host passes each reply to PeerReply.
type AskPeers struct{ Database string }

// Publish instructs the host to record a promotion in the platform, with retries.
// A record of a higher term takes precedence.
type Publish struct{ State objectapi.GroupState }

func (Send) action()     {}
func (AskPeers) action() {}
func (Publish) action()  {}

// AckState is the acknowledgement state of a write.
type AckState uint8

// The acknowledgement states.
const (
	AckPending AckState = iota // no majority holds the write yet
	AckYes                     // a majority of the group holds it, stored in the term in which it was written
	AckNever                   // before that, a majority promised a newer term or one was established: outcome unknown
)

// String returns the state's name.
func (a AckState) String() string {
	switch a {
	case AckYes:
		return "acknowledged"
	case AckNever:
		return "never"
	default:
		return "pending"
	}
}

// sample is a confirmed position: every write acknowledged before start lies
// at or before pos.
type sample struct {
	start time.Time
	pos   position.Position
}
