// Package placement decides which hosts of a data centre serve its databases, and
// which of them is a service's home host.
//
// Only the serving hosts hold connections to databases and run the statements of the
// other hosts' callers. They are the first in a ranking of the live hosts by weighted
// rendezvous hashing, so that hosts with more processor time are preferred and the
// loss of a host moves few services. A serving host sends a message to every host of
// the data centre in each round, and so every host learns at once when a home host
// falls silent. The other hosts send messages to the serving hosts only, and less
// often. The first serving hosts, the delegates, add a report of the first hosts in
// the ranking to their messages, from which the others learn who follows a serving
// host that is lost. The number of messages that a host sends and receives thus does
// not grow with the number of hosts, except on the few serving ones.
//
// Hosts may briefly disagree, which costs additional connections and nothing else.
package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// allServe is the number of hosts up to which all hosts of a data centre serve.
	allServe = 8
	// minServing is the least number of serving hosts among more than allServe. Several
	// are needed so that the loss of one moves a part of the services only.
	minServing = 4
	// servicesPerHost limits how many services a serving host is home to on average.
	servicesPerHost = 8
	// standby is the number of hosts in a report that follow the serving ones.
	standby = 4
)

// PlainRounds is the number of rounds between two messages of a host that does not
// serve to one that does.
const PlainRounds = 4

// Timeouts, in rounds.
const (
	servingTimeout   = 4                      // of a serving host, whose messages come every round
	plainTimeout     = 4 * PlainRounds        // of another host
	reportTimeout    = 10                     // of a report; longer than two delegates take to be replaced
	discoveryTimeout = 5                      // from the start, during which listed hosts count as live
	introduction     = 2*discoveryTimeout + 1 // from the start, during which every round has messages
)

// refreshPerRound is how many times in a round the serving hosts are determined anew
// even if no message has changed them.
const refreshPerRound = 4

// Host is a host of the data centre.
type Host struct {
	Name     string
	Capacity float64 // share of a core; 0 counts as 1
}

// Table is one host's view of the hosts of its data centre. It is not safe for
// concurrent use.
type Table struct {
	self    Host
	leaving bool
	round   time.Duration
	started time.Time
	members map[string]*member

	reportedLive int       // live hosts by the last report
	reportAt     time.Time // of the last report

	// serving is the last result of Serving, for servingFor services. It holds until
	// servingUntil, and is nil after a change.
	serving      []string
	servingFor   int
	servingUntil time.Time
}

// member is another host. Times are zero if there was no such event.
type member struct {
	Host
	score      float64   // of the host in the ranking
	heardAt    time.Time // last message from it
	serving    bool      // its last message said that it serves
	leaving    bool      // its last message said that it shuts down
	reportedAt time.Time // last report that named it
	expectedAt time.Time // since when it ranks among the serving hosts without a gap
	silent     bool      // it did not send although it ranks among the serving hosts
	sentAt     time.Time // last message to it as a serving host
}

// New returns the table of a host that starts now. round is the time between two
// rounds of messages.
func New(self Host, round time.Duration, now time.Time) *Table {
	return &Table{self: self, round: round, started: now, members: map[string]*member{}}
}

// SetLeaving records that this host shuts down: it no longer serves.
func (t *Table) SetLeaving() { t.leaving, t.serving = true, nil }

// RecordListed records a host that the platform's store names; it may have ended
// long ago.
func (t *Table) RecordListed(h Host) { t.member(h) }

// RecordMessage records a message from a host.
func (t *Table) RecordMessage(h Host, serving, leaving bool, now time.Time) {
	m := t.member(h)
	if !t.live(m, now) || leaving != m.leaving {
		t.serving = nil
	}
	m.heardAt, m.serving, m.leaving, m.silent = now, serving, leaving, false
}

// RecordReport records a delegate's report: the hosts that rank first, and how many
// live hosts there are.
func (t *Table) RecordReport(hosts []Host, live int, now time.Time) {
	if live != t.reportedLive {
		t.serving = nil
	}
	t.reportedLive, t.reportAt = live, now
	for _, h := range hosts {
		if h.Name == t.self.Name {
			continue
		}
		m := t.member(h)
		if !t.live(m, now) {
			t.serving = nil
		}
		m.reportedAt = now
	}
}

func (t *Table) member(h Host) *member {
	m := t.members[h.Name]
	if m == nil {
		m = &member{}
		t.members[h.Name] = m
	}
	if m.Host != h {
		m.Host, m.score, t.serving = h, score(rankKey, h), nil
	}
	return m
}

// Serving returns the names of the serving hosts in their order, for a data centre
// that serves the given number of services. The first ones are the delegates.
// The caller must not change the result.
func (t *Table) Serving(services int, now time.Time) []string {
	if t.serving != nil && t.servingFor == services && now.Before(t.servingUntil) {
		return t.serving
	}
	for {
		ranked := t.ranked(now)
		serving := ranked[:min(len(ranked), ServingHosts(t.liveCount(ranked, now), services))]
		if t.expect(serving, now) {
			t.serving, t.servingFor, t.servingUntil = names(serving), services, now.Add(t.round/refreshPerRound)
			return t.serving
		}
	}
}

