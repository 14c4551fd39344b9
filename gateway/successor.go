package gateway

import (
	"context"
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
	"github.com/bronzeloft/bronzeloft/position"
	"github.com/bronzeloft/bronzeloft/statement"
)

// choose returns the successor. It first checks that the state on which the attempt
// was started is still current. All logs are read while the lease is held: a commit
// that is acknowledged from now on is in every one of them.
func (a *replacement) choose(ctx context.Context) (succession.Candidate, error) {
	for added := a.addNewDatabases(); len(added) > 0; added = a.addNewDatabases() {
		a.query(ctx, added, statement.Statement{Kind: statement.Status})
	}
	if a.primary == "" && a.roster.Term == a.newestTerm() {
		a.primary, a.proven, a.provenTerm = a.roster.Primary, true, a.roster.Term // this host may have started after the primary's entry expired
	}
	if err := a.checkView(); err != nil {
		return succession.Candidate{}, err
	}
	if primary := a.conn(a.primary); a.reason == succession.Leaving && primary != nil && primary.answered && primary.report.Primary && !a.allPaused() {
		return a.choosePlanned(ctx, primary)
	}
	if a.mayServeOthers() {
		return succession.Candidate{}, errNoSuccessor
	}
	if a.reason == succession.Stalled && !a.pending && slices.ContainsFunc(a.conns, func(c *controlConn) bool {
		return c.answered && !c.db.Leaving && leftPaused(c.report, a.newestTerm())
	}) {
		return succession.Candidate{}, errLeftPaused
	}
	if err := a.awaitSenior(ctx); err != nil {
		return succession.Candidate{}, err
	}
	logs := a.allLogs()
	acked, floor := a.bounds(a.acked)
	if longest, _ := succession.Longest(logs); !succession.MayLead(longest, logs, acked, floor) {
		a.waits = true
		a.logCandidates(logs)
		return succession.Candidate{}, errNoSuccessor // no reason to pause the others, whose primary may still serve
	}
	a.pauseAll(ctx)
	if err := a.checkView(); err != nil {
		return succession.Candidate{}, err
	}
	acked, floor = a.bounds(position.Max(a.acked, a.ackedElsewhere())) // hosts may have reported later commits by now
	logs = a.allLogs()
	a.logCandidates(logs)
	best, ok := succession.Choose(logs, acked, floor, a.primaryGone())
	if !ok || succession.Outgrown(best, logs) {
		return best, errNoSuccessor
	}
	best = succession.Outside(best, logs)
	if a.pending {
		best = succession.Prefer(a.ordered, best, logs)
	}
	if best.Lacks(acked) || best.Lacks(floor) {
		a.log.Warn("The successor's log lacks acknowledged commits, which an operator has given up.", "database", best.ID, "log", best.Received.String(), "acked", acked.String(), "floor", floor.String())
	}
	return best, nil
}

// bounds returns the last acknowledged commit and the floor that the log of a successor must
// reach. A primary that confirms commits on its own takes the last of them with it.
func (a *replacement) bounds(acked position.Position) (position.Position, position.Position) {
	if !a.s.needsCopies() && a.primaryGone() {
		return position.Position{}, position.Position{}
	}
	return acked, a.floor
}

// awaitSenior waits until the senior replica's log reaches the longest one that was
// read, so that it is the longest. If it does not within seniorLimit, another one may
// be chosen.
func (a *replacement) awaitSenior(ctx context.Context) error {
	candidates := a.candidates()
	longest, _ := succession.Longest(candidates)
	senior, ok := succession.Senior(candidates)
	if !ok || senior.ID == longest.ID {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, seniorLimit)
	defer cancel()
	err := a.catchUp(ctx, a.conn(senior.ID), longest.Received)
	if err != nil {
		a.log.Info("The senior replica lacks what another one has.", "database", senior.ID, "longest", longest.ID, "error", err)
	}
	if longest.Established && errors.Is(err, errNotCaughtUp) {
		return nil
	}
	return err
}

// conn returns the attempt's connection to a database, or nil.
func (a *replacement) conn(id string) *controlConn {
	for _, c := range a.conns {
		if c.db.ID == id {
			return c
		}
	}
	return nil
}

