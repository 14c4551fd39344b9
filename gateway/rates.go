package gateway

import (
	"sync"
	"time"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/customer/share"
	"github.com/bronzeloft/bronzeloft/errkind"
)

// rates admits operations within this host's share of their customer's rate.
type rates struct {
	mu    sync.Mutex // guards table; a leaf lock
	table *share.Table
}

// admit returns nil if the customer may run an operation now, otherwise an
// OverRate error with the time to wait.
func (r *rates) admit(customer string, now time.Time) *errkind.Error {
	r.mu.Lock()
	ok, wait := r.table.Admit(customer, now)
	r.mu.Unlock()
	if ok {
		return nil
	}
	return errkind.New(errkind.OverRate, "retry after %d ms", wait.Milliseconds()+1)
}

// admitInOrder is admit for an operation of the given urgency. If it returns no error, the
// operation must start after the returned time, which is at most patience.
func (r *rates) admitInOrder(customer string, urgency int, patience time.Duration, now time.Time) (time.Duration, *errkind.Error) {
	r.mu.Lock()
	ok, wait := r.table.AdmitUrgency(customer, urgency, patience, now)
	r.mu.Unlock()
	if ok {
		return wait, nil
	}
	return 0, errkind.New(errkind.OverRate, "retry after %d ms", wait.Milliseconds()+1)
}

func (r *rates) apply(c *routes.Configuration, now time.Time) {
	limits := make(map[string]share.Limit, len(c.Customers))
	for name, customer := range c.Customers {
		limits[name] = share.Limit{Rate: customer.Rate, Burst: customer.Burst}
	}
	r.mu.Lock()
	r.table.SetLimits(limits, now)
	r.mu.Unlock()
}

// setHosts sets the number of hosts, in all data centres, that admit operations.
func (r *rates) setHosts(n int) {
	r.mu.Lock()
	r.table.SetHosts(n)
	r.mu.Unlock()
}

// recordDemands records the demands in a message of another host, or in the
// summary of another data centre. hosts is the number of hosts behind these demands
// that admit operations.
func (r *rates) recordDemands(from string, hosts int, demands share.Demands, now time.Time) {
	r.mu.Lock()
	r.table.RecordDemands(from, hosts, demands, now)
	r.mu.Unlock()
}

// demands returns this host's demands and records them as reported to the other
// hosts.
func (r *rates) demands(now time.Time) share.Demands {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Demands(now)
}
