package main

import (
	"bufio"
	"encoding/json"
	"os"
	"time"
)

// entry is one commit in the log.
type entry struct {
	ID     string    `json:"id"` // of the COMMIT, or of the single write
	At     time.Time `json:"at"`
	Term   int       `json:"term"`
	Writes []write   `json:"writes"`
}

type write struct{ ID, Item, Data string }

// progress is a growth of a database's log.
type progress struct {
	at       time.Time
	received int
}

// ran is a statement that a database has run.
type ran struct {
	At      time.Time `json:"at"`
	ID      string    `json:"id"`
	Text    string    `json:"text"`
	Applied int       `json:"applied"` // entries of the log that it ran on
}

// journalLine is a line of a database's journal: an entry that was appended, or the
// number of entries that were kept when a promotion rolled back the others.
type journalLine struct {
	At    time.Time `json:"at"`
	Entry *entry    `json:"entry,omitempty"`
	Kept  *int      `json:"kept,omitempty"`
	Ran   *ran      `json:"ran,omitempty"`
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
	log     []entry
	history []progress
	ran     []ran
}

// readJournal reads the journal of a database, which may be running.
func readJournal(path string) (logFile, error) {
	var out logFile
	file, err := os.Open(path)
	if err != nil {
		return out, err
	}
	defer file.Close()
	lines := bufio.NewReader(file)
	for {
		raw, err := lines.ReadBytes('\n')
		if err != nil {
			return out, nil // its last line may be incomplete
		}
		var line journalLine
		if err := json.Unmarshal(raw, &line); err != nil {
			return out, err
		}
		switch {
		case line.Entry != nil:
			out.log = append(out.log, *line.Entry)
			out.history = append(out.history, progress{line.At, len(out.log)})
		case line.Kept != nil:
			out.log = out.log[:*line.Kept]
		case line.Ran != nil:
			out.ran = append(out.ran, *line.Ran)
		}
	}
}

// receivedAt returns when a commit was received, if the log holds it.
func (f logFile) receivedAt(number int, id string) (time.Time, bool) {
	if number > len(f.log) || f.log[number-1].ID != id {
		return time.Time{}, false
	}
	var at time.Time
	for _, p := range f.history {
		if p.received == number {
			at = p.at // the last time counts, after rollbacks
		}
	}
	return at, true
}

// commonLength returns the number of entries up to which a log has the ids of another.
func commonLength(log []entry, ids []string) int {
	n := min(len(log), len(ids))
	for n > 0 && log[n-1].ID != ids[n-1] {
		n--
	}
	return n
}

func idsOf(log []entry) []string {
	out := make([]string, len(log))
	for i, e := range log {
		out[i] = e.ID
	}
	return out
}
