package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/bronzeloft/bronzeloft/database/cold"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/statement"
)

// Timing of samples of the primary's log position.
const (
	// sampleInterval is the age at which the newest sample is replaced: a third of
	// the silence after which a primary is suspected.
	sampleInterval = 200 * time.Millisecond
	// sampleTimeout bounds a sample query, which needs no slot of the database, or
	// a status query.
	sampleTimeout = 300 * time.Millisecond
	// sampleMinInterval is the minimum time between two sample queries.
	sampleMinInterval = 20 * time.Millisecond
)

// requestSample queries the primary for the end of its log, unless such a query is
// in flight or was sent less than sampleMinInterval ago. The query also serves as a
// heartbeat of the primary. If no primary is known that may be queried, all databases are. mu
// is held.
func (s *service) requestSample() {
	now := s.g.now()
	if s.sampling || now.Sub(s.lastSampleRequest) < sampleMinInterval {
		return
	}
	db, ok := s.table.Leader()
	if !ok || s.g.evacuations.closed(db.DataCentre) { // then another one is to lead
		s.probeAll(now)
		return
	}
	p := s.pools[db.ID]
	if p == nil {
		return
	}
	s.sampling, s.lastSampleRequest = true, now
	go func() {
		s.sample(p)
		s.mu.Lock()
		s.sampling = false
		s.notifyChange()
		s.mu.Unlock()
	}()
}

// probeAll queries all databases to find the primary. mu is held.
func (s *service) probeAll(now time.Time) {
	s.sampling, s.lastSampleRequest = true, now
	pools := make([]*pool, 0, len(s.pools))
	for _, p := range s.pools {
		pools = append(pools, p)
	}
	go func() {
		var all sync.WaitGroup
		for _, p := range pools {
			all.Go(func() { s.sample(p) })
		}
		all.Wait()
		s.mu.Lock()
		s.sampling = false
		s.mu.Unlock()
	}()
}

// sample determines whether a database is the primary and, if it is, the end of
// its log. It opens and ends a read-write transaction, which only a primary allows.
func (s *service) sample(p *pool) {
	if p.isClosed() {
		return
	}
	ctx, cancel := context.WithTimeout(s.g.ctx, sampleTimeout)
	defer cancel()
	c, err := p.borrow(ctx, s.g.anyCustomer())
	if err != nil || c == nil {
		return // a failed dial has been recorded; if all connections are in use, their answers show the state
	}
	defer p.checkIn(c)
	if s.verifyPrimary(c, s.g.now().Add(sampleTimeout)) != nil && p.heartbeatDue(c) {
		_, _ = c.status(s.g.now().Add(sampleTimeout)) // it has recorded the result
	}
}

// sampleInTurn is sample, but waits for a connection if all are in use: statements other than
// a Begin do not show who is the primary.
func (s *service) sampleInTurn(p *pool) {
	if p.isClosed() {
		return
	}
	ctx, cancel := context.WithTimeout(s.g.ctx, sampleTimeout)
	defer cancel()
	c, giveBack, err := p.borrowInTurn(ctx)
	if err != nil {
		return // borrowInTurn has recorded a failed dial
	}
	defer giveBack()
	c.coldClass = cold.Proof
	_ = s.verifyPrimary(c, s.g.now().Add(sampleTimeout)) // it has recorded the result
}

// verifyPrimary returns nil if a connection's database is the primary, and records
// whether it is.
func (s *service) verifyPrimary(c *conn, deadline time.Time) error {
	sentAt := s.g.now()
	answers, err := c.run(deadline, controlRequest(statement.Begin), controlRequest(statement.Rollback))
	if err != nil {
		return errkind.Wrap(errkind.DatabaseUnavailable, err, "database "+c.pool.db.ID)
	}
	return s.checkPrimaryBegin(c, answers[:len(answers)-1], sentAt)
}

// checkPrimaryBegin evaluates the answers to a Begin and the statements before it
// that prepare the connection, and records whether the database is the primary.
func (s *service) checkPrimaryBegin(c *conn, answers []statement.Answer, sentAt time.Time) error {
	for _, a := range answers[:len(answers)-1] {
		if a.Err != nil {
			c.broken = true
			return a.Err
		}
	}
	beginAnswer := lastAnswer(answers)
	switch {
	case beginAnswer.Err == nil:
		s.recordPrimary(c.pool.db.ID, beginAnswer.Position, sentAt)
		return nil
	case beginAnswer.Err.Kind == errkind.PrimaryReplaced:
		s.recordNotPrimary(c.pool.db.ID, sentAt)
	default:
		c.broken = true
	}
	return beginAnswer.Err
}

// controlRequest returns a statement that the proxy issues for itself.
func controlRequest(kind statement.Kind) statement.Request {
	return statement.Request{Statement: statement.Statement{Kind: kind}}
}
