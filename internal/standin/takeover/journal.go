package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"math"
	"os"
	"slices"
	"time"
)

// entry is one commit in the log.
type entry struct {
	ID     string    `json:"id"` // of the COMMIT, or of the single write
	At     time.Time `json:"at"`
	Term   int       `json:"term"`
	Number int       `json:"number"` // grows from entry to entry
	Writes []write   `json:"writes"`
}

type write struct{ ID, Item, Data string }

// ran is a statement that a database has run.
type ran struct {
	At      time.Time `json:"at"`
	ID      string    `json:"id"`
	Text    string    `json:"text"`
	Applied int       `json:"applied"` // number of the last entry that it ran on
	line    int       // of the journal
}

// journalLine is a line of a database's journal: an entry that was appended, or the
// number of entries that were kept when a promotion rolled back the others.
type journalLine struct {
	At    time.Time `json:"at"`
	Entry *entry    `json:"entry,omitempty"`
	Kept  *int      `json:"kept,omitempty"`
	Ran   *ran      `json:"ran,omitempty"`
	// Confirmed is the id of a commit whose success was written to a host.
	Confirmed string `json:"confirmed,omitempty"`
}

// journal is the file in which a database keeps its log, and what it has run. What was
// written outlives the process.
type journal struct{ file *os.File }

func openJournal(path string) (*journal, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	return &journal{file}, nil
}

// write appends lines.
func (j *journal) write(lines ...journalLine) {
	var out []byte
	for _, line := range lines {
		line.At = time.Now()
		raw, err := json.Marshal(line)
		if err != nil {
			panic(err) // of a type above
		}
		out = append(append(out, raw...), '\n')
	}
	if _, err := j.file.Write(out); err != nil {
		panic(err) // the database cannot go on without its log
	}
}

// logFile is what a journal holds.
type logFile struct {
	log   []entry
	stays map[string][]stay // of commits in the log, by id
	ran   []ran

	confirmed map[string]bool // commits, by id, whose success was written to a host
}

// stay is the time from the receipt of a commit to its removal.
type stay struct {
	at          time.Time
	line, until int // of the journal
}

// readLog reads the log of a database, which may be running.
func readLog(path string) (logFile, error) { return readLines(path, true) }

// readJournal reads the log of a database, which may be running, and what it has run and
// confirmed.
func readJournal(path string) (logFile, error) { return readLines(path, false) }

// outsideLog begins, behind the time, the lines that do not change the log.
var outsideLog = [][]byte{[]byte(`","ran":`), []byte(`","confirmed":`)}

// isOutsideLog reports whether a line does not change the log, without parsing it.
func isOutsideLog(raw []byte) bool {
	start := raw[:min(len(raw), 64)]
	return slices.ContainsFunc(outsideLog, func(begin []byte) bool { return bytes.Contains(start, begin) })
}

func readLines(path string, onlyLog bool) (logFile, error) {
	out := logFile{stays: map[string][]stay{}, confirmed: map[string]bool{}}
	file, err := os.Open(path)
	if err != nil {
		return out, err
	}
	defer file.Close()
	lines := bufio.NewReader(file)
	for n := 0; ; n++ {
		raw, err := lines.ReadBytes('\n')
		if err != nil {
			return out, nil // its last line may be incomplete
		}
		if onlyLog && isOutsideLog(raw) {
			continue
		}
		var line journalLine
		if err := json.Unmarshal(raw, &line); err != nil {
			return out, err
		}
		switch {
		case line.Entry != nil:
			out.log = append(out.log, *line.Entry)
			out.stays[line.Entry.ID] = append(out.stays[line.Entry.ID], stay{line.At, n, math.MaxInt})
		case line.Kept != nil:
			for _, e := range out.log[*line.Kept:] {
				stays := out.stays[e.ID]
				stays[len(stays)-1].until = n
			}
			out.log = out.log[:*line.Kept]
		case line.Ran != nil:
			line.Ran.line = n
			out.ran = append(out.ran, *line.Ran)
		case line.Confirmed != "":
			out.confirmed[line.Confirmed] = true
		}
	}
}

// receivedAt returns when a commit was received last, if the log holds it.
func (f logFile) receivedAt(id string) (time.Time, bool) {
	stays := f.stays[id]
	if len(stays) == 0 || stays[len(stays)-1].until != math.MaxInt {
		return time.Time{}, false
	}
	return stays[len(stays)-1].at, true
}

// lastReceipt returns when a commit was received last, also if the log has lost it since.
func (f logFile) lastReceipt(id string) (time.Time, bool) {
	stays := f.stays[id]
	if len(stays) == 0 {
		return time.Time{}, false
	}
	return stays[len(stays)-1].at, true
}

// heldAt reports whether the log held a commit at a line of the journal.
func (f logFile) heldAt(line int, id string) bool {
	return slices.ContainsFunc(f.stays[id], func(s stay) bool { return s.line < line && line < s.until })
}

// retained returns the number of entries up to which another log has all of a log, and
// those behind that it has too, if logs have gaps.
func retained(log []entry, other []string) (int, []entry) {
	has := make(map[string]bool, len(other))
	for _, id := range other {
		has[id] = true
	}
	first := slices.IndexFunc(log, func(e entry) bool { return !has[e.ID] })
	if first < 0 {
		return len(log), nil
	}
	return first, slices.DeleteFunc(slices.Clone(log[first:]), func(e entry) bool { return !has[e.ID] })
}

func idsOf(log []entry) []string {
	out := make([]string, len(log))
	for i, e := range log {
		out[i] = e.ID
	}
	return out
}
