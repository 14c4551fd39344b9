package datacentre

import (
	"slices"
	"time"
)

// watchDuty is the key that ranks a data centre's hosts as watchers.
const watchDuty = "watch"

// Watchers returns the hosts of this data centre that should watch the
// platform, best first. Hosts may differ in this for a while: then some more or
// fewer watch, and the configuration still spreads by digests.
func (t *Table) Watchers(now time.Time) []string {
	ranked := t.ranked(watchDuty, now)
	return ranked[:min(len(ranked), t.watcherCount(now))]
}

// IsWatcher reports whether this host should watch the platform.
func (t *Table) IsWatcher(now time.Time) bool {
	if t.leaving || t.startedAt.IsZero() || now.Sub(t.startedAt) < t.cfg.Timing.SettleFor {
		return false
	}
	return slices.Contains(t.Watchers(now), t.cfg.Self)
}

// watcherCount grows while news is old: a watcher that is alive may itself be
// cut off from the platform.
func (t *Table) watcherCount(now time.Time) int {
	age := min(t.inForce.Fresh(now), now.Sub(t.startedAt))
	more := int(age / t.cfg.Timing.EscalateEvery)
	return min(t.cfg.Limits.Watchers+more, max(t.cfg.Limits.Watchers, t.cfg.Limits.MaxWatchers))
}

// ranked returns the live hosts of this data centre, best first for the key.
func (t *Table) ranked(key string, now time.Time) []string {
	var list []string
	if !t.leaving {
		list = append(list, t.cfg.Self)
	}
	for _, m := range t.order {
		if m.dataCentre == t.cfg.DataCentre && m.live(t.cfg.Timing, now) {
			list = append(list, m.address)
		}
	}
	slices.SortFunc(list, func(a, b string) int { return byRank(key, a, b) })
	return list
}

// Rank returns this host's rank for a duty, 0 for the first. Ranks alternate
// between the data centres that are alive, so that the second rank is held in
// another one than the first; within one they follow a rendezvous hash over its
// live hosts. Hosts that see different members may hold the same rank.
func (t *Table) Rank(key string, now time.Time) int {
	centres := t.liveCentres(now)
	slices.SortFunc(centres, func(a, b string) int { return byRank(key, a, b) })
	own := slices.Index(centres, t.cfg.DataCentre)
	hosts := t.ranked(key, now)
	place := slices.Index(hosts, t.cfg.Self)
	if place < 0 || own < 0 {
		return (len(hosts) + 1) * (len(centres) + 1)
	}
	return place*len(centres) + own
}

// liveCentres returns the data centres with a live host.
func (t *Table) liveCentres(now time.Time) []string {
	seen := make(map[string]bool)
	if !t.leaving {
		seen[t.cfg.DataCentre] = true
	}
	for _, m := range t.order {
		if m.dataCentre != "" && !seen[m.dataCentre] && m.live(t.cfg.Timing, now) {
			seen[m.dataCentre] = true
		}
	}
	centres := make([]string, 0, len(seen))
	for centre := range seen {
		centres = append(centres, centre)
	}
	return centres
}

func byRank(key, a, b string) int {
	switch {
	case a == b:
		return 0
	case outranks(key, a, b):
		return -1
	default:
		return 1
	}
}
