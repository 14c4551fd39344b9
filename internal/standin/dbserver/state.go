package dbserver

import (
	"github.com/bronzeloft/bronzeloft/database/groupsql"
	"github.com/bronzeloft/bronzeloft/position"
)

// Arg is one bound parameter of a statement.
type Arg struct {
	Null bool   `json:"n,omitempty"`
	Text string `json:"t,omitempty"` // value in text format
	Blob []byte `json:"b,omitempty"` // set instead of Text for binary values
}

// Statement is one statement of a log entry with its parameters.
type Statement struct {
	SQL  string `json:"sql"`
	Args []Arg  `json:"args,omitempty"`
}

// Entry is the log entry of one committed write transaction. The marker, the
// first entry of a term, has no statements.
type Entry struct {
	Term       uint64      `json:"term"`
	Index      uint64      `json:"index"`     // the first entry has index 1
	Committed  int64       `json:"committed"` // Unix time in nanoseconds
	Statements []Statement `json:"statements,omitempty"`
}

// Position returns the entry's position in the log.
func (e Entry) Position() position.Position {
	return position.Position{Term: e.Term, Index: e.Index}
}

// state is the log, the promised term and the role of a server. The server's mutex
// guards it. Kill and Restart keep the log, the promised term and its claimant.
type state struct {
	log      []Entry // log[i] has index i+1
	accepted uint64  // highest term promised
	claimant string  // claimant to which accepted is promised, empty if none
	role     groupsql.Role
	term     uint64 // term that a primary leads or a replica follows
	source   string // address that a replica follows, empty if none
	epoch    uint64 // incremented at every change of role, term or source
	bootID   string
}

// newState returns the state of a new server. The log of a new primary contains
// the marker of its term.
func newState(primary bool, term uint64, source, bootID string, now int64) *state {
	st := &state{accepted: term, term: term, role: groupsql.Replica, source: source, bootID: bootID}
	if primary {
		st.role, st.source = groupsql.Primary, ""
		st.append(nil, now)
	}
	return st
}

// last returns the position of the last entry.
func (st *state) last() position.Position {
	if len(st.log) == 0 {
		return position.Position{}
	}
	return st.log[len(st.log)-1].Position()
}

// termAt returns the term of the entry at index, 0 if there is no such entry.
func (st *state) termAt(index uint64) uint64 {
	if index == 0 || index > uint64(len(st.log)) {
		return 0
	}
	return st.log[index-1].Term
}

// report returns the report on the state, with ok as the outcome of an operation.
func (st *state) report(ok bool) groupsql.Report {
	return groupsql.Report{
		Position: st.last(),
		Accepted: st.accepted,
		Claimant: st.claimant,
		Role:     st.role,
		BootID:   st.bootID,
		OK:       ok,
	}
}

// leads reports whether the server is the primary of exactly this term.
func (st *state) leads(term uint64) bool {
	return st.role == groupsql.Primary && st.term == term
}

// apply performs op and reports whether it was accepted.
func (st *state) apply(op groupsql.Op, now int64) bool {
	switch op.Kind {
	case groupsql.OpFence:
		return st.fence(op.Term, op.Claimant)
	case groupsql.OpPromote:
		return st.promote(op.Term, op.Claimant, now)
	case groupsql.OpFollow:
		return st.follow(op.Term, op.Address)
	default:
		return true
	}
}

// fence promises term to claimant and stops the server from leading or following
// an earlier term. It returns false if the server has accepted a later term, or
// the same term with another claimant or none.
func (st *state) fence(term uint64, claimant string) bool {
	if term < st.accepted || term == st.accepted && claimant != st.claimant {
		return false
	}
	st.accepted, st.claimant = term, claimant
	if st.role != groupsql.Fenced && st.term == term {
		return true // already leads or follows that term
	}
	st.setRole(groupsql.Fenced, term, "")
	return true
}

