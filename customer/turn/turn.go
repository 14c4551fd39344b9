// Package turn blocks requests until a fair queue grants them a slot.
package turn

import (
	"context"
	"sync"
	"time"

	"github.com/bronzeloft/bronzeloft/customer/fair"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/internal/waiting"
)

// Queue blocks requests until a fair queue grants them a slot.
type Queue struct {
	now func() time.Time

	mu      sync.Mutex // guards the fields below; no other lock is taken under it
	queue   *fair.Queue
	waiting waiting.List
}

// New returns an empty queue that uses now as its clock.
func New(cfg fair.Config, now func() time.Time) *Queue {
	return &Queue{now: now, queue: fair.New(cfg), waiting: waiting.New()}
}

// Acquire waits for a slot and returns the id to release it with. An error is an
// *errkind.Error; the request then got no slot and has not run.
func (q *Queue) Acquire(ctx context.Context, item fair.Item) (uint64, error) {
	q.mu.Lock()
	item.ID = q.waiting.NextID()
	verdict := q.queue.Enqueue(item, q.now())
	if verdict.State == fair.Run {
		q.mu.Unlock()
		return item.ID, nil
	}
	if verdict.State == fair.Refused {
		q.mu.Unlock()
		return 0, errkind.New(verdict.Kind, "")
	}
	decision := q.waiting.Add(item.ID)
	q.mu.Unlock()
	select {
	case granted := <-decision:
		if granted {
			return item.ID, nil
		}
		return 0, errkind.New(errkind.DeadlineNotRun, "while waiting in the database's queue")
	case <-ctx.Done():
	}
	return 0, q.cancel(item.ID, decision)
}

// cancel removes a request from the queue, or returns its slot if the slot was
// granted concurrently. It returns the error for the caller.
func (q *Queue) cancel(id uint64, decision <-chan bool) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting.Remove(id)
	select {
	case granted := <-decision:
		if granted {
			q.waiting.Resolve(q.queue.Done(id, q.now()), true)
		}
	default:
		q.queue.Cancel(id)
	}
	return errkind.New(errkind.DeadlineNotRun, "while waiting in the database's queue")
}

// Release frees the slot of the request with the id that Acquire returned. The
// caller must know that the database no longer works on the request.
func (q *Queue) Release(id uint64) {
	q.mu.Lock()
	q.waiting.Resolve(q.queue.Done(id, q.now()), true)
	q.mu.Unlock()
}

// Load returns the requests that hold a slot or wait for one, per slot.
func (q *Queue) Load() float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.Load()
}

// SetSlots changes the number of slots and grants added ones to waiting requests.
func (q *Queue) SetSlots(n int) {
	q.mu.Lock()
	q.waiting.Resolve(q.queue.SetSlots(n, q.now()), true)
	q.mu.Unlock()
}
