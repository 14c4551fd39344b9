package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/customer/retry"
	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/objectapi"
	"github.com/bronzeloft/bronzeloft/position"
	"github.com/bronzeloft/bronzeloft/statement"
)

// A primary confirms a commit once any replica has received it. Another database may
// be promoted at any time by a host that does not reach the primary, and the order may
// take effect long after it was given, with a log of any moment since. So a commit is
// acknowledged to its caller only if no promotion can discard it: every replica of a
// current list and of the roster holds it, and the lease has shown in its term that no order of an
// earlier one is under way; or an established replica holds it, the roster, read after that
// replica's report, has it, and the lease, read after the roster, is settled.

// Timing of acknowledgements.
const (
	// copyPause is the time between the first two queries of a replica that lacks a
	// commit; it doubles up to maxCopyPause. Each query occupies a slot.
	copyPause    = 5 * time.Millisecond
	maxCopyPause = 100 * time.Millisecond
	// allCopiesPatience is how long a commit waits for all replicas before the lease is
	// read, which costs a call of the store. It is several times the delay between data
	// centres.
	allCopiesPatience = 30 * time.Millisecond
	// leaseReadEvery is the least time between two reads of a service's lease. It doubles
	// up to leaseReadMax while the lease is not settled.
	leaseReadEvery = 100 * time.Millisecond
	leaseReadMax   = 300 * time.Millisecond
	// formerMayReturn is how long a database that has vanished from the list, and that the roster
	// lacks, may still be promoted by an order given before.
	formerMayReturn = 15 * time.Second
)

// replication is what this host knows of the logs of a service's replicas.
// service.mu guards it.
type replication struct {
	copies  map[string]*replicaCopy // by database id; an entry is dropped when its database restarts
	settled position.Position       // commits up to it are protected by a settled lease
	losses  uint64                  // calls of unsettle
	// waitedTerm is the newest term in which the lease showed that orders of earlier terms have
	// been waited for; see succession.Lease.Waited.
	waitedTerm uint64
	pauses     uint64        // calls of recheckOrders
	term       uint64        // the newest term that any replica reported
	reading    bool          // a read of the lease is running, or was until recently
	proving    bool          // the same of a query whether a commit's database is still the primary
	pause      time.Duration // after the last read of the lease
	outcomes   acknowledgementLog
	lease      leaseReport       // the last read of the lease that showed it settled
	roster     succession.Roster // as last read
	unsettled  bool              // the last read of the lease showed that it is not settled, or had no answer
	recent     recentCommits
	// unacknowledged are the commits that were confirmed and not acknowledged.
	unacknowledged recentCommits
	flushing       bool // lines about them are due
}

// replicaCopy is the last report of one replica. What a replica has received in a term
// it keeps, until another database is promoted or it restarts.
type replicaCopy struct {
	succession.Copy
	at       time.Time // when the query that returned it was sent
	querying bool
	pause    time.Duration // after the last query that showed that it lacks a commit
}

// forget discards what rests on a database's log, which may be gone. An order for a database
// that this host counts no longer may be under way. service.mu is held.
func (r *replication) forget(id string) {
	delete(r.copies, id)
	r.unsettle()
	r.recheckOrders()
}

// recordRoster records the roster as last read, and forgets the databases that it lacks.
// service.mu is held.
func (r *replication) recordRoster(next succession.Roster) {
	for id := range r.roster.Databases {
		if _, ok := next.Databases[id]; !ok {
			r.recheckOrders()
		}
	}
	r.roster = next
}

// recheckOrders makes commits that all replicas hold wait until the lease has been read again.
// service.mu is held.
func (r *replication) recheckOrders() {
	r.waitedTerm = 0
	r.pauses++
}

// unsettle discards the settled position, and what a read of the lease that is running
// finds: the only replica that holds a commit may have ended. service.mu is held.
func (r *replication) unsettle() {
	r.settled = position.Position{}
	r.losses++
}

// commit is a commit that its primary has confirmed.
type commit struct {
	primary string // id
	at      position.Position
	// after is a position that a database had reported before the commit was sent.
	after position.Position
	// term is the term that the primary was known to lead before the commit was sent.
	term   uint64
	id     string // of the request
	writes string // ids of the writes of its transaction
}

