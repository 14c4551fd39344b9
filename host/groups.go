package host

import (
	"sync"
	"time"

	"github.com/bronzeloft/bronzeloft/contract"
	"github.com/bronzeloft/bronzeloft/database"
	"github.com/bronzeloft/bronzeloft/database/group"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/position"
)

// groupOpTimeout bounds one group operation on a control connection.
const groupOpTimeout = 400 * time.Millisecond

// groupIO is what a groupRunner needs from its host.
type groupIO interface {
	// AskPeers asks other hosts whether they can reach a database and calls
	// reply with each answer; silent is the time since the database last answered
	// that peer.
	AskPeers(groupName, databaseID string, reply func(peer string, reachable bool, silent time.Duration))
	// PublishGroup announces a promotion and records it in the platform. The
	// record has no authority.
	PublishGroup(act group.Publish)
	// NewControl returns a control connection to a database, which the groupRunner
	// closes.
	NewControl(db contract.Database) *database.Control
}

// groupRunner drives the table of one database group: it carries out the table's
// actions and lets requests wait for changes of the table.
type groupRunner struct {
	name string
	io   groupIO
	now  func() time.Time

	mu         sync.Mutex // guards the fields up to stopped; no other lock is taken under it
	table      *group.Table
	controls   map[string]*database.Control
	waiters    map[*waiter]struct{}
	opTimeout  time.Duration
	ackWaiters int // requests that wait for an acknowledgement
	stopped    bool

	kick chan struct{} // makes run tick at once
	stop chan struct{} // closed by close
}

func newGroupRunner(name string, table *group.Table, opTimeout time.Duration, io groupIO, now func() time.Time) *groupRunner {
	g := &groupRunner{
		name:      name,
		io:        io,
		now:       now,
		table:     table,
		controls:  map[string]*database.Control{},
		waiters:   map[*waiter]struct{}{},
		opTimeout: opTimeout,
		kick:      make(chan struct{}, 1),
		stop:      make(chan struct{}),
	}
	go g.run()
	return g
}

// setDatabases applies the databases of a new configuration.
func (g *groupRunner) setDatabases(dbs []contract.Database) {
	g.mu.Lock()
	defer g.mu.Unlock()
	members := make([]group.Member, len(dbs))
	keep := map[string]bool{}
	for i, db := range dbs {
		members[i] = group.Member{ID: db.ID, Address: db.Address, DataCentre: db.DataCentre, Leaving: db.Leaving}
		keep[db.ID] = true
		g.setControl(db)
	}
	for id, c := range g.controls {
		if !keep[id] {
			c.Close()
			delete(g.controls, id)
		}
	}
	g.table.SetMembers(members, g.now())
	g.wakeLocked()
	g.kickRun()
}

// setControl replaces the control connection of a database that is new or has
// moved to another address. mu is held.
func (g *groupRunner) setControl(db contract.Database) {
	old := g.controls[db.ID]
	if old != nil && old.Address() == db.Address {
		return
	}
	if old != nil {
		old.Close()
	}
	g.controls[db.ID] = g.io.NewControl(db)
}

func (g *groupRunner) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return
	}
	g.stopped = true
	close(g.stop)
	for _, c := range g.controls {
		c.Close()
	}
}

// run ticks the table at the times that its Next returns, and after kickRun.
func (g *groupRunner) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-g.stop:
			return
		case <-g.kick:
		case <-timer.C:
		}
		g.mu.Lock()
		now := g.now()
		g.carryOut(g.table.Tick(now))
		if g.ackWaiters > 0 {
			g.carryOut(g.table.RequestAcks(now))
		}
		next := g.table.Next()
		g.mu.Unlock()
		timer.Reset(max(next.Sub(now), time.Millisecond))
	}
}

