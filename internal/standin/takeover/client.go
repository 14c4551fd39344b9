package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net"
	"strings"
	"time"
)

// client is one session of a caller.
type client struct {
	s      *site
	name   string
	tenant string
	build  *build // of the host
	conn   net.Conn
	r      *bufio.Reader
}

// reply is the answer to one statement. If err is set, the connection ended or the
// answer did not come in time.
type reply struct {
	id    string
	code  string // of an ERROR; empty after a success
	rows  []string
	sign  string // the signature of a success
	state string
	err   error
}

func (s *site) connect(name string, h *hostProcess, database, tenant string) (*client, error) {
	conn, err := net.DialTimeout("tcp", h.callers, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{s: s, name: name, tenant: tenant, conn: conn, r: bufio.NewReader(conn)}
	if err := conn.SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
		return nil, err
	}
	if _, err := conn.Write([]byte("STARTUP " + database + " " + keyOf(tenant) + "\r\n")); err != nil {
		conn.Close()
		return nil, err
	}
	line, err := readLine(c.r)
	if err == nil && !strings.HasPrefix(line, "READY I") {
		err = errors.New(line)
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	c.build = h.build.Load()
	return c, nil
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// query sends one statement and waits for its answer.
func (c *client) query(text string, timeout time.Duration) reply {
	out := reply{id: newID()}
	sent := time.Now()
	if out.err = c.conn.SetDeadline(sent.Add(timeout)); out.err != nil {
		return out
	}
	if _, out.err = c.conn.Write([]byte("QUERY " + out.id + " " + text + "\r\n")); out.err != nil {
		c.s.rec.logf("%s sends %s %s: not sent, %v", c.name, out.id, text, out.err)
		return out
	}
	for {
		var line string
		if line, out.err = readLine(c.r); out.err != nil {
			break
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			out.rows = append(out.rows, rest)
		case "COMPLETE":
			out.sign = rest
		case "ERROR":
			out.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			out.state, _, _ = strings.Cut(rest, " ")
		}
		if word == "READY" {
			break
		}
	}
	result := "ok " + strings.Join(out.rows, ",")
	switch {
	case out.err != nil && out.code != "":
		out.err = nil // an ERROR that ends the session
		result = out.code + ", and the connection ends"
	case out.err != nil:
		result = "no answer: " + out.err.Error()
	case out.code != "":
		result = out.code
	}
	c.s.rec.logf("%s sends %s %s: after %d ms %s", c.name, out.id, text, time.Since(sent).Milliseconds(), result)
	return out
}

func (c *client) close() { c.conn.Close() }
