package main

import (
	"fmt"
	"time"
)

// Sizes of the play of large answers.
const (
	reportRows     = 64 // 32 MiB
	reportSessions = 4  // one on each host of the first two zones
	reportPause    = 500 * time.Millisecond
	reportsFor     = 60 * time.Second
)

// playReports plays callers of one tenant that read reports now and then beside ordinary traffic.
// With trouble a report has reportRows rows, and one otherwise.
func playReports(s *site, trouble bool) (broken bool, err error) {
	s.groups[0].reportRows.Store(1)
	if trouble {
		s.groups[0].reportRows.Store(reportRows)
	}
	t := &tally{started: time.Now()}
	stop := make(chan struct{})
	callers := s.traffic(t, callerPause, stop)
	for i := range reportSessions {
		callers.Go(func() { s.reportCaller(i, stop) })
	}
	for end := time.Now().Add(reportsFor); time.Now().Before(end) && !s.hasFault(); {
		from := time.Now()
		time.Sleep(5 * time.Second)
		n, ok, answers := t.between(from.Add(-answerTimeout), time.Now().Add(-answerTimeout))
		s.rec.logf("ordinary requests: %d of %d served, answers %v; memory %s", ok, n, answers, s.memoryText())
	}
	close(stop)
	callers.Wait()
	s.logEnds()
	if _, ok, _ := t.between(t.started, time.Now()); ok == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return s.hasFault(), nil
}

// reportCaller reads one report after another on a host, each in a session of its own.
func (s *site) reportCaller(i int, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(reportPause):
		}
		c, err := dial(s.hosts[i], "look-"+firstService, keyOf(s.tenants[0].name))
		if err != nil {
			continue
		}
		word, fields, err := c.query(fmt.Sprintf("READ %s%d", reportPrefix, n))
		s.rec.logf("report on %s: %s %.60s %v", s.hosts[i].name, word, fields, err)
		c.close()
	}
}
