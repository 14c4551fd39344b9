// Package statement defines the statements that callers send to databases and the
// answers of databases, independent of any wire protocol.
package statement

import (
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/position"
)

// Kind is the kind of a statement.
type Kind uint8

// The kinds of statements.
const (
	Unknown    Kind = iota // could not be parsed; refused
	Begin                  // opens a transaction that may write
	BeginRead              // opens a transaction that only reads
	Commit                 // commits a transaction
	Rollback               // rolls back a transaction
	Read                   // reads one item
	Write                  // writes one item
	Set                    // sets a session value
	Prepare                // prepares a named statement for the session
	Execute                // runs a prepared statement
	Deallocate             // removes a prepared statement
	Reset                  // clears the session's values and prepared statements
	Status                 // requests a database's Report
	Pause                  // stops a replica from receiving; Term determines from which primaries
	Resume                 // ends Pause
)

// kindNames are the names of the kinds, as used in logs.
var kindNames = [...]string{
	Unknown: "unknown", Begin: "begin", BeginRead: "begin read", Commit: "commit", Rollback: "rollback", Read: "read", Write: "write",
	Set: "set", Prepare: "prepare", Execute: "execute", Deallocate: "deallocate", Reset: "reset", Status: "status",
	Pause: "pause", Resume: "resume",
}

// String returns the kind's name, as used in logs.
func (k Kind) String() string {
	if int(k) >= len(kindNames) {
		return kindNames[Unknown]
	}
	return kindNames[k]
}

// Statement is one statement. Its Kind determines which fields are used.
type Statement struct {
	Kind   Kind
	Text   string            // as sent by the caller; Read, Write and Commit only
	Name   string            // name of the value or the prepared statement
	Args   string            // Execute: the text after the name; Set: the value
	Writes bool              // Prepare: the prepared statement writes
	Shape  string            // Prepare: definition of the prepared statement; not interpreted by the proxy
	After  position.Position // Read, Execute, BeginRead: position that the log must have reached; zero for none
	Term   uint64            // Pause: the least term of a primary from which the replica goes on receiving
}

// Request is a statement with its caller's request id. Statements issued by the
// proxy itself have no id.
type Request struct {
	ID string
	Statement
}

// State is the state of a session's transaction.
type State uint8

// The states of a transaction.
const (
	Idle   State = iota // no transaction is open
	Open                // a transaction is open
	Failed              // the transaction failed and can only be ended
)

// Answer is the complete answer to one statement.
type Answer struct {
	Rows      []string
	Signature string            // the database's proof that it ran the statement; empty for the proxy's own answers
	Err       *errkind.Error    // nil on success
	State     State             // after the statement
	Position  position.Position // position of the answering database's log; zero for none
}

// Report is a database's own status.
type Report struct {
	Primary     bool
	Term        uint64            // newest term known to the database
	Received    position.Position // end of its log
	Paused      uint64            // it receives from no primary of a term below this one; 0 for no limit
	LagMillis   uint64            // milliseconds by which its data lags behind its log
	Busy        int               // slots in use
	Connections int
}
