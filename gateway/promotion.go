package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/customer/retry"
	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/objectapi"
	"github.com/bronzeloft/bronzeloft/position"
	"github.com/bronzeloft/bronzeloft/statement"
)

// Timing of promotions.
const (
	// leaseTerm is how long a lease holds without being given back: longer than
	// one attempt may take.
	leaseTerm = 3500 * time.Millisecond
	// attemptLimit bounds one attempt, from taking the lease to the order.
	attemptLimit = 2500 * time.Millisecond
	// questionTimeout bounds one question to a replica.
	questionTimeout = 400 * time.Millisecond
	// catchUpLimit bounds the wait for a successor to receive what another
	// replica holds, several times the delay of a replica's network.
	catchUpLimit = 600 * time.Millisecond
	catchUpPause = 15 * time.Millisecond
	// takeOverLimit is how long a successor may take to lead before the order
	// counts as lost; a promotion takes 1 s.
	takeOverLimit = 2500 * time.Millisecond
	// absentFor is how long no primary may be known before it counts as absent.
	absentFor = 700 * time.Millisecond
)

// kindLeases holds one lease for each service: who may replace its primary.
const kindLeases = "bronzeloft-leases"

// duty is a host's part in replacing a service's primary.
type duty struct {
	reason    succession.Reason
	since     time.Time // of reason
	running   bool
	next      time.Time // earliest next attempt
	stuckNext time.Time // earliest next attempt because of Stuck
	seen      leaseSeen
}

// leaseSeen is a lease of another host, with when this host first saw it.
type leaseSeen struct {
	version uint64
	at      time.Time
}

// lease is the value of a lease object. Its version is the fence.
type lease struct {
	Holder   string `json:"holder"`
	Claim    string `json:"claim"` // unique to one attempt
	Released bool   `json:"released"`
}

func dutyScore(duty, host string) uint64 { return xxhash.Sum64String(duty + "\x00" + host) }

// considerSuccession replaces the primary if most hosts find it of no use and
// it is this host's turn.
func (s *service) considerSuccession(now time.Time) {
	others, acked := s.g.peers.opinions(s.name)
	rank := s.g.peers.rank(s.name)
	s.mu.Lock()
	defer s.mu.Unlock()
	leader, known := s.table.Leader()
	if !s.watching(now) {
		return
	}
	reason := succession.Judge(s.opinion(now), known && leader.Leaving, others)
	d := &s.duty
	if reason != d.reason {
		d.reason, d.since = reason, now
		if reason != succession.None {
			s.g.log.Info("Primary should be replaced.", "part", "promotion", "service", s.name, "primary", leader.ID, "reason", string(reason), "rank", rank, "hosts", len(others)+1)
		}
	}
	if reason == succession.None || d.running || now.Before(d.next) || s.g.leaving.Load() {
		return
	}
	if reason == succession.Stuck && now.Before(d.stuckNext) {
		return
	}
	wait := time.Duration(rank) * succession.RankDelay
	if reason == succession.Absent {
		wait += absentFor
	}
	if now.Sub(d.since) < wait || now.Sub(s.g.started) < absentFor {
		return
	}
	d.running = true
	if reason == succession.Stuck {
		d.stuckNext = now.Add(succession.StuckAgain)
	}
	a := &attemptRun{s: s, reason: reason, primary: leader.ID, acked: position.Max(acked, s.acked), started: now}
	go func() {
		a.run()
		s.mu.Lock()
		d.running = false
		d.next = s.g.now().Add(succession.RetryDelay)
		s.mu.Unlock()
	}()
}

// attemptRun is one attempt to replace a primary.
type attemptRun struct {
	s       *service
	reason  succession.Reason
	primary string // the present one; empty for none
	acked   position.Position
	started time.Time
	fence   uint64
	claim   string
	paused  []*question
}

// question is a connection to one replica for the attempt.
type question struct {
	db       routes.Database
	conn     Connection
	report   statement.Report
	answered bool
}

