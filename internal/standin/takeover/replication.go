package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"
)

// wordFollow begins a connection of a replica.
const wordFollow = "FOLLOW"

// followRequest asks for the entries behind the first Received ones.
type followRequest struct {
	ID       string
	Term     int
	Received int
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
	request := followRequest{ID: d.ID, Term: term, Received: len(d.log)}
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
		var entries []entry
		if err != nil || json.Unmarshal([]byte(line), &entries) != nil {
			return
		}
		d.awaitGate()
		received, ok := d.receive(term, entries)
		if !ok {
			return
		}
		if _, err := fmt.Fprintf(conn, "%d\r\n", received); err != nil {
			return
		}
	}
}

// receive appends what the primary of a term has sent, and returns the length of the log.
func (d *database) receive(term int, entries []entry) (int, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.term != term || d.paused != 0 {
		return 0, false
	}
	d.append(entries)
	received := len(d.log)
	time.AfterFunc(applyDelay, func() {
		d.mu.Lock()
		if d.term == term {
			d.applied = max(d.applied, min(received, len(d.log)))
		}
		d.mu.Unlock()
	})
	return received, true
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
			n, err := strconv.Atoi(line)
			d.awaitGate()
			d.mu.Lock()
			if err == nil && d.term == req.Term {
				d.confirmed[req.ID] = max(d.confirmed[req.ID], n)
				d.notify()
			}
			d.mu.Unlock()
		}
	}()
	for sent := req.Received; ; {
		d.awaitGate()
		d.mu.Lock()
		if d.term != req.Term || !d.leads() || sent > len(d.log) {
			d.mu.Unlock()
			return
		}
		entries, changed := slices.Clone(d.log[sent:min(sent+batch, len(d.log))]), d.changed
		d.mu.Unlock()
		if len(entries) == 0 {
			<-changed
			continue
		}
		time.Sleep(receiveDelay)
		raw, err := json.Marshal(entries)
		if err != nil {
			return
		}
		if _, err := conn.Write(append(raw, "\r\n"...)); err != nil {
			return
		}
		sent += len(entries)
	}
}

// isConfirmed reports whether a replica has confirmed n entries. mu is held.
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

// position returns a position in the log. mu is held.
func (d *database) position(n int) string { return fmt.Sprintf("%d.%d", d.term, firstNumber+n) }

// parsePosition returns the number of entries that a position stands for, or a number
// beyond every log for a newer term. mu is held.
func (d *database) parsePosition(text string) int {
	term, number, _ := strings.Cut(text, ".")
	t, err1 := strconv.Atoi(term)
	n, err2 := strconv.Atoi(number)
	switch {
	case err1 != nil || err2 != nil || t > d.term:
		return 1 << 30
	case t < d.term:
		kept := sort.Search(len(d.log), func(i int) bool { return d.log[i].Term > t })
		return min(n-firstNumber, kept)
	}
	return n - firstNumber
}
