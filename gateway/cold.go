package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/customer/share"
	"github.com/bronzeloft/bronzeloft/database/cold"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/link/gossippb"
	"github.com/bronzeloft/bronzeloft/statement"
)

// coldHostsPerCentre is the number of hosts in each data centre that send statements to
// a database: its home host, and the next one in rank, which watches the primary.
const coldHostsPerCentre = 2

// coldPoll bounds the time after which a waiting statement looks again whether it may be
// sent: shares change, and a database stops being cold.
const coldPoll = 100 * time.Millisecond

// coldLimits holds statements back from cold databases.
type coldLimits struct {
	mu     sync.Mutex // guards limits; a leaf lock
	limits *cold.Limits
	active atomic.Bool // some database may be cold
}

func newColdLimits(opt Options) *coldLimits {
	return &coldLimits{limits: cold.New(cold.Config{Overage: max(1, opt.ColdOverage), Slack: opt.ColdSlack}, coldHostsPerCentre*len(opt.Centres))}
}

// use runs f with the limits locked.
func (c *coldLimits) use(f func(*cold.Limits)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.limits)
}

// change is use for a change that may make databases cold, or end it.
func (c *coldLimits) change(now time.Time, f func(*cold.Limits)) {
	c.use(func(l *cold.Limits) {
		f(l)
		c.active.Store(l.Count(now) > 0)
	})
}

func (c *coldLimits) isCold(id string, now time.Time) (is bool) {
	if !c.active.Load() {
		return false
	}
	c.use(func(l *cold.Limits) { is = l.Cold(id, now) })
	return is
}

func (c *coldLimits) admit(id string, class cold.Class, now time.Time) (ok bool, wait time.Duration) {
	c.use(func(l *cold.Limits) { ok, wait = l.Admit(id, class, now) })
	return ok, wait
}

// wait returns the time until n requests may have been sent to a database.
func (c *coldLimits) wait(id string, n int, now time.Time) (wait time.Duration) {
	c.use(func(l *cold.Limits) { wait = l.Wait(id, n, now) })
	return wait
}

// count returns the number of cold databases.
func (c *coldLimits) count(now time.Time) (n int) {
	c.use(func(l *cold.Limits) { n = l.Count(now) })
	return n
}

// demands returns this host's demand for cold databases and records it as announced. It
// is empty while no database is cold.
func (c *coldLimits) demands(now time.Time) []*gossippb.ColdLoad {
	if !c.active.Load() {
		return nil
	}
	var out []*gossippb.ColdLoad
	c.use(func(l *cold.Limits) {
		for id, perSecond := range l.Demands(now) {
			out = append(out, &gossippb.ColdLoad{Database: id, PerSecond: float32(perSecond)})
		}
	})
	return out
}

// recordDemands records the demands of the other hosts of this data centre, or those of
// another data centre. hosts is how many of them send statements to a database.
func (c *coldLimits) recordDemands(from string, hosts int, list []*gossippb.ColdLoad, now time.Time) {
	demands := make(share.Demands, len(list))
	for _, load := range list {
		demands[load.Database] = float64(load.PerSecond)
	}
	c.use(func(l *cold.Limits) { l.RecordDemands(from, hosts, demands, now) })
}

// reviewCold logs the databases that have become cold and those that are not any more.
func (g *Gateway) reviewCold() {
	now := g.now()
	var changes []cold.Change
	g.cold.change(now, func(l *cold.Limits) { changes = l.Changes(now) })
	for _, c := range changes {
		s := g.service(c.Service)
		if s == nil {
			continue // its databases get no statements
		}
		if c.Cold {
			g.log.Info("Database is cold; its statements are limited.", "part", "cold", "service", c.Service, "database", c.Database, "for_ms", c.For.Milliseconds(), "per_second", c.Rate)
		} else {
			g.log.Info("Database is no longer cold.", "part", "cold", "service", c.Service, "database", c.Database)
		}
	}
}

// setColdDatabases applies a list of databases.
func (g *Gateway) setColdDatabases(databases map[string]routes.Database) {
	now := g.now()
	g.cold.change(now, func(l *cold.Limits) { l.SetDatabases(databases, now) })
	g.reviewCold()
}

