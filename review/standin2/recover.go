package main

import (
	"fmt"
	"sync"
	"time"
)

// Times of the plays of a final fault.
const (
	crashToFault  = 500 * time.Millisecond
	downFor       = time.Second      // of all processes in the final fault
	recoveryBound = 12 * time.Second // recoveryS
	judgedFor     = 10 * time.Second
	callerPause   = 100 * time.Millisecond
)

// loseEverything loses the primary for good at a time, and kills all processes right after. It
// reports whether the rule RECOVER was broken.
func (s *site) loseEverything(t *tally, lost time.Time) (broken bool, err error) {
	time.Sleep(time.Until(lost))
	s.groups[0].crash(s.groups[0].primary)
	time.Sleep(crashToFault)
	s.rec.logf("final fault: all processes are killed")
	fault := time.Now()
	for _, h := range s.hosts {
		h.kill(true)
	}
	time.Sleep(downFor)
	for _, h := range s.hosts {
		h.resume()
	}
	back := time.Now()
	s.rec.logf("the machines are back")
	for second := range int((recoveryBound + judgedFor) / time.Second) {
		at := back.Add(time.Duration(second) * time.Second)
		time.Sleep(time.Until(at.Add(time.Second)))
		n, ok, answers := t.between(at, at.Add(time.Second))
		s.rec.logf("second %d after the machines were back: %d of %d requests served, answers %v", second, ok, n, answers)
	}
	time.Sleep(answerTimeout)
	n, ok, _ := t.between(t.started, fault)
	if n == 0 || 4*ok < n {
		return false, fmt.Errorf("%d of %d requests were served before the final fault", ok, n)
	}
	s.rec.logf("before the final fault: %d of %d requests served", ok, n)
	n, ok, answers := t.between(back.Add(recoveryBound), back.Add(recoveryBound+judgedFor))
	if n == 0 {
		return false, fmt.Errorf("no requests were sent after the recovery")
	}
	s.rec.logf("later than %v after the machines were back: %d of %d requests served, answers %v; a quarter is the least", recoveryBound, ok, n, answers)
	return 4*ok < n, nil
}

// Times of the play of replaced databases.
const (
	longKnown    = 32 * time.Second        // for which the first databases have run before the release
	drainFor     = 7500 * time.Millisecond // drainMs and a little longer
	releaseGap   = time.Second
	afterRelease = 3 * time.Second // from the end of the last replaced database to the loss of the primary
)

// playReplaced plays the loss of a primary right before the final fault. With trouble the replicas
// of its service have been replaced one after the other before.
func playReplaced(s *site, trouble bool) (broken bool, err error) {
	t := &tally{started: time.Now()}
	stop := make(chan struct{})
	callers := s.traffic(t, callerPause, stop)
	defer func() {
		close(stop)
		callers.Wait()
	}()
	time.Sleep(longKnown)
	g := s.groups[0]
	var releases sync.WaitGroup
	if trouble {
		for _, d := range g.all[1:databaseCount] {
			releases.Go(func() {
				if err := g.replace(d, drainFor); err != nil {
					s.rec.logf("replacing %s: %v", d.id, err)
				}
			})
			time.Sleep(releaseGap)
		}
	}
	releases.Wait()
	return s.loseEverything(t, time.Now().Add(afterRelease))
}
