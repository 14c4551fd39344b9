// Command standin-database runs a stand-in of one database server of a group,
// for trials. It stops on SIGTERM or SIGINT.
package main

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/bronzeloft/bronzeloft/internal/standin/dbserver"
)

// options are the flags of the command.
type options struct {
	Listen       string        `long:"listen" description:"IP:port to listen on" default:"127.0.0.1:0"`
	ID           string        `long:"id" description:"id of the database" required:"true"`
	Password     string        `long:"password" env:"STANDIN_PASSWORD" description:"password of clients and of the group's servers"`
	Primary      bool          `long:"primary" description:"start as the primary of the term"`
	Term         uint64        `long:"term" description:"initial term" default:"1"`
	Follow       string        `long:"follow" description:"IP:port of the primary to follow"`
	Lag          time.Duration `long:"lag" description:"replication lag"`
	ConnectDelay time.Duration `long:"connect-delay" description:"time that a new connection takes"`
	MaxConns     int           `long:"max-connections" description:"client connections" default:"100"`
	Slots        int           `long:"slots" description:"statements at once" default:"64"`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stderr))
}

// run serves until ctx ends and returns the exit code.
func run(ctx context.Context, args []string, stderr io.Writer) int {
	var opts options
	parser := flags.NewNamedParser("standin-database", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &opts); err != nil {
		return fail(stderr, err)
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return fail(stderr, err)
	}
	logger := slog.New(slog.NewTextHandler(stderr, nil))
	server, err := dbserver.Start(opts.config(logger))
	if err != nil {
		return fail(stderr, err)
	}
	defer server.Close()
	logger = logger.With("part", "standin-database", "id", opts.ID)
	logger.Info("Listening.", "address", server.Addr())
	<-ctx.Done()
	logger.Info("Stopping.")
	return 0
}

func (o options) config(logger *slog.Logger) dbserver.Config {
	return dbserver.Config{
		ID:           o.ID,
		Listen:       o.Listen,
		Password:     o.Password,
		MaxConns:     o.MaxConns,
		Slots:        o.Slots,
		ConnectDelay: o.ConnectDelay,
		Lag:          o.Lag,
		Primary:      o.Primary,
		Term:         o.Term,
		FollowAddr:   o.Follow,
		Logger:       logger,
	}
}

// fail prints err and returns the exit code, 0 for a request for help.
func fail(w io.Writer, err error) int {
	_, _ = io.WriteString(w, err.Error()+"\n")
	var e *flags.Error
	if errors.As(err, &e) && e.Type == flags.ErrHelp {
		return 0
	}
	return 1
}
