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
	out := "unread"
	if conn := a.conn(c.ID); conn != nil && conn.failure != "" {
		out += " " + string(conn.failure)
	}
	switch {
	case c.ID == a.primary && !slices.ContainsFunc(a.replicas(), func(r *controlConn) bool { return r.db.ID == c.ID }):
		out += " primary" // the one to be replaced
	case c.UnreadMayRun():
		out += " awaited"
	default:
		out += " passed_over"
	}
	place, recorded := a.roster.Databases[c.ID]
	recorded = recorded && place.StartMillis == c.StartMillis
	for _, flag := range []struct {
		name string
		set  bool
	}{{"abandoned", recorded && place.Abandoned}, {"retiring", recorded && place.Retiring}, {"recorded", recorded}, {"not_recorded", a.listsRead && !recorded}} {
		if flag.set {
			out += " " + flag.name
		}
	}
	if !c.Listed {
		out += " unlisted" + a.unlistedFor(c.ID)
	}
	return out
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

// unreadText describes all databases that were not read, the primary first.
func (a *replacement) unreadText() string {
	var parts []string
	if c := a.conn(a.primary); c != nil && !c.answered {
		parts = append(parts, c.db.ID+strings.TrimPrefix(a.describeUnread(a.primaryCandidate(c)), "unread"))
	}
	for _, c := range a.candidates() {
		if !c.Answered && c.ID != a.primary {
			parts = append(parts, c.ID+strings.TrimPrefix(a.describeUnread(c), "unread"))
		}
	}
	return strings.Join(parts, ", ")
}

// primaryCandidate describes the primary to be replaced as candidates does the replicas.
func (a *replacement) primaryCandidate(c *controlConn) succession.Candidate {
	return succession.Candidate{ID: c.db.ID, Answered: c.answered, Refused: c.refused, Listed: a.listed(c.db.ID), Leaving: c.db.Leaving, Received: c.report.Received, StartMillis: c.db.StartMillis}
}
