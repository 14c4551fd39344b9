package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/database/choice"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/statement"
)

// chooser orders the readers of one service by the expected time to their answer.
type chooser struct {
	g       *Gateway
	service string

	mu    sync.Mutex // guards table; a leaf lock
	table *choice.Table
}

// newChooser returns nil if the site does not ask for the choice by expected time.
func newChooser(g *Gateway, service string) *chooser {
	if !g.opt.Features.ExpectedTime {
		return nil
	}
	c := &chooser{g: g, service: service, table: choice.New(g.opt.DataCentre)}
	g.metrics.set.NewGauge(fmt.Sprintf(`bronzeloft_reads_leaving_share{service=%q}`, service), func() float64 {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.table.Leaving()
	})
	return c
}

// readerFor returns the database for the nth attempt of the operation's read, starting
// at 0, or nil if the service has no databases. The attempts go through the readers in
// their order and start again after the last. Where the readers are chosen by expected
// time, an attempt goes to the first one on which none has been started; if there is
// none, to that whose last attempt was started first. It sets whether a warm database can
// serve the read instead.
func (s *service) readerFor(op *operation, n int) *pool {
	pools := s.readers(op.customer)
	p := s.pickReader(op, n, pools)
	op.elsewhere = p != nil && s.anyWarm(pools, p)
	return p
}

func (s *service) pickReader(op *operation, n int, pools []*pool) *pool {
	switch {
	case len(pools) == 0:
		return nil
	case s.chooser == nil || len(pools) == 1:
		return pools[n%len(pools)]
	}
	if op.tried == nil {
		op.tried = &triedReaders{}
	}
	return op.tried.next(s.orderByExpectedTime(op, pools))
}

// triedReaders are the databases on which attempts of one read were started. The
// attempts share it: the order of the readers may change between them, and an attempt
// that still runs, or got no connection, must not be followed by one on its database.
type triedReaders struct {
	mu  sync.Mutex // a leaf lock
	ids []string   // in the order of their last attempts
}

// next returns the first of pools that comes next, and records the attempt.
func (t *triedReaders) next(pools []*pool) *pool {
	t.mu.Lock()
	defer t.mu.Unlock()
	chosen := slices.MinFunc(pools, func(a, b *pool) int {
		return cmp.Compare(slices.Index(t.ids, a.db.ID), slices.Index(t.ids, b.db.ID))
	})
	t.ids = append(slices.DeleteFunc(t.ids, func(id string) bool { return id == chosen.db.ID }), chosen.db.ID)
	return chosen
}

func (s *service) orderByExpectedTime(op *operation, pools []*pool) []*pool {
	candidates := s.candidates(pools)
	chosen := s.chooser.choose(choice.Read{
		Customer: op.customer,
		Urgent:   !s.g.opt.Features.UrgentFirst || op.route.Urgency <= urgentUpTo,
		Draw:     rand.Float64(),
	}, candidates)
	byID := make(map[string]*pool, len(pools))
	for _, p := range pools {
		byID[p.db.ID] = p
	}
	for i, id := range chosen.Order {
		pools[i] = byID[id]
	}
	return pools
}

// mayRepeat reports whether a read that a database ran but failed may be run on another
// one, which a current read has not. It takes from the budget of the reads that are sent
// twice: a statement that cannot succeed fails everywhere.
func (s *service) mayRepeat(op *operation, err error, started int) bool {
	return s.chooser != nil && op.route.Freshness != routes.Current && errkind.Of(err) == errkind.StatementFailed &&
		started < maxParallelReads && s.hedges.Withdraw(hedgeBudgetKey)
}

// candidates describes the databases of pools, in their order.
func (s *service) candidates(pools []*pool) []choice.Candidate {
	out := make([]choice.Candidate, len(pools))
	now := s.g.now()
	s.mu.Lock()
	leader, _ := s.table.Leader()
	for i, p := range pools {
		out[i] = choice.Candidate{
			ID: p.db.ID, DataCentre: p.db.DataCentre,
			Primary: p.db.ID == leader.ID, Usable: s.table.Usable(p.db.ID, now),
		}
	}
	s.mu.Unlock()
	for i, p := range pools {
		out[i].Slots, out[i].Busy = p.demand()
	}
	return out
}

// demand returns how many statements this host may have in flight on the database, and
// how many are in flight or wait for a slot or a connection.
func (p *pool) demand() (slots, busy int) {
	p.mu.Lock()
	slots, connections := p.window.Size(), p.max
	p.mu.Unlock()
	waiting := max(0, p.turns.Load()-1) * float64(connections)
	return slots, int(p.slots.Load()*float64(slots) + waiting + 0.5)
}

