// Command bronzeloft runs the database proxy on one host.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/bronzeloft/bronzeloft/host"
	"github.com/bronzeloft/bronzeloft/settings"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

type options struct {
	Config string `short:"c" long:"config" value-name:"FILE" description:"settings, a TOML file" required:"true"`
	Check  bool   `long:"check" description:"check the settings and exit"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			return
		}
		os.Exit(exitSettings)
	}
	cfg, err := settings.Load(opts.Config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if opts.Check {
		fmt.Printf("%s: ok\n", opts.Config)
		return
	}
	run := runHost
	if cfg.Site.Callers != "" {
		run = runSite
	}
	if err := run(cfg, opts.Config); err != nil {
		slog.Error("Host failed to start or to shut down.", "part", "host", "error", err)
		os.Exit(exitFailed)
	}
}

// runHost serves a site whose teams publish contracts, until a signal or an
// operator stops the host, then shuts down gracefully.
func runHost(cfg *settings.Host, _ string) error {
	logger := host.NewLogger(cfg.Log, os.Stderr)
	slog.SetDefault(logger)
	opt, err := host.FromSettings(cfg, logger)
	if err != nil {
		return err
	}
	h := host.New(opt)
	if err := h.Start(); err != nil {
		return err
	}
	defer h.Close()
	signals, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	select {
	case <-h.Done():
		return nil
	case <-signals.Done():
	}
	ctx, cancel := context.WithTimeout(context.Background(), cfg.Shutdown.Grace)
	defer cancel()
	return h.Drain(ctx)
}
