package datacentre

import (
	"slices"
	"time"
)

// Servers returns the hosts of this data centre that serve a database group,
// best first, at most the given number: the first by the hash that ranks its
// promoters. Hosts that see different members may differ in this for a while;
// then more of them serve the group, which costs connections only.
func (t *Table) Servers(group string, most int, now time.Time) []string {
	list := t.candidates(group, now)
	slices.SortFunc(list, first)
	list = list[:min(len(list), most)]
	addresses := make([]string, len(list))
	for i, c := range list {
		addresses[i] = c.name
	}
	return addresses
}
