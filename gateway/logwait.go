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
	logWaitFor = attemptLimit + 2*succession.RetryDelay
	// logWaitLineEvery is the time between two log lines about one wait.
	logWaitLineEvery = 10 * time.Second
)

// logWait is the state in which a service has no primary and no successor may be chosen
// before databases that do not answer have been read. Whether that ends within the time of
// a statement cannot be expected, so those that need a primary are refused at once.
// service.mu guards it.
type logWait struct {
	databases []string  // that this host's attempts wait for; empty if they don't
	since     time.Time // of the first attempt that found it
	foundAt   time.Time // end of the last one
	loggedAt  time.Time
	elsewhere []string // that other hosts' attempts wait for, by their last messages
}

// databasesAwaited returns the databases for which the service waits as far as this host
// knows. mu is held.
func (s *service) databasesAwaited() []string {
	if len(s.logWait.databases) > 0 {
		return s.logWait.databases
	}
	return s.logWait.elsewhere
}

// awaitedLogs returns the databases that this attempt has not read, and without which no
// successor may be chosen. There are none while a database answers as the primary.
func (a *replacement) awaitedLogs() (ids []string) {
	if slices.ContainsFunc(a.conns, func(c *controlConn) bool { return c.answered && c.report.Primary }) {
		return nil
	}
	candidates := a.candidates()
	for _, c := range candidates {
		if c.MustBeRead() {
			ids = append(ids, c.ID)
		}
	}
	best, ok := succession.Longest(candidates)
	acked := position.Max(a.acked, a.ackedElsewhere())
	if len(ids) == 0 && (!ok || best.Lacks(acked) || best.Lacks(a.floor)) {
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
	if len(ids) == 0 {
		s.endLogWait("the databases that are needed answer")
		return
	}
	w := &s.logWait
	if len(w.databases) == 0 {
		w.since, w.loggedAt = now, time.Time{}
	}
	changed := !slices.Equal(w.databases, ids)
	w.databases, w.foundAt = ids, now
	if changed {
		s.notifyChange() // statements that wait for a primary are refused
	}
	if w.loggedAt.IsZero() || now.Sub(w.loggedAt) >= logWaitLineEvery {
		w.loggedAt = now
		s.g.logChange("promotion", slog.LevelWarn, "Service waits for the logs of databases.", "service", s.name, "databases", strings.Join(ids, " "),
			"unread", unread, "for_ms", now.Sub(w.since).Milliseconds(), "since", wallTime(now, w.since), "primary", a.primary,
			"acked", position.Max(a.acked, a.trace.acked).String(), "floor", a.floor.String(), "record", a.trace.rosterAt)
	}
}

// wallTime returns the time of the wall clock at which the host's clock, now at now, was at t.
func wallTime(now, t time.Time) string {
	return time.Now().Add(t.Sub(now)).UTC().Format(time.RFC3339Nano)
}

// endLogWait ends the wait of this host's attempts, if there is one. mu is held.
func (s *service) endLogWait(reason string) {
	w := &s.logWait
	if len(w.databases) == 0 {
		return
	}
	now := s.g.now()
	s.g.logChange("promotion", slog.LevelWarn, "Service no longer waits for the logs of databases.", "service", s.name, "databases", strings.Join(w.databases, " "),
		"for_ms", now.Sub(w.since).Milliseconds(), "reason", reason, "since", wallTime(now, w.since))
	w.databases, w.since, w.foundAt = nil, time.Time{}, time.Time{}
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
	w := &s.logWait
	switch {
	case reachable:
		s.endLogWait("a primary is reachable")
	case len(w.databases) > 0 && !s.promotion.running && now.Sub(w.foundAt) >= logWaitFor:
		s.endLogWait("this host makes no more attempts")
	}
	if len(elsewhere) > 0 && len(w.elsewhere) == 0 {
		s.notifyChange()
	}
	w.elsewhere = elsewhere
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
