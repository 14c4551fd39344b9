// Package tomlread reads and validates TOML. It collects every fault of a document
// instead of stopping at the first; each gives the file, line and key, what was
// found and what is allowed.
package tomlread

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one syntax error or invalid value in a document.
type Fault struct {
	File    string `json:"file"`
	Line    int    `json:"line,omitempty"` // from 1; 0 if unknown
	Key     string `json:"key,omitempty"`  // such as "request[2].deadline"
	Found   string `json:"found"`
	Allowed string `json:"allowed"`
}

// Error returns the fault as one line of text.
func (f Fault) Error() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	b.WriteString(": ")
	if f.Key != "" {
		b.WriteString(f.Key + ": ")
	}
	fmt.Fprintf(&b, "found %s, allowed: %s", f.Found, f.Allowed)
	return b.String()
}

// Faults is a list of faults that implements error.
type Faults []Fault

// Error returns one line for each fault.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Sort orders faults by file, line and key.
func (fs Faults) Sort() {
	slices.SortStableFunc(fs, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Key, b.Key))
	})
}

// Err returns fs as an error, nil when there is no fault.
func (fs Faults) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}
