package ctl

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// printJSON prints v as JSON.
func (a *app) printJSON(v any) error {
	enc := json.NewEncoder(a.env.Out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// printf prints one line of human-readable output.
func (a *app) printf(format string, args ...any) { fmt.Fprintf(a.env.Out, format+"\n", args...) }

// table prints rows in columns under a heading.
func (a *app) table(heading []string, rows [][]string) error {
	tw := tabwriter.NewWriter(a.env.Out, 0, 4, 2, ' ', 0)
	for _, row := range append([][]string{heading}, rows...) {
		fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	return tw.Flush()
}

// printLines prints each item on a line.
func printLines[T fmt.Stringer](a *app, items []T) {
	for _, item := range items {
		a.printf("%s", item)
	}
}
