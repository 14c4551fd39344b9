package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

var lastID atomic.Uint64

// client is one session of a tenant.
type client struct {
	ledger *ledger
	conn   net.Conn
	r      *bufio.Reader
}

// Times that clients wait for answers.
const (
	startupTimeout = 2 * time.Second
	answerTimeout  = 4 * time.Second
)

// dial opens a session on a host.
func dial(h *host, database, key string) (*client, error) {
	conn, err := net.DialTimeout("tcp", h.callers, startupTimeout)
	if err != nil {
		return nil, err
	}
	c := &client{ledger: h.s.ledger, conn: conn, r: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(startupTimeout))
	if _, err = fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, key); err == nil {
		var line string
		if line, err = readLine(c.r); err == nil && !strings.HasPrefix(line, "READY I") {
			err = fmt.Errorf("startup answered with %s", line)
		}
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return c, nil
}

func (c *client) close() { _ = c.conn.Close() }

// query sends one statement and returns the first word of what ends its answer, COMPLETE or ERROR,
// with the fields of that line.
func (c *client) query(text string) (word, fields string, err error) {
	_ = c.conn.SetDeadline(time.Now().Add(answerTimeout))
	id := fmt.Sprintf("%016x", lastID.Add(1))
	c.ledger.recordSent(id)
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return "", "", err
	}
	for {
		line, err := readLine(c.r)
		if err != nil {
			return "", "", err
		}
		first, rest, _ := strings.Cut(line, " ")
		switch first {
		case "COMPLETE", "ERROR":
			word, fields = first, rest
		case "READY":
			if word == "COMPLETE" && fields != "-" {
				c.ledger.recordAcked(id)
			}
			return word, fields, nil
		}
	}
}

// served reports whether a statement succeeded with a database's signature.
func served(word, fields string, err error) bool {
	return err == nil && word == "COMPLETE" && fields != "-"
}

// tally counts requests by the second in which they were sent.
type tally struct {
	mu       sync.Mutex
	started  time.Time
	requests []sent
}

type sent struct {
	at     time.Time
	served bool
	answer string
}

func (t *tally) add(s sent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests = append(t.requests, s)
}

// between returns how many requests were sent between two times, and how many of them were served.
func (t *tally) between(from, to time.Time) (n, ok int, answers map[string]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	answers = map[string]int{}
	for _, s := range t.requests {
		if s.at.Before(from) || !s.at.Before(to) {
			continue
		}
		n++
		if s.served {
			ok++
		}
		answers[s.answer]++
	}
	return n, ok, answers
}

// traffic runs ordinary callers until stop is closed: on each host one session a route, each of
// which sends a statement every pause.
func (s *site) traffic(t *tally, pause time.Duration, stop <-chan struct{}) *sync.WaitGroup {
	var all sync.WaitGroup
	for i, h := range s.hosts {
		for n, route := range []string{"book", "look", "plan"} {
			all.Go(func() { s.ordinaryCaller(t, h, route, keyOf(s.tenants[(i+n)%len(s.tenants)].name), pause, stop) })
		}
	}
	return &all
}

func (s *site) ordinaryCaller(t *tally, h *host, route, key string, pause time.Duration, stop <-chan struct{}) {
	var c *client
	defer func() {
		if c != nil {
			c.close()
		}
	}()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		at := time.Now()
		var err error
		if c == nil {
			if c, err = dial(h, route+"-"+firstService, key); err != nil {
				t.add(sent{at: at, answer: "no connection"})
				c = nil
				continue
			}
		}
		text := fmt.Sprintf("READ item%d", n%50)
		if route == "book" && n%3 == 0 {
			text = fmt.Sprintf("WRITE item%d data%d", n%50, n)
		}
		word, fields, err := c.query(text)
		answer := "served"
		switch {
		case err != nil:
			answer = "no answer"
		case word == "ERROR":
			answer, _, _ = strings.Cut(fields, " ")
		}
		t.add(sent{at: at, served: served(word, fields, err), answer: answer})
		if err != nil {
			c.close()
			c = nil
		}
	}
}