// presumeCold records that nothing listens at a database's address: it may have started
// again before this host learns of its new entry.
func (g *Gateway) presumeCold(id string) {
	now := g.now()
	g.cold.change(now, func(l *cold.Limits) { l.Presume(id, now) })
}

// coldCost is the number of requests that count against the limit of a cold database:
// those that work on data. A session's state, a ROLLBACK and a STATUS do not count.
func coldCost(requests []statement.Request) int {
	n := 0
	for _, r := range requests {
		switch r.Kind {
		case statement.Begin, statement.BeginRead, statement.Read, statement.Write, statement.Execute, statement.Commit:
			n++
		}
	}
	return n
}

// coldGate orders the statements of one pool that wait for a cold database.
type coldGate chan struct{}

// awaitCold waits until n requests are admitted to the connection's database, if that is
// cold, in the order of the calls. Requests that belong together are admitted together:
// otherwise many callers would each use up one and run none. It fails with DeadlineNotRun,
// at once, if that, and the after requests that the answer needs later, cannot be before the
// deadline.
func (c *conn) awaitCold(ctx context.Context, n, after int, deadline time.Time) error {
	g, id := c.pool.g, c.pool.db.ID
	c.expireColdPaid()
	if c.coldPaid >= n || !g.cold.isCold(id, g.now()) {
		return nil
	}
	ahead := int(c.pool.coldWaiting.Add(int64(n)))
	defer c.pool.coldWaiting.Add(-int64(n))
	if wait := g.cold.wait(id, ahead+after, g.now()); g.now().Add(wait).After(deadline) {
		g.cold.use(func(l *cold.Limits) { l.Want(id, n, g.now()) })
		return c.refuseCold(errkind.DeadlineNotRun, wait)
	}
	select {
	case c.pool.cold <- struct{}{}:
		defer func() { <-c.pool.cold }()
	case <-ctx.Done():
		return c.refuseCold(errkind.DeadlineNotRun, 0)
	}
	if wait := g.cold.wait(id, n-c.coldPaid+after, g.now()); g.now().Add(wait).After(deadline) {
		g.cold.use(func(l *cold.Limits) { l.Want(id, n, g.now()) })
		return c.refuseCold(errkind.DeadlineNotRun, wait)
	}
	for c.coldPaid < n {
		if c.pool.drained() {
			return c.refuseCold(errkind.DatabaseUnavailable, 0) // its shutdown was announced while this waited
		}
		ok, wait := g.cold.admit(id, cold.Statement, g.now())
		if ok {
			c.coldPaid, c.coldPaidAt = c.coldPaid+1, g.now()
			continue
		}
		timer := time.NewTimer(min(wait, coldPoll))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return c.refuseCold(errkind.DeadlineNotRun, wait)
		}
	}
	if wait := g.cold.wait(id, after, g.now()); after > 0 && g.now().Add(wait).After(deadline) {
		return c.refuseCold(errkind.DeadlineNotRun, wait) // a commit's outcome would remain unknown
	}
	return nil
}

// tryCold is awaitCold without waiting, also for statements that wait already. It fails
// with DatabaseBusy, after which a read is sent to another database.
func (c *conn) tryCold(n int) error {
	g, id := c.pool.g, c.pool.db.ID
	c.expireColdPaid()
	if c.coldPaid >= n || !g.cold.isCold(id, g.now()) {
		return nil
	}
	select {
	case c.pool.cold <- struct{}{}:
		defer func() { <-c.pool.cold }()
	default:
		return c.refuseCold(errkind.DatabaseBusy, 0)
	}
	if wait := g.cold.wait(id, n-c.coldPaid, g.now()); wait > 0 {
		return c.refuseCold(errkind.DatabaseBusy, wait)
	}
	for c.coldPaid < n {
		if ok, wait := g.cold.admit(id, cold.Statement, g.now()); !ok {
			return c.refuseCold(errkind.DatabaseBusy, wait)
		}
		c.coldPaid, c.coldPaidAt = c.coldPaid+1, g.now()
	}
	return nil
}

// coldPaidFor is how long after the last admission the requests may be sent that were
// admitted: those of many transactions that rest must not reach a database together.
const coldPaidFor = verifyTimeout + 50*time.Millisecond

func (c *conn) expireColdPaid() {
	if c.coldPaid > 0 && c.pool.g.now().Sub(c.coldPaidAt) > coldPaidFor {
		c.coldPaid = 0
	}
}

