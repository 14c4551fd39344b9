package takeovermodel

import "fmt"

// Action is one step of the model.
type Action struct {
	Kind Kind
	Who  uint8 // taker, database, or index of a call or write
	What uint8 // database
}

// Kind is a kind of action.
type Kind uint8

// The kinds.
const (
	Commit Kind = iota
	Receive
	ReceiveGap
	Join
	Crash
	Restart
	Discover
	Begin
	Witness
	ReadSettled
	Acknowledge
	Abandon
	Start
	ReadLease
	CarryOutWrite
	LoseWrite
	Learn
	Read
	Skip
	Decide
	GiveUp
	Record
	Order
	CarryOutCall
	CarryOutCallUnanswered
	LoseCall
	TimeOut
	FixLog
	TakeEffect
	See
	Wait
	Waited
	FindPrimary
	Resume
	ResumeLate
	PauseLate
	CarryOutPause
	LoseResume
	Check
	CarryOutResume
	Release
	Stop
	Look
	SwitchAcker
	SwitchTaker
	GoDown
	Return
	Forget
	AddToRoster
	Retire
	Unretire
	Fence
	AskPrimary
	AskHolder
	Remove
	ReadRoster
)

var kindNames = [...]string{
	"primary writes a commit", "replica receives an entry", "replica receives an entry without the one before", "replica joins the term", "replica ends", "replica restarts empty", "hosts learn of",
	"acknowledging host has a confirmed commit", "acknowledging host reads the log of", "acknowledging host reads the lease: settled", "commit is acknowledged", "acknowledging host gives up",
	"taker starts", "taker reads the lease and writes its claim", "lease write is carried out", "lease write is lost", "taker learns the outcome of its write",
	"taker reads the log of", "taker gets no answer from", "taker decides", "taker gives up", "taker writes into the lease that it orders", "taker orders", "order is accepted or refused and answered", "order is accepted or refused, answer lost",
	"order is lost", "taker gets no answer to its order", "the log that will lead is fixed:", "order takes effect", "taker sees the successor", "taker starts to wait", "taker has waited", "taker reads the primary's term",
	"taker resumes all", "taker's RESUME is late", "taker gets no answer to its PAUSE of", "late PAUSE is carried out at", "late RESUME is lost:", "taker checks that replicas are paused:", "late RESUME is carried out at", "taker releases the lease", "taker stops",
	"taker looks for hosts of the former protocol", "acknowledging host starts with the other protocol", "taker starts with the other protocol",
	"database goes down with its log:", "database returns with its log:", "hosts forget", "host adds to the roster:", "host retires on the roster:", "host takes back that it retired", "keeper fences", "keeper asks the primary for its log's end, to remove", "keeper sees that end held by", "keeper removes from the roster:", "acknowledging host reads the roster",
}

// String describes the action.
func (a Action) String() string {
	switch a.Kind {
	case Discover, Forget:
		return fmt.Sprintf("%s %s: %04b", kindNames[a.Kind], name(a.What), a.Who)
	case Receive, ReceiveGap, Join, Crash, Restart, Witness, CarryOutResume, CarryOutPause, LoseResume, FixLog, GoDown, Return, AddToRoster, Retire, Unretire, Fence, AskPrimary, AskHolder, Remove:
		return fmt.Sprintf("%s %s", kindNames[a.Kind], name(a.What))
	case Start, ReadLease, Learn, Read, Skip, Decide, GiveUp, Record, Order, TimeOut, See, Wait, Waited, FindPrimary, Resume, ResumeLate, PauseLate, Check, Release, Stop, Look, SwitchTaker:
		if a.What != 0 {
			return fmt.Sprintf("%s %s (taker %d)", kindNames[a.Kind], name(a.What), a.Who)
		}
		return fmt.Sprintf("%s (taker %d)", kindNames[a.Kind], a.Who)
	case TakeEffect:
		return fmt.Sprintf("%s: %s is promoted", kindNames[a.Kind], name(a.What))
	}
	return kindNames[a.Kind]
}
