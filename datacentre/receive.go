package datacentre

import (
	"time"

	"github.com/bronzeloft/bronzeloft/link/peerpb"
)

// maxNewsAge limits the ages taken from digests; a higher one counts as this age.
const maxNewsAge = 24 * time.Hour

// HandleDigest applies the digest of a peer that ObserveHello recorded. Digests
// of another boot and those whose sequence is not above the last one's are ignored.
func (t *Table) HandleDigest(from string, d *peerpb.Digest, now time.Time) Output {
	m := t.members[from]
	if m == nil || (d.GetBoot() != 0 && d.GetBoot() != m.boot) || d.GetSequence() <= m.sequence {
		return Output{}
	}
	m.recordContact(t.cfg.Timing, now)
	m.sequence = d.GetSequence()
	m.configVersion = max(m.configVersion, d.GetConfigVersion())
	m.rosterVersion = d.GetRosterVersion()
	if d.GetLeaving() {
		t.ObserveLeaving(from)
	}
	t.applyNewsAge(d)
	for _, news := range d.GetMembers() {
		t.mergeNews(m, news, now)
	}
	out := Output{Groups: t.groups.merge(d.GetGroups())}
	if t.fetch.from == "" && t.canFetch(m, now) {
		return t.startFetch(m, out, now)
	}
	return out
}

// applyNewsAge applies the peer's confirmation of the configuration. The peer
// built its digest after it received the echoed digest, so the confirmation is
// at most the reported age older than the time at which this host sent the
// echoed digest. A digest that was delayed in transit therefore never makes the
// confirmation look newer than it is.
func (t *Table) applyNewsAge(d *peerpb.Digest) {
	if d.NewsAgeMs == nil || d.GetConfigVersion() > t.inForce.Version() {
		return
	}
	sent := t.sentAt[d.GetEcho()%sentHistory]
	if sent.at.IsZero() || sent.sequence != d.GetEcho() {
		return
	}
	t.inForce.confirm(sent.at.Add(-millis(d.GetNewsAgeMs())))
}

// mergeNews merges a peer's report of another member: the newest evidence of life
// and the newest loss of contact.
func (t *Table) mergeNews(from *member, news *peerpb.MemberNews, now time.Time) {
	seen := now.Add(-millis(news.GetSilentMs()))
	m := t.members[news.GetAddress()]
	if m == nil {
		if news.GetLost() || news.GetLeaving() {
			return
		}
		if m = t.ensureMember(news.GetAddress(), now); m == nil {
			return
		}
	}
	if m == from || !t.acceptBoot(m, news, seen, now) {
		return
	}
	if m.boot == 0 {
		m.boot = news.GetBoot()
	}
	if m.dataCentre == "" {
		m.dataCentre = newsCentre(from, news)
	}
	wasLive := m.live(t.cfg.Timing, now)
	m.lastSeen = later(m.lastSeen, seen)
	m.leaving = m.leaving || news.GetLeaving()
	if news.GetLost() {
		m.lostAt = later(m.lostAt, seen.Add(t.cfg.Timing.SilentAfter))
	}
	switch live := m.live(t.cfg.Timing, now); {
	case live && !wasLive:
		m.priorityDigests = arrivalRepeats
	case wasLive && !live:
		m.priorityDigests = lossRepeats
	}
}

// acceptBoot reports whether the news may be merged into the record of the member.
// If it is about another boot than the recorded one, it may be merged only if it
// reports later evidence of life and this host is not in direct contact with the
// member; the record is then reset.
func (t *Table) acceptBoot(m *member, news *peerpb.MemberNews, seen, now time.Time) bool {
	if m.boot == 0 || m.boot == news.GetBoot() {
		return true
	}
	if news.GetBoot() == 0 || m.direct(t.cfg.Timing, now) || news.GetLost() || !seen.After(m.lastSeen) {
		return false
	}
	m.recordRestart("", news.GetBoot())
	return true
}

// newsCentre returns the data centre of the member that the news is about. The news
// leaves it empty if it is the sender's.
func newsCentre(from *member, news *peerpb.MemberNews) string {
	if news.GetDataCentre() == "" {
		return from.dataCentre
	}
	return news.GetDataCentre()
}

// millis returns ms milliseconds as a duration of at most maxNewsAge.
func millis(ms uint64) time.Duration {
	if ms > uint64(maxNewsAge/time.Millisecond) {
		return maxNewsAge
	}
	return time.Duration(ms) * time.Millisecond
}
