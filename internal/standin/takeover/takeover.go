package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Timing of the case takeover.
const (
	settleFor       = 2 * time.Second // clients write on after the last order was carried out
	stallEvery      = 20 * time.Millisecond
	writerTimeout   = 8 * time.Second // longer than any host is stopped
	troubledAtMost  = 2               // hosts that are stopped or killed at once
	takeoverHitting = 0.15            // share of a takeover's steps at which its host is hit
	hitWithin       = 1200 * time.Millisecond
	starvingShare   = 0.6 // share of the ordered promotions whose database receives nothing more
	leastPromotions = 1   // a play with fewer shows nothing
	leastAcked      = 200 // nor one with fewer acknowledged commits
)

// Streams of random numbers of one seed.
const (
	streamPlan = iota
	streamCalls
	streamHits
	streamBuilds
	streamDetails
)

// takeover is one play of the case.
type takeover struct {
	s *site
	f *faults

	mu       sync.Mutex
	hits     *rand.Rand
	hitting  bool                 // hosts that act on a takeover are stopped or killed
	starving bool                 // databases whose promotion is ordered are cut off
	troubled map[string]bool      // hosts that are stopped or killed
	replaced map[string]bool      // hosts that are restarted as another version
	acked    map[string]time.Time // when a commit's client got its success, by id
	ackedBy  map[string]string    // and the host that it came from
	reads    map[string]span      // answered reads of the primary, by id
	busy     sync.WaitGroup       // faults under way
	stalled  time.Duration        // of the stand-in itself
	settling bool                 // the faults are over, and what was ordered is carried out
	after    map[string]int       // commits acknowledged since, by service
}

type span struct{ began, ended time.Time }

// playTakeover replaces primaries again and again, while paths are cut, orders are
// carried out late, and hosts are stopped and killed in the middle of it. The rule is
// broken if a commit that a client was acknowledged is not in the log of a promoted
// database.
func playTakeover(s *site, trouble bool) (bool, error) {
	f := s.layout.faults
	t := &takeover{s: s, f: f, hits: rand.New(rand.NewPCG(f.seed, streamHits)), troubled: map[string]bool{}, replaced: map[string]bool{},
		acked: map[string]time.Time{}, ackedBy: map[string]string{}, reads: map[string]span{}, after: map[string]int{}}
	f.mu.Lock()
	f.onTakeover, f.onOrder = t.hit, t.starve
	f.mu.Unlock()
	stop := make(chan struct{})
	var background, writers sync.WaitGroup
	background.Go(func() { s.announce(stop) })
	background.Go(func() { t.watchOwnStalls(stop) })
	for i, h := range s.hosts {
		for _, service := range s.layout.servicesOf(i) {
			for _, kind := range s.layout.clients {
				writers.Go(func() {
					t.work(&worker{name: fmt.Sprintf("%s-%s-%s", h.name, service, kind), host: h, service: service, kind: kind, tenant: tenant(i % s.layout.tenants)}, stop)
				})
			}
		}
	}
	time.Sleep(time.Second)
	if trouble {
		t.disrupt()
	}
	t.busy.Wait()
	f.pending.Wait()
	t.mu.Lock()
	t.settling = true
	t.mu.Unlock()
	time.Sleep(settleFor)
	f.pending.Wait()
	time.Sleep(settleFor)
	close(stop)
	writers.Wait()
	background.Wait()
	return t.judge(trouble)
}

func every(interval time.Duration, stop <-chan struct{}, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			do()
		case <-stop:
			return
		}
	}
}

// stallNoted is the least time for which the stand-in itself has stood still that is
// noted.
const stallNoted = 400 * time.Millisecond

// watchOwnStalls notes when the stand-in itself has stood still, as on a busy machine.
// Its databases, its clients and its faults stand still with it, and little is tried.
func (t *takeover) watchOwnStalls(stop <-chan struct{}) {
	last := time.Now()
	every(stallEvery, stop, func() {
		now := time.Now()
		if still := now.Sub(last) - stallEvery; still > stallNoted {
			t.s.rec.notef("the stand-in stood still for %d ms", still.Milliseconds())
			t.mu.Lock()
			t.stalled += still
			t.mu.Unlock()
		}
		last = now
	})
}

// disrupt plays the plan and returns when its time is over.
func (t *takeover) disrupt() {
	began := time.Now()
	plan := plans[t.s.layout.plan]
	calm := t.s.layout.with.calm
	t.f.disrupt(!calm)
	t.mu.Lock()
	t.starving, t.hitting = t.s.layout.with.starves(), !calm
	t.mu.Unlock()
	for _, c := range t.s.builds.changes(t.f.seed, len(t.s.hosts), plan.length) {
		t.busy.Go(func() {
			time.Sleep(time.Until(began.Add(c.at)))
			t.change(c)
		})
	}
	for _, s := range plan.of(t.f.seed, t.s.layout) {
		time.Sleep(time.Until(began.Add(s.at)))
		t.busy.Go(func() { t.play(s) })
	}
	time.Sleep(time.Until(began.Add(plan.length)))
	t.mu.Lock()
	t.starving, t.hitting = false, false
	t.mu.Unlock()
	t.busy.Wait()
	t.f.disrupt(false)
	t.s.rec.notef("the faults end")
}
