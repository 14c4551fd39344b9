// Command standin-database runs a simulated database server of a group for
// trials. It stops on SIGTERM or SIGINT.
package main

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/bronzeloft/bronzeloft/internal/standin/daemon"
	"github.com/bronzeloft/bronzeloft/internal/standin/dbserver"
)

// options are the command-line flags.
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
	return daemon.Run(ctx, "standin-database", args, stderr, &opts, func(logger *slog.Logger) (daemon.Server, error) {
		return dbserver.Start(opts.config(logger.With("id", opts.ID)))
	})
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
