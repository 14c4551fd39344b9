package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/bronzeloft/bronzeloft/customer/retry"
	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/objectapi"
	"github.com/bronzeloft/bronzeloft/position"
)

// The store may return from a copy some seconds old, which its era tells; see objectapi.Eras. What
// a host knows of the lease and the roster may then be the only record of it.

// Timing after a rise of the store's era.
const (
	// writeAgainSpread is the time over which the hosts begin to write again what they know, so that
	// most of them find it written.
	writeAgainSpread = 500 * time.Millisecond
	// writeAgainRetry is the time until the next attempt after a failed one.
	writeAgainRetry = 300 * time.Millisecond
)

// remembered is what this host knows of records of a service in the store, in any era. service.mu
// guards it.
type remembered struct {
	floor         succession.KeptFloor // the newest term and floor that a lease named
	rosterVersion uint64               // of the roster; 0 if none was read
	roster        succession.Roster    // the newest one read or written
}

// storeReturned is called when this host learns of a newer era of the store. Nothing read before
// protects a commit any more, and what the hosts know is written again. from names who told it.
func (g *Gateway) storeReturned(era, former uint64, from string) {
	now := g.now()
	g.eraLearnedAt.Store(&now)
	for told := g.eraTold.Load(); told < era && !g.eraTold.CompareAndSwap(told, era); {
		told = g.eraTold.Load()
	}
	g.listedAt.Store(nil)
	g.evacuations.storeReturned()
	g.log.Warn("Store is in a newer era: it may have returned from an older copy.", "part", "store", "era", era, "former_era", former, "from", from)
	for _, s := range g.allServices() {
		s.mu.Lock()
		s.replication.unsettle()
		s.replication.recheckOrders()
		s.roster.known = false
		s.promotion.observedLease = leaseObservation{}
		remembers := s.remembered.rosterVersion != 0 || s.remembered.floor != succession.KeptFloor{}
		s.notifyChange()
		s.mu.Unlock()
		if remembers {
			go s.writeAgain(era)
		}
	}
}

// justReturned reports whether this host learned of the store's era less than leaseTerm ago. Until
// then, a holder of before may give an order, and other hosts may not have written again what
// they know. Another goroutine may have learned of it and not have told of it so far.
func (g *Gateway) justReturned() bool {
	if g.eraTold.Load() < g.platform.Eras().Newest() {
		return true
	}
	at := g.eraLearnedAt.Load()
	return at != nil && g.now().Sub(*at) < leaseTerm
}

// writeAgain writes again what this host knows of the service's records and the store lacks, until
// it has or the era ends.
func (s *service) writeAgain(era uint64) {
	retry.Wait(s.g.ctx, rand.N(writeAgainSpread))
	log := s.g.log.With("part", "store", "service", s.name, "era", era)
	for s.g.ctx.Err() == nil && s.g.platform.Eras().Newest() == era {
		last := s.keptFloor()
		raised, err := s.raiseFloor(last)
		if raised {
			s.g.metrics.writtenAgain.Inc()
			log.Warn("Floor and term of the lease written again.", "term", last.Term, "floor", last.Floor.String())
		}
		var written bool
		if err == nil {
			written, err = s.writeRosterAgain()
		}
		if written {
			s.g.metrics.writtenAgain.Inc()
			log.Warn("Record of the databases written again.")
		}
		if err == nil {
			return
		}
		log.Info("Writing again what the store lacks failed.", "error", err)
		retry.Wait(s.g.ctx, writeAgainRetry)
	}
}

// writeRosterAgain writes the roster merged with what this host remembers if the store's says less.
func (s *service) writeRosterAgain() (written bool, err error) {
	ctx, cancel := context.WithTimeout(s.g.ctx, controlTimeout)
	defer cancel()
	object, merged, err := s.readRoster(ctx)
	if err != nil {
		return false, err
	}
	var stored succession.Roster
	if object.Version != 0 {
		if err := json.Unmarshal(object.Value, &stored); err != nil {
			return false, err
		}
	}
	if stored.Holds(merged) {
		s.rememberRoster(object.Version, merged)
		return false, nil
	}
	_, err = s.writeRoster(ctx, object.Version, merged)
	return err == nil, err
}

// restoreRoster writes the roster again if this host remembers one of an earlier era that may not have
// been merged into the store's. Until then readRoster returns more than other hosts read.
func (s *service) restoreRoster() error {
	s.mu.Lock()
	version := s.remembered.rosterVersion
	s.mu.Unlock()
	if version == 0 || !s.g.platform.Eras().Outdated(version) {
		return nil
	}
	_, err := s.writeRosterAgain()
	return err
}

// decodeLease decodes a lease read from the store, as valid in the era in which it was read, and
// remembers its term and floor.
func (s *service) decodeLease(o objectapi.Object) (succession.Lease, error) {
	var l succession.Lease
	if err := json.Unmarshal(o.Value, &l); err != nil {
		return succession.Lease{}, err // decoding may have set some of the fields
	}
	s.rememberFloor(succession.KeptFloor{Term: l.Term, Floor: l.Floor})
	return l.CopiedTo(s.g.platform.Eras().Of(o.Version)), nil
}

// rememberFloor raises the remembered term and floor.
func (s *service) rememberFloor(seen succession.KeptFloor) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := &s.remembered.floor
	kept.Term, kept.Floor = max(kept.Term, seen.Term), position.Max(kept.Floor, seen.Floor)
}

func (s *service) keptFloor() succession.KeptFloor {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.remembered.floor
}

// rememberRoster records the roster as read or written, with its version, unless a later one is
// known.
func (s *service) rememberRoster(version uint64, roster succession.Roster) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version >= s.remembered.rosterVersion {
		s.remembered.rosterVersion, s.remembered.roster = version, roster
	}
}

// recordRosterRead remembers a roster read from the store, 0 for none. If this host remembers one of an
// earlier era that the store's lacks, it returns both merged, and goes on remembering that one
// until they are written.
func (s *service) recordRosterRead(version uint64, read succession.Roster) succession.Roster {
	eras := s.g.platform.Eras()
	era := eras.Of(version)
	if version == 0 {
		era = eras.Newest()
	}
	if read.Era < era { // it comes from the copy
		read.Base = objectapi.VersionIn(read.Era, objectapi.Revision(version))
	}
	s.mu.Lock()
	known := s.remembered
	s.mu.Unlock()
	// Base covers only the rosters of its own era: one of two eras before may never have been merged.
	knownEra := eras.Of(known.rosterVersion)
	if known.rosterVersion != 0 && knownEra < era && (known.rosterVersion > read.Base || knownEra+1 < era) {
		return read.Restore(known.roster, known.rosterVersion)
	}
	s.rememberRoster(version, read)
	return read
}
