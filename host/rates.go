package host

import (
	"context"
	"time"

	"github.com/bronzeloft/bronzeloft/contract"
	"github.com/bronzeloft/bronzeloft/customer/rate"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/link/peerpb"
)

// OpenCustomer is the customer whose rate and burst limit requests without a key.
// If the snapshot does not list it, such requests are not limited.
const OpenCustomer = "open"

// rates admits requests within the fleet-wide rate of their customer.
type rates struct {
	*sharedTable
	table *rate.Table // guarded by sharedTable.mu
}

func newRates(cfg rate.Config, now func() time.Time, send func(string, *peerpb.Envelope)) *rates {
	r := &rates{sharedTable: newSharedTable(now, send), table: rate.New(cfg)}
	r.tick = func(now time.Time) step { return rateStep(r.table.Tick(now)) }
	r.next = r.table.Next
	return r
}

func rateStep(out rate.Output) step {
	s := step{admitted: out.Admitted, refused: out.Refused}
	for _, m := range out.Send {
		s.messages = append(s.messages, message{m.To, m.Msg})
	}
	return s
}

// admit waits until a request is admitted or refused, or ctx ends. It returns nil
// when the request may run; a request that gets an error has not run.
func (r *rates) admit(ctx context.Context, customer string, deadline time.Time) error {
	ok, err := r.submit(ctx, func(id uint64, now time.Time) (verdict, step) {
		v, out := r.table.Acquire(id, customer, deadline, now)
		return rateVerdicts[v], rateStep(out)
	}, func(id uint64, _ bool, _ time.Time) step {
		r.table.Cancel(id)
		return step{}
	})
	switch {
	case err != nil:
		return errkind.New(errkind.DeadlineNotRun, "deadline passed while the request waited for the customer's rate")
	case !ok:
		return errkind.New(errkind.OverRate, "rate and burst of customer %s are used up", customer)
	}
	return nil
}

var rateVerdicts = map[rate.Verdict]verdict{rate.Refused: refused, rate.Admitted: admitted, rate.Waiting: undecided}

// settled reports whether this host's standing shares of the customers' rates are
// those of its newest roster and already gain tokens.
func (r *rates) settled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Settled(r.now())
}

func (r *rates) apply(snap *contract.Snapshot) {
	r.update(func(now time.Time) step { return rateStep(r.table.Apply(snap.Roster, snap.Customers, now)) })
}

func (r *rates) handle(from string, env *peerpb.Envelope) {
	r.update(func(now time.Time) step { return rateStep(r.table.Handle(from, env, now)) })
}

func (r *rates) leave() {
	r.update(func(now time.Time) step { return rateStep(r.table.Leave(now)) })
}

// admit waits until the customer's rate admits a request.
func (s *session) admit(ctx context.Context, r *request) error {
	customer := s.customer
	if customer == "" {
		customer = OpenCustomer
		if s.host.view.Load().customer(OpenCustomer) == nil {
			return nil
		}
	}
	return s.host.rates.admit(ctx, customer, r.deadline)
}
