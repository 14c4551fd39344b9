// Package takeovermodel is a model of how a service's primary is replaced and how
// commits are acknowledged meanwhile, small enough to explore every order of events
// within given bounds. The decisions are the ones of package succession. Time does not
// pass: whatever may be slow, late or lost is a step of its own that may be taken at
// any time or never. So a host that stands still, a network that is cut and an order
// that is carried out late need no state. The one duration that the protocol relies on,
// succession.PromotionLimit, is modelled as the end of the orders that had been accepted
// when the wait for it began. An order whose answer the taker has may outlast it (see
// LateEffect).
//
// Two rules that the gateway adds to these decisions can be left out: a report that is
// read while the taker waits for the senior replica is compared with its view (see
// CheckOnce), and the successor has no fewer entries than any other replica that answered
// (succession.Outgrown; see AnyIndex). Without them the model loses a commit if databases
// report the end of their log with the term that they have joined.
//
// Replicas are paused from the reading of their logs until no order can take effect, since a
// promoted database may lead with what it had received when it was ordered (see CutAtCall).
// One rule of the model is not the gateway's: a commit that all replicas hold is acknowledged
// only once the lease was found settled in the commit's term (see AllCopiesAtOnce).
//
// The specs explore small bounds. With TAKEOVERMODEL_WIDE set in the environment they
// explore larger ones, which takes minutes.
package takeovermodel

import (
	"fmt"
	"strings"

	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/position"
)

// Sizes of the arrays in State.
const (
	maxDatabases = 4
	maxLog       = 6
	maxTakers    = 3
	maxCalls     = 4
	maxWrites    = 4
)

// State is one state of the model. It is comparable, so that visited states can be
// recognised. Numbers of databases and takers are counted from 1; 0 means none.
type State struct {
	Databases [maxDatabases]Database
	Term      uint8 // of the primary
	Primary   uint8
	Led       [8]uint8 // the primary of each term
	Commits   uint8    // written so far
	Acked     [maxLog]uint8

	Lease    Lease
	Writes   [maxWrites]Write // of the lease, on their way
	Calls    [maxCalls]Call   // promotion orders on their way or under way
	MaxFence uint8
	Resumes  uint8               // mask of databases to which a RESUME is on its way
	Pauses   [maxDatabases]uint8 // terms of the PAUSEs that are on their way

	Roster Roster
	Keeper Keeper

	Takers   [maxTakers]Taker
	Attempts uint8 // started so far
	Acker    Acker

	// Hosts that run the former protocol, as their entries state.
	OlderTakers uint8 // mask
	OlderAcker  bool
	Switches    uint8    // of a host from one protocol to the other so far
	Kept        [2]uint8 // the floor that is kept beside the lease
	KeptTerm    uint8

	Faults     uint8 // databases that have crashed or restarted so far
	Gaps       uint8 // entries that replicas have skipped so far
	Unanswered uint8 // calls whose answer was lost so far
	Outages    uint8 // databases that have gone down with their log so far
	Lapses     uint8 // databases that the acknowledging host has forgotten so far
	Removals   uint8 // databases that were retired so far
}

// Database is a database. Its log is the terms of its entries.
type Database struct {
	Term   uint8 // that it has joined
	Length uint8
	Log    [maxLog]uint8
	Pause  uint8 // it receives from no primary of a term below this one
	Dead   bool
	Away   bool  // it is dead and may return with its log
	Start  uint8 // how often it has restarted empty
	Seen   uint8 // how well hosts know it
}

// How well hosts know a database. The takers share their knowledge.
const (
	knownToAcker uint8 = 1 << iota
	knownToTakers
	establishedByAcker
	establishedByTakers
	seen = 1<<iota - 1
)

// Roster is the record of the databases whose log may hold the only copy of a commit.
type Roster [maxDatabases]Place

// Place is the entry of a database. A host changes the roster by compare-and-swap, so that a
// late write has no effect unless it could be made now.
type Place struct {
	State uint8
	Start uint8 // of the process that is recorded
}

// States of a Place.
const (
	absent uint8 = iota
	recorded
	retiring
)

// has reports whether the process that runs as a database is on the roster.
func (r *Roster) has(s *State, i int) bool {
	return r[i].State != absent && r[i].Start == s.Databases[i].Start
}

