package host

import (
	"context"
	"sync"
	"time"

	"github.com/bronzeloft/bronzeloft/customer/fair"
	"github.com/bronzeloft/bronzeloft/errkind"
)

// slotQueue lets requests wait for their turn in a fair queue.
type slotQueue struct {
	now func() time.Time

	mu      sync.Mutex // guards all below; no other lock is taken under it
	queue   *fair.Queue
	next    uint64
	waiting map[uint64]chan bool // true to run, false when refused
}

func newSlotQueue(cfg fair.Config, now func() time.Time) *slotQueue {
	return &slotQueue{now: now, queue: fair.New(cfg), waiting: map[uint64]chan bool{}}
}

// acquire waits for a slot. A request that gets none has not run.
func (s *slotQueue) acquire(ctx context.Context, item fair.Item) (uint64, error) {
	s.mu.Lock()
	s.next++
	item.ID = s.next
	verdict := s.queue.Enqueue(item, s.now())
	if verdict.State == fair.Run {
		s.mu.Unlock()
		return item.ID, nil
	}
	if verdict.State == fair.Refused {
		s.mu.Unlock()
		return 0, errkind.New(verdict.Kind, "")
	}
	turn := make(chan bool, 1)
	s.waiting[item.ID] = turn
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
func (s *slotQueue) leave(id uint64, turn chan bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, id)
	select {
	case run := <-turn:
		if run {
			s.wake(s.queue.Done(id, s.now()))
		}
	default:
		s.queue.Cancel(id)
	}
	return errkind.New(errkind.DeadlineNotRun, "in the database's queue")
}

// release frees a slot; the database is known to have stopped.
func (s *slotQueue) release(id uint64) {
	s.mu.Lock()
	s.wake(s.queue.Done(id, s.now()))
	s.mu.Unlock()
}

func (s *slotQueue) setSlots(n int) {
	s.mu.Lock()
	s.wake(s.queue.SetSlots(n, s.now()))
	s.mu.Unlock()
}

// wake runs the requests whose turn came. mu is held.
func (s *slotQueue) wake(ids []uint64) {
	for _, id := range ids {
		if turn := s.waiting[id]; turn != nil {
			delete(s.waiting, id)
			turn <- true
		}
	}
}
