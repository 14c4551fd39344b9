// Command bronzeloft-trial runs a whole site in one process, kills a primary
// under load and reports lost writes, doubled writes and stale reads.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/bronzeloft/bronzeloft/internal/trial"
)

type options struct {
	Shops    int           `long:"shops" description:"callers at once" default:"24"`
	Duration time.Duration `long:"duration" description:"time under load" default:"6s"`
	Hold     bool          `long:"hold" description:"stay up afterwards and print how to connect with psql"`
	Verbose  bool          `short:"v" long:"verbose" description:"log what the hosts do"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(opts options) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	cfg := trial.Config{Shops: opts.Shops, Duration: opts.Duration, Out: os.Stdout}
	if opts.Verbose {
		cfg.Logger = slog.Default()
	}
	t, err := trial.Start(ctx, cfg)
	if err != nil {
		return err
	}
	defer t.Close()
	res, err := t.Run(ctx)
	if err != nil {
		return err
	}
	printTable(res)
	if opts.Hold {
		fmt.Printf("\nconnect with: psql '%s'\npress Ctrl-C to stop\n", t.ConnectionString(0))
		<-ctx.Done()
	}
	fmt.Println(res.Line())
	if res.Failed() {
		return errors.New("trial: acknowledged writes were lost, writes were doubled or reads were stale")
	}
	return nil
}

func printTable(r trial.Result) {
	rows := []struct {
		name  string
		value any
	}{
		{"requests", r.Requests},
		{"writes acknowledged", r.Acknowledged},
		{"writes lost", r.Lost},
		{"writes doubled", r.Doubled},
		{"reads", r.Reads},
		{"reads stale", r.Stale},
		{"refused, not run", r.Refused},
		{"outcome unknown, tried again", r.Unknown},
		{"failover gap", r.FailoverGap.Round(time.Millisecond)},
	}
	fmt.Println()
	for _, row := range rows {
		fmt.Printf("  %-30s %v\n", row.name, row.value)
	}
	fmt.Println()
}
