package datacentre

import "github.com/bronzeloft/bronzeloft/link/peerpb"

const (
	viewRepeats = 2 // digests that carry a changed group view
	viewTurn    = 4 // digests until the next view in turn
)

// groupViews holds the newest known view of each group and says which of them
// go into the next digest. When full, views of further groups are dropped;
// their groups learn from the databases themselves.
type groupViews struct {
	limit int
	byID  map[string]*groupView
	order []*groupView
	calls int // of next
}

type groupView struct {
	view  *peerpb.GroupView
	turns int // digests that still carry it as changed
}

func newGroupViews(limit int) groupViews {
	return groupViews{limit: limit, byID: make(map[string]*groupView)}
}

// ObserveGroup notes this host's own view of a group, to be told to peers, and
// reports whether it is newer than what was known. A view is newer by its term,
// or in the same term by a marker that was not known.
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
	known.turns = viewRepeats
	return true
}

// add takes in a group's first view. It goes out in turn only, so that a host
// that starts does not tell its peers of every group at once.
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

// merge takes in views of a peer and returns those that are newer.
func (g *groupViews) merge(views []*peerpb.GroupView) []*peerpb.GroupView {
	var newer []*peerpb.GroupView
	for _, view := range views {
		if g.observe(view) {
			newer = append(newer, view)
		}
	}
	return newer
}

// next returns up to limit changed views, and now and then one more in turn.
func (g *groupViews) next(limit int) []*peerpb.GroupView {
	if len(g.order) == 0 {
		return nil
	}
	var views []*peerpb.GroupView
	for _, known := range g.order {
		if len(views) >= limit {
			break
		}
		if known.turns > 0 {
			known.turns--
			views = append(views, known.view)
		}
	}
	g.calls++
	if g.calls%viewTurn != 0 {
		return views
	}
	return append(views, g.order[g.calls/viewTurn%len(g.order)].view)
}
