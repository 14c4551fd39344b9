package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// hostLink is a connection of a host to a database, over the path between them.
type hostLink struct {
	m        *member
	from     string // the host
	conn, db net.Conn
	gone     chan struct{} // closed when either end has closed
	once     sync.Once
}

func (m *member) carry(conn net.Conn) {
	from := m.g.faults.sender(conn)
	if from == "" || !m.g.faults.await(nil, from, m.id) {
		conn.Close()
		return
	}
	db, err := net.DialTimeout("tcp", m.real, time.Second)
	if err != nil {
		m.front.awaitVoice(nil)
		reset(conn)
		return
	}
	c := &hostLink{m: m, from: from, conn: conn, db: db, gone: make(chan struct{})}
	m.mu.Lock()
	m.links[c] = struct{}{}
	m.mu.Unlock()
	go c.carryAnswers()
	c.carryStatements()
	m.mu.Lock()
	delete(m.links, c)
	m.mu.Unlock()
}

func (c *hostLink) close() {
	c.once.Do(func() {
		close(c.gone)
		c.conn.Close()
		c.db.Close()
	})
}

// awaitPath waits until the path is whole. What is sent over one that is cut is held up.
func (c *hostLink) awaitPath() bool { return c.m.g.faults.await(c.gone, c.from, c.m.id) }

// carryStatements passes on what the host sends, line by line.
func (c *hostLink) carryStatements() {
	defer c.close()
	lines := make(chan string, queuedAtMost)
	go func() {
		defer close(lines)
		r := bufio.NewReader(c.conn)
		for {
			line, err := readLine(r)
			if err != nil {
				c.close() // also while a line is held up
				return
			}
			select {
			case lines <- line:
			case <-c.gone:
				return
			}
		}
	}()
	for line := range lines {
		if !c.awaitPath() || c.disrupt(line) {
			<-c.gone
			return
		}
		if _, err := c.db.Write([]byte(line + "\r\n")); err != nil {
			c.m.front.awaitVoice(c.gone)
			return
		}
	}
}

// disrupt reports whether a line is an order that is to get no answer. It is carried out
// later.
func (c *hostLink) disrupt(line string) bool {
	text, ok := strings.CutPrefix(line, "QUERY - ")
	word, _, _ := strings.Cut(text, " ")
	if !ok || word != "PAUSE" && word != "RESUME" && word != "DEMOTE" {
		return false
	}
	f, rec := c.m.g.faults, c.m.g.rec
	what := fmt.Sprintf("%s of %s for %s (sent at %.3f s)", text, c.from, c.m.id, rec.seconds(time.Now()))
	f.takeover(c.from)
	fate := f.order()
	if !fate.unanswered {
		rec.notef("%s: passed on", what)
		return false
	}
	rec.notef("%s: no answer, carried out after %d ms", what, fate.after.Milliseconds())
	f.later(fate.after, func() {
		rec.notef("%s: carried out, error %v", what, c.m.statement(line))
	})
	return true
}

// statement sends one line to the database over a connection of its own, and waits for the
// answer.
func (m *member) statement(line string) error {
	conn, err := net.DialTimeout("tcp", m.real, time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(silentAtMost)); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(conn, "STARTUP %s late %s\r\n%s\r\n", m.g.service, m.name(), line); err != nil {
		return err
	}
	r := bufio.NewReader(conn)
	for ready := 0; ready < 2; {
		answer, err := readLine(r)
		if err != nil {
			return err
		}
		if strings.HasPrefix(answer, "READY") {
			ready++
		}
	}
	return nil
}

// carryAnswers passes on what the database sends. Answers to commits are held up at
// times.
func (c *hostLink) carryAnswers() {
	defer c.close()
	buf := make([]byte, maxDatagram)
	for {
		n, err := c.db.Read(buf)
		if err != nil {
			c.m.front.awaitVoice(c.gone)
			return
		}
		if strings.HasPrefix(string(buf[:n]), commitAnswer) {
			select {
			case <-time.After(c.m.g.faults.hold(c.m.g.with)):
			case <-c.gone:
				return
			}
		}
		if !c.awaitPath() {
			return
		}
		if _, err := c.conn.Write(buf[:n]); err != nil {
			return
		}
	}
}
