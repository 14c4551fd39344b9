package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/objectapi"
)

// kindRosters is the object kind with one succession.Roster for each service. The
// first host in rank keeps it; a replacement attempt reads it.
const kindRosters = succession.KindRosters

// Timing of the rosters.
const (
	// rosterDelay is how long after its start a host does not write a roster, since
	// its rank and the databases may still change when a fleet starts.
	rosterDelay = 5 * time.Second
	// rosterRetry is the time until the next call after a failed one.
	rosterRetry = 2 * time.Second
	// missingCheckEvery is the time between checks whether a database that is not
	// listed still runs.
	missingCheckEvery = 3 * time.Second
)

// rosterState is this host's copy of a service's roster.
type rosterState struct {
	running  bool      // a call is running
	nextCall time.Time // earliest next call
	known    bool      // object and roster are those last read or written
	object   objectapi.Object
	roster   succession.Roster
	missing  map[string]time.Time // databases of the roster that are not listed, and since when
}

// keepRoster updates the service's roster in the background if it differs from what
// this host knows. It is called on the first host in rank. mu is held.
func (s *service) keepRoster(now time.Time) {
	state := &s.roster
	if state.running || now.Before(state.nextCall) || now.Sub(s.g.started) < rosterDelay {
		return
	}
	if state.known && !s.rosterOutdated(now) {
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

// rosterOutdated reports whether the roster lacks something that this host knows, or
// has a database whose presence is to be checked. mu is held.
func (s *service) rosterOutdated(now time.Time) bool {
	present := s.table.All()
	missing := map[string]time.Time{}
	check := false
	for _, db := range s.roster.roster.Missing(s.name, present) {
		since, ok := s.roster.missing[db.ID]
		if !ok {
			since = now
		}
		missing[db.ID] = since
		check = check || now.Sub(since) >= missingCheckEvery
	}
	s.roster.missing = missing
	_, changed := s.roster.roster.Update(present, s.provenPrimary, s.provenTerm, func(string) bool { return false })
	return changed || check
}

// syncRoster reads the roster if this host does not know it, and writes it if it has
// changed.
func (s *service) syncRoster() error {
	ctx, cancel := context.WithTimeout(s.g.ctx, controlTimeout)
	defer cancel()
	s.mu.Lock()
	state := s.roster
	s.mu.Unlock()
	if !state.known {
		var err error
		if state.object, state.roster, err = s.readRoster(ctx); err != nil {
			return err
		}
	}
	gone := s.goneDatabases(ctx, state)
	s.mu.Lock()
	next, changed := state.roster.Update(s.table.All(), s.provenPrimary, s.provenTerm, func(id string) bool { return gone[id] })
	s.mu.Unlock()
	if changed {
		value, err := json.Marshal(next)
		if err != nil {
			return err
		}
		objects := s.g.platform.Objects()
		if state.object.Version == 0 {
			state.object, err = objects.Create(ctx, kindRosters, s.name, value)
		} else {
			state.object, err = objects.Update(ctx, kindRosters, s.name, state.object.Version, value)
		}
		if err != nil {
			return err // the next call reads it again
		}
		s.g.log.Info("Record of the databases stored.", "part", "promotion", "service", s.name, "databases", len(next.Databases), "primary", next.Primary, "term", next.Term)
	}
	s.mu.Lock()
	s.roster.known, s.roster.object, s.roster.roster = true, state.object, next
	s.mu.Unlock()
	return nil
}

// goneDatabases returns the databases of the roster that have ended: they have not
// been listed for missingCheckEvery, in which hosts of their data centre were in
// contact, and accept no connection.
func (s *service) goneDatabases(ctx context.Context, state rosterState) map[string]bool {
	s.mu.Lock()
	missing := state.roster.Missing(s.name, s.table.All())
	s.mu.Unlock()
	now := s.g.now()
	gone := map[string]bool{}
	for _, db := range missing {
		since, ok := state.missing[db.ID]
		if !ok || now.Sub(since) < missingCheckEvery {
			continue
		}
		if s.g.peers.centresReachableSince(since)[db.DataCentre] && !s.accepts(ctx, db) {
			gone[db.ID] = true
			continue
		}
		s.mu.Lock()
		s.roster.missing[db.ID] = now // checked again after missingCheckEvery
		s.mu.Unlock()
	}
	return gone
}

// accepts reports whether a database accepts a connection.
func (s *service) accepts(ctx context.Context, db routes.Database) bool {
	ctx, cancel := context.WithTimeout(ctx, formerTimeout)
	defer cancel()
	conn, err := s.g.platform.Dial(ctx, db, s.g.anyCustomer())
	if err != nil {
		return false
	}
	if err := conn.Close(); err != nil {
		s.g.log.Debug("Closing a connection failed.", "part", "promotion", "database", db.ID, "error", err)
	}
	return true
}

// readRoster reads the service's roster. One that does not exist, or that cannot be
// decoded, is empty.
func (s *service) readRoster(ctx context.Context) (objectapi.Object, succession.Roster, error) {
	var roster succession.Roster
	object, err := s.g.platform.Objects().Get(ctx, kindRosters, s.name)
	switch {
	case errors.Is(err, objectapi.ErrNotFound):
		return objectapi.Object{}, roster, nil
	case err != nil:
		return objectapi.Object{}, roster, err
	}
	if err := json.Unmarshal(object.Value, &roster); err != nil {
		s.g.log.Warn("Cannot decode the record of the databases.", "part", "promotion", "service", s.name, "error", err)
		return object, succession.Roster{}, nil
	}
	return object, roster, nil
}
