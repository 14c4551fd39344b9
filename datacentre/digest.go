package datacentre

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bronzeloft/bronzeloft/link/peerpb"
)

// sentHistory is the number of own digests whose send time is kept. The send time
// bounds the age of a confirmation in a digest that echoes one of them.
const sentHistory = 32

type sentDigest struct {
	sequence uint64
	at       time.Time
}

// Tick runs the periodic work. Call it about every 100 ms, and after a snapshot
// was offered to the configuration.
func (t *Table) Tick(now time.Time) Output {
	t.recordStart(now)
	t.observeCurrentRoster(now)
	out := t.announce(now)
	if now.Before(t.digestAt) {
		out.Send = append(out.Send, t.firstDigests(now)...)
		return t.fetchNext(out, now)
	}
	t.digestAt = now.Add(t.jittered(t.cfg.Timing.DigestEvery))
	t.expireMembers(now)
	t.peers = t.choosePeers(now)
	out.Send = append(out.Send, t.digests(now)...)
	return t.fetchNext(out, now)
}

// jittered returns d varied at random by up to 10 % either way.
func (t *Table) jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*t.cfg.Rand.Float64()))
}

func (t *Table) observeCurrentRoster(now time.Time) {
	if version := t.inForce.Version(); version != t.rosterObserved {
		t.rosterObserved = version
		t.ObserveRoster(t.inForce.Current().Roster, now)
	}
}

// expireMembers records lost contacts and removes members that no list names and
// that have been silent for longer than ForgetAfter.
func (t *Table) expireMembers(now time.Time) {
	timing := t.cfg.Timing
	var forgotten []*member
	for _, m := range t.order {
		if m.contact && !m.direct(timing, now) {
			t.recordLoss(m, now)
		}
		if !m.inAnyList() && now.Sub(m.lastSeen) > timing.ForgetAfter {
			forgotten = append(forgotten, m)
		}
	}
	for _, m := range forgotten {
		t.remove(m)
	}
}

// recordLoss ends direct contact. Only a chosen peer, which this host keeps
// dialing, is reported as lost; any other member may just have closed its
// connection.
func (t *Table) recordLoss(m *member, now time.Time) {
	m.lostAt = m.newestLoss(t.cfg.Timing, now)
	m.contact = false
	m.configVersion = 0
	if m.chosen {
		m.priorityDigests = lossRepeats
	}
}

// announce sends a digest at once when another version is in force, to the peers
// not known to have it.
func (t *Table) announce(now time.Time) Output {
	version := t.inForce.Version()
	if version == t.announced {
		return Output{}
	}
	t.announced = version
	sequence := t.nextSequence(now)
	out := Output{Updated: true}
	for _, address := range t.digestPeers(now) {
		if m := t.members[address]; m != nil && m.configVersion >= version {
			continue
		}
		out.Send = append(out.Send, t.digestTo(address, sequence, nil, nil, now))
	}
	return out
}

// firstDigests returns a digest for each peer that connected since the last
// digest to it, so that a restored connection carries the current version at
// once.
func (t *Table) firstDigests(now time.Time) []Send {
	var sends []Send
	var sequence uint64
	for _, m := range t.order {
		if !m.needsDigest {
			continue
		}
		if sequence == 0 {
			sequence = t.nextSequence(now)
		}
		sends = append(sends, t.digestTo(m.address, sequence, nil, nil, now))
	}
	return sends
}

// digests returns the regular digests, which carry member news and group views.
func (t *Table) digests(now time.Time) []Send {
	addresses := t.digestPeers(now)
	if len(addresses) == 0 {
		return nil
	}
	sequence := t.nextSequence(now)
	news := t.memberNews(now)
	views := t.groups.next(t.cfg.Limits.GroupsPerDigest)
	sends := make([]Send, 0, len(addresses))
	for _, address := range addresses {
		sends = append(sends, t.digestTo(address, sequence, news, views, now))
	}
	return sends
}

func (t *Table) nextSequence(now time.Time) uint64 {
	t.sequence++
	t.sentAt[t.sequence%sentHistory] = sentDigest{sequence: t.sequence, at: now}
	return t.sequence
}

func (t *Table) digestTo(
	address string, sequence uint64, news []*peerpb.MemberNews, views []*peerpb.GroupView, now time.Time,
) Send {
	digest := &peerpb.Digest{
		ConfigVersion: t.inForce.Version(),
		RosterVersion: t.rosterVersion,
		Groups:        views,
		Leaving:       t.leaving,
		Sequence:      sequence,
		Members:       news,
		Boot:          t.boot,
	}
	if m := t.members[address]; m != nil {
		digest.Echo = m.sequence
		m.needsDigest = false
	}
	if age := t.inForce.ConfirmedAge(now); age != Never {
		digest.NewsAgeMs = proto.Uint64(ceilMillis(age))
	}
	return Send{To: address, Env: &peerpb.Envelope{Body: &peerpb.Envelope_Digest{Digest: digest}}}
}

// changedFactor times MembersPerDigest is the maximum number of changed members in
// a digest.
const changedFactor = 4

// memberNews returns news of members: changed ones first, then live ones in
// rotation.
func (t *Table) memberNews(now time.Time) []*peerpb.MemberNews {
	limit := t.cfg.Limits.MembersPerDigest
	var news []*peerpb.MemberNews
	for _, m := range t.order {
		if len(news) >= changedFactor*limit {
			return news
		}
		if m.priorityDigests > 0 && !m.lastSeen.IsZero() {
			m.priorityDigests--
			news = append(news, t.newsOf(m, now))
		}
	}
	for range len(t.order) {
		if len(news) >= limit {
			break
		}
		t.newsCursor = (t.newsCursor + 1) % len(t.order)
		if m := t.order[t.newsCursor]; m.priorityDigests == 0 && t.inRotation(m, now) {
			news = append(news, t.newsOf(m, now))
		}
	}
	return news
}

// inRotation reports whether news of a member is sent in rotation. This is so for
// the live members of this data centre and, in other data centres, for those in
// direct contact.
func (t *Table) inRotation(m *member, now time.Time) bool {
	if !m.live(t.cfg.Timing, now) {
		return false
	}
	return m.dataCentre == t.cfg.DataCentre || m.direct(t.cfg.Timing, now)
}

// newsOf returns the news of a member. For a lost member, the receiver adds
// SilentAfter to the reported time of the last message to get the time of the loss.
func (t *Table) newsOf(m *member, now time.Time) *peerpb.MemberNews {
	news := &peerpb.MemberNews{Address: m.address, Boot: m.boot, Leaving: m.leaving}
	if m.dataCentre != t.cfg.DataCentre {
		news.DataCentre = m.dataCentre
	}
	seen := m.lastSeen
	if lost := m.newestLoss(t.cfg.Timing, now); !lost.IsZero() && !seen.After(lost) {
		news.Lost = true
		seen = lost.Add(-t.cfg.Timing.SilentAfter)
	}
	news.SilentMs = ceilMillis(now.Sub(seen))
	return news
}

// ceilMillis rounds up, so that a reported age is never too low.
func ceilMillis(d time.Duration) uint64 {
	return uint64((max(0, d) + time.Millisecond - 1) / time.Millisecond)
}
