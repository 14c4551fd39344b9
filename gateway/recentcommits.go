package gateway

import (
	"cmp"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/bronzeloft/bronzeloft/customer/retry"
	"github.com/bronzeloft/bronzeloft/database/lead"
	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/position"
)

// Bounds of the record of recent acknowledgements.
const (
	// maxRecentCommits bounds the recent commits of a service, about 100 KB.
	maxRecentCommits = 256
	// recentCommitsFor is how long before a change of the primary the acknowledgements
	// are explained. A promotion may take effect that long after its order was decided.
	recentCommitsFor = formerMayReturn
	// maxCommitLines bounds the lines for one change of one service's primary.
	maxCommitLines = 200
	// maxCommitLinesAtStop bounds the lines of all services when the host stops.
	maxCommitLinesAtStop = 400
	// maxUnacknowledgedLines bounds the lines for one service in unacknowledgedDelay about
	// commits that were not acknowledged, beside those within the limit of unknown outcomes.
	maxUnacknowledgedLines = 100
	unacknowledgedDelay    = 2 * time.Second
	// commitLinesAtOnce is written before a pause of commitLinesPause: the queue of the
	// log, 1024 lines, then has room for other lines.
	commitLinesAtOnce = 50
	commitLinesPause  = 50 * time.Millisecond
	// maxLoggedCopies bounds the replicas that are kept of one commit.
	maxLoggedCopies = 4
)

// copyReport is a replica's last report at the acknowledgement of a commit.
type copyReport struct {
	id          string
	received    position.Position
	term        uint64
	age         time.Duration
	established bool
}

// leaseReport is a read of a service's lease.
type leaseReport struct {
	version uint64 // 0 if nobody has ever taken it
	term    uint64 // that the lease recorded
	at      time.Time
}

// recentCommit is a commit that this host has acknowledged, with what it knew then, or
// whose acknowledgement by the home host it has passed on.
type recentCommit struct {
	commit
	home        string // the home host; empty if that is this host
	evidence    string // as in the metric of commits
	acked       time.Time
	copies      [maxLoggedCopies]copyReport
	copyCount   int
	lease       leaseReport
	listVersion uint64
	listAge     time.Duration
	written     bool          // its line has been written
	missing     bool          // the log of a later primary lacks it
	reason      string        // not to acknowledge it; empty if it was acknowledged
	waited      time.Duration // for the evidence, if it was not acknowledged
}

// byFormer reports whether a former primary has confirmed the commit, given the present one
// and the end of its log.
func (e *recentCommit) byFormer(primary string, end position.Position) bool {
	return e.at.Term < end.Term || e.at.Term == end.Term && e.primary != primary
}

// recentCommits is a ring of the commits that were acknowledged last. service.mu guards
// it.
type recentCommits struct {
	ring []recentCommit
	next int // index of the oldest entry of a full ring
}

// slot returns the entry for the next commit, a zero value.
func (r *recentCommits) slot() *recentCommit {
	if len(r.ring) < maxRecentCommits {
		r.ring = append(r.ring, recentCommit{})
		return &r.ring[len(r.ring)-1]
	}
	e := &r.ring[r.next]
	*e = recentCommit{}
	r.next = (r.next + 1) % len(r.ring)
	return e
}

// newestFirst calls visit with each entry since a time, the newest first.
func (r *recentCommits) newestFirst(since time.Time, visit func(*recentCommit)) {
	for i := range r.ring {
		e := &r.ring[(r.next-1-i+2*len(r.ring))%len(r.ring)]
		if e.acked.Before(since) {
			return
		}
		visit(e)
	}
}

// take returns up to limit entries since a time whose lines have not been written,
// the newest first, marks all of them as written, and returns the number left out.
func (r *recentCommits) take(since time.Time, limit int) (out []recentCommit, omitted int) {
	r.newestFirst(since, func(e *recentCommit) {
		switch {
		case e.written:
			return
		case len(out) < limit:
			out = append(out, *e)
		default:
			omitted++
		}
		e.written = true
	})
	return out, omitted
}

// markMissing marks the commits since a time that former primaries have confirmed and
// that the log of the present one lacks, given its end, and returns the ids of those that
// were not marked before, the newest first. Their lines are due again.
func (r *recentCommits) markMissing(primary string, end position.Position, since time.Time) (ids []string) {
	r.newestFirst(since, func(e *recentCommit) {
		if !e.missing && e.byFormer(primary, end) && e.at.Index > end.Index {
			e.missing, e.written = true, false
			ids = append(ids, e.id)
		}
	})
	return ids
}

