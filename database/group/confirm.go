package group

import (
	"slices"
	"sort"
	"time"

	"github.com/bronzeloft/bronzeloft/database/groupsql"
	"github.com/bronzeloft/bronzeloft/position"
)

// Bounds of the samples kept.
const (
	maxSamples = 512 // for aged reads
	maxRecent  = 128 // for confirmations
)

// round is the probing that confirmations and acknowledgements share: at most
// one is in flight, and the next one serves all that came in the meantime.
type round struct {
	inFlight bool
	start    time.Time
	end      time.Time // when the last round ended
	failed   bool      // it ended without a confirmation
	wanted   time.Time // latest request for a confirmation
	acks     time.Time // latest request for acknowledgements
}

// Bounds of how long a request keeps rounds going.
const (
	ackPatience     = 20 * time.Millisecond // one WantAck
	confirmPatience = 2 * time.Second       // one WantConfirm
)

// WantConfirm asks for a round of probes sent at or after now. One round is in
// flight at a time; one that was sent before now does not serve this request.
// The request lapses after confirmPatience; a host that waits longer repeats it.
func (t *Table) WantConfirm(now time.Time) []Action {
	t.round.wanted = later(t.round.wanted, now)
	return t.pumpRound(now)
}

// WantAck keeps probes going back to back while writers wait. The host calls
// it for each waiting writer, at the commit and at each Tick while it waits.
func (t *Table) WantAck(now time.Time) []Action {
	t.round.acks = later(t.round.acks, now)
	return t.pumpRound(now)
}

// Confirmed returns a position at or past every write of the group that was
// acknowledged before since, once a round of probes that were all sent at or
// after since has shown it. Of several such positions it returns the lowest, so
// the answer does not run ahead of replicas while later rounds end.
func (t *Table) Confirmed(since time.Time) (position.Position, bool) {
	var low position.Position
	found := false
	for _, s := range t.recent {
		if s.start.Before(since) {
			continue
		}
		if !found || s.pos.Before(low) {
			low, found = s.pos, true
		}
	}
	return low, found
}

// AgeFloor returns the oldest confirmed position whose probes were sent at or
// after now-age: data at or past floor is no older than now minus sampled.
func (t *Table) AgeFloor(now time.Time, age time.Duration) (floor position.Position, sampled time.Time, ok bool) {
	from := now.Add(-age)
	i := sort.Search(len(t.samples), func(i int) bool { return !t.samples[i].start.Before(from) })
	if i < len(t.samples) {
		return t.samples[i].pos, t.samples[i].start, true
	}
	if !t.latest.start.IsZero() && !t.latest.start.Before(from) {
		return t.latest.pos, t.latest.start, true
	}
	return position.Position{}, time.Time{}, false
}

// Acked says whether the write that was committed at p is acknowledged. Only
// reports of databases that had promised no term above p.Term when they stored
// p count: an entry that a later term copied can still be cut off.
func (t *Table) Acked(p position.Position) AckState {
	n := 0
	for _, m := range t.members {
		if m.held.Term == p.Term && m.held.Index >= p.Index {
			n++
		}
	}
	switch {
	case n >= t.majority() && len(t.members) > 0:
		return AckYes
	case t.established && t.view.Term > p.Term, t.fencedAbove(p.Term) >= t.majority():
		return AckNever
	default:
		return AckPending
	}
}

// Durable returns the highest position that a majority holds in the
// established term: nothing at or before it can be lost.
func (t *Table) Durable() (position.Position, bool) {
	if !t.established {
		return position.Position{}, false
	}
	held := make([]uint64, 0, len(t.members))
	for _, m := range t.members {
		if m.held.Term == t.view.Term {
			held = append(held, m.held.Index)
		}
	}
	if len(held) < t.majority() {
		return position.Position{}, false
	}
	slices.Sort(held)
	slices.Reverse(held)
	return position.Position{Term: t.view.Term, Index: held[t.majority()-1]}, true
}

// confirm takes samples when the latest answers show one: a majority still had
// the established term as the highest promised. Every write acknowledged before
// the oldest probe counted is then in that term's log, and held by a majority;
// the members that were not counted may hold it too, so the floor is the lowest
// position that enough of the counted ones reach to make up a majority.
func (t *Table) confirm(now time.Time) {
	if !t.established {
		return
	}
	current := t.currentMembers()
	for k := t.majority(); k <= len(current); k++ {
		floor, ok := t.floorOf(current[:k])
		if !ok {
			continue
		}
		t.addSample(sample{start: current[k-1].sentAt, pos: floor})
	}
	t.noteLag(now)
}

