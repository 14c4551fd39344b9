package group

import (
	"slices"
	"sort"
	"time"

	"github.com/bronzeloft/bronzeloft/database/groupsql"
	"github.com/bronzeloft/bronzeloft/position"
)

// Maximum numbers of samples kept.
const (
	maxSamples = 512 // for reads that accept data of some age (AgeFloor)
	maxRecent  = 128 // for confirmations (Confirmed)
)

// round is the state of the probe rounds that confirmations and acknowledgements
// share. At most one is in flight; the next one serves all requests that arrived
// in the meantime.
type round struct {
	inFlight           bool
	startedAt          time.Time
	endedAt            time.Time // when the last round ended
	failed             bool      // the last round ended without a confirmation
	confirmRequestedAt time.Time // latest request for a confirmation
	acksRequestedAt    time.Time // latest request for acknowledgements
}

// How long after one request further rounds are started for it.
const (
	ackRequestTTL          = 20 * time.Millisecond // after RequestAcks
	confirmationRequestTTL = 2 * time.Second       // after RequestConfirmation
)

// RequestConfirmation requests a round of probes sent at or after now. One round
// is in flight at a time; a round that was started before now does not serve this
// request. The request expires after confirmationRequestTTL; a host that waits
// longer repeats it.
func (t *Table) RequestConfirmation(now time.Time) []Action {
	t.round.confirmRequestedAt = later(t.round.confirmRequestedAt, now)
	return t.advanceRound(now)
}

// RequestAcks keeps probe rounds running back to back while writers wait for an
// acknowledgement. The host calls it for each waiting writer, at the commit and
// at each Tick while it waits.
func (t *Table) RequestAcks(now time.Time) []Action {
	t.round.acksRequestedAt = later(t.round.acksRequestedAt, now)
	return t.advanceRound(now)
}

// Confirmed returns a position at or past every write of the group that was
// acknowledged before since, once a round of probes that were all sent at or
// after since has shown it. Of several such positions it returns the lowest, so
// that the result does not move ahead of the replicas as later rounds end.
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

// AgeFloor returns the floor of an aged read, one that accepts data of the given
// age: the oldest confirmed position whose probes were sent at or after now-age.
// They were sent at or after sampled, so that data at or past floor is at most
// now-sampled old. ok is false if there is no such position.
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

// Acked returns the acknowledgement state of the write committed at p. Only
// databases that had promised no term above p.Term when they stored p count: an
// entry that was copied in a later term can still be cut off.
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

// Durable returns the highest position that a majority holds in the established
// term. No entry at or before it can be lost.
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

// confirm records samples if the latest reports show that a majority still had
// the established term as its highest promised one: one sample for each number of
// counted members from a majority up, where the most recently probed count first.
// Every write that was acknowledged before the oldest counted probe was sent is then
// in that term's log and held by a majority, of which at least (majority - uncounted
// members) were counted. The floor is therefore the highest position that so many
// counted members have reached.
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
	t.updateLagging(now)
}

// currentMembers returns the members that last reported the established term as
// their highest, the most recently probed first.
func (t *Table) currentMembers() []*member {
	out := make([]*member, 0, len(t.members))
	for _, m := range t.members {
		if m.hasReport && m.report.Accepted == t.view.Term {
			out = append(out, m)
		}
	}
	slices.SortStableFunc(out, func(a, b *member) int { return b.sentAt.Compare(a.sentAt) })
	return out
}

// floorOf returns the lowest position that is certain to be at or past every
// acknowledged write, given the reports of the counted members. It returns false if
// too few of them hold an entry of the established term.
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

// addSample records s unless one of the last few samples has the same or a later
// start and the same or a lower position.
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
	t.addSpacedSample(s)
}

// addSpacedSample appends s to the samples for AgeFloor if it starts at least
// SampleEvery after the last one. Otherwise s replaces the last one if its start
// is not earlier and its position is lower.
func (t *Table) addSpacedSample(s sample) {
	n := len(t.samples)
	switch {
	case n == 0 || s.start.Sub(t.samples[n-1].start) >= t.timing.SampleEvery:
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

// advanceRound ends the round in flight if it is confirmed or can no longer be,
// and starts the next one if a request waits for it.
func (t *Table) advanceRound(now time.Time) []Action {
	out := t.probeRemaining(now)
	t.endRound(now)
	if t.round.inFlight || !t.roundWanted(now) {
		return out
	}
	if t.round.failed && now.Sub(t.round.endedAt) < t.timing.ConfirmRetry {
		return out
	}
	t.round.inFlight, t.round.startedAt = true, now
	return append(out, t.probeAll(now)...)
}

// probeRemaining probes the members that still had an earlier probe outstanding
// when the round in flight began, and have answered that one since.
func (t *Table) probeRemaining(now time.Time) []Action {
	if !t.round.inFlight {
		return nil
	}
	var out []Action
	for _, m := range t.members {
		if !m.probing && m.probedAt.Before(t.round.startedAt) {
			out = append(out, t.probe(m, now)...)
		}
	}
	return out
}

// roundWanted reports whether a request for a confirmation or for acknowledgements
// is pending.
func (t *Table) roundWanted(now time.Time) bool {
	confirm := !t.round.confirmRequestedAt.IsZero() && now.Sub(t.round.confirmRequestedAt) < confirmationRequestTTL && t.latest.start.Before(t.round.confirmRequestedAt)
	acks := !t.round.acksRequestedAt.IsZero() && now.Sub(t.round.acksRequestedAt) < ackRequestTTL
	return confirm || acks
}

// endRound ends the round in flight if it is confirmed, or if no answer to it is
// outstanding.
func (t *Table) endRound(now time.Time) {
	if !t.round.inFlight {
		return
	}
	confirmed := !t.latest.start.Before(t.round.startedAt)
	if !confirmed && t.answersOutstanding(now) {
		return
	}
	t.round.inFlight, t.round.endedAt, t.round.failed = false, now, !confirmed
}

// answersOutstanding reports whether a member may still answer the round in
// flight.
func (t *Table) answersOutstanding(now time.Time) bool {
	if now.Sub(t.round.startedAt) >= t.timing.ProbeTimeout {
		return false
	}
	for _, m := range t.members {
		if m.probing && now.Sub(m.probedAt) < t.timing.ProbeTimeout {
			return true
		}
	}
	return false
}

// probeAll probes each member that has no probe outstanding.
func (t *Table) probeAll(now time.Time) []Action {
	var out []Action
	for _, m := range t.members {
		out = append(out, t.probe(m, now)...)
	}
	return out
}

// probe sends m a probe of its position, unless one is outstanding and has not
// timed out.
func (t *Table) probe(m *member, now time.Time) []Action {
	if m.probing && now.Sub(m.probedAt) < t.timing.ProbeTimeout {
		return nil
	}
	m.probing, m.probedAt = true, now
	if m.unansweredSince.IsZero() {
		m.unansweredSince = now
	}
	return []Action{Send{Database: m.ID, Op: groupsql.Op{Kind: groupsql.OpPosition}}}
}
