package gateway

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/customer/retry"
	"github.com/bronzeloft/bronzeloft/database/lead"
	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/objectapi"
	"github.com/bronzeloft/bronzeloft/position"
)

// Timing of promotions.
const (
	// leaseTerm is the time after which an unreleased lease expires. It is longer
	// than attemptLimit.
	leaseTerm = 3500 * time.Millisecond
	// attemptLimit bounds one attempt, from acquiring the lease to the order.
	attemptLimit = 2500 * time.Millisecond
	// controlTimeout bounds one statement to a database, with its retries.
	controlTimeout = 400 * time.Millisecond
	// controlDialTimeout bounds one dial. It leaves time to dial again within
	// controlTimeout if the first packet was lost in a network partition that has
	// just ended.
	controlDialTimeout = 130 * time.Millisecond
	// formerTimeout replaces controlTimeout for a database that is no longer
	// listed, since it is usually not running.
	formerTimeout = 150 * time.Millisecond
	// catchUpLimit bounds the wait for a successor to receive the log that another
	// database holds. It is several times the replication delay of the network.
	catchUpLimit = 600 * time.Millisecond
	// seniorLimit is how long an unplanned attempt waits for the senior replica if
	// another one holds more.
	seniorLimit = 300 * time.Millisecond
	// catchUpPoll is the time between two queries while an attempt waits for the
	// successor.
	catchUpPoll = 15 * time.Millisecond
	// takeOverLimit is how long an attempt waits for the successor to become
	// primary after its promotion was ordered. It is longer than
	// succession.PromotionLimit.
	takeOverLimit = 2500 * time.Millisecond
	// evacuationMaxPause bounds the time between two attempts to replace a primary because of an
	// evacuation, which may stand for days while no other database can lead.
	evacuationMaxPause = 10 * time.Second
	// absentFor is how long no primary must have been known before the primary
	// counts as absent, and how long after its start a host makes no attempt.
	absentFor = 700 * time.Millisecond
)

// promotionState is this host's state for replacing a service's primary.
type promotionState struct {
	reason             succession.Reason
	since              time.Time     // time of the last change of reason
	running            bool          // an attempt is running
	unsettled          bool          // this host's last attempt has left an order pending
	nextAttempt        time.Time     // earliest next attempt
	lastPrimary        string        // the last known primary
	nextStalledAttempt time.Time     // earliest attempt with the reason Stalled
	evacuationPause    time.Duration // after the last attempt to replace the same primary because of an evacuation
	evacuationStuck    bool          // the primary is to be evacuated, and no database elsewhere may lead
	observedLease      leaseObservation
	sawPaused          bool // a replica was seen paused
	checkingPaused     bool // a check for paused replicas is running
	lastPausedCheck    time.Time
	pausedSign         time.Time // last time when replicas may have been left paused
}

func rendezvousScore(key, host string) uint64 { return xxhash.Sum64String(key + "\x00" + host) }

// maybeReplacePrimary starts an attempt to replace the primary if the hosts' views
// give a reason to do so and the delay of this host's rank has passed.
func (s *service) maybeReplacePrimary(now time.Time) {
	others, acked, rank := s.g.peers.primaryViews(s.name)
	s.mu.Lock()
	defer s.mu.Unlock()
	primary, known := s.table.Leader()
	if !s.watching(now) {
		return
	}
	evacuated := s.primaryEvacuated() && s.mayLeadElsewhere()
	s.logEvacuation(s.primaryEvacuated() && !evacuated, primary.ID)
	view := s.primaryView(now)
	// While others may still use the primary, it is not replaced because of this host's path alone.
	planned := evacuated && (!view.Unreachable || s.g.evacuations.closed(primary.DataCentre))
	reason := succession.ReasonToReplace(view, known && (primary.Leaving || planned), others)
	state := &s.promotion
	if state.unsettled && reason == succession.None {
		s.startSettling(now)
	}
	if primary.ID != state.lastPrimary {
		state.lastPrimary, state.nextStalledAttempt = primary.ID, now.Add(succession.StalledHoldOff)
	}
	if reason != state.reason {
		state.reason, state.since, state.evacuationPause = reason, now, 0
		if reason != succession.None {
			s.g.log.Info("Primary should be replaced.", "part", "promotion", "service", s.name, "primary", primary.ID, "reason", string(reason), "rank", rank, "hosts", len(others)+1, "evacuated", evacuated)
		}
	}
	if state.running || s.g.leaving.Load() {
		return
	}
	if rank != 0 {
		s.roster.known = false // another host keeps it
	} else {
		s.keepRoster(now)
	}
	if reason != succession.None {
		state.pausedSign = now
	}
	if known && keepsPrimary(reason) {
		s.checkPaused(now, rank)
	}
	if reason == succession.None || now.Before(state.nextAttempt) {
		return
	}
	if reason == succession.Stalled && now.Before(state.nextStalledAttempt) {
		return
	}
	wait := time.Duration(rank) * succession.RankDelay
	if reason == succession.Absent {
		wait += absentFor
	}
	if now.Sub(state.since) < wait || now.Sub(s.g.started) < absentFor {
		return
	}
	if s.table.ListedFor(now) < lead.EstablishedAfter {
		return // nothing tells the replicas that hosts know from those that have just started
	}
	a := s.newReplacement(reason, position.Max(acked, s.acked), now)
	a.trace.rank, a.trace.views = rank, others
	s.startAttempt(a, (*replacement).run)
}

