package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// rollGap is the time between the stops of two hosts.
const rollGap = time.Second

// playRolling stops the two hosts of each zone in turn, rollGap apart, while callers
// read through them, and starts them again.
func playRolling(s *site, trouble bool) (bool, error) {
	workTime = func(string) time.Duration { return 50*time.Millisecond + rand.N(32*time.Millisecond) }
	var lost []string
	crashed := 0
	for _, pair := range [][2]int{{0, 1}, {2, 3}, {1, 0}, {3, 2}} {
		n, err := stopPair(s, pair, trouble, &lost)
		if err != nil {
			return false, err
		}
		crashed += n
	}
	s.rec.logf("requests whose connection ended without an answer: %d; processes that ended by themselves: %d", len(lost), crashed)
	return len(lost) > 0, nil
}

// stopPair stops two hosts of a zone, one after the other, and starts them again. It
// returns how many of them ended by themselves.
func stopPair(s *site, pair [2]int, trouble bool, lost *[]string) (crashed int, err error) {
	var mu sync.Mutex
	var term time.Time // of the first SIGTERM
	stopped := make(chan struct{})
	var callers sync.WaitGroup
	for n := range 30 {
		callers.Go(func() {
			readThrough(s, fmt.Sprintf("reader%d", n+1), pair[0], stopped, func(r reply, sent time.Time) {
				g := s.group
				g.mu.Lock()
				_, passedOn := g.arrived[r.id]
				g.mu.Unlock()
				took := time.Since(sent)
				mu.Lock()
				defer mu.Unlock()
				if term.IsZero() || took >= time.Second || !passedOn && took <= lossSlack {
					return
				}
				*lost = append(*lost, fmt.Sprintf("LOST: %s, sent %d ms after the SIGTERM, passed on to a database: %v; its connection ended without an answer after %d ms",
					r.id, sent.Sub(term).Milliseconds(), passedOn, took.Milliseconds()))
			})
		})
	}
	time.Sleep(3 * time.Second)
	before := len(*lost)
	if trouble {
		mu.Lock()
		term = time.Now()
		mu.Unlock()
		for i, h := range pair {
			if i > 0 {
				time.Sleep(rollGap)
			}
			s.signal(s.hosts[h], syscall.SIGTERM)
		}
	}
	time.Sleep(grace + time.Second)
	close(stopped)
	callers.Wait()
	for _, line := range (*lost)[before:] {
		s.rec.logf("%s", line)
	}
	if !trouble {
		return 0, nil
	}
	for _, i := range pair {
		h := s.hosts[i]
		select {
		case <-h.exited:
		case <-time.After(2 * time.Second):
			return 0, fmt.Errorf("host %s did not end", h.name)
		}
		if code := h.cmd.ProcessState.ExitCode(); code != 0 {
			crashed++
			s.rec.logf("host %s ended with exit code %d", h.name, code)
		}
		if err := s.launch(h); err != nil {
			return 0, err
		}
	}
	return crashed, s.awaitReady()
}

// readThrough reads through one host until it is stopped; it does not connect to it
// again after that. failed is called with each request whose connection ended.
func readThrough(s *site, name string, host int, stopped chan struct{}, failed func(reply, time.Time)) {
	c, err := s.connect(name, s.hosts[host], routePrimary, "shop")
	if err != nil {
		s.rec.logf("%s: %v", name, err)
		return
	}
	defer c.close()
	for {
		select {
		case <-stopped:
			return
		default:
		}
		sent := time.Now()
		r := c.query(fmt.Sprintf("READ item%d", rand.N(100)), 4*time.Second)
		if r.err != nil {
			failed(r, sent)
			return
		}
		pause(20*time.Millisecond, 60*time.Millisecond)
	}
}
