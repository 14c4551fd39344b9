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
	provenTerm uint64            // the newest term in which a primary has answered
	former     string            // the primary before id, until id has answered in its term
	at         time.Time         // of the last line
	from       string            // the former primary of the last line
	end        position.Position // of the log of id when it first answered as the primary; zero before
	endAt      time.Time         // when it did
	acked      position.Position // the last commit that was known to be acknowledged then
	uncompared bool              // the last check did not know the end of the log of id
	checkSince time.Time         // of the first change since the last check of the commits; zero if none is due
}

// answeredSinceChange reports whether a check of the commits is due and the primary has
// answered since the change for which it is.
func (o *observedPrimary) answeredSinceChange() bool {
	return !o.checkSince.IsZero() && !o.end.IsZero() && !o.endAt.Before(o.checkSince)
}

// observePrimary logs a change of the primary or of its term, and then the commits that
// this host has acknowledged before. end is the end of the primary's log if that has
// just answered, and zero otherwise. mu is held.
func (s *service) observePrimary(source string, end position.Position) {
	o := &s.observed
	primary, known := s.table.Leader()
	term := max(s.table.Term(), s.provenTerm, s.replication.term, end.Term)
	changed, newTerm, newProof := known && primary.ID != o.id, term > o.term, end.Term > o.provenTerm
	// The end of a log may have the term of the last entry, which is not that of the primary yet.
	firstAnswer := !end.IsZero() && (changed || newProof || o.former != "")
	if !changed && !newTerm && !firstAnswer {
		return
	}
	now := s.g.now()
	if changed && !newTerm && o.id != "" && now.Sub(o.at) < announcedChangeEvery {
		return
	}
	former := *o
	if changed {
		o.id, o.former, o.end = primary.ID, former.id, position.Position{}
	}
	o.term, o.provenTerm = term, max(o.provenTerm, end.Term)
	from, to, msg := cmp.Or(o.former, o.id), o.id, "Primary changed."
	var missing []string
	if firstAnswer {
		o.former = ""
		if !o.answeredSinceChange() { // a later answer may have commits of the new term
			o.end, o.endAt, o.acked = end, now, s.ackedAnywhere()
		}
		since := now.Add(-recentCommitsFor)
		missing = s.replication.recent.markMissing(o.id, end, since)
		s.replication.unacknowledged.markMissing(o.id, end, since)
	}
	logged := changed && former.id != "" || newTerm && former.term != 0 || newProof && former.provenTerm != 0
	answered := firstAnswer && o.uncompared
	if firstAnswer {
		o.uncompared = false
	}
	if !logged && len(missing) == 0 && !answered {
		return
	}
	if !changed && !o.checkSince.IsZero() {
		from = o.from
	}
	o.from = from
	if logged {
		o.at = now
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
	}
	if len(missing) > 0 {
		s.g.metrics.missing.Add(len(missing))
		s.g.logChange("promotion", slog.LevelError, "Acknowledged commits are missing from the log of the new primary.",
			"ids", missing[:min(len(missing), maxNamedRequests)], "count", len(missing), "log", end.String(), "to", to, "from", from, "service", s.name)
	}
	s.explainCommits(fmt.Sprintf("%s leads term %d", to, term))
	s.scheduleCommitCheck(now)
}
