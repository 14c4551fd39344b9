package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/objectapi"
	"github.com/bronzeloft/bronzeloft/statement"
)

// Platform is the environment of a gateway: its protocols, its object store and
// its promotion call.
type Platform interface {
	// Objects returns the store, which holds all persistent state.
	Objects() objectapi.Objects
	// Eras returns what is known of the eras of the store. Answers of it make them known.
	Eras() *objectapi.Eras
	// ConfigurationKind and ConfigurationName identify the object with the
	// operator's configuration.
	ConfigurationKind() string
	ConfigurationName() string
	// DatabasesKind is the kind of the objects in which databases announce
	// themselves.
	DatabasesKind() string
	// EvacuationsKind is the kind of the objects that are named by the data centres to evacuate.
	EvacuationsKind() string
	// CheckDataCentre returns an error if a name cannot be that of a data centre.
	CheckDataCentre(name string) error
	DecodeConfiguration(value []byte) (*routes.Configuration, error)
	DecodeDatabase(name string, value []byte) (routes.Database, error)
	// Accept wraps an accepted connection in the callers' protocol.
	Accept(conn net.Conn, limits CallerLimits) Caller
	// Dial connects to a database on behalf of a customer. If the database answers
	// the startup message with an error, this is returned as an errkind.Error.
	Dial(ctx context.Context, db routes.Database, customer string) (Connection, error)
	// Promote orders the promotion of a database to the primary of its service.
	// After an error that wraps succession.ErrRefused the order has no effect;
	// after any other error it may still take effect later.
	Promote(ctx context.Context, order succession.Order) error
	// ReadyHandler returns the handler of the platform's readiness probe.
	ReadyHandler(ready func() bool) http.Handler
}

// CallerLimits bound the messages of one caller.
type CallerLimits struct {
	// Hold is called before more bytes of a message, or of an answer, are kept, with their
	// number, and with 0 before the next message. It may wait. An error ends the connection.
	Hold           func(bytes int) error
	MessageTimeout time.Duration // from the first byte of a message to its last
}

// Caller is one caller's connection. It is used by a single goroutine, except for
// SetReadDeadline and Close, which any goroutine may call.
type Caller interface {
	// Startup reads the startup message: the name of the route, which callers use
	// as a database name, and the customer's key, which may be empty.
	Startup() (route, key string, err error)
	// Welcome accepts the caller's startup message.
	Welcome() error
	// Reject sends an error that ends the session.
	Reject(err *errkind.Error) error
	// Receive reads the next request. It returns an errkind.Error for a malformed
	// request, a timeout error when the read deadline passes, and net.ErrClosed when
	// the caller has ended the session.
	Receive() (statement.Request, error)
	// Answer sends the answer to one request.
	Answer(a statement.Answer) error
	// Buffered reports whether bytes from the caller have been read but not yet
	// returned by Receive.
	Buffered() bool
	// SetReadDeadline sets the deadline of Receive, also of a running one; the zero
	// time means none.
	SetReadDeadline(t time.Time)
	Close() error
}

// Connection is a connection to one database. It is used by one goroutine at a
// time, except for Close and Reset.
type Connection interface {
	// Run sends requests in one write and returns their answers. With an error it
	// also returns the answers received completely before it.
	Run(deadline time.Time, requests ...statement.Request) ([]statement.Answer, error)
	// Report decodes the database's status report from an answer.
	Report(a statement.Answer) (statement.Report, error)
	// Close closes the connection; requests already sent may still run.
	Close() error
	// Reset aborts the connection: requests that have been sent but have not
	// reached the database are discarded. It may be called during Run.
	Reset()
}

// lastAnswer returns the last answer of a batch, which must not be empty.
func lastAnswer(answers []statement.Answer) statement.Answer { return answers[len(answers)-1] }
