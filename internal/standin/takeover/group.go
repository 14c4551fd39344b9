package main

import (
	"net/http"
	"slices"
	"sync"
	"time"
)

// Times of promotions.
const (
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
	database  databaseLayout
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

// promotionCall is a call to the platform.
type promotionCall struct {
	Service, ID string
	Host        string `json:"-"`
	Fence       uint64 `json:"-"`
}

// promotion is a call that was accepted. The last fields are set when it takes effect.
type promotion struct {
	promotionCall
	called time.Time
	held   *state // of the database then; nil if it ended meanwhile

	effect time.Time
	term   int
	log    string // position of the last entry with which the database leads
	former string // first id of the primary of the term before
}

func (p *promotion) logAtCall() string {
	if p.held == nil {
		return "unknown"
	}
	return p.held.Last
}

// rollback is a commit that a promotion has rolled back.
type rollback struct {
	*promotion
	entry    entry
	received map[string]time.Time // when other databases than the former primary received it, by id
	lived    bool                 // one of these ran, or was to return with its log
}

func newGroup(rec *record, service, folder string, layout layout) (*group, error) {
	g := &group{faults: layout.faults, with: layout.with, database: layout.database, rec: rec, service: service, term: firstTerm}
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
		m.kill(absentRefused)
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
	_, err := m.order(order{Do: orderLearn, Term: term, Leader: primary.name(), Upstream: m.upstream[primary], IDs: ids})
	return err
}

// promote accepts a promotion call and carries it out later, whichever database is the
// primary by then.
func (g *group) promote(call promotionCall) int {
	m := g.accept(call)
	if m == nil {
		return http.StatusConflict
	}
	p := &promotion{promotionCall: call, called: time.Now()}
	after := g.database.promotion
	if g.with.slowPromotions {
		after = g.faults.between(after, slowestPromotion)
	}
	g.rec.notef("promotion of %s accepted with fence %d, to take effect after %d ms", call.ID, call.Fence, after.Milliseconds())
	held := make(chan *state, 1)
	go func() {
		now, err := m.order(order{Do: orderState}) // one that stands still receives nothing
		if err != nil {
			g.rec.notef("state of %s at the call: %v", m.id, err)
			held <- nil
			return
		}
		held <- &now
	}()
	g.faults.later(after, func() {
		p.held = <-held
		g.lead(m, p)
	})
	return http.StatusOK
}

// accept returns the database that a promotion call names, or nil if the call is refused.
func (g *group) accept(call promotionCall) *member {
	g.mu.Lock()
	defer g.mu.Unlock()
	if call.Fence < g.fence {
		return nil
	}
	g.fence = call.Fence
	for _, m := range g.databases {
		if m.name() == call.ID && !m.isDown() {
			return m
		}
	}
	return nil
}

// lead makes a database the primary of the next term with what it has received, or had
// received when the call was accepted. Nothing is answered while this is carried out,
// except by a process that stands still.
func (g *group) lead(m *member, p *promotion) {
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
	lead := order{Do: orderLead, Term: term}
	if g.with.cutAtCall && p.held != nil {
		lead.Kept = &p.held.Length
	}
	reached, err := m.order(lead)
	if err != nil {
		g.rec.notef("promotion of %s: %v", m.id, err)
		g.each(m, func(other *member) {
			if other.runs() {
				_, _ = other.order(order{Do: orderLearn}) // go on
			}
		})
		return
	}
	p.effect, p.term, p.log, p.former = time.Now(), term, reached.Last, former.id
	g.mu.Lock()
	g.term, g.primary, g.promoted = term, m, reached.IDs
	g.promotions++
	g.mu.Unlock()
	lost := g.recordRollbacks(m, p, reached.IDs)
	g.rec.notef("database %s is the primary of %s in term %d with %d commits, log %s, at the call %s; %d are rolled back", m.id, g.service, term, len(reached.IDs), p.log, p.logAtCall(), lost)
	learn := func(other *member) {
		o := order{Do: orderLearn, Term: term, Leader: m.name(), Upstream: other.upstream[m], IDs: reached.IDs}
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
func (g *group) recordRollbacks(m *member, p *promotion, ids []string) int {
	files, err := g.journals(readLog)
	if err != nil {
		g.rec.notef("%v", err)
		return 0
	}
	has := make(map[string]bool, len(ids))
	for _, id := range ids {
		has[id] = true
	}
	gone := slices.DeleteFunc(slices.Clone(files[p.former].log), func(e entry) bool { return has[e.ID] })
	keeps := map[string]bool{}
	for _, d := range g.databases {
		keeps[d.id] = d.keepsLog()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range gone {
		r := rollback{promotion: p, entry: e, received: map[string]time.Time{}}
		for id, f := range files {
			received, ok := f.receivedAt(e.ID)
			if id == m.id { // it may have removed it just now
				received, ok = f.lastReceipt(e.ID)
			}
			if ok && id != p.former {
				r.received[id] = received
				r.lived = r.lived || keeps[id]
			}
		}
		g.rolledBack = append(g.rolledBack, r)
	}
	return len(gone)
}
