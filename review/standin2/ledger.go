package main

import (
	"sync"
	"time"
)

// ledger is what clients have sent and databases have run.
type ledger struct {
	mu      sync.Mutex // guards the fields below
	runs    []requestRun
	sentAt  map[string]time.Time // of requests that no database has run, by id
	commits map[string]uint64    // numbers of the commits of requests, by id
	acked   []uint64             // numbers of the commits that clients were told of
}

// recordCommit records the number of the commit of a request.
func (l *ledger) recordCommit(id string, index uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commits[id] = index
}

// recordAcked records that a client got a success for a request.
func (l *ledger) recordAcked(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if index, ok := l.commits[id]; ok {
		l.acked = append(l.acked, index)
	}
}

// ackedAfter returns how many commits were acknowledged that lie behind the end of a log.
func (l *ledger) ackedAfter(end uint64) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, index := range l.acked {
		if index > end {
			n++
		}
	}
	return n
}

// requestRun is a request of a tenant that a database has run.
type requestRun struct {
	tenant        string
	sent, arrived time.Time
}

// recordSent records that a client sends a request.
func (l *ledger) recordSent(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sentAt[id] = time.Now()
}

// recordRun records a request that a database has run, once for each id.
func (l *ledger) recordRun(tenant, id string, arrived time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if sent, ok := l.sentAt[id]; ok {
		delete(l.sentAt, id)
		l.runs = append(l.runs, requestRun{tenant, sent, arrived})
	}
}

// mostIn returns the largest number of a tenant's requests that were both sent and arrived within
// a window that begins after from, and when that window begins.
func (l *ledger) mostIn(window time.Duration, tenant string, from time.Time) (most int, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var own []requestRun
	for _, r := range l.runs {
		if r.tenant == tenant && !r.sent.Before(from) {
			own = append(own, r)
		}
	}
	for _, first := range own {
		n := 0
		for _, r := range own {
			if !r.sent.Before(first.sent) && !r.arrived.After(first.sent.Add(window)) {
				n++
			}
		}
		if n > most {
			most, at = n, first.sent
		}
	}
	return most, at
}
