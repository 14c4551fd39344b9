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
	gone  chan struct{} // closed when the host has closed the connection
	ended chan struct{} // closed when the connection is no longer served
	mute  bool          // no further answer is sent

	committed string // id of the commit that the next answer confirms

	open, readOnly, failed bool
	began                  int // term of the open transaction
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
	word, rest, _ := strings.Cut(<-lines, " ")
	switch word {
	case wordControl:
		c.d.serveControl(c.conn, lines)
	case wordFollow:
		c.d.serveFollower(c.conn, rest, lines)
	case "STARTUP":
		c.serveHost(strings.Fields(rest), lines)
	}
}

// serveHost serves a connection of a host, which names the service, the tenant and, at
// times, the database.
func (c *link) serveHost(f []string, lines <-chan string) {
	if len(f) < 2 {
		return
	}
	time.Sleep(c.d.Connect)
	d := c.d
	d.awaitGate()
	d.mu.Lock()
	full := d.conns >= d.Connections
	position := d.position(d.applied)
	if !full {
		d.conns++
	}
	d.mu.Unlock()
	if full {
		c.send("ERROR TOOMANY " + d.ID)
		return
	}
	defer func() {
		d.mu.Lock()
		d.conns--
		d.mu.Unlock()
	}()
	if f[0] != d.Service || len(f) > 2 && f[2] != d.ID {
		c.send("ERROR MISROUTED " + d.ID)
		return
	}
	c.send("READY I " + position)
	for line := range lines {
		f := strings.SplitN(line, " ", 3)
		if f[0] != "QUERY" || len(f) < 3 {
			return
		}
		d.awaitGate()
		answer := c.query(f[1], f[2])
		if c.mute {
			<-c.gone
			return
		}
		d.awaitGate()
		if last := len(answer) - 1; answer[last] == lateReady {
			time.Sleep(d.upTo(latestReady))
			d.awaitGate()
			answer[last] = c.ready()
		}
		if !c.send(answer...) {
			return
		}
		if c.committed != "" {
			d.journal.write(journalLine{Confirmed: c.committed})
			c.committed = ""
		}
	}
}

// lateReady stands for a READY line that is formed when it is sent.
const lateReady = "READY"

// commitAnswer begins the answer to a commit or a write.
const commitAnswer = "COMPLETE " + signaturePrefix

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

func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}

func (c *link) send(lines ...string) bool {
	_, err := c.conn.Write([]byte(strings.Join(lines, "\r\n") + "\r\n"))
	return err == nil
}
