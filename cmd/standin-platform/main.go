// Command standin-platform simulates the platform's object API and its list of
// hosts for trials. It stops on SIGTERM or SIGINT.
package main

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bronzeloft/bronzeloft/internal/standin/daemon"
	"github.com/bronzeloft/bronzeloft/internal/standin/platformserver"
	"github.com/bronzeloft/bronzeloft/objectapi"
)

// options are the command-line flags.
type options struct {
	Listen   string        `long:"listen" description:"IP:port to listen on" default:"127.0.0.1:0"`
	Hosts    []string      `long:"hosts" description:"host as datacentre=IP:port, with ,leaving when it leaves; may be repeated"`
	HostsLag time.Duration `long:"hosts-lag" description:"lag of the list of hosts"`
	Keep     int           `long:"keep-events" description:"events kept for watches" default:"1000"`
	Slow     time.Duration `long:"slow" description:"delay of every call"`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stderr))
}

// run serves until ctx ends and returns the exit code.
func run(ctx context.Context, args []string, stderr io.Writer) int {
	var opts options
	return daemon.Run(ctx, "standin-platform", args, stderr, &opts, func(logger *slog.Logger) (daemon.Server, error) {
		hosts, err := parseHosts(opts.Hosts)
		if err != nil {
			return nil, err
		}
		server, err := platformserver.Start(platformserver.Config{
			Listen:     opts.Listen,
			KeepEvents: opts.Keep,
			HostsLag:   opts.HostsLag,
			Hosts:      hosts,
			Logger:     logger,
		})
		if err != nil {
			return nil, err
		}
		server.SetDelay(opts.Slow)
		return server, nil
	})
}

// parseHosts parses entries of the form "datacentre=IP:port[,leaving]".
func parseHosts(entries []string) ([]objectapi.HostState, error) {
	var hosts []objectapi.HostState
	for _, entry := range entries {
		dc, rest, ok := strings.Cut(entry, "=")
		address, mark, marked := strings.Cut(rest, ",")
		if !ok || dc == "" || address == "" || marked && mark != "leaving" {
			return nil, eris.Errorf("host %q is not datacentre=IP:port[,leaving]", entry)
		}
		hosts = append(hosts, objectapi.HostState{Address: address, DataCentre: dc, Leaving: marked})
	}
	return hosts, nil
}