// leaderPause is the time until the next query whether a database is the primary, after one
// that was not answered.
const leaderPause = 50 * time.Millisecond

// needsCopies reports whether commits are acknowledged only once replicas hold them. A
// configuration that no longer has the service, or its replicas, doesn't change that: the
// commits of its callers are under way, and databases may be promoted as before.
func (s *service) needsCopies() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.recordReplicas() || s.replicated
}

// recordReplicas records whether the configuration in force requires replicas of the
// service, and reports whether it has the service. mu is held.
func (s *service) recordReplicas() (configured bool) {
	config, configured := s.g.config.Load().Services[s.name]
	s.replicated = s.replicated || config.SyncReplicas != 0
	return configured
}

// acknowledge waits until a commit may be acknowledged to its caller, and records it
// as acknowledged. If the service's primary confirms commits without a replica, it does
// not wait. It fails with OutcomeUnknown if ctx ends before that, or if the primary has
// been replaced.
func (s *service) acknowledge(ctx context.Context, c commit) error {
	needsCopies := s.needsCopies()
	// A commit's position lies behind all those before it; another one names what its
	// database holds after it was rolled back.
	if needsCopies && (!c.after.Before(c.at) || c.at.Term != c.term) {
		s.recordAcknowledgement(c, succession.NoCopy, false)
		s.logUnacknowledged(c, misplaced, s.g.now())
		return errkind.New(errkind.OutcomeUnknown, "database %s named position %s for a commit that was sent after %s in term %d", c.primary, c.at, c.after, c.term)
	}
	since := s.g.now()
	if needsCopies {
		defer time.AfterFunc(allCopiesPatience, s.wake).Stop()
	}
	evidence := succession.NoCopy
	replaced := false
	err := s.waitUntil(ctx, func() bool {
		r := &s.replication
		switch {
		case !needsCopies:
		case max(r.term, s.namedTerm) > c.at.Term:
			replaced = true
			return true
		case s.ledByAnother(c, since):
			replaced = true
			return true
		default:
			ledAfter := s.ledAfter(c, since)
			copies := s.copies(c.primary)
			if evidence = succession.EvidenceFor(c.at, copies); evidence == succession.AllCopies {
				if r.waitedTerm != c.at.Term {
					s.readLease(c)
					return false
				}
			} else if !r.settled.Before(c.at) {
				evidence = succession.OneCopy
			} else {
				s.queryReplicas(c)
				if !s.g.databaseListCurrent(s.g.now()) {
					s.g.relistDatabases()
				}
				if evidence == succession.OneCopy && s.g.now().Sub(since) >= allCopiesPatience || lacksRoster(c.at, copies) {
					s.readLease(c)
				}
				return false
			}
			if !ledAfter {
				return false
			}
		}
		s.acked = position.Max(s.acked, c.at)
		s.recordRecentCommit(c, evidenceLabel(evidence))
		return true
	})
	s.recordAcknowledgement(c, evidence, err == nil && !replaced)
	if err != nil || replaced {
		s.logUnacknowledged(c, s.missingEvidence(c, evidence, replaced, since), since)
	}
	switch {
	case err != nil:
		return errkind.Wrap(errkind.OutcomeUnknown, err, "replicas have not confirmed commit "+c.at.String())
	case replaced:
		return errkind.New(errkind.OutcomeUnknown, "the primary was replaced before replicas confirmed commit %s", c.at)
	}
	return nil
}

// ledAfter reports whether a commit's database was seen to be the primary after it had
// answered; if not, it queries it. The position in an answer names the end of the log when
// the answer is written. If the database has lost the lead by then and was rolled back, it
// is not that of the commit. mu is held.
func (s *service) ledAfter(c commit, answered time.Time) bool {
	if !s.table.ProvenAt(c.primary).Before(answered) {
		return true
	}
	p := s.pools[c.primary]
	if p == nil || s.replication.proving {
		return false
	}
	s.replication.proving = true
	go func() {
		s.sampleInTurn(p)
		s.mu.Lock()
		failed := s.table.ProvenAt(c.primary).Before(answered)
		s.replication.proving = failed
		s.notifyChange()
		s.mu.Unlock()
		if !failed {
			return
		}
		retry.Wait(s.g.ctx, leaderPause)
		s.mu.Lock()
		s.replication.proving = false
		s.notifyChange()
		s.mu.Unlock()
	}()
	return false
}

