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

// fetchNext asks the peer with the highest version, if it is higher than the
// one in force and no request is under way. A request without an answer is
// given up after FetchTimeout.
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
		if t.canFetch(m, now) && (best == nil || m.config > best.config) {
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

func (t *Table) startFetch(m *member, out Output, now time.Time) Output {
	t.fetch = fetch{from: m.address, at: now}
	out.FetchFrom = m.address
	return out
}
