package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/bronzeloft/bronzeloft/customer/retry"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/position"
	"github.com/bronzeloft/bronzeloft/statement"
)

// A primary confirms a commit once any replica has received it, also one that has
// just started. The host that replaces the primary may not know that replica: its
// entry may be on its way or, when a data centre is cut off, unable to reach the store.
// So a commit is acknowledged to its caller only once a witness has received it: a
// replica that is listed, has been for a while, and is not paused. Whoever chooses a
// successor reads the logs of all witnesses after pausing them.

// Timing of the queries of witnesses.
const (
	// witnessHedgeAfter is how long the first witness may take to answer before the
	// others are queried as well. It is several times the delay between data centres.
	witnessHedgeAfter = 8 * time.Millisecond
	// witnessPause is the time until the next round if no witness has the commit yet.
	witnessPause = 5 * time.Millisecond
)

// witnessed is what this host knows of the logs of a service's witnesses. service.mu
// guards it.
type witnessed struct {
	end      position.Position // that a witness has received
	by       string            // the witness that reported it
	report   statement.Report  // in which it did
	reported time.Time         // when
	term     uint64            // the newest term that any database reported
	querying bool              // a round of queries is running
}

// Maximum log lines per second about the commits of one service.
const (
	acknowledgedPerSecond   = 5  // on the same witness, in the same term, as before
	witnessChangesPerSecond = 10 // on another witness or in another term
	withheldPerSecond       = 10
)

// witnessLog bounds the log lines about a service's commits. service.mu guards it.
type witnessLog struct {
	windowStart  time.Time
	acknowledged int // lines since windowStart
	changes      int
	withheld     int
	suppressed   int    // lines left out since the last line
	by           string // the witness and term of the last commit
	term         uint64
}

// allow counts a line against its rate and reports whether it may be written.
func (l *witnessLog) allow(lines *int, limit int, now time.Time) bool {
	if now.Sub(l.windowStart) >= time.Second {
		l.windowStart, l.acknowledged, l.changes, l.withheld = now, 0, 0, 0
	}
	*lines++
	if *lines > limit {
		l.suppressed++
		return false
	}
	return true
}

// acknowledgedLine returns the log attributes of a commit that is acknowledged, or
// nil if it is not logged. mu is held.
func (s *service) acknowledgedLine(c commit, now time.Time) []any {
	l, w := &s.witnessLog, &s.witnessed
	changed := l.by != w.by || l.term != c.at.Term
	l.by, l.term = w.by, c.at.Term
	if changed && !l.allow(&l.changes, witnessChangesPerSecond, now) || !changed && !l.allow(&l.acknowledged, acknowledgedPerSecond, now) {
		return nil
	}
	return append(s.commitAttrs(c), "witness", w.by, "witness_changed", changed, "term", w.report.Term, "received", w.report.Received.String(),
		"paused", w.report.Paused, "report_age_ms", now.Sub(w.reported).Milliseconds())
}

// withheldLine returns the log attributes of a commit that is not acknowledged
// because its primary was replaced, or nil if it is not logged. mu is held.
func (s *service) withheldLine(c commit, now time.Time) []any {
	if !s.witnessLog.allow(&s.witnessLog.withheld, withheldPerSecond, now) {
		return nil
	}
	return append(s.commitAttrs(c), "reported_term", s.witnessed.term, "proven_term", s.provenTerm, "proven_primary", s.provenPrimary)
}

// commitAttrs returns the log attributes that identify a commit. mu is held.
func (s *service) commitAttrs(c commit) []any {
	suppressed := s.witnessLog.suppressed
	s.witnessLog.suppressed = 0
	return []any{"part", "service", "service", s.name, "commit", c.at.String(), "primary", c.primary, "suppressed", suppressed}
}

// commit is a commit that its primary has confirmed.
type commit struct {
	primary string // id
	at      position.Position
}

