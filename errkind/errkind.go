// Package errkind defines all error kinds that callers and peers can receive, and
// the answer that callers get for each.
//
// Every error states its Outcome: whether the request ran. A kind whose Outcome
// is NotRun may be returned only when the request certainly changed no data: no
// byte of the statement can have reached a database, the database refused it, its
// transaction was rolled back, or it was a read.
package errkind

import (
	"errors"
	"fmt"
)

// Kind identifies an error. The zero value is Internal, so that an unset kind
// never claims that a request did not run.
type Kind uint8

// The kinds. Append only: hosts send the numbers to each other.
const (
	Internal            Kind = iota // a fault of the proxy itself
	BadKey                          // no valid key, a key of a customer other than the user name, or no TLS where it is required
	KeyWithdrawn                    // the key is withdrawn, no longer listed or now held by another customer
	UnknownDatabase                 // the database name in the startup message matches no service, or no longer does
	Protocol                        // malformed or out-of-order protocol message
	TooLarge                        // a message or batch beyond its size limit
	NotSupported                    // a feature of the wire protocol that is not supported
	SessionState                    // session state that cannot be kept on a shared connection
	OverRate                        // the customer's rate and burst are spent
	QueueFull                       // the expected wait exceeds the deadline, or the queue is full
	DeadlineNotRun                  // the deadline passed before the statement was sent
	OutcomeUnknown                  // the statement was sent, but it is unknown whether it took effect
	NoPrimary                       // no confirmed primary within the deadline
	NoMajority                      // a fresh read cannot be confirmed by a majority
	TooStale                        // no data is known to be within the accepted age
	TokenAhead                      // the session token's position is past the end of the group's log
	TokenCut                        // the log entry at the session token's position was cut off by a later term
	Leaving                         // this host, or the one that relays the session to it, is shutting down
	RequestIDReused                 // the request id was used with another statement, or its record may have been deleted by now
	AnswerNotKept                   // the request was done earlier; its answer was too large to keep
	DatabaseUnavailable             // no connection to a database could be obtained, or the database could not run the request yet
	PrimaryReplaced                 // the database refused because it is fenced or a replica, or the transaction was rolled back
	ConnectionLimit                 // too many caller connections on this host
	UnknownStatement                // a prepared statement that the caller did not prepare
	IdleTransaction                 // the transaction was idle for too long and was rolled back
	DatabaseBusy                    // the database refused because it is overloaded
	DatabaseBehind                  // the database's log has not reached the required position
	DatabaseFull                    // the database refused a connection because it has too many
	WrongDatabase                   // a different database answered at the address
	TransactionAborted              // the transaction was rolled back before its commit
	StatementFailed                 // the database ran the statement, which failed
	StatementTimeout                // the database did not answer within the statement's time limit
	OutOfPlace                      // a statement that the session's state does not allow, such as one in a failed transaction
	numKinds
)

// Outcome is whether a request that got an error ran, as far as is known.
type Outcome uint8

// The outcomes. Unknown is the zero value, the safe assumption.
const (
	Unknown Outcome = iota // may or may not have run
	NotRun                 // certainly did not run, or changed no data
	Done                   // ran and was committed
)

// String returns "unknown", "not run" or "done", as shown to callers.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not run"
	case Done:
		return "done"
	default:
		return "unknown"
	}
}

// Answer is what a caller sees for a kind.
type Answer struct {
	Name     string  // stable lower-case name, used in logs and metrics
	SQLState string  // five-character SQLSTATE
	Outcome  Outcome // whether the request ran
	Fatal    bool    // the caller's connection is closed after the answer
	Message  string  // the primary message
	Hint     string  // suggested action for the caller
}

