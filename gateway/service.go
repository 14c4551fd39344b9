package gateway

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/customer/retry"
	"github.com/bronzeloft/bronzeloft/database/floor"
	"github.com/bronzeloft/bronzeloft/database/lead"
	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/link/gossippb"
	"github.com/bronzeloft/bronzeloft/position"
)

// service is the state that this host keeps about one service's databases.
type service struct {
	g    *Gateway
	name string
	// hedges limits the reads that are sent twice, so that hedging does not double
	// the load on an overloaded database.
	hedges  *retry.Budget
	chooser *chooser // nil if readers are not chosen by expected time

	mu                sync.Mutex // guards the fields below; pool.mu may be acquired while it is held
	table             *lead.Table
	samples           floor.Samples
	acked             position.Position // newest commit that this host acknowledged
	pools             map[string]*pool
	changed           chan struct{} // closed and replaced by notifyChange
	lastUsed          time.Time     // time of the last operation
	lastSampleRequest time.Time     // when the last sample query was sent
	sampling          bool          // a sample query is in flight
	commits           commitTracker
	replication       replication
	replicated        bool // a configuration required replicas of the service
	promotion         promotionState
	logWait           logWait
	observed          observedPrimary
	roster            rosterState
	remembered        remembered
	provenPrimary     string    // the last database that proved to be the primary
	provenTerm        uint64    // in which it did
	namedTerm         uint64    // the newest term that a primary's answer named
	namedAt           time.Time // when this host first heard of it
	unreachableSince  time.Time // since when no primary is reachable; zero while one is
	returns           retry.Returns
	lostPrimary       string // the primary that was presumed then; empty if none was

	homeRank int // the last known result of peers.homeRank; 0 on the home host
}

// Budget for the reads that one host sends twice.
const (
	// hedgeShare is the number of second attempts that each read adds to the budget.
	// It covers the answers that a failing network path loses, a few per cent.
	hedgeShare = 0.08
	// hedgeBurst is the largest number of second attempts that the budget can save.
	hedgeBurst = 3
	// hedgeBudgetKey is the only key of the budget, which all customers share.
	hedgeBudgetKey = ""
)

func newService(g *Gateway, name string) *service {
	return &service{
		g: g, name: name,
		hedges:  retry.NewBudget(hedgeShare, hedgeBurst),
		chooser: newChooser(g, name),
		table:   lead.New(),
		pools:   map[string]*pool{},
		changed: make(chan struct{}),
		commits: commitTracker{sent: map[uint64]time.Time{}},

		replication: replication{copies: map[string]*replicaCopy{}},
		roster:      rosterState{fences: map[string]fence{}},
		homeRank:    g.peers.homeRank(name),
	}
}

// setDatabases applies the store's list of the service's databases. It closes the
// pools of databases that restarted, changed their address or are no longer in the
// table. New pools hold at most size connections.
func (s *service) setDatabases(list []routes.Database, size int) {
	now := s.g.now()
	s.mu.Lock()
	s.recordReplicas()
	before := s.table.Established(now)
	unlisted := slices.DeleteFunc(slices.Clone(s.databasesAwaited()), s.table.Listed)
	restarted := s.table.SetDatabases(list, now)
	s.chooser.forget(list)
	if slices.ContainsFunc(unlisted, s.table.Listed) {
		s.promotion.nextAttempt = now // a database that is awaited is back
	}
	after := s.table.Established(now)
	if slices.ContainsFunc(before, func(id string) bool { return !slices.Contains(after, id) }) {
		s.replication.unsettle()
	}
	var closing []*pool
	for _, id := range restarted {
		s.replication.forget(id)
		if p := s.pools[id]; p != nil {
			closing = append(closing, p)
			delete(s.pools, id)
		}
	}
	for _, db := range list {
		if s.pools[db.ID] == nil {
			s.pools[db.ID] = newPool(s.g, s, db, size)
		}
	}
	for id, p := range s.pools {
		p.setLeavingSince(s.table.LeavingSince(id))
	}
	closing = append(closing, s.dropPools()...)
	s.observePrimary(fromList, position.Position{})
	s.notifyChange()
	s.mu.Unlock()
	for _, p := range closing {
		p.close()
	}
}