// acknowledge waits until a commit may be acknowledged to its caller, and records it
// as acknowledged. If the service's primary confirms commits without a replica, it does
// not wait. It fails with OutcomeUnknown if ctx ends before a witness has the
// commit, or if the primary has been replaced.
func (s *service) acknowledge(ctx context.Context, c commit) error {
	needsWitness := s.g.config.Load().Services[s.name].SyncReplicas != 0
	replaced := false
	var line []any
	err := s.waitUntil(ctx, func() bool {
		replaced = needsWitness && max(s.witnessed.term, s.provenTerm) > c.at.Term
		switch {
		case replaced:
			line = s.withheldLine(c, s.g.now())
		case needsWitness && s.witnessed.end.Before(c.at):
			s.queryWitnesses(c)
			return false
		default:
			s.acked = position.Max(s.acked, c.at)
			if needsWitness {
				line = s.acknowledgedLine(c, s.g.now())
			}
		}
		return true
	})
	if line != nil {
		message := "Commit acknowledged."
		if replaced {
			message = "Commit not acknowledged: the primary was replaced."
		}
		s.g.log.Info(message, line...)
	}
	switch {
	case err != nil:
		return errkind.Wrap(errkind.OutcomeUnknown, err, "no known replica has confirmed commit "+c.at.String())
	case replaced:
		return errkind.New(errkind.OutcomeUnknown, "the primary was replaced before a known replica confirmed commit %s", c.at)
	}
	return nil
}

// queryWitnesses starts a round of queries for a commit unless one is running: first
// of the witness that confirmed the last commit, then of the others. mu is held.
func (s *service) queryWitnesses(c commit) {
	if s.witnessed.querying {
		return
	}
	s.witnessed.querying = true
	var pools []*pool
	for _, id := range s.table.Witnesses(s.g.now()) {
		if p := s.pools[id]; p != nil && id != c.primary {
			pools = append(pools, p)
		}
	}
	if i := slices.IndexFunc(pools, func(p *pool) bool { return p.db.ID == s.witnessed.by }); i > 0 {
		pools[0], pools[i] = pools[i], pools[0]
	}
	go func() {
		found := s.askWitnesses(pools, c.at)
		if !found {
			retry.Wait(s.g.ctx, witnessPause)
		}
		s.mu.Lock()
		s.witnessed.querying = false
		s.notifyChange()
		s.mu.Unlock()
	}()
}

// askWitnesses queries the pools' databases, the first one ahead of the others, and
// reports whether one of them has received the log up to at. It returns with the
// first that has.
func (s *service) askWitnesses(pools []*pool, at position.Position) bool {
	answers := make(chan bool, len(pools))
	ask := func(p *pool) {
		go func() { answers <- s.askWitness(p, at) }()
	}
	if len(pools) == 0 {
		return false
	}
	ask(pools[0])
	pending, rest := 1, pools[1:]
	hedge := time.NewTimer(witnessHedgeAfter)
	defer hedge.Stop()
	for pending > 0 {
		select {
		case found := <-answers:
			pending--
			if found {
				return true
			}
		case <-hedge.C:
		}
		for _, p := range rest {
			ask(p)
		}
		pending, rest = pending+len(rest), nil
	}
	return false
}

// askWitness queries one database and reports whether it is a replica of the commit's
// term that is not paused and has received the log up to at.
func (s *service) askWitness(p *pool, at position.Position) bool {
	report, ok := s.queryStatus(p)
	if !ok {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.witnessed.term = max(s.witnessed.term, report.Term)
	if report.Term != at.Term || report.Primary || report.Paused != 0 || report.Received.Before(at) {
		return false
	}
	if s.witnessed.end.Before(report.Received) {
		s.witnessed.end, s.witnessed.by = report.Received, p.db.ID
		s.witnessed.report, s.witnessed.reported = report, s.g.now()
	}
	return true
}

// queryStatus returns a database's status report, and false if the database cannot be
// queried.
func (s *service) queryStatus(p *pool) (statement.Report, bool) {
	ctx, cancel := context.WithTimeout(s.g.ctx, sampleTimeout)
	defer cancel()
	c, err := p.borrow(ctx, s.g.anyCustomer())
	if err != nil || c == nil {
		return statement.Report{}, false // borrow has recorded a failed dial
	}
	defer p.checkIn(c)
	answers, err := c.run(s.g.now().Add(sampleTimeout), controlRequest(statement.Status))
	if err != nil {
		return statement.Report{}, false // run has recorded the missing answer
	}
	r, err := c.Report(answers[0])
	if err != nil {
		s.g.log.Debug("Database reported no status.", "part", "service", "service", s.name, "database", p.db.ID, "error", err)
		return statement.Report{}, false
	}
	return r, true
}