// recordRecentCommit records a commit that is being acknowledged. mu is held.
func (s *service) recordRecentCommit(c commit, evidence string) {
	s.describeCommit(s.replication.recent.slot(), c, evidence)
}

// recordRemoteCommit records a commit that the home host has acknowledged.
func (s *service) recordRemoteCommit(c commit, home string) {
	now := s.g.now()
	c.id = loggedID(c.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.replication.recent.slot()
	e.commit, e.home, e.acked = c, home, now
}

// loggedID returns a copy of a request's id, which may be a part of a longer line, cut to
// maxLoggedName.
func loggedID(id string) string { return strings.Clone(id[:min(len(id), maxLoggedName)]) }

// describeCommit sets e to a commit and what this host knows now. mu is held.
func (s *service) describeCommit(e *recentCommit, c commit, evidence string) {
	now := s.g.now()
	r := &s.replication
	c.id = loggedID(c.id)
	e.commit, e.evidence, e.acked, e.lease = c, evidence, now, r.lease
	e.listVersion, e.listAge = s.g.listVersion.Load(), s.g.listAge(now)
	for id, held := range r.copies {
		if id == c.primary || !held.Answered {
			continue
		}
		if e.copyCount < maxLoggedCopies {
			e.copies[e.copyCount] = copyReport{id: id, received: held.Received, term: held.Term, age: now.Sub(held.at),
				established: s.table.KnownFor(id, now) >= lead.EstablishedAfter}
		}
		e.copyCount++
	}
}

// copyText describes the replicas' reports, the longest log first, such as "i-1 3/1301 12ms, i-2
// 3/1226 40ms new". A term is given where it is not that of the log's end, and new for a
// replica that is not established.
func (e *recentCommit) copyText() string {
	var out []byte
	copies := e.copies[:min(e.copyCount, maxLoggedCopies)]
	slices.SortFunc(copies, func(a, b copyReport) int { return cmp.Or(b.received.Compare(a.received), cmp.Compare(a.id, b.id)) })
	for _, c := range copies {
		if len(out) > 0 {
			out = append(out, ", "...)
		}
		out = append(append(append(out, c.id...), ' '), c.received.String()...)
		if c.term != c.received.Term {
			out = strconv.AppendUint(append(out, " term "...), c.term, 10)
		}
		out = append(strconv.AppendInt(append(out, ' '), c.age.Milliseconds(), 10), "ms"...)
		if !c.established {
			out = append(out, " new"...)
		}
	}
	if more := e.copyCount - maxLoggedCopies; more > 0 {
		out = append(strconv.AppendInt(append(out, ", "...), int64(more), 10), " more"...)
	}
	return string(out)
}

// logAttrs returns the attributes of a commit's line: the id, one of its own, and what
// this host knew.
func (e *recentCommit) logAttrs(s *service, key, value string, more ...any) []any {
	attrs := append([]any{"id", e.id, key, value, "copies", e.copyText(), "commit", e.at.String()}, more...)
	attrs = append(attrs, "primary", e.primary, "service", s.name, "list", e.listVersion, "list_age_ms", e.listAge.Milliseconds())
	if !e.lease.at.IsZero() {
		attrs = append(attrs, "lease", e.lease.version, "lease_term", e.lease.term, "lease_age_ms", e.acked.Sub(e.lease.at).Milliseconds())
	}
	if e.writes != "" {
		attrs = append(attrs, "writes", e.writes)
	}
	return attrs
}

// logAcknowledged logs an acknowledgement. why names what has happened.
func (s *service) logAcknowledged(e *recentCommit, why string) {
	level := slog.LevelInfo
	if e.missing {
		level = slog.LevelError
	}
	ago := s.g.now().Sub(e.acked).Milliseconds()
	var attrs []any
	if e.home != "" {
		attrs = []any{"id", e.id, "home", e.home, "commit", e.at.String(), "ago_ms", ago, "primary", e.primary, "service", s.name}
	} else {
		attrs = e.logAttrs(s, "evidence", e.evidence, "ago_ms", ago)
	}
	s.g.logChange("request", level, "Commit acknowledged.", append(attrs, "why", why)...)
}

// explainCommits logs the recent acknowledgements in the background. why names what has
// happened. mu is held.
func (s *service) explainCommits(why string) {
	now := s.g.now()
	entries, omitted := s.replication.recent.take(now.Add(-recentCommitsFor), maxCommitLines)
	if len(entries) == 0 {
		return
	}
	go func() {
		s.g.commitLines.Lock()
		defer s.g.commitLines.Unlock()
		for chunk := range slices.Chunk(entries, commitLinesAtOnce) {
			s.logCommits(chunk, why)
			retry.Wait(s.g.ctx, commitLinesPause)
		}
		s.logOmitted(omitted, why)
	}()
}

func (s *service) logCommits(entries []recentCommit, why string) {
	for i := range entries {
		s.logAcknowledged(&entries[i], why)
	}
}

func (s *service) logOmitted(omitted int, why string) {
	if omitted > 0 {
		s.g.logChange("request", slog.LevelInfo, "Left out log lines about acknowledged commits.", "lines", omitted, "service", s.name, "why", why)
	}
}

// explainAllCommits logs the recent acknowledgements of all services before the host
// stops.
func (g *Gateway) explainAllCommits() {
	services := g.allServices()
	limit := maxCommitLinesAtStop / max(1, len(services))
	for _, s := range services {
		s.mu.Lock()
		entries, omitted := s.replication.recent.take(g.now().Add(-recentCommitsFor), limit)
		s.mu.Unlock()
		s.logCommits(entries, "stop")
		s.logOmitted(omitted, "stop")
	}
}

// recordLeaseRead records a read of the lease that showed it settled.
func (s *service) recordLeaseRead(l leaseReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replication.lease = l
}

// misplaced is the reason not to acknowledge a commit whose position cannot be its own.
const misplaced = "the database named a position from before the commit or of another term"

// missingEvidence returns the reason for which a commit has not been acknowledged that its
// database had confirmed at answered.
func (s *service) missingEvidence(c commit, evidence succession.Evidence, replaced bool, answered time.Time) string {
	s.mu.Lock()
	proven := !s.table.ProvenAt(c.primary).Before(answered)
	waitedTerm := s.replication.waitedTerm
	s.mu.Unlock()
	switch {
	case replaced:
		return "the primary was replaced"
	case evidence == succession.NoCopy && !s.g.databaseListCurrent(s.g.now()):
		return "the list of databases is not known to be current"
	case evidence == succession.NoCopy:
		return "no established replica holds it"
	case evidence == succession.AllCopies && waitedTerm != c.at.Term:
		return "the lease has not been settled in its term"
	case !proven:
		return "the database has not shown since that it is the primary"
	}
	return "not all replicas hold it and the lease is not settled"
}

// logUnacknowledged logs a commit that its primary has confirmed and that is not
// acknowledged: at once, or a little later if too many requests have failed within the
// second. since is when the primary's confirmation arrived.
func (s *service) logUnacknowledged(c commit, reason string, since time.Time) {
	allowed := s.g.requestLog.allow(unknownOutcome)
	s.mu.Lock()
	r := &s.replication
	e := r.unacknowledged.slot()
	s.describeCommit(e, c, "")
	e.reason, e.waited, e.written = reason, e.acked.Sub(since), allowed
	entry := *e
	if !allowed && !r.flushing {
		r.flushing = true
		go func() {
			retry.Wait(s.g.ctx, unacknowledgedDelay)
			s.flushUnacknowledged()
		}()
	}
	s.mu.Unlock()
	if allowed {
		s.logUnacknowledgedEntry(&entry)
	}
}

func (s *service) logUnacknowledgedEntry(e *recentCommit) {
	s.g.logChange("request", slog.LevelInfo, "Commit not acknowledged.", e.logAttrs(s, "reason", e.reason, "waited_ms", e.waited.Milliseconds())...)
}

// flushUnacknowledged logs the commits that were not acknowledged and whose lines are due.
func (s *service) flushUnacknowledged() {
	s.mu.Lock()
	entries, omitted := s.replication.unacknowledged.take(s.g.now().Add(-recentCommitsFor), maxUnacknowledgedLines)
	s.replication.flushing = false
	s.mu.Unlock()
	s.g.commitLines.Lock()
	defer s.g.commitLines.Unlock()
	for chunk := range slices.Chunk(entries, commitLinesAtOnce) {
		for i := range chunk {
			s.logUnacknowledgedEntry(&chunk[i])
		}
		retry.Wait(s.g.ctx, commitLinesPause)
	}
	if omitted > 0 {
		s.g.logChange("request", slog.LevelInfo, "Left out log lines about commits that were not acknowledged.", "lines", omitted, "service", s.name)
	}
}

// listAge returns the time since the list of databases was known to be the store's; it is
// negative if it never was.
func (g *Gateway) listAge(now time.Time) time.Duration {
	at := g.listedAt.Load()
	if at == nil {
		return -time.Millisecond
	}
	return now.Sub(*at)
}
