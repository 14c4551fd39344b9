package matrix

import "time"

// Sizes of faults.
const (
	slowBy   = 80 * time.Millisecond // extra delay of a slow link
	cutOneIn = 4                     // share of the links cut together
)

// Fault is something that goes wrong at a place until it is healed.
type Fault struct {
	Name   string
	strike func(w *World, p place)
}

// Faults returns the table of faults.
func Faults() []*Fault { return faults }

// single are the faults that strike alone.
var single = []*Fault{
	{"kill database", func(w *World, p place) { w.kill(&p.db.node) }},
	{"kill host", func(w *World, p place) { w.kill(&p.host.node) }},
	{"cut host to database", func(w *World, p place) { w.cut(p.host.name, p.db.name, w.coin()) }},
	{"cut database to host", func(w *World, p place) { w.cut(p.db.name, p.host.name, w.coin()) }},
	{"cut both ways", func(w *World, p place) { w.cutBoth(p.host.name, p.db.name) }},
	{"cut off database", func(w *World, p place) { w.isolate(&p.db.node) }},
	{"cut off host", func(w *World, p place) { w.isolate(&p.host.node) }},
	{"cut database from replicas", func(w *World, p place) { w.isolateFromDatabases(p.db) }},
	{"cut off data centre", func(w *World, p place) { w.isolateDataCentre(p.db.dc) }},
	{"cut some links", func(w *World, p place) { w.cutSome() }},
	{"split fleet", func(w *World, p place) { w.split() }},
	{"freeze database", func(w *World, p place) { w.freeze(&p.db.node) }},
	{"freeze host", func(w *World, p place) { w.freeze(&p.host.node) }},
	{"lose answer", func(w *World, p place) { w.path(p.db.name, p.host.name).drop++ }},
	{"lose request", func(w *World, p place) { w.path(p.host.name, p.db.name).drop++ }},
	{"slow links", func(w *World, p place) { w.slow(p.db) }},
	{"platform down", func(w *World, p place) { w.record.down = true }},
	{"silent link", func(w *World, p place) { w.silence(p.host, p.db) }},
	{"lagging list", func(w *World, p place) { w.lagList() }},
	{"restart database", func(w *World, p place) { p.db.restart() }},
	{"restart host empty", func(w *World, p place) { p.host.restart() }},
	{"leaving database", func(w *World, p place) { w.leave(p.db) }},
}

// faults holds the single ones and pairs of them.
var faults = append(append([]*Fault{}, single...), pairs()...)

// pairs returns faults in which two strike together.
func pairs() []*Fault {
	both := func(name string, a, b func(w *World, p place)) *Fault {
		return &Fault{name, func(w *World, p place) {
			a(w, p)
			b(w, p)
		}}
	}
	find := func(name string) func(w *World, p place) {
		for _, f := range single {
			if f.Name == name {
				return f.strike
			}
		}
		panic("matrix: no fault " + name)
	}
	return []*Fault{
		both("freeze host and database", find("freeze host"), find("freeze database")),
		both("kill host with platform down", find("kill host"), find("platform down")),
		both("lagging list and slow links", find("lagging list"), find("slow links")),
		both("lose answer and kill host", find("lose answer"), find("kill host")),
	}
}

func (w *World) coin() bool { return w.rand.IntN(2) == 0 }

func (w *World) cutBoth(a, b string) {
	hold := w.coin()
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
			w.cutBoth(n.name, other.name)
		}
	}
}

func (w *World) isolateFromDatabases(d *database) {
	for _, other := range w.dbs {
		if other != d {
			w.cutBoth(d.name, other.name)
		}
	}
}

func (w *World) isolateDataCentre(dc string) {
	for _, a := range w.nodes() {
		for _, b := range w.nodes() {
			if a.dc == dc && b.dc != dc {
				w.cutBoth(a.name, b.name)
			}
		}
	}
}

// cutSome cuts a part of all links, each in one direction.
func (w *World) cutSome() {
	for _, a := range w.nodes() {
		for _, b := range w.nodes() {
			if a != b && w.rand.IntN(cutOneIn) == 0 {
				w.cut(a.name, b.name, w.coin())
			}
		}
	}
}

// split parts the fleet in two at random.
func (w *World) split() {
	side := make(map[*node]bool)
	for _, n := range w.nodes() {
		side[n] = w.coin()
	}
	for _, a := range w.nodes() {
		for _, b := range w.nodes() {
			if side[a] && !side[b] {
				w.cutBoth(a.name, b.name)
			}
		}
	}
}

func (w *World) slow(d *database) {
	for _, other := range w.nodes() {
		w.path(d.name, other.name).slow = slowBy
		w.path(other.name, d.name).slow = slowBy
	}
}

func (w *World) silence(h *host, d *database) {
	w.path(h.name, d.name).silent = true
	w.path(d.name, h.name).silent = true
}

// lagList makes every host believe that it is the first promoter.
func (w *World) lagList() {
	for _, h := range w.hosts {
		h.table.SetRank(0)
	}
}

func (w *World) leave(d *database) {
	d.member.Leaving = true
	w.setMembers()
}

func (w *World) setMembers() {
	for _, h := range w.hosts {
		h.table.SetMembers(w.members(), w.now)
	}
}

// Heal ends every fault: links carry again, the frozen wake, the dead restart.
func (w *World) Heal() {
	w.record.down = false
	for _, p := range w.paths {
		p.silent, p.slow, p.drop = false, 0, 0
	}
	for _, a := range w.nodes() {
		for _, b := range w.nodes() {
			w.mend(a.name, b.name)
		}
	}
	for _, d := range w.dbs {
		d.member.Leaving = false
		w.wake(&d.node)
		if !d.alive {
			d.restart()
		}
	}
	for _, h := range w.hosts {
		w.wake(&h.node)
		if !h.alive {
			h.restart()
		}
		h.table.SetRank(h.rank)
	}
	w.setMembers()
}
