package gateway

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/statement"
)

// lineClass is a class of log lines about requests, each of which has its own limit.
type lineClass int

const (
	servedRequest  lineClass = iota
	refusedRequest           // it has certainly not run
	unknownOutcome           // it may have run: the only line that names it may be this one
	lineClasses
)

// Maximum log lines per second about requests. Fewer than 100 lines a second
// cost a small host less than 1 % of its CPU.
const (
	failuresPerSecond  = 30
	successesPerSecond = 2
)

// linesPerSecond are the limits by class.
var linesPerSecond = [lineClasses]int{servedRequest: successesPerSecond, refusedRequest: failuresPerSecond, unknownOutcome: failuresPerSecond}

// refusedSessionEvery is the least time between two lines about sessions that were refused
// for the same kind of error. Such a line names no request, and callers that know no better
// come again and again.
const refusedSessionEvery = 30 * time.Second

// requestLog logs refused and failed requests and a sample of the served ones,
// each up to a maximum rate.
type requestLog struct {
	log *slog.Logger
	now func() time.Time

	mu          sync.Mutex // guards the fields below; a leaf lock
	windowStart time.Time
	lines       [lineClasses]int
	suppressed  int // lines about failures since windowStart
	refused     map[errkind.Kind]*refusedSessions

	failureLines atomic.Uint64 // lines about failures that were allowed
}

// refusedSessions are the sessions that were refused for one kind of error.
type refusedSessions struct {
	next    time.Time // earliest next line
	omitted int       // since the last line
}

func newRequestLog(log *slog.Logger, now func() time.Time) *requestLog {
	return &requestLog{log: log.With("part", "request"), now: now, windowStart: now(), refused: map[errkind.Kind]*refusedSessions{}}
}

// allow counts a line against its rate and reports whether it may be written.
func (l *requestLog) allow(class lineClass) bool {
	now := l.now()
	l.mu.Lock()
	if now.Sub(l.windowStart) >= time.Second {
		suppressed := l.suppressed
		l.windowStart, l.lines, l.suppressed = now, [lineClasses]int{}, 0
		defer func() {
			if suppressed > 0 {
				l.log.Info("Suppressed log lines about failed requests.", "lines", suppressed)
			}
		}()
	}
	defer l.mu.Unlock()
	l.lines[class]++
	allowed := l.lines[class] <= linesPerSecond[class]
	switch {
	case class == servedRequest:
	case allowed:
		l.failureLines.Add(1)
	default:
		l.suppressed++
	}
	return allowed
}

// allowRefused counts a refused session and reports whether its line may be written, and
// how many were omitted since the last one of this kind.
func (l *requestLog) allowRefused(kind errkind.Kind) (omitted int, ok bool) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.refused[kind]
	if r == nil {
		r = &refusedSessions{}
		l.refused[kind] = r
	}
	if now.Before(r.next) {
		r.omitted++
		return 0, false
	}
	omitted = r.omitted
	r.next, r.omitted = now.Add(refusedSessionEvery), 0
	return omitted, true
}

// served logs and counts a request that succeeded.
func (l *requestLog) served(s *session, op *operation, a statement.Answer) {
	took := l.now().Sub(op.arrived)
	s.g.metrics.observe(op, took)
	s.g.recordOutcome(op, nil)
	if l.allow(servedRequest) {
		l.log.Info("Request served.", op.logAttrs(s, took, "position", a.Position.String())...)
	}
}

// failed logs and counts a request that was refused, that failed or whose
// outcome is unknown.
func (l *requestLog) failed(s *session, op *operation, err *errkind.Error) {
	s.g.metrics.failed(err.Kind)
	s.g.recordOutcome(op, err)
	var more []any
	if op.ID == "" && op.arrived.IsZero() {
		omitted, ok := l.allowRefused(err.Kind)
		if !ok {
			return
		}
		more = []any{"omitted", omitted}
	}
	class := unknownOutcome
	if err.Kind.Answer().Outcome == errkind.NotRun {
		class = refusedRequest
	}
	if !l.allow(class) {
		return
	}
	took := time.Duration(0)
	if !op.arrived.IsZero() {
		took = l.now().Sub(op.arrived)
	}
	l.log.Info("Request failed.", op.logAttrs(s, took, append(more, "kind", err.Kind.String(), "outcome", err.Kind.Answer().Outcome.String(), "cause", err.Error())...)...)
}

// logAttrs returns the log attributes that explain how a request was handled.
func (op *operation) logAttrs(s *session, took time.Duration, more ...any) []any {
	return append([]any{
		"id", op.ID, "route", s.routeName, "customer", s.customer, "urgency", op.route.Urgency, "statement", op.Kind.String(),
		"version", s.g.config.Load().Version, "database", op.database, "tries", op.attempts,
		"floor", op.floor.String(), "in_transaction", s.tx != nil, "took_ms", took.Milliseconds(),
	}, more...)
}
