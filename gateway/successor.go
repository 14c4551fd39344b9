package gateway

import (
	"context"

	"github.com/bronzeloft/bronzeloft/customer/retry"
	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/position"
	"github.com/bronzeloft/bronzeloft/statement"
)

// choose returns the successor. It first checks that the state on which the
// attempt was started is still current, and pauses the replicas so that none can
// receive more of the log than the successor.
func (a *replacement) choose(ctx context.Context) (succession.Candidate, error) {
	a.query(ctx, a.addNewDatabases(), statement.Statement{Kind: statement.Status})
	if a.primary == "" && a.roster.Term == a.newestTerm() {
		a.primary = a.roster.Primary // this host may have started after the primary's entry expired
	}
	if err := a.checkView(); err != nil {
		return succession.Candidate{}, err
	}
	if a.reason == succession.Leaving {
		return a.choosePlanned(ctx)
	}
	replicas := a.replicas()
	a.query(ctx, replicas, statement.Statement{Kind: statement.Pause, Term: a.newestTerm() + 1})
	for added := a.addNewDatabases(); len(added) > 0; added = a.addNewDatabases() {
		a.query(ctx, added, statement.Statement{Kind: statement.Pause, Term: a.newestTerm() + 1})
	}
	if err := a.checkView(); err != nil {
		return succession.Candidate{}, err
	}
	replicas = a.replicas()
	_, acked, _ := a.s.g.peers.primaryViews(a.s.name) // hosts may have reported later commits by now
	best, ok := succession.Choose(a.candidates(replicas), position.Max(a.acked, acked), true)
	if !ok {
		return best, errNoSuccessor
	}
	return best, nil
}

// checkView compares the databases' reports with the state on which the attempt
// was started: another host may have replaced the primary since. Only a primary
// that is leaving or stalled is expected to report that it is the primary.
func (a *replacement) checkView() error {
	expected := a.reason == succession.Leaving || a.reason == succession.Stalled
	for _, c := range a.conns {
		if !c.answered {
			continue
		}
		if c.report.Term > a.term {
			return errNewerTerm
		}
		if c.report.Primary && !(expected && c.db.ID == a.primary) {
			a.s.recordPrimary(c.db.ID, position.Position{}, a.s.g.now())
			return errHasPrimary
		}
	}
	return nil
}

// replicas returns the databases that may be replicas: all except those that
// report that they are the primary, and the primary to be replaced if it did not
// answer.
func (a *replacement) replicas() []*controlConn {
	var out []*controlConn
	for _, c := range a.conns {
		if c.answered && c.report.Primary || c.db.ID == a.primary && !c.answered {
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

// candidates converts the replicas to candidates for the choice of the successor,
// and logs them.
func (a *replacement) candidates(replicas []*controlConn) []succession.Candidate {
	reachable := a.s.g.peers.centresReachableSince(a.started)
	out := make([]succession.Candidate, len(replicas))
	for i, c := range replicas {
		a.s.mu.Lock()
		listed := a.s.table.Listed(c.db.ID)
		a.s.mu.Unlock()
		out[i] = succession.Candidate{ID: c.db.ID, Answered: c.answered, Listed: listed, Leaving: c.db.Leaving, Received: c.report.Received,
			CutOff: !reachable[c.db.DataCentre]}
		a.log.Info("Replica queried.", "database", c.db.ID, "answered", c.answered, "listed", listed, "cut_off", out[i].CutOff,
			"received", c.report.Received.String(), "term", c.report.Term, "acked", a.acked.String())
	}
	return out
}

// choosePlanned returns the successor of a primary that is leaving but still
// serves. The other replicas are paused, so that from then on every commit is
// acknowledged by the successor; the primary serves until the successor takes
// over.
func (a *replacement) choosePlanned(ctx context.Context) (succession.Candidate, error) {
	var staying []*controlConn
	for _, c := range a.replicas() {
		if !c.db.Leaving {
			staying = append(staying, c)
		}
	}
	best, ok := succession.Longest(a.candidates(staying))
	if !ok {
		return best, errNoSuccessor
	}
	var next *controlConn
	var others []*controlConn
	for _, c := range a.replicas() {
		if c.db.ID == best.ID {
			next = c
			continue
		}
		others = append(others, c)
	}
	a.query(ctx, others, statement.Statement{Kind: statement.Pause, Term: a.newestTerm() + 1})
	if a.anyUnanswered(others) {
		return a.demoteFirst(ctx, best, next)
	}
	return best, a.catchUp(ctx, next, a.catchUpTarget(others))
}

// demoteFirst demotes a leaving primary before the promotion. It is used if a
// replica that may be running cannot be paused: the primary could acknowledge
// commits that only that replica has. After the demotion the primary's log no
// longer grows, and the successor must receive all of it; otherwise the former
// primary is promoted again.
func (a *replacement) demoteFirst(ctx context.Context, best succession.Candidate, next *controlConn) (succession.Candidate, error) {
	var primary *controlConn
	for _, c := range a.conns {
		if c.db.ID == a.primary {
			primary = c
		}
	}
	if primary == nil || !primary.answered {
		return best, errNoSuccessor
	}
	a.query(ctx, []*controlConn{primary}, statement.Statement{Kind: statement.Demote, Term: a.newestTerm() + 1})
	if !primary.answered {
		return best, errNoSuccessor
	}
	a.log.Info("Primary demoted.", "end", primary.report.Received.String())
	if err := a.catchUp(ctx, next, primary.report.Received); err != nil {
		a.log.Warn("Successor lacks commits; the former primary is to be promoted again.", "received", next.report.Received.String())
		return succession.Candidate{ID: a.primary, Received: primary.report.Received}, nil
	}
	return best, nil
}

// anyUnanswered reports whether a replica that may be running has not answered.
func (a *replacement) anyUnanswered(replicas []*controlConn) bool {
	reachable := a.s.g.peers.centresReachableSince(a.started)
	for _, c := range replicas {
		a.s.mu.Lock()
		listed := a.s.table.Listed(c.db.ID)
		a.s.mu.Unlock()
		if !c.answered && (listed || !reachable[c.db.DataCentre]) {
			return true
		}
	}
	return false
}

// catchUpTarget returns the log position that the successor of a primary that
// still serves must have received: the newest that the primary or a paused
// replica reported.
func (a *replacement) catchUpTarget(others []*controlConn) position.Position {
	var target position.Position
	for _, c := range a.conns {
		if c.db.ID == a.primary {
			target = position.Max(target, c.report.Received)
		}
	}
	for _, c := range others {
		target = position.Max(target, c.report.Received)
	}
	return target
}

// catchUp waits until a replica has received the log up to target.
func (a *replacement) catchUp(ctx context.Context, c *controlConn, target position.Position) error {
	ctx, cancel := context.WithTimeout(ctx, catchUpLimit)
	defer cancel()
	for c.report.Received.Before(target) {
		retry.Wait(ctx, catchUpPoll)
		if ctx.Err() != nil {
			return errNotCaughtUp
		}
		a.query(ctx, []*controlConn{c}, statement.Statement{Kind: statement.Status})
	}
	return nil
}
