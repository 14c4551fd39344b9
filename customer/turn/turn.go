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
	queue   scheduler
	classes *fair.Classes // the queue, if it has classes of urgency; else nil
	waiting waiting.List
	reasons map[uint64]*errkind.Error // of waiting requests that were refused, until they return
}

// ErrGaveWay is the error of a waiting request that was removed for a more urgent one.
var ErrGaveWay = errkind.New(errkind.QueueFull, "gave way to a more urgent statement")

var errNoTimeLeft = errkind.New(errkind.DeadlineNotRun, "no time is left in the database's queue for the statement to run")

// scheduler is a fair.Queue or a fair.Classes.
type scheduler interface {
	Enqueue(item fair.Item, now time.Time) fair.Verdict
	Done(id uint64, now time.Time) []uint64
	Cancel(id uint64)
	SetSlots(n int, now time.Time) []uint64
	Load() float64
}

// New returns an empty queue that uses now as its clock.
func New(cfg fair.Config, now func() time.Time) *Queue {
	q := &Queue{now: now, waiting: waiting.New(), reasons: map[uint64]*errkind.Error{}}
	if cfg.Classes > 0 {
		q.classes = fair.NewClasses(cfg)
		q.queue = q.classes
	} else {
		q.queue = fair.New(cfg)
	}
	return q
}

// Acquire waits for a slot and returns the id to release it with. An error is an
// *errkind.Error; the request then got no slot and has not run.
func (q *Queue) Acquire(ctx context.Context, item fair.Item) (uint64, error) {
	q.mu.Lock()
	item.ID = q.waiting.NextID()
	now := q.now()
	q.expire(now)
	verdict := q.queue.Enqueue(item, now)
	q.refuse(verdict.GaveWay, ErrGaveWay)
	if verdict.State == fair.Run {
		q.mu.Unlock()
		return item.ID, nil
	}
	if verdict.State == fair.Refused {
		q.mu.Unlock()
		return 0, q.refusal(item, verdict, now)
	}
	decision := q.waiting.Add(item.ID)
	q.mu.Unlock()
	select {
	case granted := <-decision:
		if granted {
			return item.ID, nil
		}
		q.mu.Lock()
		defer q.mu.Unlock()
		return 0, q.reason(item.ID)
	case <-ctx.Done():
	}
	return 0, q.cancel(item.ID, decision)
}

// refusal returns the error of a request that was not queued.
func (q *Queue) refusal(item fair.Item, v fair.Verdict, now time.Time) error {
	if q.classes == nil {
		return errkind.New(v.Kind, "")
	}
	return errkind.New(v.Kind, "in the database's queue: urgency %d, expected wait %d ms, time left %d ms",
		item.Urgency, v.Wait.Milliseconds(), item.Deadline.Sub(now).Milliseconds())
}

// expire refuses the waiting requests that cannot be served in time any more, where there
// are classes of urgency. mu is held.
func (q *Queue) expire(now time.Time) {
	if q.classes != nil {
		q.refuse(q.classes.Expire(now), errNoTimeLeft)
	}
}

// refuse resolves waiting requests with an error. mu is held.
func (q *Queue) refuse(ids []uint64, err *errkind.Error) {
	for _, id := range ids {
		q.reasons[id] = err
	}
	q.waiting.Resolve(ids, false)
}

// reason removes and returns the error of a request that was refused while it waited. mu is held.
func (q *Queue) reason(id uint64) error {
	err, ok := q.reasons[id]
	if !ok {
		return errkind.New(errkind.DeadlineNotRun, "while waiting in the database's queue")
	}
	delete(q.reasons, id)
	return err
}

// TurnAway refuses all waiting requests with an error, where there are classes of
// urgency. Those that hold a slot are not affected.
func (q *Queue) TurnAway(err *errkind.Error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.classes != nil {
		q.refuse(q.classes.TurnAway(), err)
	}
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
	return q.reason(id)
}

// Release frees the slot of the request with the id that Acquire returned. The
// caller must know that the database no longer works on the request.
func (q *Queue) Release(id uint64) {
	q.mu.Lock()
	now := q.now()
	q.expire(now)
	q.waiting.Resolve(q.queue.Done(id, now), true)
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
