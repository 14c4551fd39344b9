package main

import (
	"net/http"
	"slices"
	"sync"
	"time"
)

// Times of promotions.
const (
	promoteTime      = time.Second
	slowestPromotion = 5 * time.Second
	latestNews       = 1500 * time.Millisecond
)

const firstTerm = 3

// leadPoll is the time between two looks at a database that stands still and is to be
// promoted.
const leadPoll = 10 * time.Millisecond

// group is a service's databases, and what the platform knows of them.
type group struct {
	rec       *record
	service   string
	faults    *faults
	with      variants
	databases []*member

	leading sync.Mutex // held while a promotion is carried out

	mu         sync.Mutex // guards the fields below
	term       int
	primary    *member  // of the newest term
	promoted   []string // ids of its log when it was promoted
	rolledBack []rollback
	promotions int
	fence      uint64
}

// rollback is a commit that a promotion has rolled back.
type rollback struct {
	entry    entry
	at       time.Time
	primary  string               // id of the database that had committed it
	promoted string               // id
	received map[string]time.Time // when other databases received it, by id
}

func newGroup(rec *record, service, folder string, layout layout) (*group, error) {
	g := &group{faults: layout.faults, with: layout.with, rec: rec, service: service, term: firstTerm}
	for _, zone := range layout.databases {
		m, err := newMember(g, zone, folder)
		if err != nil {
			return nil, err
		}
		g.databases = append(g.databases, m)
	}
	g.primary = g.databases[0]
	for _, m := range g.databases {
		for _, other := range g.databases {
			if m == other {
				continue
			}
			if err := m.connect(other); err != nil {
				return nil, err
			}
		}
	}
	for _, m := range g.databases {
		if err := m.start(g.primary, g.term); err != nil {
			g.stop()
			return nil, err
		}
	}
	return g, nil
}

// stop ends the processes.
func (g *group) stop() {
	for _, m := range g.databases {
		m.kill()
	}
}

// restart starts a database that was killed. It knows the term that it knew before, and is
// told the newest one.
func (g *group) restart(m *member) error {
	g.leading.Lock()
	defer g.leading.Unlock()
	g.mu.Lock()
	primary, term, ids := g.primary, g.term, g.promoted
	g.mu.Unlock()
	m.mu.Lock()
	known := m.term
	m.mu.Unlock()
	if known == term || primary == m {
		return m.start(primary, term)
	}
	if err := m.start(primary, known); err != nil {
		return err
	}
	_, err := m.order(order{Do: orderLearn, Term: term, Leader: primary.id, Upstream: m.upstream[primary], IDs: ids})
	return err
}

// promote accepts a promotion call and carries it out later, whichever database is the
// primary by then.
func (g *group) promote(id string, fence uint64) int {
	m := g.accept(id, fence)
	if m == nil {
		return http.StatusConflict
	}
	after := promoteTime
	if g.with.slowPromotions {
		after = g.faults.between(promoteTime, slowestPromotion)
	}
	g.rec.notef("promotion of %s accepted with fence %d, to take effect after %d ms", id, fence, after.Milliseconds())
	held := make(chan *int, 1)
	go func() { held <- g.heldAtCall(m) }()
	g.faults.later(after, func() { g.lead(m, <-held) })
	return http.StatusOK
}

// accept returns the database that a promotion call names, or nil if the call is refused.
func (g *group) accept(id string, fence uint64) *member {
	g.mu.Lock()
	defer g.mu.Unlock()
	if fence < g.fence {
		return nil
	}
	g.fence = fence
	for _, m := range g.databases {
		if m.id == id && !m.isDown() {
			return m
		}
	}
	return nil
}

// heldAtCall returns the length of the log with which a database is to lead, or nil for
// all that it has received by then. One that stands still receives nothing.
func (g *group) heldAtCall(m *member) *int {
	if !g.with.cutAtCall {
		return nil
	}
	now, err := m.order(order{Do: orderState})
	if err != nil {
		return nil // it has ended
	}
	return &now.Length
}

// lead makes a database the primary of the next term with what it has received, or with
// the first entries of it. Nothing is answered while this is carried out, except by a
// process that stands still.
func (g *group) lead(m *member, held *int) {
	for !m.runs() {
		if m.isDown() {
			return
		}
		time.Sleep(leadPoll)
	}
	g.leading.Lock()
	defer g.leading.Unlock()
	g.mu.Lock()
	former, term := g.primary, g.term+1
	g.mu.Unlock()
	now, err := m.order(order{Do: orderState})
	if err != nil || former == m && now.Role == rolePrimary {
		return
	}
	if !g.with.lateNews {
		g.each(m, func(other *member) {
			if other.runs() {
				_, _ = other.order(order{Do: orderHold, Term: term}) // it may be killed meanwhile
			}
		})
	}
	reached, err := m.order(order{Do: orderLead, Term: term, Kept: held})
	if err != nil {
		g.rec.notef("promotion of %s: %v", m.id, err)
		g.each(m, func(other *member) {
			if other.runs() {
				_, _ = other.order(order{Do: orderLearn}) // go on
			}
		})
		return
	}
	at := time.Now()
	g.mu.Lock()
	g.term, g.primary, g.promoted = term, m, reached.IDs
	g.promotions++
	g.mu.Unlock()
	lost := g.recordRollbacks(former, m, reached.IDs, at)
	g.rec.notef("database %s is the primary of %s in term %d with %d commits; %d are rolled back", m.id, g.service, term, len(reached.IDs), lost)
	learn := func(other *member) {
		o := order{Do: orderLearn, Term: term, Leader: m.id, Upstream: other.upstream[m], IDs: reached.IDs}
		_, _ = other.order(o) // one that is down is told when it starts
	}
	g.each(m, func(other *member) {
		switch {
		case g.with.lateNews:
			after := g.faults.between(0, latestNews)
			go func() {
				time.Sleep(after)
				for !g.faults.await(nil, other.id, platformEnd) {
				}
				learn(other)
			}()
		case other.runs():
			learn(other)
		default:
			go learn(other)
		}
	})
}

// each calls do for all databases but one, at once, and waits.
func (g *group) each(except *member, do func(*member)) {
	var all sync.WaitGroup
	for _, m := range g.databases {
		if m != except {
			all.Go(func() { do(m) })
		}
	}
	all.Wait()
}

// recordRollbacks records the commits of the former primary that a promoted log lacks, and
// returns their number.
func (g *group) recordRollbacks(former, promoted *member, ids []string, at time.Time) int {
	files, err := g.journals()
	if err != nil {
		g.rec.notef("%v", err)
		return 0
	}
	has := make(map[string]bool, len(ids))
	for _, id := range ids {
		has[id] = true
	}
	gone := slices.DeleteFunc(slices.Clone(files[former.id].log), func(e entry) bool { return has[e.ID] })
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range gone {
		r := rollback{entry: e, at: at, primary: former.id, promoted: promoted.id, received: map[string]time.Time{}}
		for id, f := range files {
			if received, ok := f.receivedAt(e.ID); ok && id != former.id {
				r.received[id] = received
			}
		}
		g.rolledBack = append(g.rolledBack, r)
	}
	return len(gone)
}
