package main

import (
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

// Times of the plan away.
const (
	awayFor     = 64 * time.Second
	awayEvery   = 15 * time.Second
	deafBefore  = 2500 * time.Millisecond // for which a replica has received nothing when others end
	deafAfter   = time.Second             // and receives nothing more after that
	drainTime   = 7500 * time.Millisecond // a little more than hosts are told
	hostsLostIn = time.Second             // from the absences to the loss of the hosts, with hosts-killed
	hostsBackIn = 1500 * time.Millisecond
)

// awayOf lets two databases of each service be away at once, in every order and in every
// way, again and again: at half of the times as in the record of issue 39.
func awayOf(seed uint64, l layout) []step {
	r := rand.New(rand.NewPCG(seed, streamPlan))
	var plan []step
	for g := range l.services {
		mayGo := true
		for at := time.Second + time.Duration(r.Int64N(int64(time.Second))); at+awayEvery < awayFor; {
			steps := awayRound(r, g, at, mayGo)
			next := at + awayEvery
			for _, s := range steps {
				next = max(next, s.at+s.length+deafBefore)
				mayGo = mayGo && !s.gone
			}
			plan, at = append(plan, steps...), next
		}
	}
	for at := time.Second; l.with.hostsKilled && at+awayEvery < awayFor; at += awayEvery {
		plan = append(plan, step{at: at + deafBefore + hostsLostIn, length: hostsBackIn, kind: "loss of the hosts", share: 1})
	}
	for i := range plan {
		plan[i].order = r.Perm(len(l.hosts))
		plan[i].handover = plan[i].handover || l.with.newIDs && !plan[i].gone
	}
	return withHostSteps(r, l, plan, awayFor)
}

// awayRound returns one round of a service. A replica receives nothing from a moment on,
// except at times.
func awayRound(r *rand.Rand, g int, at time.Duration, mayGo bool) []step {
	between := millisecondsOf(r)
	deaf := step{at: at, length: deafBefore + deafAfter, kind: "replica receives nothing", group: g, rank: 1 + r.IntN(2)}
	other := 3 - deaf.rank
	at += deafBefore
	if r.Float64() < 0.5 {
		return []step{deaf,
			{at: at, length: between(5000, 8500), kind: "crash of a database", group: g, rank: other},
			{at: at, length: between(5000, 8500), kind: "crash of a database", group: g}}
	}
	first, second := awayStep(r, g, at), awayStep(r, g, at+between(0, 4000))
	ranks := [][2]int{{other, 0}, {0, other}, {1, 2}, {2, 1}}[r.IntN(4)]
	first.rank, second.rank = ranks[0], ranks[1]
	if r.Float64() < 0.3 {
		first.kind = "leave of a database"
		first.handover = r.Float64() < 0.5
		first.gone = mayGo && !first.handover
	}
	steps := []step{deaf, first, second}
	if r.Float64() < 0.3 {
		return slices.Delete(steps, 0, 1)
	}
	return steps
}

// awayStep returns an absence of a database. Most end after its entry has lapsed.
func awayStep(r *rand.Rand, g int, at time.Duration) step {
	between := millisecondsOf(r)
	s := step{at: at, kind: "crash of a database", group: g, handover: r.Float64() < 0.25}
	switch x := r.Float64(); {
	case x < 0.3:
		s.length = between(1000, 5000)
	case x < 0.75:
		s.length = between(5000, 9000)
	default:
		s.length = between(9000, 30000)
	}
	switch x := r.Float64(); {
	case x < 0.2:
		s.absence = absentSilent
	case x < 0.4:
		s.absence = absentReset
	}
	return s
}

// behind returns the database that is a number of places behind another in the group.
func (g *group) behind(m *member, places int) *member {
	return g.databases[(slices.Index(g.databases, m)+places)%len(g.databases)]
}

// crash ends a database and starts it again with its log, under its id or another one.
func (t *takeover) crash(s step, m *member) {
	t.s.rec.notef("%s: %s", s, m.name())
	if !m.kill(s.absence) {
		t.s.rec.notef("%s is down already", m.name())
		return
	}
	t.comeBack(s, m)
}

// leave lets a database announce that it leaves, serve on for a while, and exit. Its log
// is handed over to a new one at its address, or is gone.
func (t *takeover) leave(s step, m *member) {
	if m.isDown() {
		return
	}
	t.s.rec.notef("%s: %s", s, m.name())
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	time.Sleep(t.s.layout.drain)
	if !m.kill(s.absence) {
		return // it has crashed meanwhile
	}
	if s.gone {
		m.loseLog()
	}
	t.s.rec.notef("%s has left", m.name())
	t.s.store.remove(kindServers, m.name())
	if !s.gone {
		t.comeBack(s, m)
	}
}

// comeBack starts a database again that has ended.
func (t *takeover) comeBack(s step, m *member) {
	time.Sleep(s.length)
	if s.handover {
		m.replace(func(id string) { t.s.store.remove(kindServers, id) })
	}
	m.restart(false)
	t.s.rec.notef("%s is back as %s", m.id, m.name())
}

// loseHosts kills hosts at once and starts them again.
func (t *takeover) loseHosts(s step) {
	t.s.rec.notef("%s", s)
	for _, i := range s.order[:int(s.share*float64(len(s.order)))] {
		h := t.s.hosts[i]
		if !t.reserve(h.name) {
			continue
		}
		t.busy.Go(func() {
			defer t.release(h.name)
			t.s.signal(h, syscall.SIGKILL)
			<-h.exited
			time.Sleep(s.length)
			t.restart(h)
		})
	}
}
