package host

import (
	"context"
	"sync"
	"time"

	"github.com/bronzeloft/bronzeloft/internal/waiting"
	"github.com/bronzeloft/bronzeloft/link/peerpb"
)

// message is one outgoing message of a shared table.
type message struct {
	to  string
	env *peerpb.Envelope
}

// step is the output of one call of a shared table: messages to send, and the ids
// of waiting requests that are now decided.
type step struct {
	messages []message
	admitted []uint64
	refused  []uint64
}

// sharedTable drives a rate or permit table, which exchanges shares with other hosts
// by messages. The table itself is called only with mu held.
type sharedTable struct {
	now  func() time.Time
	send func(to string, env *peerpb.Envelope)
	tick func(now time.Time) step // with mu held
	next func() time.Time         // with mu held; zero for never
	kick chan struct{}            // makes run reset its timer

	mu      sync.Mutex // guards the table and waiting; no other lock is taken under it
	waiting waiting.List
}

func newSharedTable(now func() time.Time, send func(string, *peerpb.Envelope)) *sharedTable {
	return &sharedTable{now: now, send: send, kick: make(chan struct{}, 1), waiting: waiting.New()}
}

// update runs one call of the table and carries out its output.
func (s *sharedTable) update(call func(now time.Time) step) {
	s.mu.Lock()
	out := call(s.now())
	s.answerWaiters(out)
	s.mu.Unlock()
	s.sendMessages(out)
}

// answerWaiters answers the waiting requests that out decides. mu is held.
func (s *sharedTable) answerWaiters(out step) {
	s.waiting.Resolve(out.admitted, true)
	s.waiting.Resolve(out.refused, false)
}

// sendMessages sends the messages of out and makes run reset its timer to next.
func (s *sharedTable) sendMessages(out step) {
	for _, m := range out.messages {
		s.send(m.to, m.env)
	}
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// verdict is a table's first answer to a request.
type verdict uint8

const (
	refused verdict = iota
	admitted
	undecided // a later step decides
)

// submit passes a request to the table, waits until it is decided and reports
// whether it was admitted. If ctx ends first, submit returns an error and withdraw
// is called with mu held to withdraw the request; its argument admitted reports
// whether the request was admitted in the meantime.
func (s *sharedTable) submit(ctx context.Context, call func(id uint64, now time.Time) (verdict, step), withdraw func(id uint64, admitted bool, now time.Time) step) (bool, error) {
	s.mu.Lock()
	id := s.waiting.NextID()
	v, out := call(id, s.now())
	var answer <-chan bool
	if v == undecided {
		answer = s.waiting.Add(id)
	}
	s.answerWaiters(out)
	s.mu.Unlock()
	if v == undecided || len(out.messages) > 0 {
		s.sendMessages(out)
	}
	if v != undecided {
		return v == admitted, nil
	}
	select {
	case ok := <-answer:
		return ok, nil
	case <-ctx.Done():
	}
	s.update(func(now time.Time) step {
		s.waiting.Remove(id)
		select {
		case ok := <-answer:
			return withdraw(id, ok, now)
		default:
			return withdraw(id, false, now)
		}
	})
	return false, ctx.Err()
}

// run ticks the table at the times that next returns.
func (s *sharedTable) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			s.update(s.tick)
		case <-s.kick:
		}
		timer.Reset(s.untilNext())
	}
}

func (s *sharedTable) untilNext() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.next()
	if next.IsZero() {
		return time.Hour
	}
	return max(next.Sub(s.now()), 0)
}