// carryOut carries out actions. It is called with mu held and does not block.
func (g *groupRunner) carryOut(actions []group.Action) {
	for _, a := range actions {
		switch act := a.(type) {
		case group.Send:
			g.send(act)
		case group.AskPeers:
			go g.io.AskPeers(g.name, act.Database, g.peerReply(act.Database))
		case group.Publish:
			go g.io.PublishGroup(act)
		}
	}
	g.wakeLocked()
}

func (g *groupRunner) send(act group.Send) {
	c := g.controls[act.Database]
	if c == nil {
		return
	}
	c.Enqueue(act.Op, g.opTimeout, func(res database.Result) {
		g.opResult(act.Database, res)
	})
}

func (g *groupRunner) opResult(id string, res database.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.carryOut(g.table.OpResult(id, res.Op, res.SentAt, res.Report, res.Err, g.now()))
	if res.Refused {
		g.carryOut(g.table.Unreachable(id, g.now()))
	}
	g.kickRun()
}

func (g *groupRunner) peerReply(databaseID string) func(string, bool, time.Duration) {
	return func(peer string, reachable bool, silent time.Duration) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.carryOut(g.table.PeerReply(peer, databaseID, reachable, silent, g.now()))
		g.kickRun()
	}
}

// kickRun makes run tick soon, since Next may have changed.
func (g *groupRunner) kickRun() {
	select {
	case g.kick <- struct{}{}:
	default:
	}
}

// committed records that database id reported p with an answer: as the primary of
// p's term it has stored its log up to p.
func (g *groupRunner) committed(id string, p position.Position) {
	g.mu.Lock()
	g.table.Committed(id, p)
	g.mu.Unlock()
}

// reachability returns whether this host reaches a database and the time since the
// database last answered, for a peer's request.
func (g *groupRunner) reachability(databaseID string) (bool, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	reachable, silent, actions := g.table.Reachability(databaseID, g.now())
	g.carryOut(actions)
	return reachable, silent
}

// status returns the table's state for operators.
func (g *groupRunner) status() group.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Status()
}

// setRank sets this host's promoter rank: its place, from 0, in the order in which
// hosts try to promote a database of the group.
func (g *groupRunner) setRank(rank int) {
	g.mu.Lock()
	g.table.SetRank(rank)
	g.mu.Unlock()
}

// rank returns this host's promoter rank.
func (g *groupRunner) rank() int { return g.status().Rank }

// ageFloor returns a position at or past which data is at most age old, and when
// that position was sampled. It returns false if none was confirmed within age.
func (g *groupRunner) ageFloor(age time.Duration) (position.Position, time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.AgeFloor(g.now(), age)
}

// describeTargets returns the databases that can describe a statement, best first:
// the primary, if it accepts writes, then those that can serve a read.
func (g *groupRunner) describeTargets() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	readers := g.table.Readers(position.Position{}, g.now())
	id, _, ok := g.table.Primary()
	if !ok {
		return readers
	}
	return append([]string{id}, readers...)
}

// checkToken returns an error if the position p of a session token can never be
// reached. since is the arrival time of the request, which must already have waited
// for a confirmation by probes sent after that time.
func (g *groupRunner) checkToken(p position.Position, since time.Time) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch g.table.CheckToken(p, since) {
	case group.TokenCut:
		return errkind.New(errkind.TokenCut, "entry at position %s was cut off by a later term", p)
	case group.TokenAhead:
		return errkind.New(errkind.TokenAhead, "position %s is past the end of the group's log", p)
	}
	return nil
}

// applyHint applies a view of the primary from a peer.
func (g *groupRunner) applyHint(v group.View) {
	g.mu.Lock()
	g.carryOut(g.table.ApplyHint(v, g.now()))
	g.mu.Unlock()
	g.kickRun()
}

// view returns the established primary, false if there is none.
func (g *groupRunner) view() (group.View, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.View()
}

// role returns "primary" or "replica" for a database that served a read.
func (g *groupRunner) role(id string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if v, ok := g.table.View(); ok && v.Primary == id {
		return "primary"
	}
	return "replica"
}
