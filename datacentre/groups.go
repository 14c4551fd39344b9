package datacentre

import "github.com/bronzeloft/bronzeloft/link/peerpb"

const (
	viewRepeats  = 2 // number of digests that carry a changed group view
	viewInterval = 4 // number of digests between two views sent in rotation
)

// groupViews holds the newest known view of each group and selects those for the
// next digest. When it is full, views of further groups are dropped; hosts then
// obtain the state of those groups from the databases themselves.
type groupViews struct {
	limit int
	byID  map[string]*groupView
	order []*groupView
	calls int // number of calls of next
}

type groupView struct {
	view    *peerpb.GroupView
	repeats int // number of further digests that carry it as changed
}

func newGroupViews(limit int) groupViews {
	return groupViews{limit: limit, byID: make(map[string]*groupView)}
}

// ObserveGroup records this host's own view of a group, to be sent to peers, and
// reports whether it is newer than the known one. A view is newer if its term is
// higher, or if the terms are equal and its marker index is higher.
func (t *Table) ObserveGroup(view *peerpb.GroupView) bool { return t.groups.observe(view) }

func (g *groupViews) observe(view *peerpb.GroupView) bool {
	known := g.byID[view.GetGroup()]
	switch {
	case known == nil:
		return g.add(view)
	case !newerView(view, known.view):
		return false
	}
	known.view = view
	known.repeats = viewRepeats
	return true
}

// add records a group's first view. It is sent only in rotation, so that a host
// that starts does not send its peers the views of all groups at once.
func (g *groupViews) add(view *peerpb.GroupView) bool {
	if len(g.byID) >= g.limit || view.GetGroup() == "" {
		return false
	}
	known := &groupView{view: view}
	g.byID[view.GetGroup()] = known
	g.order = append(g.order, known)
	return true
}

func newerView(a, b *peerpb.GroupView) bool {
	if a.GetTerm() != b.GetTerm() {
		return a.GetTerm() > b.GetTerm()
	}
	return a.GetMarkerIndex() > b.GetMarkerIndex()
}

// merge records views received from a peer and returns those that are newer.
func (g *groupViews) merge(views []*peerpb.GroupView) []*peerpb.GroupView {
	var newer []*peerpb.GroupView
	for _, view := range views {
		if g.observe(view) {
			newer = append(newer, view)
		}
	}
	return newer
}

// next returns up to limit changed views. Every viewInterval calls it adds one
// more view in rotation.
func (g *groupViews) next(limit int) []*peerpb.GroupView {
	if len(g.order) == 0 {
		return nil
	}
	var views []*peerpb.GroupView
	for _, known := range g.order {
		if len(views) >= limit {
			break
		}
		if known.repeats > 0 {
			known.repeats--
			views = append(views, known.view)
		}
	}
	g.calls++
	if g.calls%viewInterval != 0 {
		return views
	}
	return append(views, g.order[g.calls/viewInterval%len(g.order)].view)
}
