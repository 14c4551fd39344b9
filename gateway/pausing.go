package gateway

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzeloft/bronzeloft/customer/retry"
	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/position"
	"github.com/bronzeloft/bronzeloft/statement"
)

// Hosts of older rules acknowledge a commit on one replica that is not paused, whatever
// the lease says. While there may be such hosts, a replacement pauses each replica
// before it reads its log, and resumes them once no order can take effect any more.
// Hosts of the present rules never rely on a pause: neither PAUSE nor RESUME carries
// a fence, so either may be carried out late.

// Timing of pauses.
const (
	// olderHostsPoll is the time between two reads of the hosts' entries while an order is
	// under way, in case a host of older rules starts.
	olderHostsPoll = 100 * time.Millisecond
	// pausedCheckEvery is the time between checks for replicas that an attempt has left
	// paused. A check occupies a slot of each database for less than a millisecond.
	pausedCheckEvery = time.Second
)

// pausing is an attempt's state of pausing replicas.
type pausing struct {
	needed     bool        // hosts of older rules may acknowledge commits
	readAt     time.Time   // when the hosts' entries were last read
	term       uint64      // of the pauses, once a promotion is ordered; 0 before
	unanswered bool        // a RESUME was not answered and may be carried out late
	late       atomic.Bool // hosts of older rules may have started since an order was given
}

// lookForOlderHosts reads the hosts' entries under the lease and decides whether replicas
// are paused. Once they are, it stays at that for the attempt.
func (a *replacement) lookForOlderHosts(ctx context.Context) {
	if a.pausing.needed || a.s.g.now().Sub(a.pausing.readAt) < olderHostsPoll {
		return
	}
	a.pausing.readAt = a.s.g.now()
	a.pausing.needed = a.olderHostsMayRun(ctx)
}

// lookAgain looks for hosts of older rules that have started since the logs were read.
func (a *replacement) lookAgain(ctx context.Context) {
	if a.pausing.needed || a.pausing.late.Load() || a.s.g.now().Sub(a.pausing.readAt) < olderHostsPoll {
		return
	}
	a.pausing.readAt = a.s.g.now()
	a.pausing.late.Store(a.olderHostsMayRun(ctx))
}

// olderHostsMayRun reads the hosts' entries and reports whether hosts of older rules may
// acknowledge commits.
func (a *replacement) olderHostsMayRun(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	older, err := a.s.g.peers.readOlderHosts(call)
	switch {
	case ctx.Err() != nil: // the attempt needs no answer any more
	case err != nil:
		a.log.Warn("Replicas are paused: the hosts' rules are unknown.", "error", err)
	case len(older) > 0:
		a.log.Info("Replicas are paused: hosts of older rules may acknowledge commits.", "hosts", strings.Join(older, " "))
	default:
		return false
	}
	return true
}

// watchForOlderHosts looks for hosts of older rules until one may run or ctx ends. It runs
// beside the attempt, whose wait for the promotion no slow store may delay.
func (a *replacement) watchForOlderHosts(ctx context.Context) {
	for retry.Wait(ctx, olderHostsPoll); ctx.Err() == nil; retry.Wait(ctx, olderHostsPoll) {
		if a.olderHostsMayRun(ctx) {
			a.pausing.late.Store(true)
			return
		}
	}
}