func (c *conn) refuseCold(kind errkind.Kind, wait time.Duration) error {
	c.pool.g.metrics.keptFromCold.Inc()
	return errkind.New(kind, "database %s is cold after its start, retry after %d ms", c.pool.db.ID, wait.Milliseconds()+1)
}

// payCold admits the requests that are about to be sent to a cold database and for which
// no statement has waited: those of samples and of checks of the primary.
func (c *conn) payCold(requests []statement.Request) error {
	if !c.pool.g.cold.active.Load() {
		return nil
	}
	c.expireColdPaid()
	cost := coldCost(requests)
	for ; cost > 0; cost-- {
		if c.coldPaid > 0 {
			c.coldPaid--
			continue
		}
		if ok, wait := c.pool.g.cold.admit(c.pool.db.ID, c.coldClass, c.pool.g.now()); !ok {
			return c.refuseCold(errkind.DatabaseBusy, wait)
		}
	}
	return nil
}

// heartbeatDue reports whether a STATUS, which is not limited, is to show whether a cold
// database answers, after a sample on the connection failed. Without it, failures before a
// sample that is held back would count as lasting, and a dead primary would go unnoticed.
func (p *pool) heartbeatDue(c *conn) bool {
	now := p.g.now()
	if c.broken || !p.g.cold.isCold(p.db.ID, now) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.coldHeartbeatAt) < sampleInterval {
		return false
	}
	p.coldHeartbeatAt = now
	return true
}

// admitCold admits n requests of an operation to the connection's database. It does not
// wait for a read that another database can serve.
func (op *operation) admitCold(ctx context.Context, c *conn, n int) error {
	if op.elsewhere {
		return c.tryCold(n)
	}
	after := 0
	if op.writes() || op.Kind == statement.Commit {
		after = afterCommit
	}
	return c.awaitCold(ctx, n, after, op.deadline)
}

// readyCommit waits until a commit may be sent to a cold database, also for a slot, which
// statements that wait there may hold for seconds: a commit that has been counted as sent
// and waits would make its primary count as stalled.
func (c *conn) readyCommit(ctx context.Context, op *operation) error {
	if !c.pool.g.cold.isCold(c.pool.db.ID, c.pool.g.now()) {
		return nil
	}
	if c.slot == 0 {
		var err error
		if c.slot, err = c.pool.slots.Acquire(ctx, op.queueItem()); err != nil {
			return err
		}
	}
	err := op.admitCold(ctx, c, statementOnly)
	if err != nil {
		c.freeSlot()
	}
	return err
}

// Requests to a cold database that are admitted together.
const (
	afterCommit       = 2 // the proof for which a commit waits, and a sample that comes between
	statementOnly     = 1
	beginAndStatement = 2 // a Begin, or a check that the database is the primary, and the statement
)

// anyWarm reports whether a database is cold and another one can serve a read and is not.
func (s *service) anyWarm(pools []*pool, except *pool) bool {
	now := s.g.now()
	if !s.g.cold.isCold(except.db.ID, now) {
		return false
	}
	for _, p := range pools {
		if p != except && !s.g.cold.isCold(p.db.ID, now) && s.readable(p.db.ID, now) {
			return true
		}
	}
	return false
}

// readable reports whether a database answers and does not leave.
func (s *service) readable(id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	db, ok := s.table.Get(id)
	return ok && !db.Leaving && !s.table.Unreachable(id, now)
}

// recordColdHere records the demands of the other hosts of this data centre. Those of
// which nothing is known count like one without demand: few data centres have one host.
func (p *peers) recordColdHere(now time.Time) {
	if !p.g.cold.active.Load() {
		return
	}
	p.mu.Lock()
	sum := map[string]float32{}
	for _, h := range p.hostsByName {
		if h.dataCentre != p.g.opt.DataCentre || now.Sub(h.lastSeen) >= share.PeerExpiry {
			continue
		}
		for _, load := range h.cold {
			sum[load.Database] += load.PerSecond
		}
	}
	p.mu.Unlock()
	var here []*gossippb.ColdLoad
	for id, perSecond := range sum {
		here = append(here, &gossippb.ColdLoad{Database: id, PerSecond: perSecond})
	}
	p.g.cold.recordDemands("data centre "+p.g.opt.DataCentre, coldHostsPerCentre-1, here, now)
}