// primaryGone reports whether the primary to be replaced seems to have ended.
func (a *replacement) primaryGone() bool {
	c := a.conn(a.primary)
	switch {
	case a.primary == "" || c != nil && c.answered && !c.report.Primary:
		return !slices.ContainsFunc(a.allLogs(), succession.Candidate.MustBeRead) // it may be any that is not read
	case c == nil:
		return true
	case c.answered:
		return false
	}
	return !a.listed(c.db.ID) && a.s.g.peers.centresReachableSince(a.started)[c.db.DataCentre]
}

// listed reports whether the platform lists a database, or did within
// lead.MissingRetention: entries may vanish for as long while the store is away.
func (a *replacement) listed(id string) bool {
	if inList(a.storeList, id) {
		return true
	}
	a.s.mu.Lock()
	defer a.s.mu.Unlock()
	_, ok := a.s.table.Get(id)
	return ok
}

// checkView compares the databases' reports with the state on which the attempt
// was started: another host may have replaced the primary since. Only a primary
// that is leaving or stalled is expected to report that it is the primary.
func (a *replacement) checkView() error {
	if recorded := max(a.leaseTerm, a.roster.Term); recorded > a.term {
		a.s.mu.Lock()
		a.s.table.RecordTerm(recorded) // for the next attempt
		a.s.mu.Unlock()
		return errNewerTerm
	}
	expected := a.reason == succession.Leaving || a.reason == succession.Stalled
	for _, c := range a.conns {
		if !c.answered {
			continue
		}
		if c.report.Term > a.term {
			return errNewerTerm
		}
		if c.report.Primary && !(expected && c.db.ID == a.primary) {
			a.s.recordPrimary(c.db.ID, position.Position{}, c.askedAt)
			return errHasPrimary
		}
	}
	return nil
}

// isReplaced reports whether a database is the primary that the attempt replaces, whose log need
// not be read: it has proved to be the primary, and no newer term is known. The roster may name it
// under the id that it had before it came back.
func (a *replacement) isReplaced(id string) bool {
	if id == a.roster.Primary && a.roster.Term == a.newestTerm() {
		return true
	}
	if id != a.primary || !a.proven || a.roster.Term > a.provenTerm && a.roster.Primary != id {
		return false
	}
	return !slices.ContainsFunc(a.conns, func(c *controlConn) bool { return a.provenTerm != 0 && c.report.Term > a.provenTerm })
}

// replicas returns the databases that may be replicas: all except those that
// report that they are the primary, and the primary to be replaced if it did not
// answer. One that has only announced itself as the primary, or has been replaced in a
// newer term, may be a replica.
func (a *replacement) replicas() []*controlConn {
	var out []*controlConn
	for _, c := range a.conns {
		if c.answered && c.report.Primary || !c.answered && a.isReplaced(c.db.ID) {
			continue
		}
		out = append(out, c)
	}
	return out
}

func (a *replacement) newestTerm() uint64 {
	newest := a.term
	for _, c := range a.conns {
		newest = max(newest, c.report.Term)
	}
	return newest
}

// recordEstablished records the established replicas, and those that all hosts know. It is called under the lease,
// before the first log is read.
func (a *replacement) recordEstablished() {
	a.s.mu.Lock()
	defer a.s.mu.Unlock()
	now := a.s.g.now()
	for _, db := range a.s.table.All() {
		if a.s.table.KnownFor(db.ID, now) >= lead.EstablishedAfter {
			a.established = append(a.established, db.ID)
		}
		if a.s.table.KnownFor(db.ID, now) >= lead.KnownAfter {
			a.known = append(a.known, db.ID)
		}
	}
}

// storeListLimit bounds the read of the store's list, which takes long if other writers have
// left large entries.
const storeListLimit = 800 * time.Millisecond

// readStoreList reads the store's list of the service's databases: this host's own may be
// outdated, since a watch of the store may hear of no changes without an error. If the list
// takes too long, this host's own with the changes since replaces it. The logs that a takeover
// cannot do without are those of the roster.
func (a *replacement) readStoreList(ctx context.Context) (err error) {
	listCtx, cancel := context.WithTimeout(ctx, storeListLimit)
	defer cancel()
	if a.storeList, err = a.s.storedDatabases(listCtx); err == nil || ctx.Err() != nil {
		return err
	}
	a.log.Info("Listing the databases failed; reading the changes of this host's list.", "error", err)
	a.storeList, err = a.s.changedDatabases(ctx, a.leaseObject.Version)
	return err
}

