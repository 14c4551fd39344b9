package host

import (
	"context"
	"time"

	"github.com/bronzeloft/bronzeloft/database/group"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/position"
)

// replicaWaitTimeout bounds the wait for a replica that is about to reach a read's
// floor; the table itself ends the wait earlier.
const replicaWaitTimeout = 10 * time.Millisecond

// requestRepeatInterval is how often a waiter repeats what it requested from the
// table. The table drops requests after a while, since a waiter may have given up.
const requestRepeatInterval = 500 * time.Millisecond

// waiter is a request that waits until ready returns true.
type waiter struct {
	ready func() bool // called with the runner's mu held
	done  chan struct{}
}

// wait blocks until ready returns true or ctx ends, and then returns the error of
// ctx. start, if not nil, requests from the table what ready waits for, and is
// repeated every requestRepeatInterval. Both are called with mu held.
func (g *groupRunner) wait(ctx context.Context, start func(now time.Time) []group.Action, ready func() bool) error {
	g.mu.Lock()
	if ready() {
		g.mu.Unlock()
		return nil
	}
	w := &waiter{ready: ready, done: make(chan struct{})}
	g.waiters[w] = struct{}{}
	g.startLocked(start)
	g.mu.Unlock()
	g.kickRun()
	repeat := time.NewTicker(requestRepeatInterval)
	defer repeat.Stop()
	for {
		select {
		case <-w.done:
			return nil
		case <-ctx.Done():
			g.mu.Lock()
			delete(g.waiters, w)
			g.mu.Unlock()
			return ctx.Err()
		case <-repeat.C:
			g.mu.Lock()
			g.startLocked(start)
			g.mu.Unlock()
		}
	}
}

// startLocked calls start, if not nil, and carries out its actions. mu is held.
func (g *groupRunner) startLocked(start func(now time.Time) []group.Action) {
	if start != nil {
		g.carryOut(start(g.now()))
	}
}

// waitForPrimary waits for a primary that accepts writes. It returns NoPrimary if ctx
// ends first.
func (g *groupRunner) waitForPrimary(ctx context.Context) (id string, term uint64, err error) {
	ready := func() bool {
		var ok bool
		id, term, ok = g.table.Primary()
		return ok
	}
	if g.wait(ctx, nil, ready) != nil {
		return "", 0, errkind.New(errkind.NoPrimary, "no primary of group %s accepted writes in time", g.name)
	}
	return id, term, nil
}

// waitForConfirmation waits until a majority has confirmed a position in answer to
// probes sent at or after since, and returns it. The position is at or past every
// write that was acknowledged before since. The error is NoMajority if ctx ends
// first.
func (g *groupRunner) waitForConfirmation(ctx context.Context, since time.Time) (pos position.Position, err error) {
	ready := func() bool {
		var ok bool
		pos, ok = g.table.Confirmed(since)
		return ok
	}
	if g.wait(ctx, g.table.RequestConfirmation, ready) != nil {
		return position.Position{}, errkind.New(errkind.NoMajority, "no majority of group %s confirmed its position in time", g.name)
	}
	return pos, nil
}

// startConfirmation requests a confirmation without waiting for it.
func (g *groupRunner) startConfirmation() {
	g.mu.Lock()
	g.carryOut(g.table.RequestConfirmation(g.now()))
	g.mu.Unlock()
	g.kickRun()
}

// waitForAck waits until a majority holds p in p's term. It returns
// OutcomeUnknown if ctx ends or the term is replaced before that.
func (g *groupRunner) waitForAck(ctx context.Context, p position.Position) error {
	state := group.AckPending
	ready := func() bool {
		state = g.table.Acked(p)
		return state != group.AckPending
	}
	g.addAckWaiters(1)
	defer g.addAckWaiters(-1)
	if g.wait(ctx, g.table.RequestAcks, ready) != nil {
		return errkind.New(errkind.OutcomeUnknown, "no majority of group %s acknowledged position %s in time", g.name, p)
	}
	if state == group.AckNever {
		return errkind.New(errkind.OutcomeUnknown, "primary of group %s was replaced before a majority held the commit", g.name)
	}
	return nil
}

func (g *groupRunner) addAckWaiters(n int) {
	g.mu.Lock()
	g.ackWaiters += n
	g.mu.Unlock()
}

// readers returns the databases that can serve a read requested at requestedAt,
// best first. floor is the log position that they must have reached. While no
// replica can, readers waits for one, up to replicaWaitTimeout.
func (g *groupRunner) readers(ctx context.Context, floor position.Position, requestedAt time.Time) []string {
	ctx, cancel := context.WithTimeout(ctx, replicaWaitTimeout)
	defer cancel()
	var ids []string
	ready := func() bool {
		now := g.now()
		ids = g.table.Readers(floor, now)
		return !g.table.ShouldAwaitReplica(ids, requestedAt, now)
	}
	start := func(time.Time) []group.Action { return g.table.RequestConfirmation(requestedAt) }
	if g.wait(ctx, start, ready) != nil {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.table.Readers(floor, g.now())
	}
	return ids
}

// waitForDurable waits until a majority holds the position at which a fresh read
// was done, since entries that only a minority holds can still be lost. It returns
// false if they were lost: the read must be repeated. The error is NoMajority if ctx
// ends first.
func (g *groupRunner) waitForDurable(ctx context.Context, p position.Position) (bool, error) {
	state := group.AckPending
	ready := func() bool {
		state = g.table.Acked(p)
		return state != group.AckPending
	}
	g.addAckWaiters(1)
	defer g.addAckWaiters(-1)
	if g.wait(ctx, g.table.RequestAcks, ready) != nil {
		return false, errkind.New(errkind.NoMajority, "position %s was not acknowledged by a majority of group %s in time", p, g.name)
	}
	return state == group.AckYes, nil
}

// wakeLocked releases the waiters whose condition is met. mu is held.
func (g *groupRunner) wakeLocked() {
	for w := range g.waiters {
		if w.ready() {
			close(w.done)
			delete(g.waiters, w)
		}
	}
}
