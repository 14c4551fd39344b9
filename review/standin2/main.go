// Command standin2 plays one case of the second review: it starts the project's daemon as
// separate processes on loopback addresses, serves the platform's store, the promotion calls and
// the databases, runs the callers, and checks one rule from what callers, databases and the
// platform have seen.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// playable is a case: its deployment, and its play, which returns whether the rule was broken.
type playable struct {
	layout func() layout
	play   func(s *site, trouble bool) (bool, error)
}

// cases are the playable cases by name.
var cases = map[string]playable{
	"foreign-entry": {smallLayout, playForeignEntry},
	"reborn":        {smallLayout, playReborn},
	"replaced":      {smallLayout, playReplaced},
	"reports":       {smallLayout, playReports},
	"unreadable":    {smallLayout, playUnreadable},
	"prepared":      {smallLayout, playPrepared},
	"many-tenants":  {manyTenantsLayout, playManyTenants},
	"zero-rate":     {smallLayout, playZeroRate},
}

func main() {
	name := flag.String("case", "", "case to play")
	daemon := flag.String("daemon", "target/bronzeloft", "the project's daemon")
	out := flag.String("record", "record.txt", "file for the record")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	os.Exit(run(*name, *daemon, *out, *trouble))
}

func run(name, daemon, out string, trouble bool) int {
	c, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitFailed
	}
	file, err := os.Create(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer file.Close()
	rec := &record{file: file, started: time.Now()}
	if daemon, err = filepath.Abs(daemon); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	s, err := newSite(rec, daemon, c.layout())
	if err != nil {
		rec.logf("the site did not start: %v", err)
		return exitFailed
	}
	defer s.stop()
	stopOnSignal(s)
	broken, err := c.play(s, trouble)
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
	file    *os.File
	started time.Time
}

// logf writes one line with the time since the start of the play.
func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}
