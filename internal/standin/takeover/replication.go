package main

import (
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"
)

// learn makes the database follow the primary of a newer term, whose log it had when it
// was promoted. What that log lacks is rolled back.
func (d *database) learn(leader *database, term int, log []entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if term <= d.term {
		return
	}
	kept := commonLength(d.log, log)
	if kept < len(d.log) {
		d.busyUntil = time.Now().Add(rollbackTime)
	}
	d.log = d.log[:kept:kept]
	d.applied = min(d.applied, kept)
	d.term, d.leader, d.paused, d.demoted = term, leader, 0, false
	d.notify()
}

// followPoll is the time between two looks of a replica that receives nothing.
const followPoll = 10 * time.Millisecond

// batch bounds the commits that are received at once.
const batch = 200

// follow receives the log of the primary that the database knows, for good.
func (d *database) follow() {
	for {
		d.awaitThaw()
		d.mu.Lock()
		leader, term, n, changed := d.leader, d.term, len(d.log), d.changed
		receives := !d.down && leader != d && d.paused == 0
		d.mu.Unlock()
		if !receives || d.g.faults.isCut(leader.id, d.id) || leader.frozen() {
			waitFor(changed, followPoll)
			continue
		}
		entries, grown := leader.after(term, n)
		if len(entries) == 0 {
			waitFor(grown, followPoll)
			continue
		}
		time.Sleep(receiveDelay)
		if !d.g.faults.await(nil, leader.id, d.id) {
			continue
		}
		d.awaitThaw()
		d.receive(leader, term, n, entries)
	}
}

func waitFor(changed <-chan struct{}, most time.Duration) {
	select {
	case <-changed:
	case <-time.After(most):
	}
}

// after returns the entries behind the first n, if the database leads a term.
func (d *database) after(term, n int) ([]entry, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down || !d.leads() || d.term != term || n >= len(d.log) {
		return nil, d.changed
	}
	return slices.Clone(d.log[n:min(n+batch, len(d.log))]), d.changed
}

// receive appends what the primary of a term has sent, and confirms it.
func (d *database) receive(leader *database, term, n int, entries []entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.term != term || d.leader != leader || len(d.log) != n || d.down || d.paused != 0 {
		return
	}
	d.log = append(d.log, entries...)
	received := len(d.log)
	d.history = append(d.history, progress{at: time.Now(), term: term, received: received})
	d.notify()
	time.AfterFunc(applyDelay, func() {
		d.awaitThaw()
		d.mu.Lock()
		if d.term == term {
			d.applied = max(d.applied, min(received, len(d.log)))
		}
		d.mu.Unlock()
	})
	go func() {
		time.Sleep(receiveDelay)
		if !d.g.faults.await(nil, leader.id, d.id) {
			return // it is confirmed with the next one
		}
		leader.awaitThaw()
		leader.mu.Lock()
		if leader.term == term {
			leader.confirmed[d.id] = max(leader.confirmed[d.id], received)
			leader.notify()
		}
		leader.mu.Unlock()
	}()
}

// isConfirmed reports whether a replica has confirmed n entries. d.mu is held.
func (d *database) isConfirmed(n int) bool {
	for _, received := range d.confirmed {
		if received >= n {
			return true
		}
	}
	return false
}

// firstNumber precedes the number of the first entry of a log.
const firstNumber = 1000

// position returns a position in the log. d.mu is held.
func (d *database) position(n int) string { return fmt.Sprintf("%d.%d", d.term, firstNumber+n) }

// parsePosition returns the number of entries that a position stands for, or a number
// beyond every log for a newer term. d.mu is held.
func (d *database) parsePosition(text string) int {
	term, number, _ := strings.Cut(text, ".")
	t, err1 := strconv.Atoi(term)
	n, err2 := strconv.Atoi(number)
	switch {
	case err1 != nil || err2 != nil || t > d.term:
		return 1 << 30
	case t < d.term:
		kept := sort.Search(len(d.log), func(i int) bool { return d.log[i].term > t })
		return min(n-firstNumber, kept)
	}
	return n - firstNumber
}