// recordLeaving applies another host's report, made at the given time, of databases that
// are leaving.
func (s *service) recordLeaving(reported []*gossippb.Leaving, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range reported {
		s.table.RecordLeaving(l.Database, l.Start, at.Add(-time.Duration(l.AgeMs)*time.Millisecond))
		if p := s.pools[l.Database]; p != nil {
			p.setLeavingSince(s.table.LeavingSince(l.Database))
		}
	}
}

// leaving returns the databases that the store's list shows as leaving, for the other
// hosts. mu is held.
func (s *service) leaving(now time.Time) []*gossippb.Leaving {
	var out []*gossippb.Leaving
	for _, db := range s.table.All() {
		if db.Leaving {
			age := max(0, now.Sub(s.table.LeavingSince(db.ID)))
			out = append(out, &gossippb.Leaving{Database: db.ID, Start: db.StartMillis, AgeMs: uint32(age.Milliseconds())})
		}
	}
	return out
}

// dropPools removes and returns the pools of databases that are no longer in the
// table. mu is held.
func (s *service) dropPools() []*pool {
	var out []*pool
	for id, p := range s.pools {
		if _, ok := s.table.Get(id); !ok {
			out = append(out, p)
			delete(s.pools, id)
			s.replication.forget(id)
		}
	}
	return out
}

// allPools returns the pools of all databases.
func (s *service) allPools() []*pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.pools))
}