// liveCount returns the number of live hosts, of which a host that does not serve
// knows only those that rank first.
func (t *Table) liveCount(ranked []Host, now time.Time) int {
	if t.rounds(t.reportAt, now) < reportTimeout {
		return max(len(ranked), t.reportedLive)
	}
	return len(ranked)
}

// Report returns a delegate's report: the live hosts that rank first, which are the
// serving ones and those that follow them, and the number of all live hosts.
func (t *Table) Report(services int, now time.Time) (hosts []Host, live int) {
	ranked := t.ranked(now)
	return ranked[:min(len(ranked), ServingHosts(len(ranked), services)+standby)], len(ranked)
}

// Live returns the number of live hosts, this one included. Only a serving host
// knows all of them.
func (t *Table) Live(now time.Time) int { return len(t.ranked(now)) }

// expect updates since when hosts rank among the serving ones. It returns false if
// one of them turns out not to serve: it ranks there for servingTimeout and sent no
// message in that time.
func (t *Table) expect(serving []Host, now time.Time) bool {
	inRank := map[string]bool{}
	complete := true
	for _, h := range serving {
		inRank[h.Name] = true
		m := t.members[h.Name]
		if m == nil {
			continue // this host
		}
		if m.expectedAt.IsZero() {
			m.expectedAt = now
		}
		if t.rounds(m.expectedAt, now) >= servingTimeout && t.rounds(m.heardAt, now) >= servingTimeout {
			m.silent, complete = true, false
		}
	}
	for name, m := range t.members {
		if !inRank[name] {
			m.expectedAt = time.Time{}
		}
	}
	return complete
}

// SendDue reports whether this host sends a message to another one in the round at
// now, and records it. serving is the result of Serving.
func (t *Table) SendDue(name string, serving []string, now time.Time) bool {
	if slices.Contains(serving, t.self.Name) {
		return true
	}
	m := t.members[name]
	if m == nil || !slices.Contains(serving, name) {
		return false
	}
	const tolerance = 0.5 // rounds come a little early or late
	if t.rounds(t.started, now) >= introduction && t.rounds(m.sentAt, now) < PlainRounds-tolerance {
		return false
	}
	m.sentAt = now
	return true
}

// rounds returns the time from a to b in rounds; it is very large if a is zero.
func (t *Table) rounds(a, b time.Time) float64 {
	if a.IsZero() {
		return math.Inf(1)
	}
	return float64(b.Sub(a)) / float64(t.round)
}

// ranked returns the live hosts, this one included unless it is leaving, in their
// order.
func (t *Table) ranked(now time.Time) []Host {
	live := make([]*member, 0, len(t.members)+1)
	if !t.leaving {
		live = append(live, &member{Host: t.self, score: score(rankKey, t.self)})
	}
	for _, m := range t.members {
		if t.live(m, now) {
			live = append(live, m)
		}
	}
	slices.SortFunc(live, func(a, b *member) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.Name, b.Name))
	})
	out := make([]Host, len(live))
	for i, m := range live {
		out[i] = m.Host
	}
	return out
}

func (t *Table) live(m *member, now time.Time) bool {
	if m.leaving || m.silent {
		return false
	}
	timeout := float64(plainTimeout)
	if m.serving {
		timeout = servingTimeout
	}
	if t.rounds(m.heardAt, now) < timeout || t.rounds(m.reportedAt, now) < reportTimeout {
		return true
	}
	return m.heardAt.IsZero() && t.rounds(t.started, now) < discoveryTimeout
}

// ServingHosts returns how many of a number of live hosts serve.
func ServingHosts(live, services int) int {
	if live <= allServe {
		return live
	}
	return min(live, max(minServing, (services+servicesPerHost-1)/servicesPerHost))
}

const rankKey = "serving"

// Bounds of the capacity that another host may announce.
const (
	minCapacity = 0.01
	maxCapacity = 256
)

// RankServing sorts hosts by the order in which they serve.
func RankServing(hosts []Host) { Rank(rankKey, hosts) }

// Rank sorts hosts by weighted rendezvous hashing under a key, the first choice
// first. A host is first with a probability in proportion to its weight, the fourth
// power of its capacity: a few large hosts come before many small ones.
func Rank(key string, hosts []Host) {
	scores := make(map[string]float64, len(hosts))
	for _, h := range hosts {
		scores[h.Name] = score(key, h)
	}
	slices.SortFunc(hosts, func(a, b Host) int {
		return cmp.Or(cmp.Compare(scores[b.Name], scores[a.Name]), cmp.Compare(a.Name, b.Name))
	})
}

func score(key string, h Host) float64 {
	capacity := 1.0
	if h.Capacity > 0 {
		capacity = min(max(h.Capacity, minCapacity), maxCapacity)
	}
	hash := xxhash.Sum64String(key + "\x00" + h.Name)
	uniform := (float64(hash>>11) + 0.5) / (1 << 53) // in (0, 1)
	return -capacity * capacity * capacity * capacity / math.Log(uniform)
}

func names(hosts []Host) []string {
	out := make([]string, len(hosts))
	for i, h := range hosts {
		out[i] = h.Name
	}
	return out
}