// startAttempt starts an attempt in the background. There is one at a time: the lease
// does not tell two attempts of one host apart. mu is held.
func (s *service) startAttempt(a *replacement, run func(*replacement)) {
	s.promotion.running = true
	go func() {
		run(a)
		s.mu.Lock()
		s.promotion.running, s.promotion.unsettled = false, a.pending && !a.settled
		s.promotion.nextAttempt = s.g.now().Add(succession.RetryDelay)
		if a.waits {
			s.promotion.nextAttempt = s.g.now().Add(succession.WaitDelay)
		}
		if a.pausing.unanswered {
			s.promotion.nextAttempt = s.g.now().Add(leaseTerm) // as for other hosts
		}
		if db, ok := s.table.Leader(); ok && !db.Leaving && a.reason == succession.Leaving && s.primaryEvacuated() {
			s.promotion.evacuationPause = min(max(2*s.promotion.evacuationPause, succession.RetryDelay), evacuationMaxPause)
			if next := s.g.now().Add(s.promotion.evacuationPause); next.After(s.promotion.nextAttempt) {
				s.promotion.nextAttempt = next
			}
		}
		s.mu.Unlock()
	}()
}

// newReplacement returns an attempt based on the current state of the databases.
// mu is held.
func (s *service) newReplacement(reason succession.Reason, acked position.Position, now time.Time) *replacement {
	primary, _ := s.table.Leader()
	provenTerm := s.table.LedTerm(primary.ID)
	if s.provenPrimary == primary.ID {
		provenTerm = max(provenTerm, s.provenTerm)
	}
	return &replacement{
		s: s, reason: reason, primary: primary.ID, proven: s.table.LeaderProven(), provenTerm: provenTerm, term: s.table.Term(), acked: acked, started: now,
		log: s.g.log.With("part", "promotion", "service", s.name, "primary", primary.ID, "reason", string(reason)),
	}
}

// replacement is one attempt to replace a service's primary.
type replacement struct {
	s       *service
	log     *slog.Logger
	reason  succession.Reason
	primary string // the presumed primary when the attempt was started; empty for none
	proven  bool   // it has proved to be the primary
	term    uint64 // the newest term known when the attempt was started
	acked   position.Position
	started time.Time

	provenTerm uint64 // in which the primary did; 0 if that is not known

	leaseObject objectapi.Object // the lease as last read or written
	roster      succession.Roster
	storeList   []routes.Database // of the service, as listed by the store under the lease
	listsRead   bool              // storeList and roster were read under the lease
	leaseTerm   uint64            // the newest term that the lease recorded when it was acquired
	floor       position.Position // that the log of the successor must reach
	established []string          // replicas that every host may be expected to know, before the first log was read
	known       []string          // those of them that each host that counts replicas knows
	unconfirmed []string          // claims of writes of the lease whose outcome is unknown
	pending     bool              // an unanswered order may still take effect
	settled     bool              // the lease has been released without a pending order
	waits       bool              // a log must be read first that could not be
	ordered     string            // the database that this order promotes
	olderLease  bool              // the lease was last written by a host of older rules, or in an earlier era
	era         uint64            // of the store in which the lease was acquired
	pausing     pausing
	accepted    bool // the same as in succession.Lease
	unseen      bool
	other       bool // when the last order was given, one for another database could still take effect
	rounds      int
	late        string // the database of the order that the lease recorded when it was acquired
	orderTerm   uint64 // the newest term known when the last order was given
	void        bool   // that order was for the primary of that time
	replica     bool   // its database had reported that it is a replica
	effect      bool   // the effect of that order, or of the one that the lease recorded, has been seen
	conns       []*controlConn
	trace       replacementTrace

	orderedElsewhere bool // another host holds the lease and has recorded an order in it
}