// Keeper is what the host that removes a database from the roster has learnt since it read
// the roster. Any change of the roster makes its write fail.
type Keeper struct {
	For    uint8 // the database to be removed
	Term   uint8 // of the primary that has answered
	End    uint8 // of that one's log
	Holder uint8 // the database that holds it
	Known  uint8 // mask of the databases that all hosts knew then
	Fence  uint8 // the term in which the database was paused since it was retiring, which it has announced; 0 for none
}

// setPlace changes the roster.
func (s *State) setPlace(i int, p Place) {
	s.Roster[i], s.Keeper = p, Keeper{}
}

// Lease is the lease object.
type Lease struct {
	Version  uint8
	Released bool
	Ordered  uint8
	Term     uint8
	Holder   uint8
	Floor    [2]uint8 // the end of the log of the last successor when it was chosen
	Writer   uint8    // the taker that wrote this version, 0 if it has given up waiting for the answer
}

// Write is a write of the lease that is carried out if the lease still has the version.
type Write struct {
	Sent  bool
	By    uint8
	Lease Lease // Version is the expected one
}

// Call is a promotion order.
type Call struct {
	Database uint8
	Fence    uint8
	Accepted bool
	Sender   uint8 // the taker that waits for the answer
	Awaited  uint8 // mask of takers that wait for the order's end
	Paused   bool  // the other replicas were paused for it
	Cut      uint8 // 1 + the length of the log that will lead, once that is fixed
}

// Step of a taker's attempt.
const (
	idle uint8 = iota
	readingLease
	acquiring
	looking
	reading
	catchingUp
	recording
	recordingSent
	checking
	calling
	called
	accepted
	waiting
	waited
	renewing
	renewSent
	resuming
	releasing
)

// Taker is a host that replaces the primary, or one attempt of such a host.
type Taker struct {
	Step      uint8
	Primary   uint8 // to be replaced
	Term      uint8 // the newest one known
	Version   uint8 // of the lease as last read or written
	LeaseTerm uint8
	Ordered   uint8 // of the lease as read
	Pending   bool  // an order other than the last one may be under way
	Chosen    uint8 // the successor, or the replica that the taker waits for
	Void      bool  // Chosen is the present primary
	Settled   bool  // the lease is to be released without Ordered
	Known     uint8 // mask of the replicas that were established when the lease was taken
	Common    uint8 // mask of those that the acknowledging host knew then
	Restarted uint8 // mask of the databases that have restarted since the lease was taken
	Floor     [2]uint8
	Roster    Roster // as read under the lease
	LogsRead  bool   // logs were read before the lease was taken
	Pausing   bool   // it pauses replicas, since hosts run the former protocol

	// While the taker waits for the senior replica.
	Planned      bool
	Target       [2]uint8
	LongestKnown bool // the replica with the longest log is established

	Reports [maxDatabases]Report
}

// Report is a database's report to a taker.
type Report struct {
	Read    bool
	Skipped bool
	Running bool // it was not paused for the report: the successor of a planned replacement
	Primary bool
	Term    uint8
	At      [2]uint8 // term and index of the log's end
}

// Acker is the host that acknowledges commits, with the commit that it has under way.
type Acker struct {
	Commit  [2]uint8 // term and index; zero if there is none
	Holds   uint8    // mask of the databases that reported that they hold it
	Before  bool     // its answer named the position before it
	Settled bool     // the lease was read and found settled
	Term    uint8    // the newest one in which the lease was read and found settled

	Starts  [maxDatabases]uint8 // of the processes that reported
	Counted uint8               // mask of those that the roster listed, read after their report
	View    uint8               // mask of the databases on the roster as last read
}

// at returns a position.
func at(p [2]uint8) position.Position {
	return position.Position{Term: uint64(p[0]), Index: uint64(p[1])}
}

