package datacentre

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// watchDuty is the key that ranks a data centre's hosts as watchers.
const watchDuty = "watch"

// Watchers returns the hosts of this data centre that should watch the
// platform, best first. Hosts may differ in this for a while: then some more or
// fewer watch, and the configuration still spreads by digests.
func (t *Table) Watchers(now time.Time) []string {
	return t.Servers(watchDuty, nil, t.watcherCount(now), now)
}

// IsWatcher reports whether this host should watch the platform.
func (t *Table) IsWatcher(now time.Time) bool {
	if t.leaving || t.startedAt.IsZero() || now.Sub(t.startedAt) < t.cfg.Timing.SettleFor {
		return false
	}
	at := place(t.candidates(watchDuty, now), t.cfg.Self)
	return at >= 0 && at < t.watcherCount(now)
}

// watcherCount grows while news is old: a watcher that is alive may itself be
// cut off from the platform.
func (t *Table) watcherCount(now time.Time) int {
	age := min(t.inForce.Fresh(now), now.Sub(t.startedAt))
	more := int(age / t.cfg.Timing.EscalateEvery)
	return min(t.cfg.Limits.Watchers+more, max(t.cfg.Limits.Watchers, t.cfg.Limits.MaxWatchers))
}

// candidate is a host or data centre with its rendezvous weight.
type candidate struct {
	name   string
	weight uint64
}

// first orders candidates: the higher weight first, equal ones by name.
func first(a, b candidate) int {
	if order := cmp.Compare(b.weight, a.weight); order != 0 {
		return order
	}
	return strings.Compare(a.name, b.name)
}

// candidates returns the live hosts of this data centre, in no order.
func (t *Table) candidates(key string, now time.Time) []candidate {
	return t.candidatesIn(t.cfg.DataCentre, key, now)
}

// candidatesIn returns the live hosts of a data centre, in no order.
func (t *Table) candidatesIn(centre, key string, now time.Time) []candidate {
	list := make([]candidate, 0, len(t.order)+1)
	if !t.leaving && centre == t.cfg.DataCentre {
		list = append(list, candidate{t.cfg.Self, score(key, t.cfg.Self)})
	}
	for _, m := range t.order {
		if m.dataCentre == centre && m.live(t.cfg.Timing, now) {
			list = append(list, candidate{m.address, score(key, m.address)})
		}
	}
	return list
}

// place returns the number of candidates that come before the named one, -1
// when it is none of them.
func place(list []candidate, name string) int {
	at := slices.IndexFunc(list, func(c candidate) bool { return c.name == name })
	if at < 0 {
		return -1
	}
	before := 0
	for _, c := range list {
		if first(c, list[at]) < 0 {
			before++
		}
	}
	return before
}

// Rank returns this host's rank for a duty, 0 for the first; one that is
// leaving, or stands in none of the named data centres, comes after all others.
// Ranks alternate between those data centres, all where none is named, that are
// alive, so that the second rank is held in another one than the first; within
// one they follow a rendezvous hash over its live hosts. Hosts that see
// different members may hold the same rank. The cost is linear in the number of
// members.
func (t *Table) Rank(key string, among []string, now time.Time) int {
	centres := t.liveAmong(among, key, now)
	hosts := t.candidates(key, now)
	own, host := place(centres, t.cfg.DataCentre), place(hosts, t.cfg.Self)
	if own < 0 || host < 0 {
		return (len(hosts) + 1) * (len(centres) + 1)
	}
	return host*len(centres) + own
}

// liveCentres returns the data centres with a live host, in no order.
func (t *Table) liveCentres(key string, now time.Time) []candidate {
	seen := make(map[string]bool)
	var list []candidate
	add := func(centre string) {
		seen[centre] = true
		list = append(list, candidate{centre, score(key, centre)})
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
