package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"time"
)

// wordFollow begins a connection of a replica.
const wordFollow = "FOLLOW"

// followRequest asks for the entries behind a number.
type followRequest struct {
	ID       string
	Term     int
	After    int
	Received receipts
}

// shipment is what a primary sends to a replica at once.
type shipment struct {
	At      time.Time
	Entries []entry
}

// followPause is the time after which a replica dials the primary again.
const followPause = 20 * time.Millisecond

// batch bounds the commits that are sent at once.
const batch = 200

// follow receives the log of the primary that the database knows, for good.
func (d *database) follow() {
	for ; ; time.Sleep(followPause) {
		d.mu.Lock()
		leads, paused, upstream, term := d.leader == d.ID, d.paused, d.upstream, d.term
		d.mu.Unlock()
		if leads || paused != 0 || upstream == "" {
			continue
		}
		conn, err := net.DialTimeout("tcp", upstream, time.Second)
		if err != nil {
			continue
		}
		d.followOn(conn, term)
		conn.Close()
	}
}

// followOn receives entries over one connection until the term ends or the database is
// paused.
func (d *database) followOn(conn net.Conn, term int) {
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		for {
			d.mu.Lock()
			over, changed := d.term != term || d.paused != 0, d.changed
			d.mu.Unlock()
			if over {
				conn.Close()
				return
			}
			select {
			case <-changed:
			case <-ended:
				return
			}
		}
	}()
	d.mu.Lock()
	request := followRequest{ID: d.ID, Term: term, After: d.numberAt(len(d.log)), Received: d.received()}
	d.mu.Unlock()
	raw, err := json.Marshal(request)
	if err != nil {
		return
	}
	if _, err := fmt.Fprintf(conn, "%s %s\r\n", wordFollow, raw); err != nil {
		return
	}
	r := bufio.NewReader(conn)
	for {
		line, err := readLine(r)
		var sent shipment
		if err != nil || json.Unmarshal([]byte(line), &sent) != nil {
			return
		}
		if d.Gaps && time.Since(sent.At) > gapAfter {
			return
		}
		d.awaitGate()
		received, ok := d.receive(term, sent.Entries)
		if !ok {
			return
		}
		if raw, err = json.Marshal(received); err != nil {
			return
		}
		if _, err := fmt.Fprintf(conn, "%s\r\n", raw); err != nil {
			return
		}
	}
}

// receive appends what the primary of a term has sent, and returns the receipts for it.
func (d *database) receive(term int, entries []entry) (receipts, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.term != term || d.paused != 0 {
		return receipts{}, false
	}
	d.append(entries)
	received := len(d.log)
	time.AfterFunc(d.Lag, func() {
		d.mu.Lock()
		if d.term == term {
			d.applied = max(d.applied, min(received, len(d.log)))
		}
		d.mu.Unlock()
	})
	if d.Gaps {
		return receipts{Each: numbersOf(entries)}, true
	}
	return d.received(), true
}

// append appends entries to the log. mu is held.
func (d *database) append(entries []entry) {
	lines := make([]journalLine, len(entries))
	for i := range entries {
		lines[i].Entry = &entries[i]
	}
	d.journal.write(lines...)
	d.log = append(d.log, entries...)
	d.notify()
}

// serveFollower sends the log to a replica and records what it confirms.
func (d *database) serveFollower(conn net.Conn, request string, lines <-chan string) {
	var req followRequest
	if json.Unmarshal([]byte(request), &req) != nil {
		return
	}
	d.mu.Lock()
	if d.term == req.Term {
		d.confirmed[req.ID] = req.Received
		d.notify()
	}
	d.mu.Unlock()
	go func() {
		for line := range lines {
			var more receipts
			err := json.Unmarshal([]byte(line), &more)
			d.awaitGate()
			d.mu.Lock()
			if err == nil && d.term == req.Term {
				d.confirmed[req.ID] = d.confirmed[req.ID].add(more)
				d.notify()
			}
			d.mu.Unlock()
		}
	}()
	for sent := -1; ; {
		d.awaitGate()
		d.mu.Lock()
		if d.term != req.Term || !d.leads() || req.After > d.numberAt(len(d.log)) {
			d.mu.Unlock()
			return
		}
		if sent < 0 {
			sent = d.sendFrom(req.After)
		}
		entries, changed := slices.Clone(d.log[sent:min(sent+batch, len(d.log))]), d.changed
		d.mu.Unlock()
		if len(entries) == 0 {
			<-changed
			continue
		}
		time.Sleep(receiveDelay)
		raw, err := json.Marshal(shipment{At: time.Now(), Entries: entries})
		if err != nil {
			return
		}
		if _, err := conn.Write(append(raw, "\r\n"...)); err != nil {
			return
		}
		sent += len(entries)
	}
}