// Rules are the rules of the protocol. The zero value of each field is the protocol's
// rule.
type Rules struct {
	// Pauses selects the former protocol on all hosts: replicas are paused before their logs
	// are read and resumed afterwards, and a commit is acknowledged once one replica that
	// is not paused holds it.
	Pauses bool

	// Unpaused selects the protocol without pauses on all hosts but those of the former one:
	// replicas are paused for hosts of the former protocol only.
	Unpaused bool

	// Of the pauses:
	UnpausedSuccessor  bool // the successor is resumed once it is chosen
	UnpausedOthers     bool // the other replicas are resumed once it is chosen
	UnpausedPlanned    bool // a planned successor is not paused
	ResumePlanned      bool // a planned successor is resumed so that it catches up
	PlanUnread         bool // a planned replacement goes on although a replica has not answered its PAUSE
	ResumePending      bool // replicas are resumed while an order is under way
	NoRecheck          bool // the taker does not check before the order that replicas are still paused
	ResumeWithoutLease bool // the lease is not renewed before a RESUME
	AllCopiesAtOnce    bool // all copies are enough before the lease was found settled in the commit's term
	ReleaseUnanswered  bool // the lease is released although a RESUME was not answered

	// Stricter than the protocol:
	AskAfter      bool // replicas are asked for a commit with AFTER, which they refuse if their log lacks it
	SettledForAll bool // a commit that all replicas hold is acknowledged only after the lease was read too
	RepeatOrder   bool // while an order is pending, only its database is ordered, if it runs and does not lead

	// In a fleet in which some hosts run the former protocol:
	NoPausing     bool // the others do not pause replicas for them
	LookBefore    bool // they read the hosts' entries before the lease is taken
	LookOnce      bool // they do not look again for a host that starts with it
	FormerSettled bool // a lease that a host of the former protocol wrote may be settled
	ForgetFloor   bool // the floor is kept in the lease only
	ResumeStale   bool // they resume replicas that have not joined the primary's term

	// Recorded selects the roster: what a takeover leaves unread follows from it. Without it a
	// database whose entry has lapsed and whose address refuses connections counts as ended.
	Recorded bool
	// GoneEnd means that a successor may lack what is known to be acknowledged once the primary
	// and all unread replicas count as ended.
	GoneEnd bool

	// Of the roster:
	OneCopyUnrecorded  bool // one copy is enough on a replica that is not on the roster
	RosterBeforeReport bool // the roster may be read before the report of a replica
	RosterBeforeCommit bool // or before the commit was written
	RosterAfterLease   bool // the roster may be read after the lease was found settled
	AllCopiesUnlisted  bool // all copies are enough though none of them is on the roster
	RetiringCounts     bool // one copy is enough on a replica that is retiring
	AnyStart           bool // hosts do not compare the start of a process with the recorded one
	RemoveAtOnce       bool // a database is removed without being retired before
	RemoveUnled        bool // it is removed while no primary leads, if another one answers
	RemoveUnheld       bool // it is removed although no other one is known to hold the primary's log
	RemoveUnknown      bool // it is removed if one holds that which hosts may not know, though it is not fenced
	FenceUnsettled     bool // a leaving database is fenced though an attempt may be under way
	ResumeLeaving      bool // attempts resume a leaving database
	FenceAnyTerm       bool // a fence counts in a later term than that in which the database was paused
	IgnoreUnlisted     bool // a database of the roster that the list of the acknowledging host lacks is none of all replicas
	LeaseAlone         bool // the lease is found settled in a term without the roster being read before
	KeepSettled        bool // the lease need not be found settled again after a roster without a database was read
	HolderRetiring     bool // or one that is retiring itself
	LeaveUnread        bool // a takeover may leave a recorded database unread
	RosterBeforeLease  bool // a takeover reads the roster before it takes the lease
	ForgetRecorded     bool // hosts that count replicas forget one that may still be on the roster
	ForgetUnsettled    bool // the lease need not be found settled again after a host has forgotten a database
	AwayUnsettled      bool // nor after one that it counts was away, and so is not paused any more
	NoRosterCheck      bool // the roster is not read again before the order
	FreshRoster        bool // all copies need a roster that was read after their reports

	Settled             func(l succession.Lease, term uint64) bool
	Holds               func(c succession.Copy, commit position.Position) bool
	OneCopyWithoutLease bool // one copy is enough
	LeaseBeforeReport   bool // the lease may be read before a replica's report
	LogsBeforeLease     bool // the logs may be read before the lease is taken
	ReleaseEarly        bool // the lease is released as settled before the orders have ended
	ReleaseOnSight      bool // the lease is released once the successor is primary, whatever else was ordered
	StaleTerm           bool // a release names the newest term known before the wait
	ForgetTerm          bool // a lease does not keep the term of the one before
	ForgetOrder         bool // a lease does not keep the order of the one before
	IgnoreLeaseTerm     bool // a taker does not compare the lease's term with its view
	IgnoreFloor         bool // a successor need not reach the end of the last one's log
	IgnoreIndex         bool // nor its index, if its own log ends in a newer term
	AnyReplica          bool // replicas that hosts may not know are chosen
	CheckOnce           bool // a report that is read while the taker waits for the senior replica is not compared with its view
	AnyIndex            bool // the successor may have fewer entries than another replica, if its log ends in a newer term
	EstablishedLate     bool // a replica counts as established if it is when the logs have been read
	AnyEstablished      bool // an established replica counts as one that the acknowledging host knows
	IgnoreRestarts      bool // databases that have restarted since the lease was taken are promoted, or missed
	AnyPrimary          bool // the lease is settled after the wait although the order has shown no effect
	OwnList             bool // the taker does not read the list of databases under the lease
}

