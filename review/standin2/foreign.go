package main

import "time"

// beforeCrash is how long ordinary traffic runs before the primary is lost.
const beforeCrash = 10 * time.Second

// foreignName names the entry that another writer has left in the store. It stands for no
// database: nothing listens at its address.
const (
	foreignName    = "inventory-7"
	foreignAddress = "127.0.0.77:9"
)

// playForeignEntry plays the loss of a primary right before the final fault, with the entry of
// another writer in the store. The entry lacks version, coldLeftMs, seq and born.
func playForeignEntry(s *site, trouble bool) (broken bool, err error) {
	if trouble {
		s.store.put("servers", foreignName, map[string]any{"service": firstService, "address": foreignAddress, "zone": s.zones[1],
			"slots": databaseSlots, "state": "ready", "dbRole": "replica"})
		s.rec.logf("another writer leaves the entry %s, which lacks version, coldLeftMs, seq and born", foreignName)
	}
	t := &tally{started: time.Now()}
	stop := make(chan struct{})
	callers := s.traffic(t, callerPause, stop)
	defer func() {
		close(stop)
		callers.Wait()
	}()
	return s.loseEverything(t, time.Now().Add(beforeCrash))
}
