// Command logcut prints the logs of hosts as the record of an incident holds them: for
// each of the first hosts by name a few lines, cut short. Its arguments are the log files,
// one of each host.
package main

import (
	"cmp"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/bronzeloft/bronzeloft/internal/logcut"
)

func main() {
	requests := flag.String("requests", "", "comma-separated ids of the requests that the record is about")
	at := flag.String("at", "", "time of the incident, RFC 3339; empty for the whole logs")
	around := flag.Duration("around", 8*time.Second, "time before and after the incident")
	flag.Parse()
	if err := run(os.Stdout, flag.Args(), strings.Split(*requests, ","), *at, *around); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(out io.Writer, files, requests []string, at string, around time.Duration) error {
	var from, until time.Time
	if at != "" {
		t, err := time.Parse(time.RFC3339Nano, at)
		if err != nil {
			return fmt.Errorf("time of the incident: %w", err)
		}
		from, until = t.Add(-around), t.Add(around)
	}
	files = slices.SortedFunc(slices.Values(files), func(a, b string) int { return cmp.Compare(filepath.Base(a), filepath.Base(b)) })
	for _, file := range files[:min(len(files), logcut.MaxHosts)] {
		raw, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "== Log of %s\n", strings.TrimSuffix(filepath.Base(file), ".log"))
		for _, line := range logcut.Cut(raw, requests, from, until) {
			fmt.Fprintln(out, line)
		}
		fmt.Fprintln(out)
	}
	return nil
}
