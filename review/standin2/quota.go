package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The bound of the rule QUOTA.
const (
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
)

// allowed returns how many requests of a tenant may run in a quotaWindow.
func allowed(t tenantSettings) int {
	return int((float64(t.rate)*quotaWindow.Seconds()+float64(t.burst))*(1+quotaOverage) + quotaSlack)
}

// Sizes of the play with many tenants.
const (
	manyTenants = 190                     // as in the sheet of the large deployment
	tenantPause = 1800 * time.Millisecond // between two requests of a tenant in a zone
	usualRate   = 37.5                    // requests a second of the hot tenant over all its sessions, as its limit is 1.6 times that
	hotFactor   = 7.5                     // by which it sends more: the largest dose of hot_tenant
	settleFor   = 20 * time.Second        // of ordinary traffic
	hotFor      = 15 * time.Second
)

// manyTenantsLayout is a deployment with as many zones and tenants as the large one. The tenants
// are named by numbers of an identity provider.
func manyTenantsLayout() layout {
	l := layout{services: []string{firstService, "stock-db", "vans-db"}, connections: 193}
	for _, letter := range strings.Split("abcdef", "") {
		l.zones = append(l.zones, "zone-"+letter)
	}
	for i := range manyTenants {
		l.tenants = append(l.tenants, tenantSettings{fmt.Sprintf("tenant.eu-central.%08x-5d1e-4c39-9b1b-0e1f2a3b%04x", 0x7f3a91c2+i*7919, i), 60, 60})
	}
	return l
}

// playManyTenants plays ordinary traffic of all tenants in all zones, and with trouble a tenant that
// sends many times its usual.
func playManyTenants(s *site, trouble bool) (broken bool, err error) {
	stop := make(chan struct{})
	t := &tally{started: time.Now()}
	var callers sync.WaitGroup
	for z := range s.zones {
		for i := 1; i < len(s.tenants); i++ {
			h := s.hosts[z*hostsPerZone+i%hostsPerZone]
			callers.Go(func() {
				time.Sleep(time.Duration(i) * tenantPause / manyTenants)
				s.readingCaller(t, h, s.services[i%len(s.services)], s.tenants[i].name, tenantPause, stop)
			})
		}
	}
	hot := s.tenants[0]
	sessions := len(s.hosts) * len(s.services)
	usual := time.Duration(float64(sessions) / usualRate * float64(time.Second))
	var pause atomic.Int64 // between two requests of a session of the hot tenant
	pause.Store(int64(usual))
	for i := range sessions {
		callers.Go(func() {
			time.Sleep(time.Duration(i) * usual / time.Duration(sessions))
			s.pacedCaller(t, s.hosts[i/len(s.services)], s.services[i%len(s.services)], hot.name, &pause, stop)
		})
	}
	time.Sleep(settleFor)
	from := time.Now()
	if trouble {
		s.rec.logf("tenant %s sends %g times its usual", hot.name, hotFactor)
		pause.Store(int64(float64(usual) / hotFactor))
	}
	time.Sleep(hotFor)
	close(stop)
	callers.Wait()
	n, ok, answers := t.between(t.started, time.Now())
	s.rec.logf("%d of %d requests served, answers %v", ok, n, answers)
	if ok == 0 {
		return false, fmt.Errorf("no request was served")
	}
	most, at := s.ledger.mostIn(quotaWindow, hot.name, from)
	s.rec.logf("tenant %s, %d a second and burst %d: %d requests were sent and run in the %v from %.3f s; allowed %d",
		hot.name, hot.rate, hot.burst, most, quotaWindow, at.Sub(s.rec.started).Seconds(), allowed(hot))
	return most > allowed(hot), nil
}

// readingCaller is pacedCaller with a pause that does not change.
func (s *site) readingCaller(t *tally, h *host, service, tenant string, pause time.Duration, stop <-chan struct{}) {
	var fixed atomic.Int64
	fixed.Store(int64(pause))
	s.pacedCaller(t, h, service, tenant, &fixed, stop)
}

// pacedCaller is a session that reads every pause, in nanoseconds, and opens a new one when its
// connection has ended.
func (s *site) pacedCaller(t *tally, h *host, service, tenant string, pause *atomic.Int64, stop <-chan struct{}) {
	var c *client
	defer func() {
		if c != nil {
			c.close()
		}
	}()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(pause.Load())):
		}
		at := time.Now()
		if c == nil {
			var err error
			if c, err = dial(h, "look-"+service, keyOf(tenant)); err != nil {
				t.add(sent{at: at, answer: "no connection"})
				c = nil
				continue
			}
		}
		word, fields, err := c.query(fmt.Sprintf("READ item%d", n%50))
		answer := "served"
		switch {
		case err != nil:
			answer = "no answer"
			c.close()
			c = nil
		case word == "ERROR":
			answer, _, _ = strings.Cut(fields, " ")
		}
		t.add(sent{at: at, served: served(word, fields, err), answer: answer})
	}
}

// Times of the play of a tenant whose rate is set to 0.
const (
	configApply   = 3 * time.Second
	inTouchAfter  = 4 * time.Second // stableWindowMs
	usualPause    = 50 * time.Millisecond
	beforeZero    = 5 * time.Second
	zeroJudgedFor = 10 * time.Second
)

// playZeroRate plays a configuration that lowers a tenant's rate and burst to 0, while it sends as
// before. Without trouble they are lowered to 1.
func playZeroRate(s *site, trouble bool) (broken bool, err error) {
	stop := make(chan struct{})
	t := &tally{started: time.Now()}
	var callers sync.WaitGroup
	for _, h := range s.hosts {
		callers.Go(func() { s.readingCaller(t, h, firstService, s.tenants[0].name, usualPause, stop) })
	}
	time.Sleep(beforeZero)
	lowered := &s.tenants[0]
	lowered.rate, lowered.burst = 1, 1
	if trouble {
		lowered.rate, lowered.burst = 0, 0
	}
	s.store.put("config", "main", s.configuration(firstVersion+4))
	s.rec.logf("the store has acknowledged a configuration that lowers tenant %s to %d a second and burst %d", lowered.name, lowered.rate, lowered.burst)
	// The limit binds one window after all machines have been in touch for configApply.
	time.Sleep(configApply + inTouchAfter + quotaWindow)
	from := time.Now()
	time.Sleep(zeroJudgedFor)
	close(stop)
	callers.Wait()
	n, ok, answers := t.between(from, time.Now())
	s.rec.logf("%d of %d requests served from %.3f s on, answers %v", ok, n, from.Sub(s.rec.started).Seconds(), answers)
	if _, before, _ := t.between(t.started, t.started.Add(beforeZero)); before == 0 {
		return false, fmt.Errorf("no request was served before")
	}
	most, at := s.ledger.mostIn(quotaWindow, lowered.name, from)
	s.rec.logf("tenant %s: %d requests were sent and run in the %v from %.3f s; allowed %d", lowered.name, most, quotaWindow, at.Sub(s.rec.started).Seconds(), allowed(*lowered))
	return most > allowed(*lowered), nil
}
