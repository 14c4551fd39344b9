// Package group holds one host's decisions about one database group: which
// database is the primary, when to replace it, when a write is acknowledged,
// which position a fresh read must reach and which databases can serve a read.
//
// The package does no IO, reads no clock and starts no goroutine. The host
// tells a Table what happened and when, and carries out the actions that it
// returns. Nothing here rests on the word of the platform or of another host:
// the databases' own promises of terms (fences) are the authority, and hints
// only make a Table look sooner.
//
// Two assumptions about a database: what it has promised and stored survives
// its restart, and a replica in term T stores only what the primary of T sent,
// in order. The members of a group change by one database at a time.
package group

import (
	"math/rand/v2"
	"time"

	"github.com/bronzeloft/bronzeloft/database/groupsql"
	"github.com/bronzeloft/bronzeloft/internal/defaults"
	"github.com/bronzeloft/bronzeloft/objectapi"
	"github.com/bronzeloft/bronzeloft/position"
)

// MaxMembers bounds the databases of a group; SetMembers ignores the rest.
const MaxMembers = 15

// Member is one database of the group.
type Member struct {
	ID         string
	Address    string // IP:port
	DataCentre string
	Leaving    bool // takes no new work; a leaving primary is replaced
}

// View is what a host holds for the established primary.
type View struct {
	Term    uint64
	Primary string // database id
	Marker  uint64 // lowest index known to lie in Term; 0 when unknown
}

// Config is what a Table is made of.
type Config struct {
	Group      string
	Self       string // host address, part of a claimant id
	DataCentre string
	Rand       *rand.Rand
	Timing     Timing
}

// Timing holds the durations of a Table. A zero field takes its default.
type Timing struct {
	ProbeInterval time.Duration // between probes of a member by a promoter
	IdleInterval  time.Duration // between probes by a host of a later rank
	Promoters     int           // ranks that probe at ProbeInterval
	ProbeTimeout  time.Duration // after which an unanswered probe is sent again
	SuspectAfter  time.Duration // silence that makes a primary suspect
	RefusedAfter  time.Duration // refusals in a row for so long make it suspect sooner
	AskWindow     time.Duration // time given to peers to say that they hear it
	AloneDelay    time.Duration // extra wait when no peer answers
	RankDelay     time.Duration // extra wait of each promoter rank
	ClaimTimeout  time.Duration // bound of one step of a claim, own or foreign
	FenceGrace    time.Duration // wait for the rest once a majority is fenced
	RetryInterval time.Duration // between repeats within one step of a claim
	BackoffMin    time.Duration // shortest wait after a lost claim
	BackoffMax    time.Duration // longest wait after a lost claim
	StallAfter    time.Duration // no replica progress while the primary is ahead
	StrandedAfter time.Duration // a member fenced above the established term
	DrainMin      time.Duration // shortest pause before it: hosts hear of a leaving database at different times
	DrainMax      time.Duration // longest pause of new writes before a planned switchover
	SwitchRetry   time.Duration // between planned switchovers that did not succeed
	FollowRetry   time.Duration // between follow orders to one member
	ConfirmRetry  time.Duration // between confirmation rounds that failed
	SampleEvery   time.Duration // spacing of the samples kept for aged reads
	LagOut        time.Duration // replica lag that demotes a reader
	LagIn         time.Duration // replica lag that restores it
	ReplicaWait   time.Duration // wait of a fresh read for a replica to qualify
	SilentReader  time.Duration // silence that excludes a reader
}

// DefaultTiming suits data centres 0.5 to 1 ms apart.
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

// Action is what the host must do: one of Send, AskPeers and Publish.
type Action interface{ action() }

// Send runs Op on the control connection to Database. The host gives the
// result to OpResult with the time just before it sent the operation.
type Send struct {
	Database string
	Op       groupsql.Op
}

// AskPeers asks peers in this and in other data centres whether they hear
// Database. The host gives each answer to PeerReply.
type AskPeers struct{ Database string }

// Publish records a promotion in the platform. The host retries it; a record
// of a higher term wins.
type Publish struct{ State objectapi.GroupState }

func (Send) action()     {}
func (AskPeers) action() {}
func (Publish) action()  {}

// AckState says whether a write is acknowledged.
type AckState uint8

// The acknowledgement states.
const (
	AckPending AckState = iota // no majority holds the write yet
	AckYes                     // a majority of the group holds it in its own term
	AckNever                   // its term was replaced first: outcome unknown
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
