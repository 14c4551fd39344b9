package datacentre

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// watchDuty is the rendezvous key that ranks a data centre's hosts as watchers.
const watchDuty = "watch"

// Watchers returns the hosts of this data centre that should watch the
// platform, highest rank first. Hosts may temporarily disagree about this; then
// more or fewer of them watch, and digests still spread the configuration.
func (t *Table) Watchers(now time.Time) []string {
	return t.Servers(watchDuty, nil, t.watcherCount(now), now)
}

// IsWatcher reports whether this host should watch the platform. A host that is
// leaving or started less than SettleFor ago should not.
func (t *Table) IsWatcher(now time.Time) bool {
	if t.leaving || t.startedAt.IsZero() || now.Sub(t.startedAt) < t.cfg.Timing.SettleFor {
		return false
	}
	at := rankOf(t.candidates(watchDuty, now), t.cfg.Self)
	return at >= 0 && at < t.watcherCount(now)
}

// watcherCount returns the number of watchers. It grows while the confirmation of
// the configuration is old, since live watchers may be cut off from the platform.
func (t *Table) watcherCount(now time.Time) int {
	age := min(t.inForce.ConfirmedAge(now), now.Sub(t.startedAt))
	more := int(age / t.cfg.Timing.EscalateEvery)
	return min(t.cfg.Limits.Watchers+more, max(t.cfg.Limits.Watchers, t.cfg.Limits.MaxWatchers))
}

// candidate is a host or data centre with its rendezvous weight.
type candidate struct {
	name   string
	weight uint64
}

// byWeight orders candidates by descending weight, those of equal weight by name.
func byWeight(a, b candidate) int {
	if order := cmp.Compare(b.weight, a.weight); order != 0 {
		return order
	}
	return strings.Compare(a.name, b.name)
}

// candidates returns the live hosts of this data centre with their weights for
// the key, unordered.
func (t *Table) candidates(key string, now time.Time) []candidate {
	return t.candidatesIn(t.cfg.DataCentre, key, now)
}

// candidatesIn returns the live hosts of the given data centre with their weights
// for the key, unordered. A host that is leaving is not a candidate.
func (t *Table) candidatesIn(centre, key string, now time.Time) []candidate {
	list := make([]candidate, 0, len(t.order)+1)
	if !t.leaving && centre == t.cfg.DataCentre {
		list = append(list, candidate{t.cfg.Self, keyedHash(key, t.cfg.Self)})
	}
	for _, m := range t.order {
		if m.dataCentre == centre && m.live(t.cfg.Timing, now) {
			list = append(list, candidate{m.address, keyedHash(key, m.address)})
		}
	}
	return list
}

// rankOf returns the number of candidates ordered before the named one, or -1 if
// it is not in the list.
func rankOf(list []candidate, name string) int {
	at := slices.IndexFunc(list, func(c candidate) bool { return c.name == name })
	if at < 0 {
		return -1
	}
	before := 0
	for _, c := range list {
		if byWeight(c, list[at]) < 0 {
			before++
		}
	}
	return before
}

// Rank returns this host's rank for a duty; 0 is the first. Only hosts in the data
// centres that among lists are ranked, or those in all data centres if it is
// empty. A host that is leaving or is in none of them ranks after all others. Ranks
// alternate between the data centres with a live host, so that the second rank
// is in another data centre than the first. Within a data centre they follow a
// rendezvous hash over its live hosts. Hosts with different views of the members
// may hold the same rank. The cost is linear in the number of members.
func (t *Table) Rank(key string, among []string, now time.Time) int {
	centres := t.liveAmong(among, key, now)
	hosts := t.candidates(key, now)
	own, host := rankOf(centres, t.cfg.DataCentre), rankOf(hosts, t.cfg.Self)
	if own < 0 || host < 0 {
		return (len(hosts) + 1) * (len(centres) + 1)
	}
	return host*len(centres) + own
}

// liveCentres returns the data centres with a live host and their weights for the
// key, unordered.
func (t *Table) liveCentres(key string, now time.Time) []candidate {
	seen := make(map[string]bool)
	var list []candidate
	add := func(centre string) {
		seen[centre] = true
		list = append(list, candidate{centre, keyedHash(key, centre)})
	}
	if !t.leaving {
		add(t.cfg.DataCentre)
	}
	for _, m := range t.order {
		if m.dataCentre != "" && !seen[m.dataCentre] && m.live(t.cfg.Timing, now) {
			add(m.dataCentre)
		}
	}
	return list
}
