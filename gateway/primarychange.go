package gateway

import (
	"cmp"
	"fmt"
	"log/slog"
	"time"

	"github.com/bronzeloft/bronzeloft/internal/buildinfo"
	"github.com/bronzeloft/bronzeloft/position"
)

// Sources from which a host learns of a primary or a term, in logs.
const (
	fromAnswer  = "answer"  // the database allowed a read-write transaction
	fromRefusal = "refusal" // the former primary refused one, and another database announces itself
	fromList    = "list"    // the platform's list of databases
	fromReplica = "replica" // a replica's report
	fromLease   = "lease"
)

// announcedChangeEvery is the least time between two lines about changes of a primary
// that are known from announcements only.
const announcedChangeEvery = time.Second

// maxNamedRequests bounds the requests that one line names.
const maxNamedRequests = 40

// observedPrimary is a service's primary and term that were logged last. service.mu
// guards it.
type observedPrimary struct {
	id         string
	term       uint64
	provenTerm uint64    // the newest term in which a primary has answered
	former     string    // the primary before id, until id has answered in its term
	at         time.Time // of the last line
}

// observePrimary logs a change of the primary or of its term, and then the commits that
// this host has acknowledged before. end is the end of the primary's log if that has
// just answered, and zero otherwise. mu is held.
func (s *service) observePrimary(source string, end position.Position) {
	o := &s.observed
	primary, known := s.table.Leader()
	term := max(s.table.Term(), s.provenTerm, s.replication.term, end.Term)
	changed, newTerm, newProof := known && primary.ID != o.id, term > o.term, end.Term > o.provenTerm
	if !changed && !newTerm && !newProof {
		return
	}
	now := s.g.now()
	if changed && !newTerm && o.id != "" && now.Sub(o.at) < announcedChangeEvery {
		return
	}
	former := *o
	if changed {
		o.id, o.former = primary.ID, former.id
	}
	o.term, o.provenTerm = term, max(o.provenTerm, end.Term)
	var missing []string
	if !end.IsZero() && (changed || newProof) {
		missing = s.replication.recent.markMissing(o.id, end, now.Add(-recentCommitsFor))
	}
	if (!changed || former.id == "") && (!newTerm || former.term == 0) && (!newProof || former.provenTerm == 0) {
		return
	}
	o.at = now
	from, to, msg := cmp.Or(o.former, o.id), o.id, "Primary changed."
	if !end.IsZero() {
		o.former = ""
	}
	switch {
	case changed && former.id != "":
	case source == fromAnswer:
		msg = "Primary has a newer term."
	default:
		to, msg = "unknown", "A newer term is known."
	}
	attrs := []any{"service", s.name, "from", from, "to", to, "term", term, "build", buildinfo.Short(), "learned", source, "acked", s.acked.String()}
	if !end.IsZero() {
		attrs = append(attrs, "log", end.String(), "missing", len(missing))
	}
	s.g.logFirst("promotion", slog.LevelWarn, msg, append(attrs, "former_term", former.term)...)
	if len(missing) > 0 {
		s.g.metrics.missing.Add(len(missing))
		s.g.logChange("promotion", slog.LevelError, "Acknowledged commits are missing from the log of the new primary.",
			"ids", missing[:min(len(missing), maxNamedRequests)], "count", len(missing), "log", end.String(), "to", to, "from", from, "service", s.name)
	}
	s.explainCommits(fmt.Sprintf("%s leads term %d", to, term))
}
