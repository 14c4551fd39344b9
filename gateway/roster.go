package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/customer/retry"
	"github.com/bronzeloft/bronzeloft/database/lead"
	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/objectapi"
	"github.com/bronzeloft/bronzeloft/statement"
)

// kindRosters is the object kind with one succession.Roster for each service. The
// first host in rank keeps it; a replacement attempt reads it, and so does a host before it
// acknowledges a commit on one copy.
const kindRosters = succession.KindRosters

// Timing of the rosters.
const (
	// rosterDelay is how long after its start a host does not update a roster, since
	// its rank and the databases may still change when a fleet starts.
	rosterDelay = 5 * time.Second
	// rosterDelayLeaving replaces it while a database is leaving, which has to be fenced before it
	// ends.
	rosterDelayLeaving = 2 * time.Second
	// rosterRetry is the time until the next call after a failed one.
	rosterRetry = 2 * time.Second
	// removalEvery is the time between two attempts to take retiring databases off a roster.
	removalEvery = time.Second
	// removalQueries is how often an attempt asks the other databases for the primary's log, removalPause
	// apart, which is longer than most of them take to receive it.
	removalQueries = 4
	removalPause   = 30 * time.Millisecond
)

// rosterState is this host's copy of a service's roster.
type rosterState struct {
	running     bool      // a call is running
	nextCall    time.Time // earliest next call
	nextRemoval time.Time // earliest next attempt to remove retiring databases
	known       bool      // object and roster are those last read or written
	object      objectapi.Object
	roster      succession.Roster
	fences      map[string]fence // left by this host's attempts, by database id
}

// fence is a leaving database that was seen paused beyond a term.
type fence struct {
	startMillis int64
	term        uint64
}

// keepRoster updates the service's roster in the background if it differs from what
// this host knows, or has databases to be removed. It is called on the first host in rank. mu
// is held.
func (s *service) keepRoster(now time.Time) {
	state := &s.roster
	delay := rosterDelay
	if slices.ContainsFunc(s.table.All(), func(db routes.Database) bool { return db.Leaving }) {
		delay = rosterDelayLeaving
	}
	if state.running || now.Before(state.nextCall) || now.Sub(s.g.started) < delay {
		return
	}
	if state.known && !s.rosterOutdated() && !s.removalDue(now) {
		return
	}
	state.running = true
	go func() {
		err := s.syncRoster()
		s.mu.Lock()
		defer s.mu.Unlock()
		state.running = false
		if err != nil {
			state.known, state.nextCall = false, s.g.now().Add(rosterRetry)
			s.g.log.Info("Updating the record of the databases failed.", "part", "promotion", "service", s.name, "error", err)
		}
	}()
}

// rosterOutdated reports whether the roster lacks something that this host knows. mu is held.
func (s *service) rosterOutdated() bool {
	_, changed := s.roster.roster.Update(s.table.All(), s.provenPrimary, s.provenTerm)
	return changed
}

// removalDue reports whether an attempt to remove retiring databases is due. mu is held.
func (s *service) removalDue(now time.Time) bool {
	_, known := s.table.Leader()
	return known && len(s.roster.roster.RetiringIDs()) > 0 && !now.Before(s.roster.nextRemoval)
}

// syncRoster reads the roster if this host does not know it, and writes it if it has
// changed. Once retiring databases are recorded as such, it removes them if another database
// holds what their logs may hold.
func (s *service) syncRoster() error {
	ctx, cancel := context.WithTimeout(s.g.ctx, controlTimeout)
	defer cancel()
	s.mu.Lock()
	state := s.roster
	s.mu.Unlock()
	if !state.known {
		if err := s.restoreRoster(); err != nil {
			return err
		}
		var err error
		if state.object, state.roster, err = s.readRoster(ctx); err != nil {
			return err
		}
	}
	if err := s.updateRoster(ctx, state, fencing{}, nil); err != nil {
		return err
	}
	s.mu.Lock()
	state = s.roster
	due := s.removalDue(s.g.now())
	if due {
		s.roster.nextRemoval = s.g.now().Add(removalEvery)
	}
	s.mu.Unlock()
	if !due {
		return nil
	}
	fenced, held := s.retiringHeldElsewhere(state.roster)
	if _, changed := state.roster.Fence(fenced.ids, fenced.term); !changed && len(held) == 0 {
		return nil
	}
	ctx, cancelUpdate := context.WithTimeout(s.g.ctx, controlTimeout)
	defer cancelUpdate()
	return s.updateRoster(ctx, state, fenced, held)
}

