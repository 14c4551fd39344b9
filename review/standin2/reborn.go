package main

import (
	"fmt"
	"time"
)

// Times of the play of a replica that starts again without its log.
const (
	deafFor      = 6500 * time.Millisecond // the largest dose of replica_lag
	deafToCrash  = 2 * time.Second
	primaryDown  = 7 * time.Second // the largest dose of srv_crash
	replicaDown  = 5 * time.Second
	crashToKill  = 200 * time.Millisecond
	lostJudged   = 12 * time.Second
	beforeReborn = 12 * time.Second // of ordinary traffic
)

// playReborn plays a primary that crashes while one of its two replicas receives nothing, and all
// processes killed right after; the primary comes back with its log. With trouble the other
// replica, which alone has received the last commits, crashes too, and starts again under its id
// without its log.
func playReborn(s *site, trouble bool) (broken bool, err error) {
	t := &tally{started: time.Now()}
	stop := make(chan struct{})
	callers := s.traffic(t, callerPause, stop)
	defer func() {
		close(stop)
		callers.Wait()
	}()
	time.Sleep(beforeReborn)
	g := s.groups[0]
	primary, holder, deaf := g.all[0], g.all[1], g.all[2]
	g.setDeaf(deaf, true)
	time.AfterFunc(deafFor, func() { g.setDeaf(deaf, false) })
	time.Sleep(deafToCrash)
	n := s.ledger.ackedAfter(deaf.received)
	if n == 0 {
		return false, fmt.Errorf("no commits were acknowledged while %s received nothing", deaf.id)
	}
	s.rec.logf("%d commits were acknowledged that %s has not received", n, deaf.id)
	comeBack := func(d *database, withLog bool) func() {
		return func() {
			if err := g.comeBack(d, withLog); err != nil {
				s.rec.logf("start of %s: %v", d.id, err)
			}
		}
	}
	g.awaitBeatDue(primary)
	g.end(primary)
	s.rec.logf("the primary %s crashes", primary.id)
	time.AfterFunc(primaryDown, comeBack(primary, true))
	if trouble {
		g.end(holder)
		s.rec.logf("the replica %s crashes", holder.id)
		time.AfterFunc(replicaDown, comeBack(holder, false))
	}
	time.Sleep(crashToKill)
	s.rec.logf("all processes are killed")
	for _, h := range s.hosts {
		h.kill(true)
	}
	time.Sleep(downFor)
	for _, h := range s.hosts {
		h.resume()
	}
	s.rec.logf("the machines are back")
	time.Sleep(lostJudged)
	g.mu.Lock()
	lost := g.lost
	g.mu.Unlock()
	s.rec.logf("%d acknowledged commits were not in the log of a database that was promoted", lost)
	return lost > 0, nil
}