// run makes the attempt.
func (a *attemptRun) run() {
	g := a.s.g
	log := g.log.With("part", "promotion", "service", a.s.name, "primary", a.primary, "reason", string(a.reason))
	ctx, cancel := context.WithTimeout(g.ctx, attemptLimit)
	defer cancel()
	if err := a.takeLease(ctx); err != nil {
		log.Info("Lease was not taken.", "error", err)
		return
	}
	log.Info("Lease taken.", "fence", a.fence)
	defer a.giveLeaseBack()
	defer a.closeQuestions()
	successor, err := a.choose(ctx)
	if err != nil {
		log.Warn("No successor can be named.", "error", err)
		a.resumeAll()
		return
	}
	order := succession.Order{Service: a.s.name, Database: successor.ID, Holder: g.opt.Name, Fence: a.fence}
	err = g.platform.Promote(ctx, order)
	log.Info("Promotion ordered.", "database", successor.ID, "received", successor.Received.String(), "fence", a.fence, "error", errorText(err))
	if errors.Is(err, succession.ErrRefused) {
		a.resumeAll()
		return
	}
	a.awaitLeader(successor.ID)
	a.resumeAll()
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

var errLeaseHeld = errors.New("gateway: another host holds the lease")

// takeLease writes this host into the service's lease object.
func (a *attemptRun) takeLease(ctx context.Context) error {
	store := a.s.g.platform.Objects()
	var version uint64
	old, err := store.Get(ctx, kindLeases, a.s.name)
	switch {
	case errors.Is(err, objectapi.ErrNotFound):
	case err != nil:
		return err
	default:
		if version = old.Version; !a.mayTake(old) {
			return errLeaseHeld
		}
	}
	a.claim = uuid.NewString()
	value, err := json.Marshal(lease{Holder: a.s.g.opt.Name, Claim: a.claim})
	if err != nil {
		return err
	}
	taken, err := objectapi.UpdateOwn(ctx, store, kindLeases, a.s.name, version, value, a.isMine)
	a.fence = taken.Version
	return err
}

// mayTake reports whether a lease is free: given back, this host's own, or
// unchanged for its term on this host's clock.
func (a *attemptRun) mayTake(old objectapi.Object) bool {
	var held lease
	if err := json.Unmarshal(old.Value, &held); err != nil {
		a.s.g.log.Warn("Lease cannot be read.", "part", "promotion", "service", a.s.name, "error", err)
	}
	if held.Released || held.Holder == a.s.g.opt.Name {
		return true
	}
	now := a.s.g.now()
	a.s.mu.Lock()
	defer a.s.mu.Unlock()
	seen := &a.s.duty.seen
	if seen.version != old.Version {
		*seen = leaseSeen{version: old.Version, at: now}
	}
	return now.Sub(seen.at) >= leaseTerm
}

func (a *attemptRun) isMine(value []byte) bool {
	var held lease
	return json.Unmarshal(value, &held) == nil && held.Claim == a.claim
}

// giveLeaseBack frees the lease for the next holder.
func (a *attemptRun) giveLeaseBack() {
	g := a.s.g
	value, err := json.Marshal(lease{Holder: g.opt.Name, Claim: a.claim, Released: true})
	if err == nil {
		_, err = g.platform.Objects().Update(g.ctx, kindLeases, a.s.name, a.fence, value)
	}
	if err != nil {
		g.log.Info("Lease was not given back, it runs out.", "part", "promotion", "service", a.s.name, "error", err)
	}
}

var errNoSuccessor = errors.New("gateway: an acknowledged commit could be lost")

// choose stops the replicas from receiving, reads their logs' ends and names
// the successor.
func (a *attemptRun) choose(ctx context.Context) (succession.Candidate, error) {
	a.s.mu.Lock()
	replicas := a.s.table.Replicas(a.primary)
	term := a.s.table.Term() + 1
	a.s.mu.Unlock()
	questions := a.ask(ctx, replicas, statement.Statement{Kind: statement.Pause, Term: term})
	if newest := newestTerm(questions); newest >= term {
		questions = a.askAgain(ctx, questions, statement.Statement{Kind: statement.Pause, Term: newest + 1})
	}
	candidates := make([]succession.Candidate, len(questions))
	for i, q := range questions {
		a.s.mu.Lock()
		listed := a.s.table.Listed(q.db.ID)
		a.s.mu.Unlock()
		candidates[i] = succession.Candidate{ID: q.db.ID, Answered: q.answered, Listed: listed, Leaving: q.db.Leaving, Received: q.report.Received}
		a.s.g.log.Info("Replica asked.", "part", "promotion", "service", a.s.name, "database", q.db.ID, "answered", q.answered,
			"listed", listed, "received", q.report.Received.String(), "term", q.report.Term, "acked", a.acked.String())
	}
	best, ok := succession.Choose(candidates, a.acked)
	if !ok {
		return best, errNoSuccessor
	}
	return best, nil
}

func newestTerm(questions []*question) uint64 {
	var newest uint64
	for _, q := range questions {
		newest = max(newest, q.report.Term)
	}
	return newest
}

// ask sends a statement to each database on a connection of its own.
func (a *attemptRun) ask(ctx context.Context, databases []routes.Database, st statement.Statement) []*question {
	questions := make([]*question, len(databases))
	for i, db := range databases {
		questions[i] = &question{db: db}
	}
	a.paused = questions
	return a.askAgain(ctx, questions, st)
}

func (a *attemptRun) askAgain(ctx context.Context, questions []*question, st statement.Statement) []*question {
	var all sync.WaitGroup
	for _, q := range questions {
		all.Go(func() { a.askOne(ctx, q, st) })
	}
	all.Wait()
	return questions
}

// askOne asks one database, more than once where it is overloaded.
func (a *attemptRun) askOne(ctx context.Context, q *question, st statement.Statement) {
	g := a.s.g
	ctx, cancel := context.WithTimeout(ctx, questionTimeout)
	defer cancel()
	q.answered = false
	var again retry.Backoff
	for {
		err := a.exchange(ctx, q, st)
		if err == nil {
			q.answered = true
			a.s.mu.Lock()
			a.s.table.SawTerm(q.report.Term)
			a.s.mu.Unlock()
			return
		}
		if errkind.Of(err) != errkind.DatabaseBusy && q.conn != nil {
			q.conn.Close()
			q.conn = nil
		}
		if !again.Pause(ctx) {
			g.log.Info("Replica does not answer.", "part", "promotion", "service", a.s.name, "database", q.db.ID, "error", err)
			return
		}
	}
}

func (a *attemptRun) exchange(ctx context.Context, q *question, st statement.Statement) error {
	if q.conn == nil {
		conn, err := a.s.g.platform.Dial(ctx, q.db, a.s.g.anyCustomer())
		if err != nil {
			return err
		}
		q.conn = conn
	}
	deadline, _ := ctx.Deadline()
	answers, err := q.conn.Run(deadline, statement.Request{Statement: st})
	if err != nil {
		return err
	}
	q.report, err = q.conn.Report(answers[0])
	return err
}

// awaitLeader waits until the successor leads.
func (a *attemptRun) awaitLeader(id string) {
	g := a.s.g
	ctx, cancel := context.WithTimeout(g.ctx, takeOverLimit)
	defer cancel()
	for ctx.Err() == nil {
		a.s.mu.Lock()
		p := a.s.pools[id]
		leader, ok := a.s.table.Leader()
		a.s.mu.Unlock()
		if ok && leader.ID == id {
			g.log.Info("Successor leads.", "part", "promotion", "service", a.s.name, "database", id, "after_ms", g.now().Sub(a.started).Milliseconds())
			return
		}
		if p != nil {
			a.s.sample(p)
		}
		sleep(ctx, catchUpPause)
	}
	g.log.Warn("Successor does not lead.", "part", "promotion", "service", a.s.name, "database", id)
}

// resumeAll lets the replicas receive again.
func (a *attemptRun) resumeAll() {
	ctx, cancel := context.WithTimeout(a.s.g.ctx, questionTimeout)
	defer cancel()
	a.askAgain(ctx, a.paused, statement.Statement{Kind: statement.Resume})
}

func (a *attemptRun) closeQuestions() {
	for _, q := range a.paused {
		if q.conn != nil {
			q.conn.Close()
		}
	}
}