// updateRoster writes the roster with what this host knows, if it differs from the given one.
// held are retiring databases that may be removed.
func (s *service) updateRoster(ctx context.Context, state rosterState, fenced fencing, held []string) error {
	next, fences := state.roster.Fence(fenced.ids, fenced.term)
	s.mu.Lock()
	next, changed := next.Update(s.table.All(), s.provenPrimary, s.provenTerm, held...)
	s.mu.Unlock()
	if changed || fences {
		var err error
		if state.object, err = s.writeRoster(ctx, state.object.Version, next); err != nil {
			return err // the next call reads it again
		}
	}
	s.mu.Lock()
	s.roster.known, s.roster.object, s.roster.roster = true, state.object, next
	s.mu.Unlock()
	return nil
}

// writeRoster replaces the given version of the roster, 0 if there is none.
func (s *service) writeRoster(ctx context.Context, version uint64, next succession.Roster) (objectapi.Object, error) {
	next.Era = s.g.platform.Eras().Newest()
	value, err := json.Marshal(next)
	if err != nil {
		return objectapi.Object{}, err
	}
	var object objectapi.Object
	objects := s.g.platform.Objects()
	if version == 0 {
		object, err = objects.Create(ctx, kindRosters, s.name, value)
	} else {
		object, err = objects.Update(ctx, kindRosters, s.name, version, value)
	}
	if err != nil {
		return objectapi.Object{}, err
	}
	s.rememberRoster(object.Version, next)
	s.g.log.Info("Record of the databases stored.", "part", "promotion", "service", s.name, "version", object.Version, "databases", len(next.Databases),
		"retiring", next.RetiringIDs(), "primary", next.Primary, "term", next.Term)
	return object, nil
}

// fencing are the leaving databases that were paused in a term.
type fencing struct {
	ids  []string
	term uint64
}

// retiringHeldElsewhere queries the primary and the other databases of a roster as it is stored.
// It fences the leaving ones if another database holds the primary's log, and returns which, and
// those retiring ones of which another database holds all that their logs may hold.
func (s *service) retiringHeldElsewhere(roster succession.Roster) (fenced fencing, held []string) {
	s.mu.Lock()
	leader, _ := s.table.Leader()
	primary := s.pools[leader.ID]
	var others, leaving []*pool
	for id, p := range s.pools {
		db, ok := s.table.Get(id)
		if !ok || id == leader.ID {
			continue
		}
		place := roster.Databases[id]
		switch {
		case s.keepsLog(db) && roster.Counts(id, db.StartMillis):
			others = append(others, p)
		case db.Leaving && place.Leaving && place.StartMillis == db.StartMillis:
			leaving = append(leaving, p)
		}
	}
	present := s.table.All()
	s.mu.Unlock()
	if primary == nil || len(others) == 0 {
		return fenced, nil
	}
	led, ok := s.logReport(primary)
	if !ok {
		return fenced, nil
	}
	mayFence := s.g.peers.followPresentRules() // others resume leaving databases
	if !mayFence {
		roster = roster.Unfenced()
	}
	for id, place := range roster.Databases {
		if mayFence && place.Leaving && s.fencedInAttempt(id) == (fence{place.StartMillis, led.Term}) {
			fenced.ids, fenced.term = append(fenced.ids, id), led.Term
		}
	}
	// An attempt that took the lease before the databases were leaving may still resume them.
	if len(leaving) > 0 && mayFence && roster.HasHolder(led, s.logReports(others), s.newestTerm()) && s.leaseSettledIn(led.Term) {
		fenced.ids, fenced.term = append(fenced.ids, s.fence(leaving, led.Term)...), led.Term
	}
	if len(fenced.ids) > 0 {
		roster, _ = roster.Fence(fenced.ids, fenced.term)
		if led, ok = s.logReport(primary); !ok {
			return fenced, nil
		}
	}
	for range removalQueries {
		if held = roster.HeldElsewhere(led, s.logReports(others), s.newestTerm(), present); len(held) > 0 {
			break
		}
		retry.Wait(s.g.ctx, removalPause)
	}
	if len(held) > 0 && !s.leaseSettledIn(led.Term) {
		held = nil
	}
	return fenced, held
}

// newestTerm returns the newest term that this host knows.
func (s *service) newestTerm() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.table.Term(), s.replication.term, s.namedTerm)
}

// fence pauses leaving databases beyond a term and returns those that are paused: they receive
// nothing more from the primary of that term, since no attempt resumes a leaving database.
func (s *service) fence(leaving []*pool, term uint64) (fenced []string) {
	paused := make([]bool, len(leaving))
	var all sync.WaitGroup
	for i, p := range leaving {
		all.Go(func() {
			report, ok := s.control(p, statement.Statement{Kind: statement.Pause, Term: term + 1})
			paused[i] = ok && !report.Primary && report.Paused > term
		})
	}
	all.Wait()
	for i, p := range leaving {
		if paused[i] {
			fenced = append(fenced, p.db.ID)
		}
	}
	s.g.log.Info("Leaving databases are paused.", "part", "promotion", "service", s.name, "databases", fenced, "of", len(leaving), "term", term)
	return fenced
}

