package host

import (
	"context"
	"sync"
	"time"

	"github.com/bronzeloft/bronzeloft/contract"
	"github.com/bronzeloft/bronzeloft/customer/rate"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/link/peerpb"
)

// OpenCustomer is the customer whose rate and burst count requests with no
// key, where the snapshot lists it; otherwise such requests are not counted.
const OpenCustomer = "open"

// rates admits requests by the fleet-wide rate of their customer.
type rates struct {
	now  func() time.Time
	send func(to string, env *peerpb.Envelope)
	kick chan struct{}

	mu      sync.Mutex // guards all below; no other lock is taken under it
	table   *rate.Table
	next    uint64
	waiting map[uint64]chan bool
}

func newRates(cfg rate.Config, now func() time.Time, send func(string, *peerpb.Envelope)) *rates {
	return &rates{
		now:     now,
		send:    send,
		kick:    make(chan struct{}, 1),
		table:   rate.New(cfg),
		waiting: map[uint64]chan bool{},
	}
}

// admit returns nil when the request may run. A refused one has not run.
func (r *rates) admit(ctx context.Context, customer string, deadline time.Time) error {
	r.mu.Lock()
	r.next++
	id := r.next
	verdict, out := r.table.Ask(id, customer, deadline, r.now())
	var answer chan bool
	if verdict == rate.Waiting {
		answer = make(chan bool, 1)
		r.waiting[id] = answer
	}
	r.settle(out)
	r.mu.Unlock()
	r.post(out)
	switch verdict {
	case rate.Admitted:
		return nil
	case rate.Refused:
		return errkind.New(errkind.OverRate, "customer %s", customer)
	}
	select {
	case ok := <-answer:
		if ok {
			return nil
		}
		return errkind.New(errkind.OverRate, "customer %s", customer)
	case <-ctx.Done():
		r.cancel(id)
		return errkind.New(errkind.DeadlineNotRun, "waiting for the customer's rate")
	}
}

func (r *rates) cancel(id uint64) {
	r.mu.Lock()
	delete(r.waiting, id)
	r.table.Cancel(id)
	r.mu.Unlock()
}

// settle answers the requests that out decides. mu is held.
func (r *rates) settle(out rate.Output) {
	for _, id := range out.Admitted {
		r.answer(id, true)
	}
	for _, id := range out.Refused {
		r.answer(id, false)
	}
}

func (r *rates) answer(id uint64, ok bool) {
	if w := r.waiting[id]; w != nil {
		delete(r.waiting, id)
		w <- ok
	}
}

// post sends messages and makes run look at Next again.
func (r *rates) post(out rate.Output) {
	for _, s := range out.Send {
		r.send(s.To, s.Msg)
	}
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

// update runs one step of the table.
func (r *rates) update(step func(t *rate.Table, now time.Time) rate.Output) {
	r.mu.Lock()
	out := step(r.table, r.now())
	r.settle(out)
	r.mu.Unlock()
	r.post(out)
}

// settled reports whether this host's standing shares accrue.
func (r *rates) settled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Settled(r.now())
}

func (r *rates) apply(snap *contract.Snapshot) {
	r.update(func(t *rate.Table, now time.Time) rate.Output {
		return t.Apply(snap.Roster, snap.Customers, now)
	})
}

func (r *rates) handle(from string, env *peerpb.Envelope) {
	r.update(func(t *rate.Table, now time.Time) rate.Output { return t.Handle(from, env, now) })
}

func (r *rates) leave() {
	r.update(func(t *rate.Table, now time.Time) rate.Output { return t.Leave(now) })
}

// run ticks the table when it asks to be.
func (r *rates) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			r.update(func(t *rate.Table, now time.Time) rate.Output { return t.Tick(now) })
		case <-r.kick:
		}
		r.mu.Lock()
		next := r.table.Next()
		wait := time.Hour
		if !next.IsZero() {
			wait = max(next.Sub(r.now()), 0)
		}
		r.mu.Unlock()
		timer.Reset(wait)
	}
}

// admit admits a request by its customer's rate.
func (s *session) admit(ctx context.Context, r *request) error {
	customer := s.customer
	if customer == "" {
		customer = OpenCustomer
		if s.host.view.Load().snap.Customer(OpenCustomer) == nil {
			return nil
		}
	}
	return s.host.rates.admit(ctx, customer, r.deadline)
}
