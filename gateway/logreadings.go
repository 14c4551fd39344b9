package gateway

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/bronzeloft/bronzeloft/customer/retry"
	"github.com/bronzeloft/bronzeloft/position"
	"github.com/bronzeloft/bronzeloft/statement"
)

// readingTime is a moment of a replacement at which the logs of the databases are read.
type readingTime int

const (
	atChoice readingTime = iota // when the successor was chosen
	atCall                      // while the last promotion call was under way
	atEffect                    // when the promotion was seen to have taken effect
	readingTimes
)

// logReading is the end of a database's log; the zero value is one that was not read.
type logReading struct {
	received position.Position
	answered bool
	paused   bool
	failure  failure
}

// logReadings are the ends of the databases' logs during an attempt. They are recorded
// beside the attempt too.
type logReadings struct {
	mu   sync.Mutex
	byID map[string]*[readingTimes]logReading
}

// record records a database's report.
func (r *logReadings) record(t readingTime, id string, report statement.Report, answered bool) {
	r.recordQuery(t, id, report, answered, "")
}

// recordQuery is record with the failure of a query that was not answered.
func (r *logReadings) recordQuery(t readingTime, id string, report statement.Report, answered bool, why failure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID == nil {
		r.byID = map[string]*[readingTimes]logReading{}
	}
	if r.byID[id] == nil {
		r.byID[id] = &[readingTimes]logReading{}
	}
	r.byID[id][t] = logReading{failure: why}
	if answered {
		r.byID[id][t] = logReading{received: report.Received, answered: true, paused: isPaused(report)}
	}
}

// text describes the readings, the database with the given id first and then the longest
// logs, such as "i-1 3/1301p>=p>3/1301, i-2 3/1226>3/1301>=, i-3 ->->-".
func (r *logReadings) text(first string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for id := range r.byID {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int {
		switch first {
		case a:
			return -1
		case b:
			return 1
		}
		return cmp.Or(longest(r.byID[b]).Compare(longest(r.byID[a])), cmp.Compare(a, b))
	})
	for i, id := range ids {
		ids[i] = id + " " + readingText(r.byID[id])
	}
	return strings.Join(ids, ", ")
}

// longest returns the end of the longest log of the readings.
func longest(readings *[readingTimes]logReading) (out position.Position) {
	for _, r := range readings {
		out = position.Max(out, r.received)
	}
	return out
}

// readingText describes one database's readings in their order: the end of the log, "=" for
// the one before, or "-" for a database that did not answer, with the mark of its failure, and a p if it was paused.
func readingText(readings *[readingTimes]logReading) string {
	parts := make([]string, len(readings))
	var before logReading
	for i, r := range readings {
		switch {
		case !r.answered:
			parts[i] = "-" + r.failure.mark()
		case before.answered && before.received == r.received:
			parts[i] = "="
		default:
			parts[i] = r.received.String()
		}
		if r.paused {
			parts[i] += "p"
		}
		if r.answered {
			before = r
		}
	}
	return strings.Join(parts, ">")
}

// recordLogs records the last reports of all databases.
func (a *replacement) recordLogs(t readingTime) {
	for _, c := range a.conns {
		a.trace.logs.recordQuery(t, c.db.ID, c.report, c.answered, c.failure)
	}
}

// readLogsAtCall reads the logs of the listed databases beside the promotion call, which
// does not wait for that. The attempt's own connections are in use meanwhile.
func (a *replacement) readLogsAtCall() {
	for _, p := range a.s.allPools() {
		go func() {
			report, ok := a.s.queryStatus(p)
			a.trace.logs.record(atCall, p.db.ID, report, ok)
		}()
	}
}

// endLineDelay is the time from the end of a replacement to the line that sums it up: a
// record that keeps the last lines only then has it.
const endLineDelay = 300 * time.Millisecond

// afterEnd calls f in the background after endLineDelay.
func (a *replacement) afterEnd(f func()) {
	go func() {
		retry.Wait(a.s.g.ctx, endLineDelay)
		f()
	}()
}