// notifyChange wakes all callers of waitUntil. It is called when the primary or the
// list of databases may have changed, when a database is reachable again, and after
// a sample query of the primary. mu is held.
func (s *service) notifyChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// waitUntil evaluates condition, with mu held, now and after each change, until
// it is true or ctx ends.
func (s *service) waitUntil(ctx context.Context, condition func() bool) error {
	for {
		s.mu.Lock()
		if condition() {
			s.mu.Unlock()
			return nil
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// failFastAfter is how long no primary may be reachable before statements that
// need one are refused at once. Detecting a failure, choosing a successor and
// promoting it take less, so after this time no primary can be expected within a
// statement's timeout.
const failFastAfter = 3 * time.Second

// reachablePrimary returns the primary's pool if the primary is reachable and may be
// sent statements, and otherwise records since when it is not. If no primary is known,
// it requests a sample. mu is held.
func (s *service) reachablePrimary() (*pool, bool) {
	now := s.g.now()
	db, ok := s.table.Leader()
	if p := s.pools[db.ID]; ok && p != nil && !s.table.Unreachable(db.ID, now) && !p.drained() {
		s.recordOutageEnd(db.ID, now)
		s.unreachableSince = time.Time{}
		return p, true
	}
	if s.unreachableSince.IsZero() {
		s.unreachableSince = now
		s.lostPrimary = db.ID
	}
	if !ok {
		s.requestSample()
	}
	return nil, false
}

// failFast reports whether no primary can be expected within a statement's timeout: none
// has been reachable for failFastAfter, the service waits for logs, the primary's data centre
// is evacuated or, where urgent statements go first, this host's data centre is cut off from
// the primary's. mu is held.
func (s *service) failFast() bool {
	if len(s.databasesAwaited()) > 0 || s.closedForEvacuation() {
		return true
	}
	if s.unreachableSince.IsZero() {
		return false
	}
	now := s.g.now()
	return now.Sub(s.unreachableSince) >= failFastAfter || s.g.opt.Features.UrgentFirst && s.leaderElsewhere() && s.g.peers.cutOff(now)
}

// waitForPrimary waits for a reachable primary. It fails with NoPrimary when ctx
// ends, and at once if failFast holds or, where urgent statements go first, a takeover would
// end too late for the statement.
func (s *service) waitForPrimary(ctx context.Context) (*pool, error) {
	var p *pool
	var ok bool
	err := s.waitUntil(ctx, func() bool {
		p, ok = s.reachablePrimary()
		return ok || s.failFast() || s.takeoverTooLate(ctx)
	})
	if err != nil || !ok {
		return nil, s.noPrimaryError()
	}
	return p, nil
}

func (s *service) noPrimaryError() error {
	s.mu.Lock()
	awaited := strings.Join(s.databasesAwaited(), " ")
	closed := s.closedForEvacuation()
	delay, takeover := s.retryAfter(), s.primaryRetryAfter()
	s.mu.Unlock()
	if closed {
		return s.evacuationError()
	}
	if awaited != "" {
		return errkind.New(errkind.NoPrimary, "service %s has no primary until %s can be read, retry after %d ms", s.name, awaited, delay.Milliseconds())
	}
	return errkind.New(errkind.NoPrimary, "service %s has no reachable primary, retry after %d ms", s.name, max(delay, takeover).Milliseconds())
}

// readers returns the databases that may serve a customer's read, best first.
func (s *service) readers(customer string) []*pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := func(id string) float64 {
		if p := s.pools[id]; p != nil {
			return p.slots.Load()
		}
		return 0
	}
	s.table.RankCold(nil)
	if s.g.cold.active.Load() {
		s.table.RankCold(func(id string) bool { return s.g.cold.isCold(id, s.g.now()) })
	}
	var out []*pool
	var ids []string
	if now := s.g.now(); s.g.evacuations.any() {
		ids = s.table.ReadersOutside(s.g.evacuations.evacuated, customer, s.g.opt.DataCentre, load, now)
	} else {
		ids = s.table.Readers(customer, s.g.opt.DataCentre, load, now)
	}
	for _, id := range ids {
		if p := s.pools[id]; p != nil && !p.isClosed() {
			out = append(out, p)
		}
	}
	return out
}

// waitForSample waits for a sample of the primary's log taken at or after t. It
// fails with TooStale when ctx ends, and at once if there is no such sample and no
// primary has been reachable for failFastAfter.
func (s *service) waitForSample(ctx context.Context, t time.Time) (floor.Sample, error) {
	var sample floor.Sample
	var ok bool
	err := s.waitUntil(ctx, func() bool {
		if sample, ok = s.samples.Since(t); ok {
			return true
		}
		s.requestSample()
		_, hasPrimary := s.reachablePrimary()
		return !hasPrimary && s.failFast()
	})
	if err != nil || !ok {
		return sample, s.tooStaleError(t)
	}
	return sample, nil
}

// tooStaleError is the error of a read whose maximum age cannot be guaranteed,
// because no sample of the primary's log is recent enough.
func (s *service) tooStaleError(t time.Time) error {
	s.mu.Lock()
	newest := s.samples.Newest().At
	s.mu.Unlock()
	if newest.IsZero() {
		return errkind.New(errkind.TooStale, "service %s: no sample of a primary's log position yet", s.name)
	}
	return errkind.New(errkind.TooStale, "service %s: newest sample is %d ms too old, retry after %d ms", s.name, t.Sub(newest).Milliseconds(), noPrimaryRetryAfter.Milliseconds())
}

// recordPrimary records that a database was the primary when the query was sent,
// and adds a sample of the end of its log unless end is zero, which means unknown.
func (s *service) recordPrimary(id string, end position.Position, sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordLeader(id, end.Term, sentAt)
	if !end.IsZero() {
		s.samples.Add(floor.Sample{Position: end, At: sentAt})
		// A database may lose the lead before it names the newer term of another one. It
		// leads a term that was known when it was queried, or the first that is known.
		if s.namedTerm == 0 || end.Term == s.namedTerm && sentAt.After(s.namedAt) {
			s.provenPrimary, s.provenTerm = id, end.Term
		}
		if end.Term > s.namedTerm {
			s.namedTerm, s.namedAt = end.Term, s.g.now()
		}
	}
	if leader, _ := s.table.Leader(); leader.ID == id {
		s.observePrimary(fromAnswer, end)
	}
	s.notifyChange()
}

// recordNotPrimary records that a database was not the primary.
func (s *service) recordNotPrimary(id string, sentAt time.Time) {
	s.mu.Lock()
	before, _ := s.table.Leader()
	s.table.RecordNotLeader(id, sentAt)
	after, _ := s.table.Leader()
	s.observePrimary(fromRefusal, position.Position{})
	s.notifyChange()
	p := s.pools[id]
	s.mu.Unlock()
	if before.ID == id && after.ID != id {
		p.turnAway("is no longer the primary")
		s.g.log.Info("Database is no longer the primary.", "part", "service", "service", s.name, "database", id)
	}
}

func (s *service) recordAnswer(id string, sentAt time.Time) {
	s.mu.Lock()
	wasUnreachable := s.table.Unreachable(id, s.g.now())
	s.table.RecordAnswer(id, sentAt)
	recovered := wasUnreachable && !s.table.Unreachable(id, s.g.now())
	if recovered {
		s.notifyChange()
	}
	s.mu.Unlock()
	if recovered {
		s.g.log.Info("Database is reachable again.", "part", "service", "service", s.name, "database", id)
	}
}

// recordFailure records that a query sent at sentAt got no answer. refused means
// that nothing listens at the database's address.
func (s *service) recordFailure(id string, sentAt time.Time, refused bool) {
	now := s.g.now()
	s.mu.Lock()
	wasUnreachable := s.table.Unreachable(id, now)
	s.table.RecordFailure(id, sentAt, refused)
	if refused {
		s.g.presumeCold(id)
		s.replication.forget(id) // its process has ended
	} else {
		s.replication.recheckOrders() // it may have been down, and is not paused any more
	}
	isUnreachable := s.table.Unreachable(id, now)
	p := s.pools[id]
	s.mu.Unlock()
	if isUnreachable && !wasUnreachable {
		p.turnAway("is unreachable")
		s.g.log.Warn("Database is unreachable.", "part", "service", "service", s.name, "database", id, "refused", refused)
	}
}

// avoid ranks a database behind the other readers until the given time.
func (s *service) avoid(id string, until time.Time) {
	s.mu.Lock()
	s.table.Avoid(id, until)
	s.mu.Unlock()
}

// primaryView returns this host's view of the primary for the vote on its
// replacement. mu is held.
func (s *service) primaryView(now time.Time) succession.View {
	db, ok := s.table.Leader()
	if !ok {
		return succession.View{}
	}
	return succession.View{
		Primary:     db.ID,
		Unreachable: s.table.Unreachable(db.ID, now),
		Stalled:     s.commits.stalled(now),
	}
}

// markUsed records that this host runs a statement of the service.
func (s *service) markUsed() {
	now := s.g.now()
	s.mu.Lock()
	s.lastUsed = now
	s.mu.Unlock()
}

// watchAfterUse is how long after its last statement this host continues to
// sample the primary.
const watchAfterUse = 3 * time.Second

// watching reports whether this host samples the primary several times a second:
// because it is the service's home host or the next in rank, or because it has
// run statements recently. mu is held.
func (s *service) watching(now time.Time) bool {
	return s.homeRank <= 1 || now.Sub(s.lastUsed) < watchAfterUse
}

// tick does the periodic work: it updates homeRank, if updateRank is set, and the
// pools, expires databases, samples the primary and considers replacing it.
func (s *service) tick(updateRank bool) {
	now := s.g.now()
	rank := 0
	if updateRank {
		rank = s.g.peers.homeRank(s.name)
	}
	s.mu.Lock()
	if !updateRank {
		rank = s.homeRank
	}
	rankChanged := rank != s.homeRank
	s.homeRank = rank
	s.table.Expire(now)
	closing := s.dropPools()
	s.reachablePrimary()
	watching := s.watching(now)
	if watching && s.samples.Newest().At.Add(sampleInterval).Before(now) {
		s.requestSample()
	}
	s.mu.Unlock()
	for _, p := range closing {
		p.close()
	}
	if rankChanged {
		s.g.sizePoolsOf(s)
	}
	if rank > 0 {
		for _, p := range s.allPools() {
			p.closeSpare(now)
		}
	}
	s.updateLogWait(now)
	if watching {
		s.maybeReplacePrimary(now)
	}
}
