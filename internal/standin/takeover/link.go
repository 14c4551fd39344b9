package main

import (
	"bufio"
	"net"
	"strings"
	"time"
)

func (d *database) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go (&link{d: d, conn: conn, gone: make(chan struct{}), ended: make(chan struct{})}).serve()
	}
}

// link is one connection to a database.
type link struct {
	d     *database
	conn  net.Conn
	from  string        // the host, if there are faults
	gone  chan struct{} // closed when the host has closed the connection
	ended chan struct{} // closed when the connection is no longer served
	mute  bool          // no further answer is sent

	open, readOnly, failed bool
	began                  int // term of the open transaction
	statements             []string
	writes                 []write
	prepared               map[string]string // "READ" or "WRITE" by name
}

// queuedAtMost is the number of lines of a connection that are read ahead.
const queuedAtMost = 1024

func (c *link) serve() {
	defer close(c.ended)
	defer c.conn.Close()
	lines := make(chan string, queuedAtMost)
	go c.read(lines)
	if c.d.g.faults != nil {
		if c.from = c.d.g.faults.sender(c.conn); c.from == "" {
			return // its process has ended
		}
	}
	f := strings.Fields(<-lines)
	if len(f) < 3 || f[0] != "STARTUP" || !c.awaitPath() {
		return
	}
	time.Sleep(connectTime)
	c.d.awaitThaw()
	g, d := c.d.g, c.d
	d.mu.Lock()
	if d.down {
		d.mu.Unlock()
		return
	}
	full := d.conns >= maxConnections
	position := d.position(d.applied)
	if !full {
		d.conns++
		d.links[c] = struct{}{}
	}
	d.mu.Unlock()
	if full {
		c.send("ERROR TOOMANY " + d.id)
		return
	}
	defer func() {
		d.mu.Lock()
		d.conns--
		delete(d.links, c)
		d.mu.Unlock()
	}()
	if f[1] != g.service || len(f) > 3 && f[3] != d.id {
		c.send("ERROR MISROUTED " + d.id)
		return
	}
	c.send("READY I " + position)
	for line := range lines {
		f := strings.SplitN(line, " ", 3)
		if f[0] != "QUERY" || len(f) < 3 || !c.awaitPath() {
			return
		}
		d.awaitThaw()
		answer := c.query(f[1], f[2])
		if c.mute {
			<-c.gone
			return
		}
		if !c.answer(answer) {
			return
		}
	}
}

// lateReady stands for a READY line that is formed when it is sent.
const lateReady = "READY"

// commitAnswer begins the answer to a commit or a write.
const commitAnswer = "COMPLETE " + signaturePrefix

// answer sends the lines of an answer. They wait while the database stands still or
// the path is cut, and at times on their way.
func (c *link) answer(lines []string) bool {
	d := c.d
	d.awaitThaw()
	if last := len(lines) - 1; lines[last] == lateReady {
		select {
		case <-time.After(d.g.faults.between(0, latestReady)):
		case <-c.gone:
			return false
		}
		d.awaitThaw()
		lines[last] = c.ready()
	}
	if strings.HasPrefix(lines[0], commitAnswer) {
		select {
		case <-time.After(d.g.faults.hold(d.g.with)):
		case <-c.gone:
			return false
		}
	}
	return c.awaitPath() && c.send(lines...)
}

// read reads the lines of a connection ahead, so that its end is seen while a statement
// is held up.
func (c *link) read(lines chan<- string) {
	defer close(lines)
	r := bufio.NewReader(c.conn)
	for {
		line, err := readLine(r)
		if err != nil {
			close(c.gone)
			return
		}
		select {
		case lines <- line:
		case <-c.ended:
			close(c.gone)
			return
		}
	}
}

// awaitPath waits until the path between the host and the database is whole. It reports
// false if the host closes the connection meanwhile, or the path stays cut.
func (c *link) awaitPath() bool { return c.d.g.faults.await(c.gone, c.from, c.d.id) }

func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}

func (c *link) send(lines ...string) bool {
	_, err := c.conn.Write([]byte(strings.Join(lines, "\r\n") + "\r\n"))
	return err == nil
}
