package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// Sizes of the play of unreadable entries.
const (
	unreadableEntries = 150
	valueBytes        = 1 << 20 // of one value in the store, at most
	writePause        = 20 * time.Millisecond
	unreadableFor     = 60 * time.Second
)

// playUnreadable plays ordinary traffic while another writer leaves entries in the store that
// can't be read, each as large as the store takes.
func playUnreadable(s *site, trouble bool) (broken bool, err error) {
	t := &tally{started: time.Now()}
	stop := make(chan struct{})
	callers := s.traffic(t, callerPause, stop)
	time.Sleep(5 * time.Second)
	if trouble {
		value := json.RawMessage(`"` + strings.Repeat("?", valueBytes-2) + `"`)
		for i := range unreadableEntries {
			s.store.put("servers", fmt.Sprintf("backup-%03d", i), value)
			time.Sleep(writePause)
		}
		s.rec.logf("another writer has left %d entries of %d bytes that can't be read", unreadableEntries, valueBytes)
	}
	for end := time.Now().Add(unreadableFor); time.Now().Before(end) && !s.hasFault(); {
		from := time.Now()
		time.Sleep(5 * time.Second)
		n, ok, answers := t.between(from.Add(-answerTimeout), time.Now().Add(-answerTimeout))
		s.rec.logf("ordinary requests: %d of %d served, answers %v; memory %s", ok, n, answers, s.memoryText())
	}
	close(stop)
	callers.Wait()
	s.logEnds()
	if n, ok, _ := t.between(t.started, t.started.Add(5*time.Second)); ok == 0 {
		return false, fmt.Errorf("%d of %d requests were served before", ok, n)
	}
	return s.hasFault(), nil
}
