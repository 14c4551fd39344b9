package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"syscall"
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
	// formerTimeout bounds a question to a database that is no longer listed and
	// most often does not run.
	formerTimeout = 150 * time.Millisecond
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
	leader    string    // that was seen last
	stuckNext time.Time // earliest attempt because of Stuck
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
	Claim    string `json:"claim"` // unique to one write
	Released bool   `json:"released"`
	// Ordered is the database whose promotion was ordered and may still take
	// effect, unless an order with a later fence is answered.
	Ordered string `json:"ordered,omitempty"`
}

func dutyScore(duty, host string) uint64 { return xxhash.Sum64String(duty + "\x00" + host) }

// considerSuccession replaces the primary if most hosts find it of no use and
// it is this host's turn.
func (s *service) considerSuccession(now time.Time) {
	others, acked, rank := s.g.peers.opinions(s.name)
	s.mu.Lock()
	defer s.mu.Unlock()
	leader, known := s.table.Leader()
	if !s.watching(now) {
		return
	}
	reason := succession.Judge(s.opinion(now), known && leader.Leaving, others)
	d := &s.duty
	if leader.ID != d.leader {
		d.leader, d.stuckNext = leader.ID, now.Add(succession.StuckAgain)
	}
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
	a := &attemptRun{
		s: s, reason: reason, primary: leader.ID, term: s.table.Term(), acked: position.Max(acked, s.acked), started: now,
		log: s.g.log.With("part", "promotion", "service", s.name, "primary", leader.ID, "reason", string(reason)),
	}
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
	log     *slog.Logger
	reason  succession.Reason
	primary string // the present one; empty for none
	term    uint64 // the newest that was known when the attempt was decided
	acked   position.Position
	started time.Time

	held      objectapi.Object // the lease
	pending   bool             // an earlier order may still take effect
	questions []*question
}

// question is a connection to one database for the attempt.
type question struct {
	db       routes.Database
	conn     Connection
	report   statement.Report
	answered bool
	former   bool // no longer listed
}