// fencedInAttempt returns the fence that an attempt of this host has left at a database.
func (s *service) fencedInAttempt(id string) fence {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.fences[id]
}

// recordFences records the leaving databases that this attempt has seen paused beyond the newest
// term. They stay so, also if they have gone meanwhile.
func (a *replacement) recordFences() {
	if !a.listsRead {
		return
	}
	newest := a.newestTerm()
	a.s.mu.Lock()
	defer a.s.mu.Unlock()
	fences := a.s.roster.fences
	maps.DeleteFunc(fences, func(_ string, f fence) bool { return f.term < newest })
	for _, c := range a.conns {
		if leftPaused(c.report, newest) && a.isLeaving(c.db) {
			fences[c.db.ID] = fence{c.db.StartMillis, newest}
		}
	}
}

// keepsLog reports whether a database is listed, and not leaving. mu is held.
func (s *service) keepsLog(db routes.Database) bool {
	return s.table.Listed(db.ID) && !db.Leaving
}

func (s *service) logReport(p *pool) (succession.LogReport, bool) {
	report, ok := s.queryStatus(p)
	if !ok {
		return succession.LogReport{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.keepsLog(p.db) && s.table.KnownFor(p.db.ID, s.g.now()) >= lead.KnownAfter
	return succession.LogReport{ID: p.db.ID, StartMillis: p.db.StartMillis, Known: known, Primary: report.Primary, Term: report.Term, Received: report.Received}, true
}

func (s *service) logReports(pools []*pool) []succession.LogReport {
	reports := make([]succession.LogReport, len(pools))
	var all sync.WaitGroup
	for i, p := range pools {
		all.Go(func() { reports[i], _ = s.logReport(p) }) // a zero report counts for nothing
	}
	all.Wait()
	return reports
}

// leaseSettledIn reads the service's lease and reports whether it is settled in a term: a database
// that leads a newer one would have been recorded in it. A former primary may not know that yet.
func (s *service) leaseSettledIn(term uint64) bool {
	ctx, cancel := context.WithTimeout(s.g.ctx, controlTimeout)
	defer cancel()
	object, err := s.g.platform.Objects().Get(ctx, kindLeases, s.name)
	if errors.Is(err, objectapi.ErrNotFound) {
		return s.g.platform.Eras().Newest() == 0 // otherwise a copy may lack it
	}
	var l succession.Lease
	if err == nil {
		l, err = s.decodeLease(object)
	}
	if err != nil {
		s.g.log.Info("Reading the lease for the record of the databases failed.", "part", "promotion", "service", s.name, "error", err)
		return false
	}
	return l.Settled(term)
}

// rosterWith reads the roster. If none of the given databases counts on it, it adds those that
// this host knows: until then no commit can be acknowledged.
func (s *service) rosterWith(ctx context.Context, databases []routes.Database) (succession.Roster, error) {
	if err := s.restoreRoster(); err != nil {
		return succession.Roster{}, err
	}
	object, roster, err := s.readRoster(ctx)
	if err != nil || slices.ContainsFunc(databases, func(db routes.Database) bool { return roster.Counts(db.ID, db.StartMillis) }) {
		return roster, err
	}
	s.mu.Lock()
	next, changed := roster.Add(s.table.All())
	s.mu.Unlock()
	if !changed {
		return roster, nil
	}
	if _, err = s.writeRoster(ctx, object.Version, next); isConflict(err) {
		_, roster, err = s.readRoster(ctx)
		return roster, err
	}
	return next, err
}

// readRoster reads the service's roster. One that does not exist is empty.
func (s *service) readRoster(ctx context.Context) (objectapi.Object, succession.Roster, error) {
	var roster succession.Roster
	object, err := s.g.platform.Objects().Get(ctx, kindRosters, s.name)
	switch {
	case errors.Is(err, objectapi.ErrNotFound):
		return objectapi.Object{}, s.recordRosterRead(0, roster), nil
	case err != nil:
		return objectapi.Object{}, roster, err
	}
	if err := json.Unmarshal(object.Value, &roster); err != nil {
		return object, succession.Roster{}, fmt.Errorf("decoding the record of the databases of service %s, version %d: %w", s.name, object.Version, err)
	}
	return object, s.recordRosterRead(object.Version, roster), nil
}
