// Package turn lets requests wait for their turn in a fair queue.
package turn

import (
	"context"
	"sync"
	"time"

	"github.com/bronzeloft/bronzeloft/customer/fair"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/internal/waiting"
)

// Queue lets requests wait for their turn in a fair queue.
type Queue struct {
	now func() time.Time

	mu      sync.Mutex // guards all below; no other lock is taken under it
	queue   *fair.Queue
	waiting waiting.List
}

// New returns an empty queue that reads the time from now.
func New(cfg fair.Config, now func() time.Time) *Queue {
	return &Queue{now: now, queue: fair.New(cfg), waiting: waiting.New()}
}

// Acquire waits for a slot. A request that gets none has not run.
func (s *Queue) Acquire(ctx context.Context, item fair.Item) (uint64, error) {
	s.mu.Lock()
	item.ID = s.waiting.ID()
	verdict := s.queue.Enqueue(item, s.now())
	if verdict.State == fair.Run {
		s.mu.Unlock()
		return item.ID, nil
	}
	if verdict.State == fair.Refused {
		s.mu.Unlock()
		return 0, errkind.New(verdict.Kind, "")
	}
	turn := s.waiting.Add(item.ID)
	s.mu.Unlock()
	select {
	case run := <-turn:
		if run {
			return item.ID, nil
		}
		return 0, errkind.New(errkind.DeadlineNotRun, "in the database's queue")
	case <-ctx.Done():
	}
	return 0, s.leave(item.ID, turn)
}

// leave takes a request out of the queue, or gives its slot back if its turn
// came at the same moment.
func (s *Queue) leave(id uint64, turn <-chan bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting.Remove(id)
	select {
	case run := <-turn:
		if run {
			s.waiting.Answer(s.queue.Done(id, s.now()), true)
		}
	default:
		s.queue.Cancel(id)
	}
	return errkind.New(errkind.DeadlineNotRun, "in the database's queue")
}

// Release frees a slot; the database is known to have stopped.
func (s *Queue) Release(id uint64) {
	s.mu.Lock()
	s.waiting.Answer(s.queue.Done(id, s.now()), true)
	s.mu.Unlock()
}

// SetSlots changes the number of slots.
func (s *Queue) SetSlots(n int) {
	s.mu.Lock()
	s.waiting.Answer(s.queue.SetSlots(n, s.now()), true)
	s.mu.Unlock()
}