// promote makes a server that is fenced at (term, claimant) the primary and
// appends the marker of the term. It returns true without a change if the server
// already leads term, and false if it has accepted another term or claimant or
// follows another primary of term.
func (st *state) promote(term uint64, claimant string, now int64) bool {
	if term != st.accepted || claimant != st.claimant {
		return false
	}
	if st.leads(term) {
		return true
	}
	if st.role != groupsql.Fenced {
		return false // already follows another primary of this term
	}
	st.setRole(groupsql.Primary, term, "")
	st.append(nil, now)
	return true
}

// follow makes the server a replica of the primary of term at address. It returns
// false if the server has accepted a later term or leads term itself.
func (st *state) follow(term uint64, address string) bool {
	if term < st.accepted || st.leads(term) {
		return false
	}
	if term > st.accepted {
		st.accepted, st.claimant = term, ""
	}
	if st.role != groupsql.Replica || st.term != term || st.source != address {
		st.setRole(groupsql.Replica, term, address)
	}
	return true
}

// restart changes the boot ID and the role for a new start of the server. A
// primary restarts as fenced at its term; a replica follows no primary until the
// next follow operation.
func (st *state) restart(bootID string) {
	st.bootID = bootID
	role := st.role
	if role == groupsql.Primary {
		role = groupsql.Fenced
	}
	st.setRole(role, st.term, "")
}

func (st *state) setRole(role groupsql.Role, term uint64, source string) {
	st.role, st.term, st.source = role, term, source
	st.epoch++
}

// append adds an entry of the primary's own term and returns its position.
func (st *state) append(statements []Statement, now int64) position.Position {
	e := Entry{Term: st.term, Index: uint64(len(st.log)) + 1, Committed: now, Statements: statements}
	st.log = append(st.log, e)
	return e.Position()
}

// commit appends the entry of a transaction whose first write was in term. It
// returns false if the server no longer leads that term.
func (st *state) commit(term uint64, statements []Statement, now int64) (position.Position, bool) {
	if !st.leads(term) {
		return position.Position{}, false
	}
	return st.append(statements, now), true
}

// pullStatus is the status in the primary's answer to a pull.
type pullStatus string

// The statuses of an answer to a pull.
const (
	pullMatch    pullStatus = "match"    // the logs are equal up to the requested position
	pullMismatch pullStatus = "mismatch" // the logs differ at the requested position; retry at the hint or before it
	pullRefused  pullStatus = "refused"  // the server is not the primary of that term, or the pull was canceled
)

// answerPull answers a pull by a replica of term for the entries after from, a
// position in the replica's log. It returns at most limit entries. After a mismatch
// the hint is the index in the replica's log from which to pull next.
func (st *state) answerPull(term uint64, from position.Position, limit int) (pullStatus, []Entry, uint64) {
	if !st.leads(term) {
		return pullRefused, nil, 0
	}
	if from.Index <= uint64(len(st.log)) && st.termAt(from.Index) == from.Term {
		rest := st.log[from.Index:]
		return pullMatch, rest[:min(limit, len(rest))], from.Index
	}
	hint := min(from.Index, uint64(len(st.log)))
	for hint > 0 && st.termAt(hint) > from.Term {
		hint--
	}
	if hint == from.Index {
		hint--
	}
	return pullMismatch, nil, hint
}

// follows reports whether the server is a replica and has not changed its role,
// term or source since epoch.
func (st *state) follows(epoch uint64) bool {
	return st.role == groupsql.Replica && st.epoch == epoch
}

// truncate removes the entries after index if the server still follows the same
// primary as at epoch. It reports whether the log was changed.
func (st *state) truncate(epoch, index uint64) bool {
	if !st.follows(epoch) || index >= uint64(len(st.log)) {
		return false
	}
	st.log = st.log[:index:index]
	return true
}

// appendReplicated appends e if the server still follows the same primary as at
// epoch and e is the next entry. It reports whether e was appended.
func (st *state) appendReplicated(epoch uint64, e Entry) bool {
	if !st.follows(epoch) || e.Index != uint64(len(st.log))+1 || e.Term > st.term {
		return false
	}
	st.log = append(st.log, e)
	return true
}

// dropLast removes the entry that appendReplicated added last.
func (st *state) dropLast() { st.log = st.log[:len(st.log)-1] }
