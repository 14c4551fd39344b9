// Package trial runs a small site on the loopback interface under load, kills a
// primary halfway and checks the results against what the databases hold.
package trial

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bronzeloft/bronzeloft/contract"
	"github.com/bronzeloft/bronzeloft/examples"
	"github.com/bronzeloft/bronzeloft/internal/defaults"
	"github.com/bronzeloft/bronzeloft/internal/loopback"
	"github.com/bronzeloft/bronzeloft/internal/standin/platformserver"
)

// Config configures a trial. Zero values are replaced by the defaults.
type Config struct {
	Shops    int           // number of concurrent callers
	Duration time.Duration // how long the load runs; the primary is killed halfway
	Out      io.Writer     // receives progress messages; discarded when nil
	Logger   *slog.Logger  // logger of the hosts; logs are discarded when nil
}

// Defaults of Config, and time limits.
const (
	DefaultShops    = 24
	DefaultDuration = 6 * time.Second
	readyLimit      = 20 * time.Second // until the configuration is in force on every host
	settleLimit     = 10 * time.Second // until the last primary answers, after the load
)

// Result holds the counts of a trial.
type Result struct {
	Requests     int // attempts of writes, and reads
	Acknowledged int // writes
	Lost         int // acknowledged writes that the last primary does not hold
	Doubled      int // writes that the last primary holds more than once
	Stale        int // reads that did not return a write acknowledged before
	Refused      int // requests that failed with a known outcome, and reads that failed
	Unknown      int // write attempts with an unknown outcome, except those that the end of the load interrupted
	Reads        int
	FailoverGap  time.Duration // longest time between two acknowledged writes, the second one after the kill
}

// Line returns the summary that the trial prints as its last line.
func (r Result) Line() string {
	return fmt.Sprintf("trial: requests=%d acknowledged=%d lost=%d doubled=%d stale=%d refused=%d failover_gap_ms=%d",
		r.Requests, r.Acknowledged, r.Lost, r.Doubled, r.Stale, r.Refused, r.FailoverGap.Milliseconds())
}

// Failed reports whether an acknowledged write was lost, a write was doubled or a
// read was stale.
func (r Result) Failed() bool { return r.Lost > 0 || r.Doubled > 0 || r.Stale > 0 }

// Trial is a running site with its stand-in platform.
type Trial struct {
	Site     *loopback.Site
	Platform *platformserver.Server
	Key      string // plaintext of the customer's key
	cfg      Config
}

// Start starts the site, publishes its configuration and waits until that is in force
// on every host.
func Start(ctx context.Context, cfg Config) (*Trial, error) {
	cfg = cfg.withDefaults()
	t := &Trial{cfg: cfg}
	var err error
	if t.Platform, err = platformserver.Start(platformserver.Config{}); err != nil {
		return nil, eris.Wrap(err, "start stand-in platform")
	}
	snap, faults := contract.LoadFS(examples.Files, examples.TrialDir)
	if len(faults) > 0 {
		t.Platform.Close()
		return nil, eris.Errorf("load example team files: %v", faults[0])
	}
	key := loopback.MustKey("shop-key")
	t.Key = key.Plaintext
	snap.Customers[0].Keys = []contract.Key{key.Stored}
	t.Site, err = loopback.Start(loopback.Config{
		Snapshot:    snap,
		Hosts:       3,
		PlatformURL: t.Platform.URL(),
		Logger:      cfg.Logger,
	})
	if err != nil {
		t.Platform.Close()
		return nil, err
	}
	if err := t.publish(ctx); err != nil {
		t.Close()
		return nil, err
	}
	return t, nil
}

func (c Config) withDefaults() Config {
	defaults.Set(&c.Shops, DefaultShops)
	defaults.Set(&c.Duration, DefaultDuration)
	if c.Out == nil {
		c.Out = io.Discard
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	return c
}

func (t *Trial) publish(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	res, err := contract.Publish(ctx, t.Site.Client(), t.Site.Snapshot, contract.PublishOptions{Operator: "trial"})
	if err != nil {
		return eris.Wrap(err, "publish")
	}
	t.progressf("example configuration published as version %d", res.Version)
	return t.Site.WaitReady(ctx, res.Version)
}

// Close stops the site and the platform.
func (t *Trial) Close() {
	t.Site.Close()
	t.Platform.Close()
}

func (t *Trial) progressf(format string, args ...any) {
	fmt.Fprintf(t.cfg.Out, format+"\n", args...)
}

// Run puts the site under load, kills the primary halfway and checks the orders
// that the last primary holds.
func (t *Trial) Run(ctx context.Context) (Result, error) {
	if err := t.createTable(ctx); err != nil {
		return Result{}, err
	}
	load := newLoad(t)
	ctx, cancel := context.WithTimeout(ctx, t.cfg.Duration)
	defer cancel()
	var shops sync.WaitGroup
	for i := range t.cfg.Shops {
		shops.Add(1)
		go func() {
			defer shops.Done()
			load.runShop(ctx, i)
		}()
	}
	t.progressf("%d callers place orders and read them back through %d hosts", t.cfg.Shops, len(t.Site.Hosts))
	t.killMidway(ctx, load)
	shops.Wait()
	return load.verify()
}

// killMidway kills the primary when half of the load's duration has passed.
func (t *Trial) killMidway(ctx context.Context, load *load) {
	select {
	case <-time.After(t.cfg.Duration / 2):
	case <-ctx.Done():
		return
	}
	id := t.primary()
	load.recordKill(time.Now())
	t.Site.Databases[id].Kill()
	t.progressf("primary %s killed after %d requests", id, load.requestCount())
}

// primary returns the database that the first host considers the primary.
func (t *Trial) primary() string {
	return t.Site.Hosts[0].Status().Groups[0].Primary
}
