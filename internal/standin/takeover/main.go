// Command takeover plays takeovers with real processes: it starts the project's daemon as
// separate processes on loopback addresses, and its own binary as their databases, serves
// the platform's store and the promotion calls, runs the callers, and checks one rule
// from what callers and databases have seen.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not
// run.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// cases are the playable cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*site, bool) (bool, error){
	"takeover": playTakeover,
}

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// modeDatabase is the first argument of a database's process.
const modeDatabase = "database"

func main() {
	if len(os.Args) > 1 && os.Args[1] == modeDatabase {
		os.Exit(runDatabase(os.Args[2:]))
	}
	name := flag.String("case", "takeover", "case to play")
	daemon := flag.String("daemon", "target/bronzeloft", "the project's daemon")
	older := flag.String("older", "", "a daemon of another version; the fleet starts as it, is upgraded host by host, rolled back in part, and upgraded again")
	out := flag.String("record", "record.txt", "file for the record")
	trouble := flag.Bool("trouble", true, "with the disruption")
	seed := flag.Uint64("seed", 1, "seed of the faults")
	layout := flag.String("layout", "small", "layout of the site: "+layoutNames())
	plan := flag.String("plan", "faults", "plan of the faults: faults, record for the day of issue 33, again for services that are promoted again within seconds, or away for two databases of a service that are down at once")
	with := flag.String("with", "", "comma-separated variants: "+variantNames())
	confirmed := flag.Bool("confirmed", false, "the rule is broken also by commits that were confirmed to a host only")
	flag.Parse()
	os.Exit(run(options{confirmed: *confirmed, name: *name, daemon: *daemon, older: *older, out: *out, trouble: *trouble, seed: *seed, layout: *layout, plan: *plan, with: *with}))
}

// options are those of the command line.
type options struct {
	name, daemon, older, out string
	trouble, confirmed       bool
	seed                     uint64
	layout, plan, with       string
}

func run(o options) int {
	play := cases[o.name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", o.name)
		return exitFailed
	}
	file, err := os.Create(o.out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer file.Close()
	rec := &record{file: file, started: time.Now()}
	builds, err := newBuilds(o.daemon, o.older)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	with, err := parseVariants(o.with)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	l, err := newLayout(rec, o.layout, o.plan, with, o.seed)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	l.judgesConfirmed = o.confirmed
	s, err := newSite(rec, builds, l)
	if err != nil {
		rec.logf("the site did not start: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer s.stop()
	stopOnSignal(s)
	broken, err := play(s, o.trouble)
	switch {
	case err != nil:
		rec.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case broken:
		rec.logf("result: the rule was broken")
		return exitBroken
	}
	rec.logf("result: the rule held")
	return exitHeld
}

// stopOnSignal ends the site's processes when the play itself is interrupted.
func stopOnSignal(s *site) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		s.rec.logf("interrupted by %v", <-signals)
		s.stop()
		os.Exit(exitFailed)
	}()
}

// record is the record of one play.
type record struct {
	mu      sync.Mutex
	file    io.Writer
	started time.Time
	notes   []note
}

// note is a line of the time line.
type note struct {
	at   time.Time
	text string
}

// notef writes a line that is also part of the time line.
func (r *record) notef(format string, args ...any) {
	n := note{at: time.Now(), text: fmt.Sprintf(format, args...)}
	r.logf("%s", n.text)
	r.mu.Lock()
	r.notes = append(r.notes, n)
	r.mu.Unlock()
}

// seconds returns the seconds since the start of the play.
func (r *record) seconds(at time.Time) float64 { return at.Sub(r.started).Seconds() }

// logf writes one line with the time since the start of the play.
func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}
