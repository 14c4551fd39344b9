package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/errkind"
)

// failure is why a database did not answer a query of a replacement attempt, in logs: one of
// the constants, or the name of the error kind with which it answered.
type failure string

const (
	failureRefused failure = "refused"        // nothing listens at its address
	failureOther   failure = "other_database" // another database answers there
	failureReset   failure = "reset"          // the connection was accepted and then closed
	failureSilent  failure = "silent"         // no answer in time
	failureError   failure = "error"          // any other error of the network
)

// failureOf returns the failure that an error shows.
func failureOf(err error) failure {
	var timeout net.Error
	var kindErr *errkind.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return failureRefused
	case errkind.Of(err) == errkind.WrongDatabase:
		return failureOther
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return failureReset
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return failureSilent
	case errors.As(err, &kindErr):
		return failure(kindErr.Kind.Answer().Name)
	}
	return failureError
}

// laterFailure returns the failure of a query after one more try. The last try is cut short
// by the time limit of the query, so that it shows less than an earlier one.
func laterFailure(before, last failure) failure {
	if before != "" && last == failureSilent {
		return before
	}
	return last
}

// mark returns the letter that stands for a failure in a log reading, or an empty string.
func (f failure) mark() string {
	switch f {
	case failureRefused:
		return "r"
	case failureOther:
		return "o"
	case failureReset:
		return "x"
	}
	return ""
}

// describeUnread describes a database that was not read, such as "refused awaited recorded
// unlisted 8s": how its address behaved, and what tells whether its log is needed.
func (a *replacement) describeUnread(c succession.Candidate) string {
	var words []string
	add := func(word string, set bool) {
		if set {
			words = append(words, word)
		}
	}
	conn := a.conn(c.ID)
	earlier := conn != nil && conn.db.StartMillis != c.StartMillis
	add("earlier_start", earlier) // its process has ended, and another one runs under its id
	if conn != nil && !earlier {
		add(string(conn.failure), conn.failure != "")
	}
	add("primary", c.Replaced)
	add("awaited", c.MustBeRead())
	add("passed_over", !c.Replaced && !c.MustBeRead())
	add("abandoned", c.Abandoned)
	place := a.roster.Databases[c.ID]
	add("retiring", place.Retiring && c.Recorded)
	add("shutdown_announced", place.Leaving && c.Recorded)
	add("recorded", c.Recorded)
	add("not_recorded", !c.Recorded && a.listsRead)
	add("unlisted"+a.unlistedFor(c.ID), !c.Listed && !earlier)
	return strings.Join(words, " ")
}

// unlistedFor returns for how long a database has not been listed, such as " 8s", or an
// empty string if this host does not know.
func (a *replacement) unlistedFor(id string) string {
	a.s.mu.Lock()
	since := a.s.table.MissingSince(id)
	a.s.mu.Unlock()
	if since.IsZero() {
		return ""
	}
	return fmt.Sprintf(" %ds", int(a.s.g.now().Sub(since)/time.Second))
}

// unreadText describes all databases that were not read: those that are awaited, then the
// primary that is replaced, then the others.
func (a *replacement) unreadText() string {
	var awaited, primary, others []string
	for _, c := range a.allLogs() {
		text := c.ID + " " + a.describeUnread(c)
		switch {
		case c.Answered:
		case c.MustBeRead():
			awaited = append(awaited, text)
		case c.Replaced:
			primary = append(primary, text)
		default:
			others = append(others, text)
		}
	}
	if c := a.conn(a.primary); c != nil && !c.answered && len(primary) == 0 && a.isReplaced(a.primary) {
		primary = append(primary, c.db.ID+" "+a.describeUnread(a.primaryCandidate(c)))
	}
	return strings.Join(slices.Concat(awaited, primary, others), ", ")
}
