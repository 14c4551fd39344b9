package contract

import (
	"slices"
	"time"
)

// Bounds of the former hosts that a roster names.
const (
	// formerKeep is how long a host that left is named: many times as long as it
	// can hold a share that nobody confirms.
	formerKeep = time.Hour
	// maxFormer bounds them; those that left first are dropped.
	maxFormer = 1024
)

// former returns the hosts of old that next no longer lists and that may still
// hold shares, oldest first.
func former(old, next Roster, now time.Time) []RosterHost {
	present := make(map[string]bool, len(next.Hosts))
	for _, h := range next.Hosts {
		present[h.Address] = true
	}
	var list []RosterHost
	for _, h := range old.Former {
		if !present[h.Address] && now.Sub(time.Unix(h.Left, 0)) < formerKeep {
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
