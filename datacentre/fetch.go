package datacentre

import (
	"time"

	"github.com/bronzeloft/bronzeloft/contract"
)

// fetch is the pending snapshot request; there is at most one.
type fetch struct {
	from string
	at   time.Time
}

// retryPeerAfter is how long after a failed snapshot request the same peer may be
// sent another one.
const retryPeerAfter = time.Second

// HandleSnapshot applies the reply to a request made for Output.FetchFrom. snap is
// nil if the request failed or the reply held nothing newer.
func (t *Table) HandleSnapshot(from string, snap *contract.Snapshot, now time.Time) Output {
	if t.fetch.from == from {
		t.fetch = fetch{}
	}
	if !t.inForce.Offer(snap, from, now) {
		t.recordFailedFetch(from, now)
		return t.fetchNext(Output{}, now)
	}
	t.observeCurrentRoster(now)
	return t.fetchNext(t.announce(now), now)
}

func (t *Table) recordFailedFetch(from string, now time.Time) {
	if m := t.members[from]; m != nil {
		m.failedAt = now
	}
}

// fetchNext selects the best peer with a higher version than the one in force for
// a snapshot request, if none is pending. An unanswered request is abandoned
// after FetchTimeout.
func (t *Table) fetchNext(out Output, now time.Time) Output {
	if t.fetch.from != "" {
		if now.Sub(t.fetch.at) < t.cfg.Timing.FetchTimeout {
			return out
		}
		t.recordFailedFetch(t.fetch.from, now)
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
	if m.configVersion <= t.inForce.Version() || !m.direct(t.cfg.Timing, now) {
		return false
	}
	return m.failedAt.IsZero() || now.Sub(m.failedAt) >= retryPeerAfter
}

// betterSource reports whether a is preferred to b for a snapshot request. A peer
// whose last message is overdue may be unreachable, and a request to it would
// cost the whole timeout, so it comes after the others.
func (t *Table) betterSource(a, b *member, now time.Time) bool {
	overdue := t.cfg.Timing.DigestEvery * 6 / 5
	lateA, lateB := now.Sub(a.lastContact) > overdue, now.Sub(b.lastContact) > overdue
	if lateA != lateB {
		return lateB
	}
	if a.configVersion != b.configVersion {
		return a.configVersion > b.configVersion
	}
	return a.lastContact.After(b.lastContact)
}

func (t *Table) startFetch(m *member, out Output, now time.Time) Output {
	t.fetch = fetch{from: m.address, at: now}
	out.FetchFrom = m.address
	return out
}