// storedDatabases reads the store's list of the service's databases.
func (s *service) storedDatabases(ctx context.Context) ([]routes.Database, error) {
	platform := s.g.platform
	objects, version, err := platform.Objects().List(ctx, platform.DatabasesKind())
	if err != nil {
		return nil, err
	}
	return s.databasesOf(newDatabaseList(objects, version)), nil
}

// changedDatabases returns the service's databases as of a version of the store or later, from
// this host's list and the changes since.
func (s *service) changedDatabases(ctx context.Context, version uint64) ([]routes.Database, error) {
	platform := s.g.platform
	list := s.g.databaseList()
	if list.Version == 0 {
		return nil, errNoList
	}
	changes, reached, err := platform.Objects().Changes(ctx, platform.DatabasesKind(), list.Version)
	if err != nil {
		return nil, err
	}
	if reached < version {
		return nil, fmt.Errorf("gateway: the changes of the databases' entries reach version %d of the store, not %d", reached, version)
	}
	list.apply(changes)
	return s.databasesOf(list), nil
}

// databasesOf returns the service's databases in a list. An entry that cannot be decoded names
// none.
func (s *service) databasesOf(list databaseList) []routes.Database {
	out := []routes.Database{} // nil is a list that was not read
	for name, value := range list.Entries {
		if db, err := s.g.platform.DecodeDatabase(name, value); err == nil && db.Service == s.name {
			out = append(out, db)
		}
	}
	return out
}

// storedEntries reads the entries of the given databases that the store has. Between them
// there may be large ones of other writers, which a list would read too.
func (s *service) storedEntries(ctx context.Context, ids []string) ([]routes.Database, error) {
	platform := s.g.platform
	entries, errs := make([]routes.Database, len(ids)), make([]error, len(ids))
	var all sync.WaitGroup
	for i, id := range ids {
		all.Go(func() {
			o, err := platform.Objects().Get(ctx, platform.DatabasesKind(), id)
			if err == nil {
				// One that cannot be decoded names no database.
				entries[i], _ = platform.DecodeDatabase(o.Name, o.Value)
			} else if !errors.Is(err, objectapi.ErrNotFound) {
				errs[i] = err
			}
		})
	}
	all.Wait()
	return slices.DeleteFunc(entries, func(db routes.Database) bool { return db.ID == "" }), errors.Join(errs...)
}

// checkRestarts fails if a database has restarted since the list was read under the
// lease, and so without what it held: the successor, or another one, of which it is not known
// whether its log was read before or after that.
func (a *replacement) checkRestarts(ctx context.Context, successor string) error {
	if a.storeList == nil {
		return nil // the order is not for a successor that this attempt has chosen
	}
	known := map[string]routes.Database{}
	for _, c := range a.conns {
		known[c.db.ID] = c.db // its entry may have lapsed when the list was read
	}
	for _, db := range a.storeList {
		known[db.ID] = db
	}
	stored, err := a.s.storedEntries(ctx, slices.Collect(maps.Keys(known)))
	if err != nil {
		return err
	}
	restarted := slices.DeleteFunc(succession.Restarted(slices.Collect(maps.Values(known)), stored), func(id string) bool { return id != successor && a.isReplaced(id) })
	if len(restarted) == 0 {
		return nil
	}
	a.log.Warn("Databases have restarted since the lease was acquired.", "databases", restarted, "successor", successor)
	return errRestarted
}

// candidates converts the replicas to candidates for the choice of the successor. Leaving ones that
// were taken off the roster are none: others hold what they may hold, and they receive nothing more.
func (a *replacement) candidates() []succession.Candidate {
	reachable := a.s.g.peers.centresReachableSince(a.started)
	needsCopies := a.s.needsCopies()
	replicas := slices.DeleteFunc(a.replicas(), func(c *controlConn) bool {
		return needsCopies && a.roster.Departed(c.db.ID, c.db.Leaving)
	})
	out := make([]succession.Candidate, len(replicas))
	for i, c := range replicas {
		place, recorded := a.roster.Databases[c.db.ID]
		recorded = recorded && place.StartMillis == c.db.StartMillis && needsCopies
		out[i] = succession.Candidate{ID: c.db.ID, Answered: c.answered, Refused: c.refused, Listed: a.listed(c.db.ID), Leaving: c.db.Leaving, Received: c.report.Received,
			Evacuated: a.s.g.evacuations.evacuated(c.db.DataCentre), CutOff: !reachable[c.db.DataCentre], StartMillis: c.db.StartMillis, Established: slices.Contains(a.established, c.db.ID), Known: slices.Contains(a.known, c.db.ID),
			Recorded: recorded, Abandoned: recorded && place.GivenUp(c.db.StartMillis)}
	}
	return out
}

