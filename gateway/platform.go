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

// Platform is where a gateway runs: its protocols, its store and its calls.
type Platform interface {
	// Objects is the store, where all that must last is kept.
	Objects() objectapi.Objects
	// ConfigurationKind and ConfigurationName name the operator's object.
	ConfigurationKind() string
	ConfigurationName() string
	// DatabasesKind names the objects in which databases announce themselves.
	DatabasesKind() string
	DecodeConfiguration(value []byte) (*routes.Configuration, error)
	DecodeDatabase(name string, value []byte) (routes.Database, error)
	// Accept returns the caller at the far end of a connection.
	Accept(conn net.Conn) Caller
	// Dial connects to a database on behalf of a customer. A refusal of the
	// database is an errkind.Error.
	Dial(ctx context.Context, db routes.Database, customer string) (Connection, error)
	// Promote makes a database lead its service. An error that wraps
	// succession.ErrRefused had no effect; after any other it may take effect
	// later.
	Promote(ctx context.Context, order succession.Order) error
	// ReadyHandler answers the platform's ready probe.
	ReadyHandler(ready func() bool) http.Handler
}

// Caller is one caller's connection. It is used by one goroutine, but for
// SetReadDeadline and Close.
type Caller interface {
	Startup() (database, key string, err error)
	Welcome() error
	Reject(err *errkind.Error) error
	Receive() (statement.Request, error)
	Answer(a statement.Answer) error
	Buffered() bool
	SetReadDeadline(t time.Time)
	Close() error
}

// Connection is a connection to one database. It is used by one goroutine at a
// time, but for Close.
type Connection interface {
	// Run sends requests in one packet and returns their answers. An error
	// comes with the answers that were complete before it.
	Run(deadline time.Time, requests ...statement.Request) ([]statement.Answer, error)
	// Report reads what the database says of itself from an answer.
	Report(a statement.Answer) (statement.Report, error)
	// Close ends the connection; what was sent may still run.
	Close() error
	// Reset ends the connection so that what was sent and has not reached the
	// database never does. It may be called while Run is under way.
	Reset()
}

// last returns the last of a batch's answers.
func last(answers []statement.Answer) statement.Answer { return answers[len(answers)-1] }
