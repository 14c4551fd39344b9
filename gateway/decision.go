package gateway

import (
	"log/slog"
	"sync"
	"time"

	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/statement"
)

// Lines about requests, per second. Under 100 lines a second cost a small host
// less than a hundredth of its processor.
const (
	failuresPerSecond  = 30
	successesPerSecond = 2
)

// decisionLog writes a line for each refused or failed request and for some of
// those that were served, up to a rate.
type decisionLog struct {
	log *slog.Logger
	now func() time.Time

	mu         sync.Mutex // guards all below; a leaf
	second     time.Time
	failures   int
	successes  int
	suppressed int
}

func newDecisionLog(log *slog.Logger, now func() time.Time) *decisionLog {
	return &decisionLog{log: log.With("part", "request"), now: now, second: now()}
}

// allow counts a line and reports whether it may be written.
func (d *decisionLog) allow(failure bool) bool {
	now := d.now()
	d.mu.Lock()
	if now.Sub(d.second) >= time.Second {
		suppressed := d.suppressed
		d.second, d.failures, d.successes, d.suppressed = now, 0, 0, 0
		defer func() {
			if suppressed > 0 {
				d.log.Info("Lines about failed requests were left out.", "lines", suppressed)
			}
		}()
	}
	defer d.mu.Unlock()
	if failure {
		d.failures++
		if d.failures > failuresPerSecond {
			d.suppressed++
			return false
		}
		return true
	}
	d.successes++
	return d.successes <= successesPerSecond
}

// served records a request that was answered.
func (d *decisionLog) served(s *session, op *operation, a statement.Answer) {
	took := d.now().Sub(op.arrived)
	s.g.metrics.observe(op, took)
	if d.allow(false) {
		d.log.Info("Served.", op.attrs(s, took, "position", a.Position.String())...)
	}
}

// failed records a request that was refused or whose outcome is unknown.
func (d *decisionLog) failed(s *session, op *operation, err *errkind.Error) {
	s.g.metrics.refused(err.Kind)
	if !d.allow(true) {
		return
	}
	took := time.Duration(0)
	if !op.arrived.IsZero() {
		took = d.now().Sub(op.arrived)
	}
	d.log.Info("Failed.", op.attrs(s, took, "kind", err.Kind.String(), "outcome", err.Kind.Answer().Outcome.String(), "cause", err.Error())...)
}

// attrs describes a request by what decided it.
func (op *operation) attrs(s *session, took time.Duration, more ...any) []any {
	return append([]any{
		"id", op.ID, "route", s.database, "customer", s.customer, "statement", op.Kind.String(),
		"version", s.g.config.Load().Version, "database", op.database, "tries", op.tries,
		"floor", op.floor.String(), "in_transaction", s.tx != nil, "took_ms", took.Milliseconds(),
	}, more...)
}