// allLogs returns the candidates, and those databases that cannot be chosen though their logs may
// matter: the primary that is replaced, if it does not answer, and processes of an earlier start
// that the roster still has.
func (a *replacement) allLogs() []succession.Candidate {
	out := a.candidates()
	if !a.s.needsCopies() {
		return out // no commit rests on a copy
	}
	for _, c := range a.conns {
		place, recorded := a.roster.Databases[c.db.ID]
		replaced := a.isReplaced(c.db.ID)
		former := place.FormerStarts
		if recorded && place.StartMillis != c.db.StartMillis {
			former = append(slices.Clone(former), place.StartMillis)
		}
		for _, start := range former {
			out = append(out, succession.Candidate{ID: c.db.ID, StartMillis: start, Recorded: true, Abandoned: place.GivenUp(start), Replaced: replaced})
		}
		if replaced && !c.answered {
			out = append(out, succession.Candidate{ID: c.db.ID, StartMillis: c.db.StartMillis, Listed: a.listed(c.db.ID), Recorded: recorded, Abandoned: recorded && place.GivenUp(c.db.StartMillis), Replaced: true})
		}
	}
	return out
}

func (a *replacement) logCandidates(candidates []succession.Candidate) {
	for _, c := range candidates {
		report := a.conn(c.ID).report
		a.log.Info("Replica queried.", "database", c.ID, "answered", c.Answered, "listed", c.Listed, "established", c.Established, "known", c.Known, "cut_off", c.CutOff, "evacuated", c.Evacuated,
			"recorded", c.Recorded, "abandoned", c.Abandoned, "replaced", c.Replaced,
			"received", c.Received.String(), "term", report.Term, "paused", report.Paused, "acked", a.acked.String())
	}
}

// choosePlanned returns the successor of a primary that is leaving but still serves:
// an established replica outside of the evacuated data centres, or any if the primary itself
// shuts down and there is none, that has received the primary's log, which holds every commit
// that was acknowledged before the lease was taken. It waits for the senior one for
// seniorLimit, and then for any. The primary serves until the successor takes over.
func (a *replacement) choosePlanned(ctx context.Context, primary *controlConn) (succession.Candidate, error) {
	ctx, cancel := context.WithTimeout(ctx, catchUpLimit)
	defer cancel()
	started := a.s.g.now()
	target := primary.report.Received
	candidates := a.candidates()
	a.logCandidates(candidates)
	for {
		staying := succession.Staying(candidates, primary.db.Leaving)
		senior, ok := succession.Senior(staying)
		if !ok {
			return succession.Candidate{}, errNoSuccessor
		}
		best, ok := succession.Senior(slices.DeleteFunc(staying, func(c succession.Candidate) bool { return c.Received.Before(target) }))
		if ok && (best.ID == senior.ID || a.s.g.now().Sub(started) >= seniorLimit) {
			err := a.pausePlanned(ctx, best.ID)
			best.Received = a.conn(best.ID).report.Received
			return best, err
		}
		retry.Wait(ctx, catchUpPoll)
		if ctx.Err() != nil {
			return succession.Candidate{}, errNotCaughtUp
		}
		answering := slices.DeleteFunc(a.replicas(), func(c *controlConn) bool { return !c.answered })
		a.query(ctx, answering, statement.Statement{Kind: statement.Status})
		if err := a.checkView(); err != nil {
			return succession.Candidate{}, err
		}
		candidates = a.candidates()
	}
}

// catchUp waits until a replica has received the log up to target.
func (a *replacement) catchUp(ctx context.Context, c *controlConn, target position.Position) error {
	ctx, cancel := context.WithTimeout(ctx, catchUpLimit)
	defer cancel()
	for !c.answered || c.report.Received.Before(target) {
		retry.Wait(ctx, catchUpPoll)
		if ctx.Err() != nil {
			return errNotCaughtUp
		}
		a.query(ctx, []*controlConn{c}, statement.Statement{Kind: statement.Status})
		if err := a.checkView(); err != nil {
			return err
		}
	}
	return nil
}
