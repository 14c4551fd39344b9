package datacentre

import (
	"time"

	"github.com/bronzeloft/bronzeloft/link/peerpb"
)

// maxNewsAge bounds the silence that news can tell of.
const maxNewsAge = 24 * time.Hour

// HandleDigest takes in the digest of a peer that ObserveHello named. Digests
// of another boot and those older than one already seen are ignored.
func (t *Table) HandleDigest(from string, d *peerpb.Digest, now time.Time) Output {
	m := t.members[from]
	if m == nil || (d.GetBoot() != 0 && d.GetBoot() != m.boot) || d.GetSequence() <= m.sequence {
		return Output{}
	}
	m.heard(t.cfg.Timing, now)
	m.sequence = d.GetSequence()
	m.config = max(m.config, d.GetConfigVersion())
	m.roster = d.GetRosterVersion()
	if d.GetLeaving() {
		t.Leaving(from)
	}
	t.judgeNewsAge(d)
	for _, news := range d.GetMembers() {
		t.takeNews(m, news, now)
	}
	out := Output{Groups: t.groups.merge(d.GetGroups())}
	if t.fetch.from == "" && t.canFetch(m, now) {
		return t.startFetch(m, out, now)
	}
	return out
}

// judgeNewsAge takes over the peer's confirmation. The digest was made after
// its sender saw the echoed digest, so on this host's clock the confirmation is
// at most the told age older than the sending of that one. A digest that was
// held up on its way thus never looks fresher than it is.
func (t *Table) judgeNewsAge(d *peerpb.Digest) {
	if d.NewsAgeMs == nil || d.GetConfigVersion() > t.inForce.Version() {
		return
	}
	sent := t.sentAt[d.GetEcho()%sentKept]
	if sent.at.IsZero() || sent.sequence != d.GetEcho() {
		return
	}
	t.inForce.confirm(sent.at.Add(-millis(d.GetNewsAgeMs())))
}

// takeNews merges what a peer knows of another member: the newest evidence of
// life and the newest miss count.
func (t *Table) takeNews(from *member, news *peerpb.MemberNews, now time.Time) {
	seen := now.Add(-millis(news.GetSilentMs()))
	m := t.members[news.GetAddress()]
	if m == nil {
		if news.GetLost() || news.GetLeaving() {
			return
		}
		if m = t.member(news.GetAddress(), now); m == nil {
			return
		}
	}
	if m == from || !t.sameBoot(m, news, seen, now) {
		return
	}
	if m.boot == 0 {
		m.boot = news.GetBoot()
	}
	if m.dataCentre == "" {
		m.dataCentre = newsCentre(from, news)
	}
	wasLive := m.live(t.cfg.Timing, now)
	m.seenAt = later(m.seenAt, seen)
	m.leaving = m.leaving || news.GetLeaving()
	if news.GetLost() {
		m.lostAt = later(m.lostAt, seen.Add(t.cfg.Timing.SilentAfter))
	}
	switch live := m.live(t.cfg.Timing, now); {
	case live && !wasLive:
		m.newsTurns = arrivalRepeats
	case wasLive && !live:
		m.newsTurns = lossRepeats
	}
}

// sameBoot reports whether the news is of the boot that the table knows. Later
// news of another boot replaces what is known, unless this host hears the
// member itself.
func (t *Table) sameBoot(m *member, news *peerpb.MemberNews, seen, now time.Time) bool {
	if m.boot == 0 || m.boot == news.GetBoot() {
		return true
	}
	if news.GetBoot() == 0 || m.direct(t.cfg.Timing, now) || news.GetLost() || !seen.After(m.seenAt) {
		return false
	}
	m.restart("", news.GetBoot())
	return true
}

func newsCentre(from *member, news *peerpb.MemberNews) string {
	if news.GetDataCentre() == "" {
		return from.dataCentre
	}
	return news.GetDataCentre()
}

func millis(ms uint64) time.Duration {
	if ms > uint64(maxNewsAge/time.Millisecond) {
		return maxNewsAge
	}
	return time.Duration(ms) * time.Millisecond
}
