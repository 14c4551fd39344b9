package rate

import (
	"fmt"
	"time"

	"github.com/bronzeloft/bronzeloft/customer/rate"
	"github.com/bronzeloft/bronzeloft/link/peerpb"
)

// evenLimiter implements EvenSplit on one host.
type evenLimiter struct {
	s       *sim
	buckets []bucket
}

func newEvenLimiter(s *sim) *evenLimiter {
	e := &evenLimiter{s: s}
	for _, c := range s.cfg.Customers {
		n := float64(s.cfg.Hosts)
		e.buckets = append(e.buckets, bucket{rate: c.Rate / n, burst: c.Burst / n, at: s.now})
	}
	return e
}

func (e *evenLimiter) acquire(id uint64, customer int, now time.Time) {
	b := &e.buckets[customer]
	b.advance(now)
	if b.tokens < 1 {
		e.s.refuse(id)
		return
	}
	b.tokens--
	e.s.admit(id)
}

func (e *evenLimiter) deliver(*host, any, time.Time) {}
func (e *evenLimiter) tick(time.Time)                {}
func (e *evenLimiter) next() time.Time               { return time.Time{} }

// homeLimiter implements HomeHost on one host. In each data centre, one host per
// customer holds the data centre's share of rate and burst while its lease lasts;
// the other hosts request tokens from it. The slices are indexed by customer.
type homeLimiter struct {
	s          *sim
	h          *host
	buckets    []bucket
	tokens     []float64  // granted to this host and not yet spent
	waiting    [][]uint64 // ids of requests that wait for tokens
	requesting []bool     // whether a token request is outstanding
	lease      time.Time  // time when the lease expires
	renew      time.Time  // time of the next renewal
}

type homeRequest struct{ customer int }
type homeGrant struct {
	customer int
	tokens   float64
}

func newHomeLimiter(s *sim, h *host) *homeLimiter {
	n := len(s.cfg.Customers)
	m := &homeLimiter{s: s, h: h, tokens: make([]float64, n), waiting: make([][]uint64, n), requesting: make([]bool, n)}
	m.lease = s.now.Add(leaseTerm)
	m.renew = s.now.Add(leaseTerm / 3)
	if h.boot > 1 {
		m.renew = s.now.Add(leaseTerm) // the predecessor's lease must expire first
		m.lease = s.now
	}
	for _, c := range s.cfg.Customers {
		d := float64(s.cfg.DCs)
		m.buckets = append(m.buckets, bucket{rate: c.Rate / d, burst: c.Burst / d, at: s.now})
	}
	return m
}

// homeHostOf returns the host that grants tokens for a customer in this host's data
// centre.
func (m *homeLimiter) homeHostOf(customer int) *host {
	var local []*host
	for _, h := range m.s.hosts {
		if h.dc == m.h.dc {
			local = append(local, h)
		}
	}
	return local[customer%len(local)]
}

func (m *homeLimiter) acquire(id uint64, customer int, now time.Time) {
	m.waiting[customer] = append(m.waiting[customer], id)
	m.admitWaiting(customer, now)
}

// admitWaiting admits waiting requests of a customer while this host has tokens, and
// requests more tokens for those that remain.
func (m *homeLimiter) admitWaiting(customer int, now time.Time) {
	for len(m.waiting[customer]) > 0 && m.tokens[customer] >= 1 {
		m.tokens[customer]--
		m.s.admit(m.waiting[customer][0])
		m.waiting[customer] = m.waiting[customer][1:]
	}
	if len(m.waiting[customer]) == 0 || m.requesting[customer] {
		return
	}
	m.requesting[customer] = true
	m.s.send(m.h, m.homeHostOf(customer), homeRequest{customer})
	m.s.scheduleAt(now.Add(rate.DefaultMaxWait), func() { m.requestTimedOut(customer) })
}

// requestTimedOut refuses the waiting requests of a customer if the home host has
// not answered.
func (m *homeLimiter) requestTimedOut(customer int) {
	if !m.requesting[customer] {
		return
	}
	m.requesting[customer] = false
	m.refuseWaiting(customer)
}

func (m *homeLimiter) refuseWaiting(customer int) {
	for _, id := range m.waiting[customer] {
		m.s.refuse(id)
	}
	m.waiting[customer] = nil
}

func (m *homeLimiter) deliver(from *host, msg any, now time.Time) {
	switch v := msg.(type) {
	case homeRequest:
		m.s.send(m.h, from, homeGrant{v.customer, m.grant(v.customer, now)})
	case homeGrant:
		m.requesting[v.customer] = false
		m.tokens[v.customer] += v.tokens
		if v.tokens == 0 {
			m.refuseWaiting(v.customer)
		}
		m.admitWaiting(v.customer, now)
	}
}

// grant takes up to grantTokens whole tokens from the customer's bucket. If the lease
// has expired, it takes none and empties the bucket.
func (m *homeLimiter) grant(customer int, now time.Time) float64 {
	b := &m.buckets[customer]
	b.advance(now)
	if !now.Before(m.lease) {
		b.tokens = 0
		return 0
	}
	n := float64(int(min(grantTokens, b.tokens)))
	b.tokens -= n
	return n
}

// tick renews the lease if the platform is available.
func (m *homeLimiter) tick(now time.Time) {
	m.renew = now.Add(leaseTerm / 3)
	if !m.s.platformDown() {
		m.lease = now.Add(leaseTerm)
	}
}

func (m *homeLimiter) next() time.Time { return m.renew }

// sharesLimiter implements Shares on one host, with the table of package
// customer/rate.
type sharesLimiter struct {
	s     *sim
	h     *host
	table *rate.Table
}

func newSharesLimiter(s *sim, h *host) *sharesLimiter {
	m := &sharesLimiter{s: s, h: h}
	m.table = rate.New(rate.Config{
		Self: h.address, DataCentre: fmt.Sprint(h.dc),
		BootID: fmt.Sprintf("%s/%d", h.address, h.boot), Started: s.now,
	})
	m.applyOutput(s.timed(func() rate.Output { return m.table.Apply(s.roster(), s.cfg.Customers, s.now) }))
	return m
}

func (m *sharesLimiter) acquire(id uint64, customer int, now time.Time) {
	var v rate.Verdict
	name := m.s.cfg.Customers[customer].ID
	out := m.s.timed(func() (out rate.Output) {
		v, out = m.table.Acquire(id, name, now.Add(requestDeadline), now)
		return out
	})
	switch v {
	case rate.Admitted:
		m.s.admit(id)
	case rate.Refused:
		m.s.refuse(id)
	}
	m.applyOutput(out)
}

func (m *sharesLimiter) deliver(from *host, msg any, now time.Time) {
	env := msg.(*peerpb.Envelope)
	m.applyOutput(m.s.timed(func() rate.Output { return m.table.Handle(from.address, env, now) }))
}

func (m *sharesLimiter) tick(now time.Time) {
	m.applyOutput(m.s.timed(func() rate.Output { return m.table.Tick(now) }))
}

func (m *sharesLimiter) next() time.Time { return m.table.Next() }

func (m *sharesLimiter) applyOutput(out rate.Output) {
	for _, id := range out.Admitted {
		m.s.admit(id)
	}
	for _, id := range out.Refused {
		m.s.refuse(id)
	}
	for _, s := range out.Send {
		if to := m.s.hostByAddress(s.To); to != nil {
			m.s.send(m.h, to, s.Msg)
		}
	}
}