// Bounds are the sizes of a model and the faults that happen in it.
type Bounds struct {
	Databases, Takers, Commits, Attempts, Calls int

	SameName   bool // all takers are attempts of one host
	Expiry     bool // a lease that another host holds may be taken
	Stops      bool // hosts may end in the middle of an attempt, and start again
	LateCalls  int  // promotion orders whose answer may be lost
	LateEffect bool // an order may take longer to take effect than the wait for it
	// CutAtCall means that a promoted database may lead with what it had received at any
	// moment from the acceptance of the order to its effect, and Deaf that it receives
	// nothing from the acceptance on.
	CutAtCall bool
	Deaf      bool
	// LateResume means that a RESUME may be carried out late, but before the lease of its
	// sender expires. StalledResume means that its sender may stand still after it has renewed
	// the lease, until others hold it.
	LateResume    bool
	StalledResume bool
	LatePause     bool // a PAUSE may not be answered, and be carried out late
	LateJoin      bool // a replica may join the term of a new primary late
	OldViews      bool // an attempt may start with an outdated view of the primary and the term
	Crashes       int  // databases that end for good
	Restarts      int  // replicas that restart under their id with an empty log
	// Outages is how many databases go down, which may return with their log. Their entries lapse
	// at once.
	Outages int
	// Unlisted means that databases that run may be missing from the lists as well, and so be
	// forgotten and left unread.
	Unlisted   bool
	AckedFirst bool // commits are acknowledged before the first attempt only
	Unplanned  bool // a primary that serves is not replaced
	// Lapses is how many databases that have no entry the acknowledging host forgets, Removals how
	// many are to be taken off the roster. Hosts add those that run.
	Lapses, Removals int
	Removed          bool // the second database was taken off the roster since the acknowledging host has read it
	Unrecorded       bool // the newcomer is not on the roster at first
	// Departing means that the leaving database is retiring on the roster and the only one that goes
	// down, and that the newcomer was added since the acknowledging host has read the roster.
	Departing bool
	// RestartChosen means that a replica may restart between the read of its log and the
	// order of its promotion, RestartUnread after the lease was taken and before its log is
	// read.
	RestartChosen bool
	RestartUnread bool
	Leaving       int  // the database that announces its shutdown; 0 for none
	Newcomer      bool // hosts do not know the last database yet

	// Hosts that run the former protocol at first, and how often one may start again with
	// the other one. The lease of such a host names no term and no floor.
	OlderTakers uint8 // mask
	OlderAcker  bool
	Switches    int
	// SwitchAcker and SwitchTakers tell which hosts do.
	SwitchAcker, SwitchTakers bool
	SwitchIdle                bool // only while no attempt is under way that has taken the lease
	OlderStop                 bool // takers that run it end once they have taken the lease
	// Heard means that the taker has heard of all acknowledged commits.
	Heard bool
	// CurrentTerm means that a database reports the end of its log with the term that
	// it has joined, not with that of the last entry.
	CurrentTerm bool

	// Positions that do not mean what hosts take them for. Gaps is how often a replica may
	// receive an entry without the one before it. PositionBefore means that the answer to a
	// commit may name the position before it.
	Gaps           int
	PositionBefore bool

	OldList      bool // the takers hold a newcomer for established though the acknowledging host does not know it
	OldTakerList bool // the acknowledging host holds a newcomer for established though the takers do not know it

	// Faults that the protocol does not withstand.
	RestartOrdered bool // a replica restarts between the order of its promotion and its effect
	LoseLastCopy   bool // the last copy of a commit besides the primary's is lost
	StartsEarly    bool // a host of the former protocol starts to acknowledge before those that replace the primary have looked for it
}

// Model is a protocol within bounds.
type Model struct {
	Rules
	Bounds
}

// unknownOrder is an order that a lease of the former protocol may not record.
const unknownOrder = maxDatabases + 1

// mixed reports whether hosts may run either protocol.
func (m Model) mixed() bool {
	return m.OlderAcker || m.OlderTakers != 0 || m.SwitchAcker || m.SwitchTakers
}

