package contract

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// ChangeKind is the type of a change: an item was added, removed or changed.
type ChangeKind string

// The kinds of change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// ItemKind is the type of an item in a snapshot.
type ItemKind string

// The kinds of item, in the order in which Diff returns them.
const (
	ItemDataCentre ItemKind = "data centre"
	ItemService    ItemKind = "service"
	ItemDatabase   ItemKind = "database"
	ItemRequest    ItemKind = "request"
	ItemCustomer   ItemKind = "customer"
	ItemKey        ItemKind = "key"
	ItemHost       ItemKind = "host"
)

var itemOrder = []ItemKind{ItemDataCentre, ItemService, ItemDatabase, ItemRequest, ItemCustomer, ItemKey, ItemHost}

// Change is one difference between two snapshots.
type Change struct {
	Kind  ChangeKind `json:"kind"`
	Item  ItemKind   `json:"item"`
	Name  string     `json:"name"`
	Field string     `json:"field,omitempty"` // set only for a changed item
	Old   string     `json:"old,omitempty"`
	New   string     `json:"new,omitempty"`
}

// String returns the change as one line, such as
// "~ customer cluj: rate 40 -> 60".
func (c Change) String() string {
	switch c.Kind {
	case Added:
		return fmt.Sprintf("+ %s %s: %s", c.Item, c.Name, c.New)
	case Removed:
		return fmt.Sprintf("- %s %s", c.Item, c.Name)
	default:
		return fmt.Sprintf("~ %s %s: %s %s -> %s", c.Item, c.Name, c.Field, c.Old, c.New)
	}
}

// OnlyKeys reports whether all changes are changes of keys.
func OnlyKeys(changes []Change) bool {
	return !slices.ContainsFunc(changes, func(c Change) bool { return c.Item != ItemKey })
}

// Diff returns the changes from old to new, ordered by item kind and name. A nil
// snapshot counts as empty. Versions, former hosts, salts and hashes are not
// compared, and salts and hashes never appear in the result.
func Diff(old, new *Snapshot) []Change {
	before, after := itemsOf(old), itemsOf(new)
	var out []Change
	for id, fields := range before {
		if newFields, kept := after[id]; kept {
			out = append(out, diffFields(id, fields, newFields)...)
		} else {
			out = append(out, Change{Kind: Removed, Item: id.kind, Name: id.name})
		}
	}
	for id, fields := range after {
		if _, existed := before[id]; !existed {
			out = append(out, Change{Kind: Added, Item: id.kind, Name: id.name, New: fields.String()})
		}
	}
	slices.SortFunc(out, compareChanges)
	return out
}

func compareChanges(a, b Change) int {
	return cmp.Or(
		cmp.Compare(slices.Index(itemOrder, a.Item), slices.Index(itemOrder, b.Item)),
		cmp.Compare(a.Name, b.Name),
		cmp.Compare(a.Field, b.Field),
	)
}

func diffFields(id itemID, old, new fields) []Change {
	var out []Change
	for i := range old {
		if old[i].value != new[i].value {
			out = append(out, Change{Kind: Changed, Item: id.kind, Name: id.name, Field: old[i].name, Old: old[i].value, New: new[i].value})
		}
	}
	return out
}

// itemID identifies one item of a snapshot.
type itemID struct {
	kind ItemKind
	name string
}

// fields are an item's printable fields. Items of one kind have the same fields in
// the same order, which diffFields relies on.
type fields []fieldValue

type fieldValue struct{ name, value string }

func (fs fields) String() string {
	parts := make([]string, len(fs))
	for i, f := range fs {
		parts[i] = f.name + "=" + f.value
	}
	return strings.Join(parts, " ")
}

func field(name string, value any) fieldValue {
	switch v := value.(type) {
	case float64:
		return fieldValue{name, fmt.Sprintf("%g", v)}
	case time.Duration:
		return fieldValue{name, v.String()}
	default:
		return fieldValue{name, fmt.Sprint(v)}
	}
}

func itemsOf(s *Snapshot) map[itemID]fields {
	items := map[itemID]fields{}
	if s == nil {
		return items
	}
	for _, dc := range s.DataCentres {
		items[itemID{ItemDataCentre, dc}] = fields{}
	}
	for i := range s.Services {
		maps.Copy(items, serviceItems(&s.Services[i]))
	}
	for i := range s.Customers {
		maps.Copy(items, customerItems(&s.Customers[i]))
	}
	for _, h := range s.Roster.Hosts {
		items[itemID{ItemHost, h.Address}] = fields{field("data_centre", h.DataCentre)}
	}
	return items
}

func serviceItems(s *Service) map[itemID]fields {
	items := map[itemID]fields{
		{ItemService, s.Name}: {field("group", s.Group), field("slots", s.Slots), field("max_connections", s.MaxConns)},
	}
	for _, d := range s.Databases {
		items[itemID{ItemDatabase, d.ID}] = fields{
			field("service", s.Name), field("address", d.Address), field("data_centre", d.DataCentre), field("leaving", d.Leaving),
		}
	}
	for _, r := range s.Requests {
		items[itemID{ItemRequest, s.Name + "/" + r.Name}] = fields{
			field("access", r.Access), field("max_age", r.MaxAge), field("idempotent", r.Idempotent),
			field("deadline", r.Deadline), field("urgent", r.Urgent), field("open", r.Open),
		}
	}
	return items
}

func customerItems(c *Customer) map[itemID]fields {
	o := c.Objective
	items := map[itemID]fields{
		{ItemCustomer, c.ID}: {
			field("rate", c.Rate), field("burst", c.Burst), field("weight", c.Weight),
			field("availability", o.Availability), field("latency", o.Latency), field("latency_share", o.LatencyShare),
			field("freshness", o.Freshness), field("admission", o.Admission),
		},
	}
	for _, k := range c.Keys {
		items[itemID{ItemKey, k.ID}] = fields{field("customer", c.ID), field("withdrawn", k.Withdrawn)}
	}
	return items
}