func (c *chooser) choose(read choice.Read, candidates []choice.Candidate) choice.Choice {
	c.mu.Lock()
	chosen := c.table.Choose(read, candidates, c.g.now())
	changes := c.table.Changes()
	c.mu.Unlock()
	c.g.metrics.chosen(chosen.Reason)
	for _, ch := range changes {
		c.g.log.Info("Share of the customers that may use a database has changed.", "part", "choice", "service", c.service,
			"database", ch.Database, "share", ch.Share, "expected", ch.Expected, "usual", ch.Usual)
	}
	if chosen.Reason != choice.Preferred && c.g.log.Enabled(c.g.ctx, slog.LevelDebug) {
		c.g.log.Debug("Database chosen for a read.", "part", "choice", "service", c.service, "database", chosen.Order[0], "reason", string(chosen.Reason),
			"here", chosen.Here, "there", chosen.There, "leaving_share", chosen.Share, "candidates", candidates)
	}
	return chosen
}

// forget forgets the databases that are not in list.
func (c *chooser) forget(list []routes.Database) {
	if c == nil {
		return
	}
	ids := make([]string, len(list))
	for i, db := range list {
		ids[i] = db.ID
	}
	c.mu.Lock()
	c.table.Retain(ids)
	c.mu.Unlock()
}

// record records the outcome of a statement that was sent at sentAt on a connection.
// The response times of writes and current reads are left out: they run on the primary
// only, and would make it look faster or slower than it is for other reads. A statement
// that this host did not send says nothing of the database.
func (c *chooser) record(ctx context.Context, conn *conn, op *operation, answers []statement.Answer, err error, sentAt time.Time) {
	if c == nil || errors.As(err, new(*errkind.Error)) {
		return
	}
	now := c.g.now()
	db, took := conn.pool.db, now.Sub(sentAt)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch kind := outcomeKind(answers, err); {
	case err != nil && errors.Is(ctx.Err(), context.Canceled):
		c.table.RecordAbandoned(db.ID, db.DataCentre, took, now)
	case err != nil:
		c.table.RecordFailure(db.ID, db.DataCentre, took, now)
	case kind == errkind.DatabaseBehind:
		c.table.RecordBehind(db.ID, db.DataCentre, took, now)
	case kind == errkind.DatabaseBusy, kind == errkind.StatementFailed, kind == errkind.StatementTimeout, kind == errkind.WrongDatabase:
		c.table.RecordFailure(db.ID, db.DataCentre, took, now)
	case lastAnswer(answers).Err == nil && !op.writes() && op.route.Freshness != routes.Current:
		took = c.table.Comparable(op.route.Name, db.DataCentre, took, now)
		c.table.RecordAnswer(db.ID, db.DataCentre, took, answerBytes(op, answers), now)
	}
}

// outcomeKind returns the kind of the error that answered a statement, or Internal.
func outcomeKind(answers []statement.Answer, err error) errkind.Kind {
	if err != nil {
		return errkind.Of(err)
	}
	if main := lastAnswer(answers); main.Err != nil {
		return main.Err.Kind
	}
	return errkind.Internal
}

// answerBytes returns about how many bytes a statement and its answer take.
func answerBytes(op *operation, answers []statement.Answer) int {
	n := len(op.Text)
	for _, row := range lastAnswer(answers).Rows {
		n += len(row)
	}
	return n
}

// recordRoundTrip records the answer to a statement that takes no slot.
func (c *chooser) recordRoundTrip(db routes.Database, sentAt time.Time) {
	if c == nil {
		return
	}
	now := c.g.now()
	c.mu.Lock()
	c.table.RecordRoundTrip(db.DataCentre, now.Sub(sentAt), now)
	c.mu.Unlock()
}

// recordDialFailure records a connection attempt that a database refused or did not
// answer.
func (c *chooser) recordDialFailure(db routes.Database, sentAt time.Time) {
	if c == nil {
		return
	}
	now := c.g.now()
	c.mu.Lock()
	c.table.RecordFailure(db.ID, db.DataCentre, now.Sub(sentAt), now)
	c.mu.Unlock()
}

// chosen counts a read by the reason for which its database was chosen.
func (m *gatewayMetrics) chosen(reason choice.Reason) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`bronzeloft_reads_chosen_total{reason=%q}`, reason)).Inc()
}