// ledByAnother reports whether a commit's database was not the primary any more after it
// had answered, or whether another one leads the term of the commit's position. mu is held.
func (s *service) ledByAnother(c commit, answered time.Time) bool {
	leader := s.table.Led(c.at.Term)
	return leader != "" && leader != c.primary || s.table.DeniedAt(c.primary).After(answered)
}

// leaderTerm returns the term that a connection's database leads, and queries it if it is
// not known. It returns 0 for a service without replicas.
func (s *service) leaderTerm(c *conn) (uint64, error) {
	if !s.needsCopies() {
		return 0, nil
	}
	id := c.pool.db.ID
	s.mu.Lock()
	term := s.table.LedTerm(id)
	if term != 0 && s.replication.waitedTerm != term {
		s.readLease(commit{primary: id, at: position.Position{Term: term}}) // while the commit runs
	}
	s.mu.Unlock()
	if term != 0 {
		return term, nil
	}
	report, err := c.status(s.g.now().Add(sampleTimeout))
	if err != nil {
		return 0, errkind.Wrap(errkind.DatabaseUnavailable, err, "database "+id)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replication.term = max(s.replication.term, report.Term)
	if !report.Primary {
		return 0, errkind.New(errkind.PrimaryReplaced, "database %s is a replica in term %d", id, report.Term)
	}
	s.table.RecordLed(report.Term, id)
	return report.Term, nil
}

func (s *service) wake() {
	s.mu.Lock()
	s.notifyChange()
	s.mu.Unlock()
}

// lacksRoster reports whether only the roster is missing for the evidence of all copies.
func lacksRoster(commit position.Position, copies []succession.Copy) bool {
	copies = slices.Clone(copies)
	for i := range copies {
		copies[i].Recorded = true
	}
	return succession.EvidenceFor(commit, copies) == succession.AllCopies
}

// copies returns the last reports of all replicas that might be promoted. mu is held.
func (s *service) copies(primary string) []succession.Copy {
	now := s.g.now()
	established := s.table.Established(now)
	var copies []succession.Copy
	for _, db := range s.table.Replicas(primary) {
		if s.replication.roster.Departed(db.ID, db.Leaving) {
			continue
		}
		var held succession.Copy
		if known := s.replication.copies[db.ID]; known != nil {
			held = known.Copy
		}
		held.Established, held.First = slices.Contains(established, db.ID), s.table.FirstListed(db.ID)
		held.Recorded = s.replication.roster.Counts(db.ID, db.StartMillis)
		copies = append(copies, held)
	}
	// One that is not listed, or is another process, counts until a roster without it was read: the
	// database for which a listed one was taken off the roster may be away.
	for id, place := range s.replication.roster.Databases {
		if db, ok := s.table.Get(id); id != primary && !place.GivenUp(place.StartMillis) && (!ok || db.StartMillis != place.StartMillis) {
			copies = append(copies, succession.Copy{})
		}
	}
	if s.table.RemovedSince(now.Add(-formerMayReturn)) || !s.g.databaseListCurrent(now) {
		copies = append(copies, succession.Copy{}) // it may hold less
	}
	return copies
}

// queryReplicas queries each replica that is not known to hold a commit, unless a query
// of it is running. mu is held.
func (s *service) queryReplicas(c commit) {
	for _, db := range s.table.Replicas(c.primary) {
		p := s.pools[db.ID]
		if p == nil || s.replication.roster.Departed(db.ID, db.Leaving) {
			continue
		}
		held := s.replication.copies[db.ID]
		if held == nil {
			held = &replicaCopy{}
			s.replication.copies[db.ID] = held
		}
		if held.querying || held.Holds(c.at) {
			continue
		}
		held.querying = true
		go s.queryReplica(p, held, c)
	}
}

// queryReplica queries a replica and records its report.
func (s *service) queryReplica(p *pool, held *replicaCopy, c commit) {
	sentAt := s.g.now()
	report, ok := s.queryStatus(p)
	s.mu.Lock()
	if ok {
		held.at = sentAt
		s.replication.term = max(s.replication.term, report.Term)
		if isPaused(report) {
			s.replication.recordPause()
		}
		s.promotion.sawPaused = s.promotion.sawPaused || leftPaused(report, max(s.replication.term, s.table.Term())) && !s.isLeaving(p.db.ID)
		s.observePrimary(fromReplica, position.Position{})
		held.Copy = succession.Copy{Answered: true, Primary: report.Primary, Term: report.Term, Received: report.Received}
	}
	lacking := !held.Holds(c.at)
	held.querying = lacking
	held.pause = min(max(2*held.pause, copyPause), maxCopyPause)
	if !lacking {
		held.pause = 0
	}
	pause := held.pause
	s.notifyChange()
	s.mu.Unlock()
	if !lacking {
		return
	}
	retry.Wait(s.g.ctx, pause)
	s.mu.Lock()
	held.querying = false
	s.notifyChange()
	s.mu.Unlock()
}

// copyOf is what a replica was known to hold.
type copyOf struct {
	routes.Database
	received position.Position
}

// readLease starts a read of the service's roster and then of its lease, unless one was started
// within leaseReadEvery. If the lease is settled, it protects what established replicas that
// count on the roster were known to hold before. mu is held.
func (s *service) readLease(c commit) {
	if s.replication.reading {
		return
	}
	s.replication.reading = true
	established := s.table.Established(s.g.now())
	replicas := s.table.Replicas(c.primary)
	var holding []copyOf
	for _, db := range replicas {
		known := s.replication.copies[db.ID]
		if known != nil && slices.Contains(established, db.ID) && known.Holds(c.at) {
			holding = append(holding, copyOf{db, known.Received})
		}
	}
	losses := s.replication.losses
	go func() {
		held, settled := s.protectedCopies(replicas, holding, c.at.Term)
		s.mu.Lock()
		r := &s.replication
		r.pause = min(max(2*r.pause, leaseReadEvery), leaseReadMax)
		if settled && losses == r.losses {
			r.settled, r.pause = position.Max(r.settled, held), leaseReadEvery
		}
		pause := r.pause
		s.notifyChange()
		s.mu.Unlock()
		retry.Wait(s.g.ctx, pause)
		s.mu.Lock()
		s.replication.reading = false
		s.notifyChange()
		s.mu.Unlock()
	}()
}

// protectedCopies reads the roster and then the lease. It returns the end of the longest log
// among the copies that count on the roster, and whether the lease is settled in a term. While it
// is not, only the lease is read: the host shares its calls of the store with attempts.
func (s *service) protectedCopies(replicas []routes.Database, holding []copyOf, term uint64) (held position.Position, settled bool) {
	s.mu.Lock()
	r := &s.replication
	pauses := r.pauses
	leaseFirst := r.unsettled && slices.ContainsFunc(replicas, func(db routes.Database) bool { return r.roster.Counts(db.ID, db.StartMillis) })
	s.mu.Unlock()
	if leaseFirst {
		if settled, waited := s.readLeaseState(term); !settled && !waited {
			return held, false
		}
	}
	ctx, cancel := context.WithTimeout(s.g.ctx, controlTimeout)
	defer cancel()
	if len(holding) > 0 {
		replicas = nil
		for _, c := range holding {
			replicas = append(replicas, c.Database)
		}
	}
	roster, err := s.rosterWith(ctx, replicas)
	if err != nil {
		s.g.log.Info("Reading the record of the databases for an acknowledgement failed.", "part", "promotion", "service", s.name, "error", err)
		return held, false
	}
	s.mu.Lock()
	undisturbed := r.pauses == pauses
	r.recordRoster(roster)
	if undisturbed {
		pauses = r.pauses // the lease is read after what this roster shows
	}
	s.mu.Unlock()
	for _, c := range holding {
		if roster.Counts(c.ID, c.StartMillis) {
			held = position.Max(held, c.received)
		}
	}
	settled = s.leaseSettledSince(term, pauses)
	s.mu.Lock()
	s.replication.unsettled = !settled
	s.mu.Unlock()
	return held, settled
}

// leaseSettledSince reads the service's lease and reports whether it is settled. If orders of earlier
// terms have been waited for, it records that, unless replicas were paused or away since pauses was
// read. The roster was read after that, and shows which databases count in this term.
func (s *service) leaseSettledSince(term, pauses uint64) bool {
	settled, waited := s.readLeaseState(term)
	if waited {
		s.recordWaited(term, pauses)
	}
	return settled
}

// readLeaseState reads the service's lease and reports whether it is settled, and whether orders of
// earlier terms have been waited for. If it is not settled, an attempt to settle it is started.
func (s *service) readLeaseState(term uint64) (settled, waited bool) {
	ctx, cancel := context.WithTimeout(s.g.ctx, controlTimeout)
	defer cancel()
	sentAt := s.g.now()
	object, err := s.g.platform.Objects().Get(ctx, kindLeases, s.name)
	if errors.Is(err, objectapi.ErrNotFound) && s.g.platform.Eras().Newest() > 0 {
		s.mu.Lock()
		s.startSettling(s.g.now()) // the copy from which the store returned may lack the lease
		s.mu.Unlock()
		return false, false
	}
	if errors.Is(err, objectapi.ErrNotFound) {
		s.recordLeaseRead(leaseReport{at: sentAt})
		return true, true // nobody has ever replaced a primary
	}
	if err != nil {
		s.g.log.Info("Reading the lease for an acknowledgement failed.", "part", "promotion", "service", s.name, "error", err)
		return false, false
	}
	l, err := s.decodeLease(object)
	if err != nil {
		s.g.log.Warn("Cannot decode the lease.", "part", "promotion", "service", s.name, "error", err)
	}
	waited = l.Waited(term)
	if l.Settled(term) {
		s.recordLeaseRead(leaseReport{version: object.Version, term: l.Term, at: sentAt})
		return true, waited
	}
	s.mu.Lock()
	now := s.g.now()
	if l.Settled(l.Term) {
		s.replication.term = max(s.replication.term, l.Term) // the primary has been replaced
		s.observePrimary(fromLease, position.Position{})
		s.mu.Unlock()
		return false, waited
	}
	a := s.newReplacement(succession.Unsettled, s.acked, now)
	s.mu.Unlock()
	if a.canAcquireLease(object) {
		s.mu.Lock()
		s.startSettling(now)
		s.mu.Unlock()
	}
	return false, waited
}

// recordWaited records that the lease has shown orders of earlier terms to be waited for, unless
// replicas were paused since its read began.
func (s *service) recordWaited(term, pauses uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replication.pauses == pauses {
		s.replication.waitedTerm = max(s.replication.waitedTerm, term)
	}
}

// recordPause records that replicas are paused for an order. Until the lease has been read
// again, commits that all replicas hold do not count: a RESUME of an earlier attempt may have been
// carried out late, and the order may take effect with its log of the call. service.mu is
// held.
func (r *replication) recordPause() { r.recheckOrders() }

// queryStatus returns a database's status report, and false if the database cannot be
// queried.
func (s *service) queryStatus(p *pool) (statement.Report, bool) {
	return s.control(p, statement.Statement{Kind: statement.Status})
}

// control runs a statement on a database that answers it with a status report, and returns false
// if it gets none.
func (s *service) control(p *pool, st statement.Statement) (statement.Report, bool) {
	ctx, cancel := context.WithTimeout(s.g.ctx, sampleTimeout)
	defer cancel()
	c, giveBack, err := p.borrowInTurn(ctx)
	if err != nil {
		return statement.Report{}, false // borrowInTurn has recorded a failed dial
	}
	defer giveBack()
	report, err := c.report(s.g.now().Add(sampleTimeout), st)
	return report, err == nil // report has logged or recorded the error
}

// status queries a connection's database.
func (c *conn) status(deadline time.Time) (statement.Report, error) {
	return c.report(deadline, statement.Statement{Kind: statement.Status})
}

// report runs a statement that the database answers with a status report.
func (c *conn) report(deadline time.Time, st statement.Statement) (statement.Report, error) {
	answers, err := c.run(deadline, statement.Request{Statement: st})
	if err != nil {
		return statement.Report{}, err // run has recorded the missing answer
	}
	r, err := c.Report(answers[0])
	if err != nil {
		c.pool.g.log.Debug("Database reported no status.", "part", "service", "service", c.pool.svc.name, "database", c.pool.db.ID, "error", err)
	}
	return r, err
}
