package datacentre

import (
	"slices"
	"time"
)

// Servers returns up to limit hosts that serve a database group for this host,
// highest rank first. centres are the data centres that hold the group's
// databases. The hosts are in this data centre if it is one of them, if centres is
// empty or if none of them has a live host, otherwise in one of them. Within a data
// centre they are chosen by the hash that ranks the group's promoters. Hosts with
// different views of the members may temporarily choose differently; then more hosts
// serve the group, which costs only connections.
func (t *Table) Servers(group string, centres []string, limit int, now time.Time) []string {
	list := t.candidatesIn(t.servingCentre(centres, now), group, now)
	slices.SortFunc(list, byWeight)
	list = list[:min(len(list), limit)]
	addresses := make([]string, len(list))
	for i, c := range list {
		addresses[i] = c.name
	}
	return addresses
}

// servingCentre returns the data centre whose hosts serve a group for this host:
// its own if centres is empty, if it is one of centres, or if none of them has a
// live host; otherwise the live one with the highest weight for this host.
func (t *Table) servingCentre(centres []string, now time.Time) string {
	own := t.cfg.DataCentre
	if len(centres) == 0 || slices.Contains(centres, own) {
		return own
	}
	list := t.liveAmong(centres, t.cfg.Self, now)
	if len(list) == 0 {
		return own
	}
	return slices.MinFunc(list, byWeight).name
}

// liveAmong returns those of the given data centres that have a live host, or all
// data centres with a live host if centres is empty, with their weights for the
// key.
func (t *Table) liveAmong(centres []string, key string, now time.Time) []candidate {
	list := t.liveCentres(key, now)
	if len(centres) == 0 {
		return list
	}
	return slices.DeleteFunc(list, func(c candidate) bool { return !slices.Contains(centres, c.name) })
}