// run makes the attempt: it acquires the lease, reads the logs of the replicas, chooses
// the successor, orders its promotion and waits for it.
func (a *replacement) run() {
	ctx, cancel := context.WithTimeout(a.s.g.ctx, attemptLimit)
	defer cancel()
	if err := a.acquireLease(ctx); err != nil {
		a.log.Info("Lease not acquired.", "error", err)
		if a.orderedElsewhere {
			a.s.mu.Lock()
			a.s.endLogWait("another host has chosen a successor")
			a.s.mu.Unlock()
		}
		return
	}
	a.log.Info("Lease acquired.", "fence", a.leaseObject.Version, "pending", a.pending)
	a.explainCommits()
	defer a.closeConns()
	defer a.recordFences()
	var err error
	a.recordEstablished()
	if err = a.readStoreList(ctx); err != nil {
		a.log.Warn("Listing the databases failed.", "error", err)
		a.giveUp(ctx)
		return
	}
	var rosterObject objectapi.Object
	if rosterObject, a.roster, err = a.s.readRoster(ctx); err != nil {
		a.log.Warn("Reading the record of the databases failed.", "error", err)
		a.giveUp(ctx)
		return
	}
	a.listsRead = true
	if a.olderLease {
		a.leaseTerm = max(a.leaseTerm, a.roster.Term)
	}
	a.trace.rosterAt = rosterObject.Version
	successor, err := a.choose(ctx)
	if err != nil {
		a.logNoSuccessor(err)
		a.recordLogWait(err)
		a.giveUp(ctx)
		return
	}
	a.logChosen("Successor chosen.", successor)
	a.s.mu.Lock()
	a.s.endLogWait("a successor was chosen")
	a.s.mu.Unlock()
	a.floor = successor.Received
	err = a.order(ctx, successor.ID)
	if err != nil {
		a.logNoEffect(err)
	}
	switch {
	case err == nil:
		a.awaitSettled(successor.ID)
	case !a.pending:
		a.releaseLease("")
	default:
		a.log.Warn("Lease is not settled: a promotion order may still take effect.", "database", a.ordered)
		a.keepFloor(a.lastFloor())
		a.releaseLease(a.ordered)
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Reasons to abandon an attempt.
var (
	errLeaseHeld     = errors.New("gateway: another host holds the lease")
	errNoSuccessor   = errors.New("gateway: no database can be promoted without risking an acknowledged commit")
	errHasPrimary    = errors.New("gateway: a database reports that it is the primary")
	errNewerTerm     = errors.New("gateway: the primary has been replaced in a newer term")
	errRestarted     = errors.New("gateway: a database has restarted since the logs were read")
	errNotCaughtUp   = errors.New("gateway: the successor did not catch up in time")
	errNotPaused     = errors.New("gateway: the log of a replica may have grown since it was read")
	errNoList        = errors.New("gateway: the databases have not been listed yet")
	errStoreReturned = errors.New("gateway: the store has returned from an older copy")
	errLeftPaused    = errors.New("gateway: replicas were left paused, so that the primary's commits stall")
)

// order repeats the promotion call until its outcome is known or ctx ends. Before
// each call the order is recorded in the lease, because the call may take effect
// even if this host fails.
func (a *replacement) order(ctx context.Context, database string) error {
	var backoff retry.Backoff
	primary := a.newestPrimary()
	a.orderTerm, a.void, a.effect = a.newestTerm(), primary != nil && primary.db.ID == database, false
	c := a.conn(database)
	a.replica = c != nil && c.answered && !c.report.Primary
	a.other = a.unseen || a.pending && a.ordered != database
	if !a.void {
		a.rounds = 0
	}
	a.pausing.term, a.pausing.ordered, a.pausing.earlier = a.newestTerm()+1, database, a.pending
	for called := false; ; called = true {
		if err := a.writeLease(ctx, succession.Lease{Ordered: database, Unseen: a.other}); err != nil {
			a.log.Warn("Promotion not ordered: recording the order in the lease failed.", "database", database, "error", err)
			return err
		}
		if a.s.g.platform.Eras().Newest() != a.era {
			a.log.Warn("Promotion not ordered: the lease was acquired in an earlier era of the store.", "database", database, "era", a.era)
			return errStoreReturned
		}
		if err := a.checkRestarts(ctx, database); err != nil {
			a.log.Warn("Promotion not ordered.", "database", database, "error", err)
			return err
		}
		if err := a.checkPauses(ctx, called); err != nil {
			a.log.Warn("Promotion not ordered.", "database", database, "error", err)
			return err
		}
		order := succession.Order{Service: a.s.name, Database: database, Holder: a.s.g.opt.Name, Fence: a.leaseObject.Version}
		a.readLogsAtCall()
		err := a.s.g.platform.Promote(ctx, order)
		a.log.Info("Promotion ordered.", "database", database, "fence", order.Fence, "error", errorText(err))
		a.s.g.metrics.ordered(err)
		if err == nil || errors.Is(err, succession.ErrRefused) {
			return err
		}
		a.accepted = a.accepted && a.ordered == database
		a.pending, a.ordered, a.unseen = true, database, a.other
		if !backoff.Pause(ctx) {
			return err
		}
	}
}
