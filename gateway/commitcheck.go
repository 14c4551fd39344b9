package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/bronzeloft/bronzeloft/customer/retry"
	"github.com/bronzeloft/bronzeloft/objectapi"
	"github.com/bronzeloft/bronzeloft/position"
	"github.com/bronzeloft/bronzeloft/statement"
)

// commitCheckDelay is the time from a change of a primary to the line about the commits
// before it: by then commits that were under way have ended, and the new primary has
// usually answered.
const commitCheckDelay = time.Second

// choiceReadTimeout bounds the read of the lease for a check. It leaves the budget of calls
// of the store to the replacement that may be under way.
const choiceReadTimeout = 200 * time.Millisecond

// scheduleCommitCheck starts a check of the commits before a change of the primary, unless
// one is due. mu is held.
func (s *service) scheduleCommitCheck(now time.Time) {
	if !s.observed.checkSince.IsZero() {
		return
	}
	s.observed.checkSince = now
	go func() {
		retry.Wait(s.g.ctx, commitCheckDelay)
		s.checkCommits()
	}()
}

// commitTally counts commits that former primaries have confirmed.
type commitTally struct {
	commits    int
	missing    int               // the new primary's log ends before them
	pastChoice int               // the log of the successor ended before them when it was chosen
	ids        []string          // of those of either kind, the newest first, at most maxNamedRequests
	oldest     string            // the id of the oldest of them
	last       position.Position // of the last commit
}

// tally counts the commits since a time that former primaries have confirmed, given the
// present primary, the end of its log and the position of the choice, which are zero if they
// are not known.
func (r *recentCommits) tally(primary string, end, choice position.Position, since time.Time) (out commitTally) {
	r.newestFirst(since, func(e *recentCommit) {
		if end.IsZero() && e.primary == primary || !end.IsZero() && !e.byFormer(primary, end) {
			return
		}
		out.commits++
		out.last = position.Max(out.last, e.at)
		missing := e.missing || !end.IsZero() && e.at.Index > end.Index
		pastChoice := e.at.Term == choice.Term && e.at.Index > choice.Index
		if missing {
			out.missing++
		}
		if pastChoice {
			out.pastChoice++
		}
		if missing || pastChoice {
			out.oldest = e.id
			if len(out.ids) < maxNamedRequests {
				out.ids = append(out.ids, e.id)
			}
		}
	})
	return out
}

// hasAcknowledged reports whether this host has commits since a time to compare with the
// position of the choice, and does not replace the primary itself at the moment.
func (s *service) hasAcknowledged(since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := false
	for _, r := range []*recentCommits{&s.replication.recent, &s.replication.unacknowledged} {
		r.newestFirst(since, func(*recentCommit) { found = true })
	}
	return found && !s.promotion.running
}

// positionOfChoice returns the end of the log of the successor when it was chosen, as the
// lease records it, or zero if that cannot be read. The first end of the new primary's log
// that this host has seen may have commits of the new term: then it covers more than the
// log with which that one began to lead.
func (s *service) positionOfChoice() position.Position {
	ctx, cancel := context.WithTimeout(s.g.ctx, choiceReadTimeout)
	defer cancel()
	object, err := s.g.platform.Objects().Get(ctx, kindLeases, s.name)
	if err != nil {
		if !errors.Is(err, objectapi.ErrNotFound) {
			s.g.log.Debug("Reading the lease for the check of the commits failed.", "part", "promotion", "service", s.name, "error", err)
		}
		return position.Position{}
	}
	l, err := s.decodeLease(object)
	if err != nil {
		return position.Position{} // the attempt that reads the lease logs that
	}
	return l.Floor
}

// text says how many of the commits are missing, such as "3 of 41".
func (t commitTally) text(end position.Position) string {
	if end.IsZero() {
		return fmt.Sprintf("unknown of %d", t.commits)
	}
	return fmt.Sprintf("%d of %d", t.missing, t.commits)
}

// checkCommits logs in one line how many of the commits of the last seconds before a change
// of the primary the log of the new one covers.
func (s *service) checkCommits() {
	s.mu.Lock()
	o := s.observed
	s.observed.checkSince = time.Time{}
	announced := o.former != ""
	if leader, ok := s.table.Leader(); ok && leader.ID != o.id { // its change has not been logged yet
		o.from, o.id, announced = o.id, leader.ID, true
		o.end = position.Position{}
	}
	p := s.pools[o.id]
	s.mu.Unlock()
	if !o.answeredSinceChange() {
		o.end, o.acked = position.Position{}, position.Position{}
		var report statement.Report
		if p != nil {
			report, _ = s.queryStatus(p) // no answer is not that of a primary
		}
		switch {
		case report.Primary && report.Term >= o.term:
			o.end = report.Received
		case !announced:
			o.id = "" // another one, or none, leads the newest term
		}
	}
	s.flushUnacknowledged()
	since := o.checkSince.Add(-recentCommitsFor)
	var choice position.Position
	if s.hasAcknowledged(since) {
		choice = s.positionOfChoice()
	}
	s.mu.Lock()
	s.observed.uncompared = o.end.IsZero() && s.observed.checkSince.IsZero()
	acked := s.replication.recent.tally(o.id, o.end, choice, since)
	unacked := s.replication.unacknowledged.tally(o.id, o.end, choice, since)
	s.mu.Unlock()

	var pastChoice any = acked.pastChoice
	if choice.IsZero() && acked.commits > 0 {
		pastChoice = "unknown"
	}
	attrs := []any{"missing", acked.text(o.end), "past_choice", pastChoice}
	if acked.oldest != "" {
		attrs = append(attrs, "oldest", acked.oldest)
	} else {
		attrs = append(attrs, "acked", o.acked.String())
	}
	if unacked.commits > 0 {
		attrs = append(attrs, "unacked", unacked.text(o.end))
	}
	attrs = append(attrs, "service", s.name, "last", acked.last.String(), "log", o.end.String(), "to", cmp.Or(o.id, "unknown"), "from", o.from, "term", o.term, "choice", choice.String())
	if acked.oldest != "" {
		attrs = append(attrs, "acked", o.acked.String())
	}
	if ids := append(acked.ids, unacked.ids...); len(ids) > 0 {
		attrs = append(attrs, "ids", ids)
	}
	if acked.missing+acked.pastChoice > 0 {
		s.g.logDeciding("promotion", slog.LevelWarn, "Commits checked.", attrs...)
		return
	}
	s.g.logChange("promotion", slog.LevelWarn, "Commits checked.", attrs...)
}

// ackedAnywhere returns the last commit that this host or, as far as it knows, another one
// has acknowledged. mu is held.
func (s *service) ackedAnywhere() position.Position {
	_, acked, _ := s.g.peers.primaryViews(s.name)
	return position.Max(s.acked, acked)
}

// firstAnswerOf returns what this host recorded at a primary's first answer: the end of its
// log, the last commit known to be acknowledged then, and the ids of acknowledged commits of
// the last seconds that the log did not cover. It returns false if another database is the
// primary, or if this one first answered before the given time.
func (s *service) firstAnswerOf(primary string, since time.Time) (end, acked position.Position, missing []string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := &s.observed
	if o.id != primary || o.end.IsZero() || o.endAt.Before(since) {
		return end, acked, nil, false
	}
	return o.end, o.acked, s.replication.recent.tally(o.id, o.end, position.Position{}, s.g.now().Add(-recentCommitsFor)).ids, true
}