// answers is indexed by Kind.
var answers = [numKinds]Answer{
	Internal:            {"internal", "XX000", Unknown, true, "internal error of the proxy", ""},
	BadKey:              {"bad_key", "28P01", NotRun, true, "key not accepted", "present a current key as the password"},
	KeyWithdrawn:        {"key_withdrawn", "28000", NotRun, true, "key was withdrawn", "reconnect with a current key"},
	UnknownDatabase:     {"unknown_database", "3D000", NotRun, true, "no such service", "name a published service as the database"},
	Protocol:            {"protocol", "08P01", NotRun, true, "protocol violation", ""},
	TooLarge:            {"too_large", "54000", NotRun, false, "request is too large", ""},
	NotSupported:        {"not_supported", "0A000", NotRun, false, "feature is not served by the proxy", "the README lists what is served"},
	SessionState:        {"session_state", "0A000", NotRun, false, "session state cannot be kept on shared connections", "use it inside a transaction"},
	OverRate:            {"over_rate", "53400", NotRun, false, "customer is over its rate", "retry later with backoff"},
	QueueFull:           {"queue_full", "53300", NotRun, false, "database is too busy to meet the deadline", "retry later with backoff"},
	DeadlineNotRun:      {"deadline", "57014", NotRun, false, "deadline passed before the request was sent", "retry"},
	OutcomeUnknown:      {"outcome_unknown", "08007", Unknown, false, "outcome of the request is unknown", "repeat it only with the same request id, or if it is idempotent"},
	NoPrimary:           {"no_primary", "57P03", NotRun, false, "no confirmed primary", "retry"},
	NoMajority:          {"no_majority", "57P03", NotRun, false, "freshness cannot be confirmed", "retry, or accept an age in the contract"},
	TooStale:            {"too_stale", "57P03", NotRun, false, "no data within the accepted age", "retry"},
	TokenAhead:          {"token_ahead", "22023", NotRun, false, "session token lies ahead of the group", "reconnect without the token"},
	TokenCut:            {"token_cut", "22023", NotRun, false, "session token belongs to a term that was cut short", "reconnect without the token"},
	Leaving:             {"leaving", "57P01", NotRun, true, "host is shutting down", "reconnect"},
	RequestIDReused:     {"request_id_reused", "22023", NotRun, false, "request id was used with another statement", "use a new request id"},
	AnswerNotKept:       {"answer_not_kept", "22000", Done, false, "request was done earlier; its answer was not kept", "read the result back"},
	DatabaseUnavailable: {"database_unavailable", "57P03", NotRun, false, "no database can be reached", "retry"},
	PrimaryReplaced:     {"primary_replaced", "57P03", NotRun, false, "primary was replaced", "retry"},
	ConnectionLimit:     {"connection_limit", "53300", NotRun, true, "host has too many caller connections", "reconnect later"},
	IdleTransaction:     {"idle_transaction", "25P03", NotRun, true, "transaction was idle for too long and was rolled back", "reconnect"},
	DatabaseBusy:        {"database_busy", "53300", NotRun, false, "database is overloaded", "retry later with backoff"},
	DatabaseBehind:      {"database_behind", "57P03", NotRun, false, "database has not caught up", "retry"},
	DatabaseFull:        {"database_full", "53300", NotRun, false, "database has too many connections", "retry later with backoff"},
	WrongDatabase:       {"wrong_database", "57P03", NotRun, false, "another database answers at the address", "retry"},
	TransactionAborted:  {"transaction_aborted", "40001", NotRun, false, "transaction was rolled back", "retry the whole transaction"},
	StatementFailed:     {"statement_failed", "XX000", Unknown, false, "statement failed", ""},
	StatementTimeout:    {"statement_timeout", "57014", Unknown, false, "no answer within the statement's time", ""},
	OutOfPlace:          {"out_of_place", "25P02", NotRun, false, "statement is not allowed now", "end the transaction"},
	UnknownStatement:    {"unknown_statement", "26000", NotRun, false, "prepared statement does not exist", "prepare it on this connection"},
}

// Answer returns what a caller sees for k. A number that is no kind is treated as
// Internal.
func (k Kind) Answer() Answer {
	if k >= numKinds {
		k = Internal
	}
	return answers[k]
}

// String returns the stable name of k, as used in logs and metrics.
func (k Kind) String() string { return k.Answer().Name }

// All returns every kind in order.
func All() []Kind {
	all := make([]Kind, numKinds)
	for i := range all {
		all[i] = Kind(i)
	}
	return all
}

// Error is an error of a known kind.
type Error struct {
	Kind   Kind
	Detail string // shown to the caller; never holds a key
	Err    error  // cause, for logs only; may be nil
}

// Error implements error.
func (e *Error) Error() string {
	s := e.Kind.String()
	if e.Detail != "" {
		s += ": " + e.Detail
	}
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// New returns an error of kind k with a formatted detail.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of kind k caused by err.
func Wrap(k Kind, err error, detail string) *Error {
	return &Error{Kind: k, Detail: detail, Err: err}
}

// Of returns the kind of the first Error in the chain of err, or Internal if there
// is none.
func Of(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}
