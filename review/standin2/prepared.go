package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

// Sizes of the play of prepared statements.
const (
	preparingZones    = 2
	preparingSessions = 6         // in each of these zones
	shapeBytes        = 500 << 10 // of one statement's definition; a message may have 1 MiB
	preparePause      = 50 * time.Millisecond
	playFor           = 95 * time.Second
)

// playPrepared plays sessions of one tenant in two zones that prepare a statement, execute it and
// deallocate it, again and again. With trouble each statement has a text of its own, as programs
// send that write their values into it; without, the text is the same each time.
func playPrepared(s *site, trouble bool) (broken bool, err error) {
	t := &tally{started: time.Now()}
	stop := make(chan struct{})
	callers := s.traffic(t, callerPause, stop)
	var executed, failed atomic.Int64
	for n := range preparingZones * preparingSessions {
		callers.Go(func() { s.preparingCaller(n, trouble, &executed, &failed, stop) })
	}
	for end := time.Now().Add(playFor); time.Now().Before(end) && !s.hasFault(); {
		from := time.Now()
		time.Sleep(5 * time.Second)
		n, ok, answers := t.between(from, time.Now().Add(-answerTimeout))
		s.rec.logf("statements prepared, executed and deallocated so far: %d, failed %d; ordinary requests: %d of %d served, answers %v; memory %s",
			executed.Load(), failed.Load(), ok, n, answers, s.memoryText())
	}
	close(stop)
	callers.Wait()
	s.logEnds()
	if executed.Load() == 0 {
		return false, fmt.Errorf("no statement was executed")
	}
	return s.hasFault(), nil
}

// preparingCaller is a session of the first tenant in one of the first zones. It opens a new one when its
// connection has ended.
func (s *site) preparingCaller(n int, distinct bool, executed, failed *atomic.Int64, stop <-chan struct{}) {
	var c *client
	defer func() {
		if c != nil {
			c.close()
		}
	}()
	filler := strings.Repeat("x", shapeBytes)
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(preparePause):
		}
		if c == nil {
			var err error
			if c, err = dial(s.hosts[n%preparingZones*hostsPerZone+(n/preparingZones+i)%hostsPerZone], "look-"+firstService, keyOf(s.tenants[0].name)); err != nil {
				c = nil
				time.Sleep(200 * time.Millisecond)
				continue
			}
		}
		shape := fmt.Sprintf("q%02d-%08d-%s", n, 0, filler)
		if distinct {
			shape = fmt.Sprintf("q%02d-%08d-%s", n, i, filler)
		}
		ok := true
		for _, text := range []string{"PREPARE s1 READ " + shape, fmt.Sprintf("EXECUTE s1 item%d", i%50), "DEALLOC s1"} {
			word, _, err := c.query(text)
			if err != nil {
				c.close()
				c = nil
			}
			if ok = ok && err == nil && word == "COMPLETE"; err != nil {
				break
			}
		}
		if ok {
			executed.Add(1)
		} else {
			failed.Add(1)
		}
	}
}
