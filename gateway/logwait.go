package gateway

import (
	"errors"
	"log/slog"
	"slices"
	"strings"
	"time"

	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/position"
)

// Timing of the wait for logs.
const (
	// logWaitFor is how long after an attempt that found a wait it is taken to last: this
	// host's next attempt has ended by then.
	logWaitFor = attemptLimit + succession.WaitDelay + succession.RetryDelay
	// logWaitLineEvery is the time between two log lines about one wait.
	logWaitLineEvery = 10 * time.Second
)

// logWaitRemedy is what an operator can do about a wait.
const logWaitRemedy = "start the databases again with their logs, or the primary; for those that never return: bronzeloftctl log list, then log abandon"

// logWait is the state in which a service has no primary and no successor may be chosen
// before databases that do not answer have been read. Whether that ends within the time of
// a statement cannot be expected, so those that need a primary are refused at once.
// service.mu guards it.
type logWait struct {
	found     []string  // databases that this host's last attempt waits for; empty if it doesn't
	foundAt   time.Time // end of that attempt
	elsewhere []string  // databases that other hosts' attempts wait for, by their last messages
	since     time.Time // since when this host knows of the wait; zero if there is none
	nextLine  time.Time // earliest next log line about it
	logged    bool      // this host has written one
}

// databasesAwaited returns the databases for which the service waits as far as this host
// knows. mu is held.
func (s *service) databasesAwaited() []string {
	if len(s.logWait.found) > 0 {
		return s.logWait.found
	}
	return s.logWait.elsewhere
}

// awaitedLogs returns the databases that this attempt has not read, and without which no
// successor may be chosen. There are none while a database answers as the primary.
func (a *replacement) awaitedLogs() (ids []string) {
	if slices.ContainsFunc(a.conns, func(c *controlConn) bool { return c.answered && c.report.Primary }) {
		return nil
	}
	candidates := a.allLogs()
	for _, c := range candidates {
		if c.MustBeRead() {
			ids = append(ids, c.ID)
		}
	}
	best, ok := succession.Longest(candidates)
	acked, floor := a.bounds(position.Max(a.acked, a.ackedElsewhere()))
	if len(ids) == 0 && (!ok || best.Lacks(acked) || best.Lacks(floor)) {
		for _, c := range candidates {
			if !c.Answered && !c.Abandoned {
				ids = append(ids, c.ID) // any of them may hold what is missing
			}
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids) // an earlier process of a database is a candidate of its own
}

// recordLogWait records whether this attempt, which has not chosen a successor, waits for
// logs.
func (a *replacement) recordLogWait(err error) {
	var ids []string
	if errors.Is(err, errNoSuccessor) {
		ids = a.awaitedLogs()
	}
	unread := a.unreadText()
	s, now := a.s, a.s.g.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	w := &s.logWait
	w.found, w.foundAt = ids, now
	s.logWaitChanged(now, "the databases that are needed answer")
	if len(ids) == 0 || now.Before(w.nextLine) {
		return
	}
	w.nextLine, w.logged = now.Add(logWaitLineEvery), true
	s.g.logChange("promotion", slog.LevelWarn, "Service waits for the logs of databases.", "service", s.name, "databases", strings.Join(ids, " "),
		"unread", unread, "for_ms", now.Sub(w.since).Milliseconds(), "since", wallTime(now, w.since), "primary", a.primary,
		"acked", position.Max(a.acked, a.trace.acked).String(), "floor", a.floor.String(), "record", a.trace.rosterAt, "remedy", logWaitRemedy)
}

// wallTime returns the time of the wall clock at which the host's clock, now at now, was at t.
func wallTime(now, t time.Time) string {
	return time.Now().Add(t.Sub(now)).UTC().Format(time.RFC3339Nano)
}

// logWaitChanged is called after a change of what is known of the wait. reason is why it has
// ended, if it has. mu is held.
func (s *service) logWaitChanged(now time.Time, reason string) {
	w := &s.logWait
	awaited := len(s.databasesAwaited()) > 0
	switch {
	case awaited && w.since.IsZero():
		w.since = now
		if len(w.found) == 0 {
			w.nextLine = now.Add(logWaitLineEvery) // another host has written one
		}
		s.notifyChange() // statements that wait for a primary are refused
	case !awaited && !w.since.IsZero():
		if w.logged {
			s.g.logChange("promotion", slog.LevelWarn, "Service no longer waits for the logs of databases.", "service", s.name,
				"for_ms", now.Sub(w.since).Milliseconds(), "reason", reason, "since", wallTime(now, w.since))
		}
		*w = logWait{}
	}
}

// endLogWait ends the wait as far as this host's attempts have found it. mu is held.
func (s *service) endLogWait(reason string) {
	s.logWait.found = nil
	s.logWaitChanged(s.g.now(), reason)
}

// updateLogWait ends a wait that no longer applies and applies the reports of other hosts.
func (s *service) updateLogWait(now time.Time) {
	s.mu.Lock()
	_, reachable := s.reachablePrimary()
	s.mu.Unlock()
	var elsewhere []string
	if !reachable {
		elsewhere = s.g.peers.databasesAwaited(s.name, now)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w, reason := &s.logWait, "no host has found it again"
	if reachable {
		w.found, reason = nil, "a primary is reachable"
	} else if !s.promotion.running && now.Sub(w.foundAt) >= logWaitFor {
		w.found = nil // this host makes no more attempts
	}
	w.elsewhere = elsewhere
	s.logWaitChanged(now, reason)
}

// servicesAwaitingLogs returns the number of services that wait for logs as far as this host
// knows.
func (g *Gateway) servicesAwaitingLogs() (n int) {
	for _, s := range g.allServices() {
		s.mu.Lock()
		if len(s.databasesAwaited()) > 0 {
			n++
		}
		s.mu.Unlock()
	}
	return n
}
