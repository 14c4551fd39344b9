package group

import (
	"time"

	"github.com/bronzeloft/bronzeloft/database/groupsql"
	"github.com/bronzeloft/bronzeloft/position"
)

// member is the state of one database as this host knows it.
type member struct {
	Member
	hasReport         bool
	report            groupsql.Report   // of the latest operation that was answered
	sentAt            time.Time         // when that operation was sent
	answeredAt        time.Time         // last answer
	unansweredSince   time.Time         // first probe since answeredAt, zero if none
	refusals          int               // failures within ProbeTimeout and calls of Unreachable since the last answer
	probing           bool              // a probe is outstanding
	probedAt          time.Time         // when the latest probe was requested
	held              position.Position // highest position known to be stored while its term was the highest promised
	progressAt        time.Time         // last advance of report.Position
	followAt          time.Time         // last follow order
	notFollowingSince time.Time         // since when it has needed a follow order, zero if it follows
	followCount       int               // follow orders since the last advance
	lagging           bool
	load              float64
}

// Table is the state of one group as a host knows it. It is not safe for
// concurrent use: the host guards each Table by one mutex. It holds at most
// MaxMembers members, maxRecent confirmations and maxSamples samples; when a limit
// on confirmations or samples is reached, the oldest is dropped.
type Table struct {
	cfg     Config
	timing  Timing
	members []*member // in the order given
	rank    int

	highest     uint64    // highest term in any report
	highestAt   time.Time // when highest last rose
	view        View      // the established primary
	established bool
	viewAt      time.Time
	hint        View   // newest hint that named a term above the established one
	peersTerm   uint64 // highest term in any hint from peers or the platform

	due          time.Time // when the next Tick is due
	det          detection
	claim        claim
	round        round
	latest       sample
	recent       []sample  // confirmations, oldest first
	samples      []sample  // spaced, for AgeFloor, oldest first
	pending      []Action  // created while a result was applied, returned by the next Tick
	durableIndex uint64    // index of the last durable position seen
	stallFrom    time.Time // from when a stall is counted: last progress, new primary or host pause
	switchAt     time.Time // last attempt at a planned switchover
	draining     bool      // new writes wait for a planned switchover
	lastClaim    ClaimTimes
}

// New returns an empty table. It panics without Config.Rand.
func New(cfg Config) *Table {
	if cfg.Rand == nil {
		panic("group: Config.Rand is nil")
	}
	return &Table{cfg: cfg, timing: cfg.Timing.withDefaults()}
}

// SetMembers replaces the group's members; the state of those that stay at their
// address is kept. If the primary is removed, none is established. Members change by
// one database at a time. The host calls Tick next.
func (t *Table) SetMembers(members []Member, now time.Time) {
	if len(members) > MaxMembers {
		members = members[:MaxMembers]
	}
	next := make([]*member, 0, len(members))
	for _, m := range members {
		old := t.member(m.ID)
		if old == nil || old.Address != m.Address {
			old = &member{progressAt: now}
		}
		old.Member = m
		next = append(next, old)
	}
	t.members = next
	if t.established && t.member(t.view.Primary) == nil {
		t.established = false
	}
}

// SetRank sets this host's place, from 0, in the order in which hosts claim a term
// of the group. Hosts of a rank below Timing.Promoters probe more often.
func (t *Table) SetRank(rank int) { t.rank = max(rank, 0) }

// SetLoad sets the load of a database as this host sees it, for Readers.
func (t *Table) SetLoad(id string, load float64) {
	if m := t.member(id); m != nil {
		m.load = load
	}
}

// ApplyHint applies a hint from a peer or the platform. A hint of a term above the
// established one and those of all earlier hints requests a round of probes; the
// hint itself never establishes a primary.
func (t *Table) ApplyHint(view View, now time.Time) []Action {
	t.peersTerm = max(t.peersTerm, view.Term)
	if view.Term <= t.hint.Term || view.Term <= t.view.Term {
		return nil
	}
	t.hint = view
	return t.RequestConfirmation(now)
}

// View returns the established primary, whose marker is held by a majority, and
// whether there is one now; if not, the view is that of the last one.
func (t *Table) View() (View, bool) { return t.view, t.established }

