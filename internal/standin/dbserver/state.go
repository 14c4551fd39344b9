package dbserver

import (
	"github.com/bronzeloft/bronzeloft/database/groupsql"
	"github.com/bronzeloft/bronzeloft/position"
)

// Arg is one bound parameter of a statement.
type Arg struct {
	Null bool   `json:"n,omitempty"`
	Text string `json:"t,omitempty"` // the value in text format
	Blob []byte `json:"b,omitempty"` // set instead of Text for binary values
}

// Statement is one statement of a log entry with its parameters.
type Statement struct {
	SQL  string `json:"sql"`
	Args []Arg  `json:"args,omitempty"`
}

// Entry is one committed write transaction. The marker of a term has no
// statements.
type Entry struct {
	Term       uint64      `json:"term"`
	Index      uint64      `json:"index"` // 1 is the first
	Committed  int64       `json:"committed"`
	Statements []Statement `json:"statements,omitempty"`
}

// Position returns the entry's place in the log.
func (e Entry) Position() position.Position {
	return position.Position{Term: e.Term, Index: e.Index}
}

// state is the durable log and promises of a server together with its role. It
// has no lock of its own: the server's mutex guards it.
type state struct {
	log      []Entry // log[i] has index i+1
	accepted uint64
	claimant string
	role     groupsql.Role
	term     uint64 // the term that a primary leads or a replica follows
	source   string // address that a replica follows, empty when none
	epoch    uint64 // rises with every change of role, term or source
	bootID   string
}

// newState returns the state of a new server. A new primary has the marker of
// its term.
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

// termAt returns the term of the entry at index, 0 at the start of the log.
func (st *state) termAt(index uint64) uint64 {
	if index == 0 || index > uint64(len(st.log)) {
		return 0
	}
	return st.log[index-1].Term
}

// report returns the server's account of itself.
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

// leads reports whether the server is the primary of exactly term.
func (st *state) leads(term uint64) bool {
	return st.role == groupsql.Primary && st.term == term
}

// apply carries out op and reports whether it was accepted.
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

// fence promises term to claimant.
func (st *state) fence(term uint64, claimant string) bool {
	if term < st.accepted || term == st.accepted && claimant != st.claimant {
		return false
	}
	st.accepted, st.claimant = term, claimant
	if st.role != groupsql.Fenced && st.term == term {
		return true // already leads or follows that term
	}
	st.change(groupsql.Fenced, term, "")
	return true
}

// promote makes a server that is fenced at (term, claimant) the primary and
// appends the marker of the term.
func (st *state) promote(term uint64, claimant string, now int64) bool {
	if term != st.accepted || claimant != st.claimant {
		return false
	}
	if st.leads(term) {
		return true
	}
	if st.role != groupsql.Fenced {
		return false // it follows another primary of this term
	}
	st.change(groupsql.Primary, term, "")
	st.append(nil, now)
	return true
}

// follow makes the server a replica of the primary of term at address.
func (st *state) follow(term uint64, address string) bool {
	if term < st.accepted || st.leads(term) {
		return false
	}
	if term > st.accepted {
		st.accepted, st.claimant = term, ""
	}
	if st.role != groupsql.Replica || st.term != term || st.source != address {
		st.change(groupsql.Replica, term, address)
	}
	return true
}

// restart keeps what is durable. A primary comes back fenced at its term, a
// replica waits to be told whom to follow.
func (st *state) restart(bootID string) {
	st.bootID = bootID
	role := st.role
	if role == groupsql.Primary {
		role = groupsql.Fenced
	}
	st.change(role, st.term, "")
}

func (st *state) change(role groupsql.Role, term uint64, source string) {
	st.role, st.term, st.source = role, term, source
	st.epoch++
}

// append adds an entry of the primary's own term and returns its position.
func (st *state) append(statements []Statement, now int64) position.Position {
	e := Entry{Term: st.term, Index: uint64(len(st.log)) + 1, Committed: now, Statements: statements}
	st.log = append(st.log, e)
	return e.Position()
}

// commit appends the entry of a transaction that began writing in term. It
// reports false when the server no longer leads that term.
func (st *state) commit(term uint64, statements []Statement, now int64) (position.Position, bool) {
	if !st.leads(term) {
		return position.Position{}, false
	}
	return st.append(statements, now), true
}

// pullStatus is the primary's answer to a pull.
type pullStatus string

// The answers to a pull.
const (
	pullMatch    pullStatus = "match"    // the logs agree up to the asked position
	pullMismatch pullStatus = "mismatch" // they differ there; try again at or before the hint
	pullRefused  pullStatus = "refused"  // not the primary of that term
)

// serve answers a follower of term whose log has an entry at from. The
// returned entries follow from; the hint is an index.
func (st *state) serve(term uint64, from position.Position, limit int) (pullStatus, []Entry, uint64) {
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

// follows reports whether the server still is the replica that it was at epoch.
func (st *state) follows(epoch uint64) bool {
	return st.role == groupsql.Replica && st.epoch == epoch
}

// cut drops the entries after index, if the server still follows as at epoch.
// It reports whether the log was changed.
func (st *state) cut(epoch, index uint64) bool {
	if !st.follows(epoch) || index >= uint64(len(st.log)) {
		return false
	}
	st.log = st.log[:index:index]
	return true
}

// accept appends an entry of the primary that the server follows since epoch.
func (st *state) accept(epoch uint64, e Entry) bool {
	if !st.follows(epoch) || e.Index != uint64(len(st.log))+1 || e.Term > st.term {
		return false
	}
	st.log = append(st.log, e)
	return true
}

// drop takes back the entry that accept added last.
func (st *state) drop() { st.log = st.log[:len(st.log)-1] }
