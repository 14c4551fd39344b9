package datacentre

import (
	"cmp"
	"reflect"
	"slices"

	"github.com/bronzeloft/bronzeloft/contract"
)

// Delta holds the changes from one snapshot to a later one.
type Delta struct {
	Base             uint64              `json:"base"` // version to which the delta applies
	Version          uint64              `json:"version"`
	RemovedServices  []string            `json:"removedServices,omitempty"`  // names
	RemovedCustomers []string            `json:"removedCustomers,omitempty"` // ids
	Services         []contract.Service  `json:"services,omitempty"`         // new or changed
	Customers        []contract.Customer `json:"customers,omitempty"`        // new or changed
	Roster           *contract.Roster    `json:"roster,omitempty"`           // nil if unchanged
}

// Diff returns the delta from base to next.
func Diff(base, next *contract.Snapshot) *Delta {
	d := &Delta{Base: base.Version, Version: next.Version}
	d.RemovedServices, d.Services = changes(base.Services, next.Services, serviceName)
	d.RemovedCustomers, d.Customers = changes(base.Customers, next.Customers, customerID)
	if !reflect.DeepEqual(base.Roster, next.Roster) {
		d.Roster = &next.Roster
	}
	return d
}

// Apply returns the snapshot that results from applying the delta to its base, in
// canonical order. Unchanged entries are shared with the base.
func (d *Delta) Apply(base *contract.Snapshot) *contract.Snapshot {
	next := &contract.Snapshot{
		Version:   d.Version,
		Services:  patch(base.Services, d.RemovedServices, d.Services, serviceName),
		Customers: patch(base.Customers, d.RemovedCustomers, d.Customers, customerID),
		Roster:    base.Roster,
	}
	if d.Roster != nil {
		next.Roster = *d.Roster
	}
	return canonical(next)
}

// canonical returns the snapshot with services sorted by name, customers by id,
// and nil for empty lists, so that equal snapshots have equal checksums.
func canonical(snap *contract.Snapshot) *contract.Snapshot {
	sorted := *snap
	sorted.Services = sortedBy(snap.Services, serviceName)
	sorted.Customers = sortedBy(snap.Customers, customerID)
	return &sorted
}

func serviceName(s contract.Service) string { return s.Name }

func customerID(c contract.Customer) string { return c.ID }

func sortedBy[T any](entries []T, name func(T) string) []T {
	if len(entries) == 0 {
		return nil
	}
	byName := func(a, b T) int { return cmp.Compare(name(a), name(b)) }
	if slices.IsSortedFunc(entries, byName) {
		return entries
	}
	entries = slices.Clone(entries)
	slices.SortStableFunc(entries, byName)
	return entries
}

// changes returns the names missing from next and the entries of next that are
// new or differ from base.
func changes[T any](base, next []T, name func(T) string) (removed []string, changed []T) {
	old := make(map[string]*T, len(base))
	for i := range base {
		old[name(base[i])] = &base[i]
	}
	for i := range next {
		id := name(next[i])
		if before := old[id]; before == nil || !reflect.DeepEqual(*before, next[i]) {
			changed = append(changed, next[i])
		}
		delete(old, id)
	}
	for i := range base {
		if id := name(base[i]); old[id] != nil {
			removed = append(removed, id)
		}
	}
	return removed, changed
}

// patch returns base without the removed entries and with the changed ones
// replaced or added.
func patch[T any](base []T, removed []string, changed []T, name func(T) string) []T {
	if len(removed) == 0 && len(changed) == 0 {
		return base
	}
	replaced := make(map[string]bool, len(removed)+len(changed))
	for _, id := range removed {
		replaced[id] = true
	}
	for i := range changed {
		replaced[name(changed[i])] = true
	}
	next := make([]T, 0, len(base)+len(changed))
	for i := range base {
		if !replaced[name(base[i])] {
			next = append(next, base[i])
		}
	}
	return append(next, changed...)
}
