// Package logcut cuts a host's log as the record of an incident holds it: few lines, each
// of limited length. What a line has to show must survive the cut.
package logcut

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"time"
)

// Bounds of a record.
const (
	MaxLines = 5   // of one host
	MaxChars = 200 // of one line
	MaxHosts = 8   // the first by name
)

// line is a line of a log with what decides whether it is kept.
type line struct {
	raw     string
	at      time.Time
	named   bool // it names one of the requests
	notable bool
}

// Cut returns the lines of one host's log that a record holds, in the order of their times:
// those that name one of the requests, and then warnings and failures, the last ones of
// each. Lines outside of from to until are left out; a zero time is no bound.
func Cut(log []byte, requests []string, from, until time.Time) []string {
	var named, notable []line
	for raw := range bytes.Lines(log) {
		l, ok := parse(raw, requests)
		switch {
		case !ok || l.at.Before(from) || !until.IsZero() && l.at.After(until):
		case l.named:
			named = append(named, l)
		case l.notable:
			notable = append(notable, l)
		}
	}
	named = last(named, MaxLines)
	kept := append(named, last(notable, MaxLines-len(named))...)
	slices.SortStableFunc(kept, func(a, b line) int { return a.at.Compare(b.at) })
	out := make([]string, len(kept))
	for i, l := range kept {
		out[i] = l.raw[:min(len(l.raw), MaxChars)]
	}
	return out
}

func last(lines []line, n int) []line { return lines[max(0, len(lines)-n):] }

// parse decodes a line; it returns false for one that is not JSON.
func parse(raw []byte, requests []string) (line, bool) {
	var fields struct {
		Time       time.Time
		Level, Msg string
		Error      *string
	}
	if json.Unmarshal(raw, &fields) != nil {
		return line{}, false
	}
	l := line{raw: string(bytes.TrimRight(raw, "\r\n")), at: fields.Time}
	l.named = slices.ContainsFunc(requests, func(id string) bool { return id != "" && strings.Contains(l.raw, id) })
	l.notable = fields.Level == "WARN" || fields.Level == "ERROR" || fields.Error != nil || strings.Contains(strings.ToLower(fields.Msg), "fail")
	return l, true
}