// readOlderHosts reads the hosts' entries and returns the hosts, and the data centres with
// hosts, that may follow older rules than this build.
func (p *peers) readOlderHosts(ctx context.Context) ([]string, error) {
	at := p.g.now()
	entries, _, err := p.g.platform.Objects().List(ctx, kindHosts)
	if err != nil {
		return nil, fmt.Errorf("listing the hosts' entries: %w", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rules.recordEntries(entries, at)
	return p.rules.holders(p.g.now()), nil
}

// olderHosts returns the hosts, and the data centres with hosts, that may follow older
// rules than this build, as last read and heard.
func (p *peers) olderHosts() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rules.holders(p.g.now())
}

// pause pauses replicas and reads their logs.
func (a *replacement) pause(ctx context.Context, replicas []*controlConn) {
	if len(replicas) == 0 {
		return
	}
	term := a.pausing.term
	if term == 0 {
		term = a.newestTerm() + 1
	}
	a.query(ctx, replicas, statement.Statement{Kind: statement.Pause, Term: term})
	for _, c := range replicas {
		c.paused = c.paused || c.sent
		if c.answered && !c.report.Primary && !isPaused(c.report) {
			c.answered = false // its log may still grow
		}
	}
}

// pauseAll pauses all replicas, if that is needed, those that appear meanwhile too, so
// that their logs do not grow after they were read.
func (a *replacement) pauseAll(ctx context.Context) {
	a.lookForOlderHosts(ctx)
	if !a.pausing.needed {
		return
	}
	a.pause(ctx, a.replicas())
	for added := a.addNewDatabases(); len(added) > 0; added = a.addNewDatabases() {
		a.pause(ctx, added)
	}
}

// pauseBeside pauses the replicas other than the planned successor of a primary that
// still serves, and waits until the successor holds what they and the primary hold. From
// then on every commit is confirmed by the successor.
func (a *replacement) pauseBeside(ctx context.Context, successor string) error {
	a.lookForOlderHosts(ctx)
	if !a.pausing.needed {
		return nil
	}
	others := slices.DeleteFunc(a.replicas(), func(c *controlConn) bool { return c.db.ID == successor })
	a.pause(ctx, others)
	for _, c := range a.candidates() {
		if !c.Answered && (c.Listed || c.CutOff) {
			return errNoSuccessor // it cannot be paused
		}
	}
	if err := a.checkView(); err != nil {
		return err
	}
	var target position.Position
	for _, c := range a.conns {
		if c.answered {
			target = position.Max(target, c.report.Received)
		}
	}
	return a.catchUp(ctx, a.conn(successor), target)
}

// pauseLate pauses replicas other than the successor while its promotion is under way: new
// ones, and all if a host of older rules has started since the successor was chosen.
func (a *replacement) pauseLate(ctx context.Context, successor string) {
	var others []*controlConn
	switch {
	case a.pausing.needed:
		others = a.addNewDatabases()
	case a.pausing.late.Load():
		a.pausing.needed = true
		a.addNewDatabases()
		others = a.replicas()
	}
	a.pause(ctx, slices.DeleteFunc(others, func(c *controlConn) bool { return c.db.ID == successor }))
}

// resume resumes the replicas that may be paused. It shows first that this host still
// holds the lease: another one may have paused them since. It reports whether the lease may
// be released: it is left to expire if a RESUME is not answered.
func (a *replacement) resume() bool {
	ctx, cancel := context.WithTimeout(a.s.g.ctx, 2*controlTimeout)
	defer cancel()
	var paused []*controlConn
	for _, c := range a.conns {
		// A promotion ends pauses. A replica that has not joined the primary's term yet would
		// receive from the former one.
		if joining := c.answered && c.report.Term < a.newestTerm(); !joining && (c.paused || c.answered && isPaused(c.report)) {
			paused = append(paused, c)
		}
	}
	if len(paused) == 0 {
		return true
	}
	if err := a.writeLease(ctx, succession.Lease{}); err != nil {
		a.log.Warn("Replicas stay paused: the lease could not be renewed.", "error", err)
		return false
	}
	a.query(ctx, paused, statement.Statement{Kind: statement.Resume})
	for _, c := range paused {
		c.paused = !c.answered
		if !c.answered && c.sent {
			a.pausing.unanswered = true
			a.log.Warn("Database did not answer a RESUME, which may be carried out late.", "database", c.db.ID)
		}
	}
	a.log.Info("Replicas were resumed.", "fence", a.leaseObject.Version, "replicas", len(paused))
	return !a.pausing.unanswered
}

// checkPaused starts a check for paused replicas in a fleet with hosts of older rules, or
// after one was seen paused. A host that paused them and then failed, or was cut off,
// cannot resume them itself. mu is held.
func (s *service) checkPaused(now time.Time) {
	state := &s.promotion
	if state.checkingPaused || now.Before(state.nextPausedCheck) || !state.sawPaused && len(s.g.peers.olderHosts()) == 0 {
		return
	}
	state.checkingPaused, state.nextPausedCheck = true, now.Add(pausedCheckEvery)
	pools := slices.Collect(maps.Values(s.pools))
	go func() {
		paused := s.anyPaused(pools)
		s.mu.Lock()
		defer s.mu.Unlock()
		state.checkingPaused, state.sawPaused = false, paused
		now := s.g.now()
		if paused && !state.running && state.reason == succession.None && !s.g.leaving.Load() && !now.Before(state.nextAttempt) {
			s.startAttempt(s.newReplacement(succession.Paused, s.acked, now), (*replacement).settle)
		}
	}()
}

// anyPaused queries the databases and reports whether one of them is paused.
func (s *service) anyPaused(pools []*pool) bool {
	reports := make([]statement.Report, len(pools))
	var all sync.WaitGroup
	for i, p := range pools {
		all.Go(func() { reports[i], _ = s.queryStatus(p) }) // one that cannot be queried is checked the next time
	}
	all.Wait()
	return slices.ContainsFunc(reports, isPaused)
}

// isPaused reports whether a replica receives nothing from the primary of its term.
func isPaused(r statement.Report) bool { return !r.Primary && r.Paused > r.Term }