// Primary returns the database to which writes are sent now. ok is false while no
// primary is established, its term has lost its quorum or its latest report is not
// that of the primary of the term, during a claim by this host, and while writes
// pause for a planned switchover.
func (t *Table) Primary() (id string, term uint64, ok bool) {
	if !t.established || t.draining || t.claim.active() || t.quorumLost(t.view.Term) {
		return "", 0, false
	}
	p := t.member(t.view.Primary)
	if !isPrimary(p, t.view.Term) {
		return "", 0, false
	}
	return p.ID, t.view.Term, true
}

func (t *Table) member(id string) *member {
	for _, m := range t.members {
		if m.ID == id {
			return m
		}
	}
	return nil
}

func (t *Table) majority() int { return len(t.members)/2 + 1 }

// isPrimary reports whether m last reported itself as the primary of term.
func isPrimary(m *member, term uint64) bool {
	return m != nil && m.hasReport && m.report.Role == groupsql.Primary && m.report.Accepted == term
}

// fencedAbove counts the members that promised a term above term.
func (t *Table) fencedAbove(term uint64) int {
	n := 0
	for _, m := range t.members {
		if m.hasReport && m.report.Accepted > term {
			n++
		}
	}
	return n
}

// quorumLost reports whether so many members promised a term above term that the
// others are no majority.
func (t *Table) quorumLost(term uint64) bool {
	return len(t.members)-t.fencedAbove(term) < t.majority()
}

// OpResult applies the result of an operation that was sent to database id at
// sentAt, or the error with which it failed, and runs Tick. It ignores a result of a
// database that is not a member.
func (t *Table) OpResult(id string, op groupsql.Op, sentAt time.Time, r groupsql.Report, err error, now time.Time) []Action {
	m := t.member(id)
	if m == nil {
		return nil
	}
	if op.Kind == groupsql.OpPosition && !sentAt.Before(m.probedAt) {
		m.probing = false
	}
	switch {
	case err == nil:
		t.recordReport(m, sentAt, r, now)
	case now.Sub(sentAt) < t.timing.ProbeTimeout:
		m.refusals++
	}
	out := t.claimResult(m, op, r, err, now)
	t.establish(now)
	t.recordProgress(now)
	t.confirm(now)
	out = append(out, t.advanceRound(now)...)
	return append(out, t.Tick(now)...)
}

// recordReport records a report of m. An older report than the latest one updates
// only the highest term and the position held.
func (t *Table) recordReport(m *member, sentAt time.Time, r groupsql.Report, now time.Time) {
	if seen := max(r.Accepted, r.Position.Term); seen > t.highest {
		t.highest, t.highestAt = seen, now
	}
	if r.Accepted == r.Position.Term {
		m.held = position.Max(m.held, r.Position)
	}
	if m.hasReport && sentAt.Before(m.sentAt) {
		return
	}
	if !m.hasReport || m.report.Position.Before(r.Position) {
		m.progressAt, m.followCount = now, 0
	}
	m.hasReport, m.unansweredSince, m.refusals = true, time.Time{}, 0
	m.report, m.sentAt, m.answeredAt = r, sentAt, now
}

// Committed records that database id reported p as the position of a commit:
// the primary of p.Term has stored it.
func (t *Table) Committed(id string, p position.Position) {
	if m := t.member(id); m != nil {
		m.held = position.Max(m.held, p)
	}
}

// establish adopts the highest term whose primary is known and whose marker is
// on a majority. A position in a term lies at or past the term's marker, since
// the marker is the term's first entry.
func (t *Table) establish(now time.Time) {
	for _, m := range t.members {
		term := m.report.Accepted
		newer := term > t.view.Term || term == t.view.Term && !t.established
		if !newer || term == 0 || !isPrimary(m, term) || !t.markerHeld(term) {
			continue
		}
		t.view = View{Term: term, Primary: m.ID, Marker: t.lowestIndex(term)}
		t.established, t.viewAt = true, now
		t.onEstablished(m, now)
	}
}

// markerHeld reports whether a majority holds an entry of term, stored while
// that was the highest term they had promised.
func (t *Table) markerHeld(term uint64) bool {
	n := 0
	for _, m := range t.members {
		if m.held.Term == term {
			n++
		}
	}
	return n >= t.majority()
}

// lowestIndex returns the lowest index held in term, 0 if none is known.
func (t *Table) lowestIndex(term uint64) uint64 {
	var low uint64
	for _, m := range t.members {
		if m.held.Term == term && (low == 0 || m.held.Index < low) {
			low = m.held.Index
		}
	}
	return low
}

// later returns the later of a and b.
func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