// currentMembers returns the members that last reported the established term as
// their highest, the one asked last first.
func (t *Table) currentMembers() []*member {
	out := make([]*member, 0, len(t.members))
	for _, m := range t.members {
		if m.known && m.report.Accepted == t.view.Term {
			out = append(out, m)
		}
	}
	slices.SortStableFunc(out, func(a, b *member) int { return b.sentAt.Compare(a.sentAt) })
	return out
}

// floorOf returns the lowest position that no acknowledged write lies beyond,
// given what the counted members reported.
func (t *Table) floorOf(counted []*member) (position.Position, bool) {
	held := make([]uint64, 0, len(counted))
	for _, m := range counted {
		if m.report.Position.Term == t.view.Term {
			held = append(held, m.report.Position.Index)
		}
	}
	slices.Sort(held)
	slices.Reverse(held)
	need := t.majority() - (len(t.members) - len(counted))
	if need < 1 || need > len(held) {
		return position.Position{}, false
	}
	return position.Position{Term: t.view.Term, Index: held[need-1]}, true
}

// addSample keeps s unless one of the last few is as fresh and as low.
func (t *Table) addSample(s sample) {
	for i := len(t.recent) - 1; i >= max(0, len(t.recent)-2*len(t.members)); i-- {
		if old := t.recent[i]; !old.start.Before(s.start) && !s.pos.Before(old.pos) {
			return
		}
	}
	if len(t.recent) == maxRecent {
		t.recent = append(t.recent[:0], t.recent[1:]...)
	}
	t.recent = append(t.recent, s)
	if t.latest.start.Before(s.start) {
		t.latest = s
	}
	t.keepSample(s)
}

// keepSample appends s to the ring for aged reads if it is far enough from the
// one before, or replaces that by one as fresh and lower.
func (t *Table) keepSample(s sample) {
	n := len(t.samples)
	switch {
	case n == 0 || s.start.Sub(t.samples[n-1].start) >= t.t.SampleEvery:
	case !s.start.Before(t.samples[n-1].start) && s.pos.Before(t.samples[n-1].pos):
		t.samples[n-1] = s
		return
	default:
		return
	}
	if n == maxSamples {
		t.samples = append(t.samples[:0], t.samples[1:]...)
	}
	t.samples = append(t.samples, s)
}

// pumpRound ends the round in flight when it is served or hopeless, and starts
// the next one when somebody waits for it.
func (t *Table) pumpRound(now time.Time) []Action {
	out := t.joinRound(now)
	t.endRound(now)
	if t.round.inFlight || !t.roundWanted(now) {
		return out
	}
	if t.round.failed && now.Sub(t.round.end) < t.t.ConfirmRetry {
		return out
	}
	t.round.inFlight, t.round.start = true, now
	return append(out, t.probeAll(now)...)
}

// joinRound probes the members whose older probe was out when the round in
// flight began and has been answered since.
func (t *Table) joinRound(now time.Time) []Action {
	if !t.round.inFlight {
		return nil
	}
	var out []Action
	for _, m := range t.members {
		if !m.probing && m.probedAt.Before(t.round.start) {
			out = append(out, t.probe(m, now)...)
		}
	}
	return out
}

// roundWanted reports whether a confirmation or a writer waits for a round.
func (t *Table) roundWanted(now time.Time) bool {
	confirm := !t.round.wanted.IsZero() && now.Sub(t.round.wanted) < confirmPatience && t.latest.start.Before(t.round.wanted)
	acks := !t.round.acks.IsZero() && now.Sub(t.round.acks) < ackPatience
	return confirm || acks
}

// endRound ends the round in flight if it is confirmed, or if no member still
// owes an answer to it.
func (t *Table) endRound(now time.Time) {
	if !t.round.inFlight {
		return
	}
	confirmed := !t.latest.start.Before(t.round.start)
	if !confirmed && t.owed(now) {
		return
	}
	t.round.inFlight, t.round.end, t.round.failed = false, now, !confirmed
}

// owed reports whether some member may still answer the round in flight.
func (t *Table) owed(now time.Time) bool {
	if now.Sub(t.round.start) >= t.t.ProbeTimeout {
		return false
	}
	for _, m := range t.members {
		if m.probing && now.Sub(m.probedAt) < t.t.ProbeTimeout {
			return true
		}
	}
	return false
}

// probeAll probes each member that has no probe out.
func (t *Table) probeAll(now time.Time) []Action {
	var out []Action
	for _, m := range t.members {
		out = append(out, t.probe(m, now)...)
	}
	return out
}

// probe asks m for its position unless a probe is out and not overdue.
func (t *Table) probe(m *member, now time.Time) []Action {
	if m.probing && now.Sub(m.probedAt) < t.t.ProbeTimeout {
		return nil
	}
	m.probing, m.probedAt = true, now
	if m.unansweredAt.IsZero() {
		m.unansweredAt = now
	}
	return []Action{Send{Database: m.ID, Op: groupsql.Op{Kind: groupsql.OpPosition}}}
}
