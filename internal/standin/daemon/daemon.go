// Package daemon contains the code that the commands of the stand-ins share: flag
// parsing, logging, and serving until the context ends. A stand-in is a server
// that simulates a database or the platform.
package daemon

import (
	"context"
	"errors"
	"io"
	"log/slog"

	"github.com/jessevdk/go-flags"
)

// Server is a running stand-in.
type Server interface {
	Addr() string // the address that it listens on
	Close()       // stops it
}

// Run parses args into opts, a pointer to a struct with flag tags, starts a
// server and serves until ctx ends. It writes the log, errors and the help text
// to stderr. It returns the exit code: 1 if args are invalid or the server does
// not start, else 0, also for a request for help.
func Run(ctx context.Context, name string, args []string, stderr io.Writer, opts any, start func(*slog.Logger) (Server, error)) int {
	parser := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", opts); err != nil {
		return fail(stderr, err)
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return fail(stderr, err)
	}
	logger := slog.New(slog.NewTextHandler(stderr, nil))
	server, err := start(logger)
	if err != nil {
		return fail(stderr, err)
	}
	defer server.Close()
	logger = logger.With("part", name)
	logger.Info("Listening for connections.", "address", server.Addr())
	<-ctx.Done()
	logger.Info("Shutting down the server.")
	return 0
}

// fail prints err and returns the exit code: 0 for a request for help, else 1.
func fail(w io.Writer, err error) int {
	_, _ = io.WriteString(w, err.Error()+"\n")
	var e *flags.Error
	if errors.As(err, &e) && e.Type == flags.ErrHelp {
		return 0
	}
	return 1
}