// Initial returns the first state: one primary of term 1 with empty logs, and a lease
// that has been released.
func (m Model) Initial() State {
	s := State{Term: 1, Primary: 1, Lease: Lease{Version: 1, Released: true, Term: 1}, MaxFence: 1}
	s.Led[1] = 1
	s.OlderAcker, s.OlderTakers = m.OlderAcker, m.OlderTakers
	if m.readsInTerm() {
		s.Acker.Term = 1
	}
	for i := range m.Databases {
		s.Databases[i].Term, s.Databases[i].Seen = 1, seen
	}
	if m.Newcomer {
		s.Databases[m.Databases-1].Seen = 0
	}
	if m.Recorded {
		for i := range m.Databases {
			s.Roster[i].State = recorded
		}
		if m.Unrecorded {
			s.Roster[m.Databases-1] = Place{}
		}
		s.Acker.View = s.rosterMask()
		if m.Removed {
			s.Roster[1] = Place{}
		}
		if m.Departing {
			s.Roster[m.Leaving-1].State = retiring
			s.Acker.View &^= 1 << (m.Databases - 1)
		}
	}
	return s
}

// rosterMask returns the databases on the roster.
func (s *State) rosterMask() (mask uint8) {
	for i := range s.Roster {
		if s.Roster[i].State != absent {
			mask |= 1 << i
		}
	}
	return mask
}

// end returns the end of the database's log, as it reports it.
func (m Model) end(d Database) [2]uint8 {
	switch {
	case m.CurrentTerm && d.Term != 0:
		return [2]uint8{d.Term, d.Length}
	case d.Length == 0:
		return [2]uint8{}
	}
	return [2]uint8{d.Log[d.Length-1], d.Length}
}

// mask returns the databases that hosts know as well as level says.
func (s *State) mask(level uint8) (mask uint8) {
	for i, d := range s.Databases {
		if d.Seen&level == level {
			mask |= 1 << i
		}
	}
	return mask
}

// paused reports whether a replica receives nothing from the primary of its term.
func (d Database) paused() bool { return d.Pause > d.Term }

// cut shortens a database's log to at most length entries.
func (d *Database) cut(length uint8) {
	for ; d.Length > length; d.Length-- {
		d.Log[d.Length-1] = 0
	}
}

// has reports whether a database's log contains a commit.
func (d Database) has(commit [2]uint8) bool {
	return d.Length >= commit[1] && d.Log[commit[1]-1] == commit[0]
}

// holds reports whether a database's log contains what is at a position.
func (d Database) holds(p position.Position) bool {
	return p.Index == 0 || d.has([2]uint8{uint8(p.Term), uint8(p.Index)})
}

// Lost returns an acknowledged commit that the primary's log lacks.
func (s *State) Lost() (commit [2]uint8, lost bool) {
	for i, term := range s.Acked {
		c := [2]uint8{term, uint8(i + 1)}
		if term != 0 && !s.Databases[s.Primary-1].has(c) {
			return c, true
		}
	}
	return commit, false
}

// String describes the databases, the lease and the commit under way.
func (s State) String() string {
	var b strings.Builder
	for i, d := range s.Databases {
		if d.Term == 0 && d.Length == 0 && !d.Dead {
			continue
		}
		fmt.Fprintf(&b, "%s:t%d%v", name(uint8(i+1)), d.Term, d.Log[:d.Length])
		if int(s.Primary) == i+1 {
			b.WriteByte('*')
		}
		if d.paused() {
			b.WriteByte('p')
		}
		if d.Dead {
			b.WriteByte('x')
		}
		if p := s.Roster[i]; s.Roster != (Roster{}) && (p.State != recorded || p.Start != d.Start) {
			fmt.Fprintf(&b, "r%d/%d", p.State, p.Start)
		}
		if d.Seen != seen {
			fmt.Fprintf(&b, "?%04b", d.Seen)
		}
		b.WriteByte(' ')
	}
	fmt.Fprintf(&b, "lease v%d t%d floor=%s released=%t ordered=%s", s.Lease.Version, s.Lease.Term, at(s.Lease.Floor), s.Lease.Released, name(s.Lease.Ordered))
	return b.String()
}

// name returns the name of a database.
func name(d uint8) string {
	if d == 0 {
		return "-"
	}
	return string(rune('a' + d - 1))
}

// number returns the database of a name.
func number(name string) uint8 {
	if name == "" {
		return 0
	}
	return name[0] - 'a' + 1
}
