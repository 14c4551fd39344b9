package datacentre

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bronzeloft/bronzeloft/link/peerpb"
)

// sentKept is the number of own digests whose time of sending is kept, to
// judge the age of news in the digests that echo them.
const sentKept = 32

type sentDigest struct {
	sequence uint64
	at       time.Time
}

// Tick brings in time. Call it every 100 ms or so, and after a snapshot was
// offered to the configuration.
func (t *Table) Tick(now time.Time) Output {
	t.started(now)
	t.observeOwnRoster(now)
	out := t.announce(now)
	if now.Before(t.digestAt) {
		out.Send = append(out.Send, t.greetings(now)...)
		return t.fetchNext(out, now)
	}
	t.digestAt = now.Add(t.jittered(t.cfg.Timing.DigestEvery))
	t.settleMembers(now)
	t.peers = t.choosePeers(now)
	out.Send = append(out.Send, t.digests(now)...)
	return t.fetchNext(out, now)
}

// jittered returns d give or take a tenth.
func (t *Table) jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*t.cfg.Rand.Float64()))
}

func (t *Table) observeOwnRoster(now time.Time) {
	if version := t.inForce.Version(); version != t.rostered {
		t.rostered = version
		t.ObserveRoster(t.inForce.Current().Roster, now)
	}
}

// settleMembers notes losses and forgets members.
func (t *Table) settleMembers(now time.Time) {
	timing := t.cfg.Timing
	var gone []*member
	for _, m := range t.order {
		if m.contact && !m.direct(timing, now) {
			t.noteLoss(m, now)
		}
		if !m.hinted() && now.Sub(m.seenAt) > timing.ForgetAfter {
			gone = append(gone, m)
		}
	}
	for _, m := range gone {
		t.remove(m)
	}
}

// noteLoss ends direct contact. Only a peer that this host keeps dialing
// counts as lost; another one may just have dropped its connection.
func (t *Table) noteLoss(m *member, now time.Time) {
	m.lostAt = m.missedAt(t.cfg.Timing, now)
	m.contact = false
	m.config = 0
	if m.chosen {
		m.newsTurns = lossRepeats
	}
}

// announce tells peers of a version that they have not been told of.
func (t *Table) announce(now time.Time) Output {
	version := t.inForce.Version()
	if version == t.announced {
		return Output{}
	}
	t.announced = version
	sequence := t.nextSequence(now)
	out := Output{Updated: true}
	for _, address := range t.digestPeers(now) {
		if m := t.members[address]; m != nil && m.config >= version {
			continue
		}
		out.Send = append(out.Send, t.digestTo(address, sequence, nil, nil, now))
	}
	return out
}

// greetings returns a digest for each peer that connected since the last one,
// so that a healed link brings news at once.
func (t *Table) greetings(now time.Time) []Send {
	var sends []Send
	var sequence uint64
	for _, m := range t.order {
		if !m.greet {
			continue
		}
		if sequence == 0 {
			sequence = t.nextSequence(now)
		}
		sends = append(sends, t.digestTo(m.address, sequence, nil, nil, now))
	}
	return sends
}

// digests returns this turn's digests.
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
	t.sentAt[t.sequence%sentKept] = sentDigest{sequence: t.sequence, at: now}
	return t.sequence
}

func (t *Table) digestTo(
	address string, sequence uint64, news []*peerpb.MemberNews, views []*peerpb.GroupView, now time.Time,
) Send {
	digest := &peerpb.Digest{
		ConfigVersion: t.inForce.Version(),
		RosterVersion: t.ownRoster,
		Groups:        views,
		Leaving:       t.leaving,
		Sequence:      sequence,
		Members:       news,
		Boot:          t.boot,
	}
	if m := t.members[address]; m != nil {
		digest.Echo = m.sequence
		m.greet = false
	}
	if age := t.inForce.Fresh(now); age != Never {
		digest.NewsAgeMs = proto.Uint64(ceilMillis(age))
	}
	return Send{To: address, Env: &peerpb.Envelope{Body: &peerpb.Envelope_Digest{Digest: digest}}}
}

// changedShare is how many times MembersPerDigest changed members may take.
const changedShare = 4

// memberNews returns news of members: changed ones first, then live ones in
// turn.
func (t *Table) memberNews(now time.Time) []*peerpb.MemberNews {
	limit := t.cfg.Limits.MembersPerDigest
	var news []*peerpb.MemberNews
	for _, m := range t.order {
		if len(news) >= changedShare*limit {
			return news
		}
		if m.newsTurns > 0 && !m.seenAt.IsZero() {
			m.newsTurns--
			news = append(news, t.newsOf(m, now))
		}
	}
	for range len(t.order) {
		if len(news) >= limit {
			break
		}
		t.turn = (t.turn + 1) % len(t.order)
		if m := t.order[t.turn]; m.newsTurns == 0 && t.tellsOf(m, now) {
			news = append(news, t.newsOf(m, now))
		}
	}
	return news
}

// tellsOf reports whether a member gets a turn: those of this data centre, and
// of others those heard here.
func (t *Table) tellsOf(m *member, now time.Time) bool {
	if !m.live(t.cfg.Timing, now) {
		return false
	}
	return m.dataCentre == t.cfg.DataCentre || m.direct(t.cfg.Timing, now)
}

func (t *Table) newsOf(m *member, now time.Time) *peerpb.MemberNews {
	news := &peerpb.MemberNews{Address: m.address, Boot: m.boot, Leaving: m.leaving}
	if m.dataCentre != t.cfg.DataCentre {
		news.DataCentre = m.dataCentre
	}
	seen := m.seenAt
	if missed := m.missedAt(t.cfg.Timing, now); !missed.IsZero() && !seen.After(missed) {
		news.Lost = true
		seen = missed.Add(-t.cfg.Timing.SilentAfter)
	}
	news.SilentMs = ceilMillis(now.Sub(seen))
	return news
}

// ceilMillis rounds up, so that an age is never told too low.
func ceilMillis(d time.Duration) uint64 {
	return uint64((max(0, d) + time.Millisecond - 1) / time.Millisecond)
}
