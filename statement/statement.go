// Package statement holds what callers ask of databases and what databases
// answer, apart from any wire protocol.
package statement

import (
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/position"
)

// Kind says what a statement does.
type Kind uint8

// The kinds of statements.
const (
	Unknown    Kind = iota // cannot be read: refused
	Begin                  // opens a transaction that may write
	BeginRead              // opens a transaction that only reads
	Commit                 // ends a transaction and keeps its writes
	Rollback               // ends a transaction and drops its writes
	Read                   // reads one item
	Write                  // writes one item
	Set                    // sets a value of the session
	Prepare                // names a statement for the session
	Execute                // runs a prepared statement
	Deallocate             // forgets a prepared statement
	Reset                  // drops the session's values and prepared statements
	Status                 // asks a database for its Report
	Pause                  // stops a replica from receiving; Term says for which primaries
	Resume                 // ends Pause
	Demote                 // makes a primary of a term below Term a replica
)

// names are the kinds' names in logs.
var names = [...]string{
	Unknown: "unknown", Begin: "begin", BeginRead: "begin read", Commit: "commit", Rollback: "rollback", Read: "read", Write: "write",
	Set: "set", Prepare: "prepare", Execute: "execute", Deallocate: "deallocate", Reset: "reset", Status: "status",
	Pause: "pause", Resume: "resume", Demote: "demote",
}

// String returns the kind's name in logs.
func (k Kind) String() string {
	if int(k) >= len(names) {
		return names[Unknown]
	}
	return names[k]
}

// Statement is one statement. Which fields count depends on its Kind.
type Statement struct {
	Kind   Kind
	Text   string            // as the caller sent it; Read, Write, Commit and Execute only
	Name   string            // of the value or the prepared statement
	Args   string            // of Execute after the name; of Set the value
	Writes bool              // Prepare: the prepared statement writes
	Shape  string            // Prepare: the statement's form
	After  position.Position // Read, Execute, BeginRead: the log must hold it; zero for none
	Term   uint64            // Pause and Demote
}

// Request is a statement with the id that its caller gave it. Statements of
// the proxy's own have no id.
type Request struct {
	ID string
	Statement
}

// State is the state of a session's transaction.
type State uint8

// The states of a transaction.
const (
	Idle   State = iota // none is open
	Open                // one is open
	Failed              // one failed and can only be ended
)

// Answer is the whole answer to one statement.
type Answer struct {
	Rows      []string
	Signature string            // the database's proof that it ran the statement; empty for the proxy's own answers
	Err       *errkind.Error    // nil on success
	State     State             // after the statement
	Position  position.Position // of the answering database's log; zero for none
}

// Report is what a database says of itself.
type Report struct {
	Primary     bool
	Term        uint64            // the newest that it knows
	Received    position.Position // end of its log
	Paused      uint64            // term of the Pause in force; 0 for none
	LagMillis   uint64            // how far its data is behind its log
	Busy        int               // slots in use
	Connections int
}
