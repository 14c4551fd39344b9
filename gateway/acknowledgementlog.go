package gateway

import (
	"time"

	"github.com/bronzeloft/bronzeloft/database/succession"
)

// acknowledgementLogEvery is the least time between two log lines about
// acknowledgements of one service with the same evidence.
const acknowledgementLogEvery = time.Second

// acknowledgementLog limits the log lines about a service's acknowledgements.
// service.mu guards it.
type acknowledgementLog struct {
	next map[string]time.Time // earliest next line, by outcome
}

// recordAcknowledgement counts a commit that was acknowledged, or that was not, and
// logs a sample of them.
func (s *service) recordAcknowledgement(c commit, evidence succession.Evidence, acknowledged bool) {
	outcome := "unknown"
	if acknowledged {
		outcome = evidenceLabel(evidence)
	}
	s.g.metrics.acknowledged(outcome)
	now := s.g.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	l := &s.replication.outcomes
	if now.Before(l.next[outcome]) {
		return
	}
	if l.next == nil {
		l.next = map[string]time.Time{}
	}
	l.next[outcome] = now.Add(acknowledgementLogEvery)
	attrs := []any{"part", "promotion", "service", s.name, "primary", c.primary, "commit", c.at.String(), "evidence", outcome, "term", s.replication.term}
	for id, held := range s.replication.copies {
		attrs = append(attrs, id, held.Received.String())
	}
	s.g.log.Info("Commit decided.", attrs...)
}

// evidenceLabel returns the name in logs and metrics of the evidence on which a commit
// is acknowledged.
func evidenceLabel(evidence succession.Evidence) string {
	switch evidence {
	case succession.AllCopies:
		return "all_copies"
	case succession.OneCopy:
		return "lease"
	}
	return "no_replicas"
}
