package matrix

import "time"

// Parameters of faults.
const (
	slowBy   = 80 * time.Millisecond // extra delay of a slow link
	cutOneIn = 4                     // "cut some links" cuts each link with a probability of 1 in cutOneIn
)

// Fault is a failure that is injected at a target. Heal ends its effects.
type Fault struct {
	Name   string
	inject func(w *World, t target)
}

// Faults returns all faults of the matrix.
func Faults() []*Fault { return faults }

// singleFaults lists the faults that are injected alone.
var singleFaults = []*Fault{
	{"kill database", func(w *World, t target) { w.kill(&t.db.node) }},
	{"kill host", func(w *World, t target) { w.kill(&t.host.node) }},
	{"cut host to database", func(w *World, t target) { w.cut(t.host.name, t.db.name, w.randomBool()) }},
	{"cut database to host", func(w *World, t target) { w.cut(t.db.name, t.host.name, w.randomBool()) }},
	{"cut both ways", func(w *World, t target) { w.cutBothWays(t.host.name, t.db.name) }},
	{"cut off database", func(w *World, t target) { w.isolate(&t.db.node) }},
	{"cut off host", func(w *World, t target) { w.isolate(&t.host.node) }},
	{"cut database from replicas", func(w *World, t target) { w.isolateFromDatabases(t.db) }},
	{"cut off data centre", func(w *World, t target) { w.isolateDataCentre(t.db.dc) }},
	{"cut some links", func(w *World, t target) { w.cutRandomLinks() }},
	{"split fleet", func(w *World, t target) { w.split() }},
	{"freeze database", func(w *World, t target) { w.freeze(&t.db.node) }},
	{"freeze host", func(w *World, t target) { w.freeze(&t.host.node) }},
	{"lose answer", func(w *World, t target) { w.path(t.db.name, t.host.name).drop++ }},
	{"lose request", func(w *World, t target) { w.path(t.host.name, t.db.name).drop++ }},
	{"slow links", func(w *World, t target) { w.slowLinks(t.db) }},
	{"platform down", func(w *World, t target) { w.record.down = true }},
	{"silent link", func(w *World, t target) { w.silence(t.host, t.db) }},
	{"lagging list", func(w *World, t target) { w.setEqualRanks() }},
	{"restart database", func(w *World, t target) { t.db.restart() }},
	{"restart host empty", func(w *World, t target) { t.host.restart() }},
	{"leaving database", func(w *World, t target) { w.markLeaving(t.db) }},
}

// faults lists the single faults, then the pairs.
var faults = append(append([]*Fault{}, singleFaults...), pairs()...)

// pairs returns the faults that combine two single ones.
func pairs() []*Fault {
	combine := func(name string, a, b func(w *World, t target)) *Fault {
		return &Fault{name, func(w *World, t target) {
			a(w, t)
			b(w, t)
		}}
	}
	effectOf := func(name string) func(w *World, t target) {
		for _, f := range singleFaults {
			if f.Name == name {
				return f.inject
			}
		}
		panic("matrix: no fault named " + name)
	}
	return []*Fault{
		combine("freeze host and database", effectOf("freeze host"), effectOf("freeze database")),
		combine("kill host with platform down", effectOf("kill host"), effectOf("platform down")),
		combine("lagging list and slow links", effectOf("lagging list"), effectOf("slow links")),
		combine("lose answer and kill host", effectOf("lose answer"), effectOf("kill host")),
	}
}

func (w *World) randomBool() bool { return w.rand.IntN(2) == 0 }

func (w *World) cutBothWays(a, b string) {
	hold := w.randomBool()
	w.cut(a, b, hold)
	w.cut(b, a, hold)
}

func (w *World) nodes() []*node {
	var all []*node
	for _, d := range w.dbs {
		all = append(all, &d.node)
	}
	for _, h := range w.hosts {
		all = append(all, &h.node)
	}
	return all
}

func (w *World) isolate(n *node) {
	for _, other := range w.nodes() {
		if other != n {
			w.cutBothWays(n.name, other.name)
		}
	}
}

func (w *World) isolateFromDatabases(d *database) {
	for _, other := range w.dbs {
		if other != d {
			w.cutBothWays(d.name, other.name)
		}
	}
}

func (w *World) isolateDataCentre(dc string) {
	for _, a := range w.nodes() {
		for _, b := range w.nodes() {
			if a.dc == dc && b.dc != dc {
				w.cutBothWays(a.name, b.name)
			}
		}
	}
}

// cutRandomLinks cuts each direction of each link with a probability of 1 in
// cutOneIn.
func (w *World) cutRandomLinks() {
	for _, a := range w.nodes() {
		for _, b := range w.nodes() {
			if a != b && w.rand.IntN(cutOneIn) == 0 {
				w.cut(a.name, b.name, w.randomBool())
			}
		}
	}
}

// split partitions the nodes into two sides at random.
func (w *World) split() {
	side := make(map[*node]bool)
	for _, n := range w.nodes() {
		side[n] = w.randomBool()
	}
	for _, a := range w.nodes() {
		for _, b := range w.nodes() {
			if side[a] && !side[b] {
				w.cutBothWays(a.name, b.name)
			}
		}
	}
}

func (w *World) slowLinks(d *database) {
	for _, other := range w.nodes() {
		w.path(d.name, other.name).slow = slowBy
		w.path(other.name, d.name).slow = slowBy
	}
}

func (w *World) silence(h *host, d *database) {
	w.path(h.name, d.name).silent = true
	w.path(d.name, h.name).silent = true
}

// setEqualRanks gives every host rank 0, so that each considers itself the
// first to promote. This happens when the hosts' lists of peers lag.
func (w *World) setEqualRanks() {
	for _, h := range w.hosts {
		h.table.SetRank(0)
	}
}

func (w *World) markLeaving(d *database) {
	d.member.Leaving = true
	w.setMembers()
}

func (w *World) setMembers() {
	for _, h := range w.hosts {
		h.table.SetMembers(w.members(), w.now)
	}
}

// Heal ends every fault: it restores links, unfreezes frozen nodes and restarts
// killed ones.
func (w *World) Heal() {
	w.record.down = false
	for _, p := range w.paths {
		p.silent, p.slow, p.drop = false, 0, 0
	}
	for _, a := range w.nodes() {
		for _, b := range w.nodes() {
			w.restore(a.name, b.name)
		}
	}
	for _, d := range w.dbs {
		d.member.Leaving = false
		w.unfreeze(&d.node)
		if !d.alive {
			d.restart()
		}
	}
	for _, h := range w.hosts {
		w.unfreeze(&h.node)
		if !h.alive {
			h.restart()
		}
		h.table.SetRank(h.rank)
	}
	w.setMembers()
}