// run makes the attempt: lease, look, stop the replicas, choose, order, await.
func (a *attemptRun) run() {
	ctx, cancel := context.WithTimeout(a.s.g.ctx, attemptLimit)
	defer cancel()
	if err := a.takeLease(ctx); err != nil {
		a.log.Info("Lease was not taken.", "error", err)
		return
	}
	a.log.Info("Lease taken.", "fence", a.held.Version, "pending", a.pending)
	defer a.closeQuestions()
	successor, err := a.choose(ctx)
	if err != nil {
		a.log.Warn("No successor is named.", "error", err)
		if err := a.settle(ctx); err == nil {
			a.resumeAll()
			a.giveLeaseBack("")
		}
		return
	}
	err = a.order(ctx, successor.ID)
	refused := errors.Is(err, succession.ErrRefused) && !a.pending
	if refused || err == nil && a.awaitLeader(successor.ID) {
		a.resumeAll()
		a.giveLeaseBack("")
	}
	// Otherwise the replicas stay stopped: an order may still take effect.
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Reasons to give an attempt up.
var (
	errLeaseHeld   = errors.New("gateway: another host holds the lease")
	errNoSuccessor = errors.New("gateway: an acknowledged commit could be lost")
	errLeads       = errors.New("gateway: a database leads")
	errNewerTerm   = errors.New("gateway: the databases have gone on to a newer term")
	errNotCaughtUp = errors.New("gateway: the successor has not caught up")
)

// takeLease writes this host into the service's lease object.
func (a *attemptRun) takeLease(ctx context.Context) error {
	old, err := a.s.g.platform.Objects().Get(ctx, kindLeases, a.s.name)
	switch {
	case errors.Is(err, objectapi.ErrNotFound):
	case err != nil:
		return err
	default:
		if !a.mayTake(old) {
			return errLeaseHeld
		}
	}
	a.held = old
	return a.writeLease(ctx, lease{Ordered: a.pendingOrder(old)})
}

// pendingOrder returns the order that a lease's former holder left unanswered.
func (a *attemptRun) pendingOrder(old objectapi.Object) string {
	var held lease
	if len(old.Value) > 0 && json.Unmarshal(old.Value, &held) != nil {
		return "unknown" // a lease that cannot be read may hide an order
	}
	a.pending = held.Ordered != ""
	return held.Ordered
}

// writeLease replaces the lease that this attempt holds. Its new version is the
// fence from then on.
func (a *attemptRun) writeLease(ctx context.Context, l lease) error {
	l.Holder, l.Claim = a.s.g.opt.Name, uuid.NewString()
	value, err := json.Marshal(l)
	if err != nil {
		return err
	}
	isMine := func(value []byte) bool {
		var held lease
		return json.Unmarshal(value, &held) == nil && held.Claim == l.Claim
	}
	held, err := objectapi.UpdateOwn(ctx, a.s.g.platform.Objects(), kindLeases, a.s.name, a.held.Version, value, isMine)
	if err == nil {
		a.held = held
	}
	return err
}

// mayTake reports whether a lease is free: given back, this host's own, or
// unchanged for its term on this host's clock.
func (a *attemptRun) mayTake(old objectapi.Object) bool {
	var held lease
	if err := json.Unmarshal(old.Value, &held); err != nil {
		a.log.Warn("Lease cannot be read.", "error", err)
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

// giveLeaseBack frees the lease for the next holder.
func (a *attemptRun) giveLeaseBack(ordered string) {
	ctx, cancel := context.WithTimeout(a.s.g.ctx, questionTimeout)
	defer cancel()
	if err := a.writeLease(ctx, lease{Released: true, Ordered: ordered}); err != nil {
		a.log.Info("Lease was not given back, it runs out.", "error", err)
	}
}

// choose names the successor, after making sure that the attempt's view of the
// service still holds and that no other replica receives more than it.
func (a *attemptRun) choose(ctx context.Context) (succession.Candidate, error) {
	a.s.mu.Lock()
	present, former := a.s.table.All(), a.s.table.Former()
	a.s.mu.Unlock()
	for _, db := range present {
		a.questions = append(a.questions, &question{db: db})
	}
	for _, db := range former {
		a.questions = append(a.questions, &question{db: db, former: true})
	}
	a.ask(ctx, a.questions, statement.Statement{Kind: statement.Status})
	if err := a.checkView(); err != nil {
		return succession.Candidate{}, err
	}
	if a.reason == succession.Leaving {
		return a.choosePlanned(ctx)
	}
	replicas := a.replicas()
	a.ask(ctx, replicas, statement.Statement{Kind: statement.Pause, Term: a.newestTerm() + 1})
	_, acked, _ := a.s.g.peers.opinions(a.s.name) // hosts may have told of commits meanwhile
	best, ok := succession.Choose(a.candidates(replicas), position.Max(a.acked, acked))
	if !ok {
		return best, errNoSuccessor
	}
	return best, nil
}

// checkView compares what the databases say with what the attempt was decided
// upon: another host may have replaced the primary meanwhile.
func (a *attemptRun) checkView() error {
	expected := a.reason == succession.Leaving || a.reason == succession.Stuck
	for _, q := range a.questions {
		if !q.answered {
			continue
		}
		if q.report.Term > a.term {
			return errNewerTerm
		}
		if q.report.Primary && !(expected && q.db.ID == a.primary) {
			a.s.proved(q.db.ID, position.Position{}, a.s.g.now())
			return errLeads
		}
	}
	return nil
}

// replicas are the databases that do not lead.
func (a *attemptRun) replicas() []*question {
	var out []*question
	for _, q := range a.questions {
		if q.answered && q.report.Primary || q.db.ID == a.primary && !q.answered {
			continue
		}
		out = append(out, q)
	}
	return out
}

func (a *attemptRun) newestTerm() uint64 {
	newest := a.term
	for _, q := range a.questions {
		newest = max(newest, q.report.Term)
	}
	return newest
}

// candidates are the replicas as succession sees them.
func (a *attemptRun) candidates(replicas []*question) []succession.Candidate {
	heard := a.s.g.peers.inContact(a.started)
	out := make([]succession.Candidate, len(replicas))
	for i, q := range replicas {
		a.s.mu.Lock()
		listed := a.s.table.Listed(q.db.ID)
		a.s.mu.Unlock()
		out[i] = succession.Candidate{ID: q.db.ID, Answered: q.answered, Listed: listed, Leaving: q.db.Leaving, Received: q.report.Received,
			CutOff: !heard[q.db.DataCentre]}
		a.log.Info("Replica asked.", "database", q.db.ID, "answered", q.answered, "listed", listed, "cut_off", out[i].CutOff,
			"received", q.report.Received.String(), "term", q.report.Term, "acked", a.acked.String())
	}
	return out
}

// choosePlanned names the successor of a primary that still serves. The other
// replicas are stopped, so that every commit from then on is acknowledged by
// the successor, and the primary serves on until it takes over.
func (a *attemptRun) choosePlanned(ctx context.Context) (succession.Candidate, error) {
	var staying []*question
	for _, q := range a.replicas() {
		if !q.db.Leaving {
			staying = append(staying, q)
		}
	}
	best, ok := succession.Longest(a.candidates(staying))
	if !ok {
		return best, errNoSuccessor
	}
	var next *question
	var others []*question
	for _, q := range a.replicas() {
		if q.db.ID == best.ID {
			next = q
			continue
		}
		others = append(others, q)
	}
	a.ask(ctx, others, statement.Statement{Kind: statement.Pause, Term: a.newestTerm() + 1})
	if a.unread(others) {
		return a.demoteFirst(ctx, best, next)
	}
	return best, a.catchUp(ctx, next, a.goal(others))
}

// demoteFirst ends the reign of a primary that leaves while another replica
// cannot be stopped: the primary might acknowledge commits that only that one
// has. Its log then stands still, and the successor must have all of it; if not,
// the primary leads on.
func (a *attemptRun) demoteFirst(ctx context.Context, best succession.Candidate, next *question) (succession.Candidate, error) {
	var primary *question
	for _, q := range a.questions {
		if q.db.ID == a.primary {
			primary = q
		}
	}
	if primary == nil || !primary.answered {
		return best, errNoSuccessor
	}
	a.ask(ctx, []*question{primary}, statement.Statement{Kind: statement.Demote, Term: a.newestTerm() + 1})
	if !primary.answered {
		return best, errNoSuccessor
	}
	a.log.Info("Primary demoted.", "end", primary.report.Received.String())
	if err := a.catchUp(ctx, next, primary.report.Received); err != nil {
		a.log.Warn("Successor lacks commits, the former primary leads on.", "received", next.report.Received.String())
		return succession.Candidate{ID: a.primary, Received: primary.report.Received}, nil
	}
	return best, nil
}

// unread reports whether a replica that may be alive has not answered.
func (a *attemptRun) unread(replicas []*question) bool {
	heard := a.s.g.peers.inContact(a.started)
	for _, q := range replicas {
		a.s.mu.Lock()
		listed := a.s.table.Listed(q.db.ID)
		a.s.mu.Unlock()
		if !q.answered && (listed || !heard[q.db.DataCentre]) {
			return true
		}
	}
	return false
}

// goal is what the successor of a primary that still serves must have
// received: the primary's log as it was when the other replicas had stopped.
func (a *attemptRun) goal(others []*question) position.Position {
	var goal position.Position
	for _, q := range a.questions {
		if q.db.ID == a.primary {
			goal = position.Max(goal, q.report.Received)
		}
	}
	for _, q := range others {
		goal = position.Max(goal, q.report.Received)
	}
	return goal
}

// catchUp waits until a replica has received what others hold.
func (a *attemptRun) catchUp(ctx context.Context, q *question, goal position.Position) error {
	ctx, cancel := context.WithTimeout(ctx, catchUpLimit)
	defer cancel()
	for q.report.Received.Before(goal) {
		sleep(ctx, catchUpPause)
		if ctx.Err() != nil {
			return errNotCaughtUp
		}
		a.ask(ctx, []*question{q}, statement.Statement{Kind: statement.Status})
	}
	return nil
}

// order makes the promotion call until its outcome is known. Before each call
// the lease says that it may take effect.
func (a *attemptRun) order(ctx context.Context, database string) error {
	var again retry.Backoff
	for {
		if err := a.writeLease(ctx, lease{Ordered: database}); err != nil {
			a.log.Warn("Order is not recorded, so it is not given.", "database", database, "error", err)
			return err
		}
		order := succession.Order{Service: a.s.name, Database: database, Holder: a.s.g.opt.Name, Fence: a.held.Version}
		err := a.s.g.platform.Promote(ctx, order)
		a.log.Info("Promotion ordered.", "database", database, "fence", order.Fence, "error", errorText(err))
		if err == nil || errors.Is(err, succession.ErrRefused) || !again.Pause(ctx) {
			return err
		}
	}
}

// settle makes sure that no earlier order takes effect any more, by an order
// for the present primary, which changes nothing but the fence.
func (a *attemptRun) settle(ctx context.Context) error {
	if !a.pending {
		return nil
	}
	for _, q := range a.questions {
		if q.answered && q.report.Primary {
			return a.order(ctx, q.db.ID)
		}
	}
	return errNoSuccessor
}

// ask sends a statement to each database on a connection of its own.
func (a *attemptRun) ask(ctx context.Context, questions []*question, st statement.Statement) {
	var all sync.WaitGroup
	for _, q := range questions {
		all.Go(func() { a.askOne(ctx, q, st) })
	}
	all.Wait()
}

// askOne asks one database, more than once where it is overloaded.
func (a *attemptRun) askOne(ctx context.Context, q *question, st statement.Statement) {
	limit := questionTimeout
	if q.former {
		limit = formerTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
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
		if isGone(err) || !again.Pause(ctx) {
			a.log.Info("Database does not answer.", "database", q.db.ID, "error", err)
			return
		}
	}
}

// isGone reports whether an error shows that the database does not run where it
// was announced.
func isGone(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errkind.Of(err) == errkind.WrongDatabase
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
func (a *attemptRun) awaitLeader(id string) bool {
	g := a.s.g
	ctx, cancel := context.WithTimeout(g.ctx, takeOverLimit)
	defer cancel()
	for ctx.Err() == nil {
		a.s.mu.Lock()
		p := a.s.pools[id]
		leader, ok := a.s.table.Leader()
		a.s.mu.Unlock()
		if ok && leader.ID == id {
			a.log.Info("Successor leads.", "database", id, "after_ms", g.now().Sub(a.started).Milliseconds())
			return true
		}
		if p != nil {
			a.s.sample(p)
		}
		sleep(ctx, catchUpPause)
	}
	a.log.Warn("Successor does not lead.", "database", id)
	return false
}

// resumeAll lets the replicas receive again.
func (a *attemptRun) resumeAll() {
	ctx, cancel := context.WithTimeout(a.s.g.ctx, questionTimeout)
	defer cancel()
	a.ask(ctx, a.questions, statement.Statement{Kind: statement.Resume})
}

func (a *attemptRun) closeQuestions() {
	for _, q := range a.questions {
		if q.conn != nil {
			q.conn.Close()
		}
	}
}
