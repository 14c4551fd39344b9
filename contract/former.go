package contract

import (
	"slices"
	"time"
)

// Limits on the former hosts that a roster lists.
const (
	// formerRetention is how long a host that left stays listed. It is many times
	// the time for which a host can hold an unconfirmed share.
	formerRetention = time.Hour
	// maxFormer is the maximum number of former hosts. Above it, those that left
	// first are dropped.
	maxFormer = 1024
)

// formerHosts returns the current and former hosts of old that are not in next and
// may still hold shares, in the order in which they left.
func formerHosts(old, next Roster, now time.Time) []RosterHost {
	present := make(map[string]bool, len(next.Hosts))
	for _, h := range next.Hosts {
		present[h.Address] = true
	}
	var list []RosterHost
	for _, h := range old.Former {
		if !present[h.Address] && now.Sub(time.Unix(h.Left, 0)) < formerRetention {
			list = append(list, h)
		}
	}
	for _, h := range old.Hosts {
		if !present[h.Address] {
			list = append(list, RosterHost{Address: h.Address, DataCentre: h.DataCentre, Left: now.Unix()})
		}
	}
	return slices.Clip(list[max(0, len(list)-maxFormer):])
}
