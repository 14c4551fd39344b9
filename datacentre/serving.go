package datacentre

import (
	"slices"
	"time"
)

// Servers returns the hosts that serve a database group for this host, best
// first, at most the given number: those of this data centre if it is one of
// the group's, the data centres that hold its databases, else of one of them.
// Within a data centre they are the first by the hash that ranks the group's
// promoters. Hosts that see different members may differ in this for a while;
// then more of them serve the group, which costs connections only.
func (t *Table) Servers(group string, centres []string, most int, now time.Time) []string {
	list := t.candidatesIn(t.servingCentre(centres, now), group, now)
	slices.SortFunc(list, first)
	list = list[:min(len(list), most)]
	addresses := make([]string, len(list))
	for i, c := range list {
		addresses[i] = c.name
	}
	return addresses
}

// servingCentre returns the data centre whose hosts serve a group for this
// host: its own where no other one is alive.
func (t *Table) servingCentre(centres []string, now time.Time) string {
	own := t.cfg.DataCentre
	if len(centres) == 0 || slices.Contains(centres, own) {
		return own
	}
	list := t.liveAmong(centres, t.cfg.Self, now)
	if len(list) == 0 {
		return own
	}
	return slices.MinFunc(list, first).name
}

// liveAmong returns those of the named data centres that have a live host, all
// live ones when none is named.
func (t *Table) liveAmong(centres []string, key string, now time.Time) []candidate {
	list := t.liveCentres(key, now)
	if len(centres) == 0 {
		return list
	}
	return slices.DeleteFunc(list, func(c candidate) bool { return !slices.Contains(centres, c.name) })
}
