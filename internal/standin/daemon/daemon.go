// Package daemon is what the commands of the stand-ins share: flags, a log,
// and serving until told to stop.
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
	Addr() string
	Close()
}

// Run reads args into opts, starts a server and serves until ctx ends. It
// returns the exit code: 0 also for a request for help.
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
	logger.Info("Listening.", "address", server.Addr())
	<-ctx.Done()
	logger.Info("Stopping.")
	return 0
}

// fail prints err and returns the exit code.
func fail(w io.Writer, err error) int {
	_, _ = io.WriteString(w, err.Error()+"\n")
	var e *flags.Error
	if errors.As(err, &e) && e.Type == flags.ErrHelp {
		return 0
	}
	return 1
}
