package datacentre

import (
	"time"

	"github.com/bronzeloft/bronzeloft/contract"
)

// fetch is the snapshot request under way; at most one.
type fetch struct {
	from string
	at   time.Time
}

// retryPeerAfter keeps a peer that failed to give its snapshot from being
// asked again at once.
const retryPeerAfter = time.Second

// HandleSnapshot takes in the answer to a request that FetchFrom asked for;
// snap is nil when the request failed or the answer held nothing newer.
func (t *Table) HandleSnapshot(from string, snap *contract.Snapshot, now time.Time) Output {
	if t.fetch.from == from {
		t.fetch = fetch{}
	}
	if !t.inForce.Offer(snap, from, now) {
		t.noteFailedFetch(from, now)
		return t.fetchNext(Output{}, now)
	}
	t.observeOwnRoster(now)
	return t.fetchNext(t.announce(now), now)
}

func (t *Table) noteFailedFetch(from string, now time.Time) {
	if m := t.members[from]; m != nil {
		m.failedAt = now
	}
}

// fetchNext asks the best peer with a higher version than the one in force, if
// no request is under way. A request without an answer is given up after
// FetchTimeout.
func (t *Table) fetchNext(out Output, now time.Time) Output {
	if t.fetch.from != "" {
		if now.Sub(t.fetch.at) < t.cfg.Timing.FetchTimeout {
			return out
		}
		t.noteFailedFetch(t.fetch.from, now)
		t.fetch = fetch{}
	}
	var best *member
	for _, m := range t.order {
		if t.canFetch(m, now) && (best == nil || t.betterSource(m, best, now)) {
			best = m
		}
	}
	if best == nil {
		return out
	}
	return t.startFetch(best, out, now)
}

func (t *Table) canFetch(m *member, now time.Time) bool {
	if m.config <= t.inForce.Version() || !m.direct(t.cfg.Timing, now) {
		return false
	}
	return m.failedAt.IsZero() || now.Sub(m.failedAt) >= retryPeerAfter
}

// betterSource reports whether a should be asked rather than b. A peer whose
// last digest is overdue may be behind a cut link, which would cost the whole
// timeout; so it comes after the others.
func (t *Table) betterSource(a, b *member, now time.Time) bool {
	overdue := t.cfg.Timing.DigestEvery * 6 / 5
	lateA, lateB := now.Sub(a.heardAt) > overdue, now.Sub(b.heardAt) > overdue
	if lateA != lateB {
		return lateB
	}
	if a.config != b.config {
		return a.config > b.config
	}
	return a.heardAt.After(b.heardAt)
}

func (t *Table) startFetch(m *member, out Output, now time.Time) Output {
	t.fetch = fetch{from: m.address, at: now}
	out.FetchFrom = m.address
	return out
}
