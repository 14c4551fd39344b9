package main

import (
	"bufio"
	"encoding/json"
	"net"
	"strings"
)

// wordControl begins a connection of the platform, which sends orders and receives a state
// for each.
const wordControl = "CONTROL"

// Orders of the platform to a database.
const (
	orderState = "state"
	orderHold  = "hold"  // a promotion begins: nothing is answered until it is known
	orderLead  = "lead"  // lead a term
	orderLearn = "learn" // follow the primary of a term
)

// order is one order of the platform.
type order struct {
	Do       string
	Term     int
	Leader   string
	Upstream string
	IDs      []string // the log of the primary when it was promoted
	Kept     *int     // entries with which a database is to lead, at most
}

// state is the answer to an order.
type state struct {
	Role   string
	Term   int
	Length int      // of its log
	Last   string   // the position of its last entry
	IDs    []string // of its log, for orderLead
}

// serveControl carries out the platform's orders.
func (d *database) serveControl(conn net.Conn, lines <-chan string) {
	for line := range lines {
		var o order
		if err := json.Unmarshal([]byte(line), &o); err != nil {
			return
		}
		raw, err := json.Marshal(d.carryOut(o))
		if err != nil {
			return
		}
		if _, err := conn.Write(append(raw, '\n')); err != nil {
			return
		}
	}
}

func (d *database) carryOut(o order) state {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case o.Do == orderHold && o.Term > d.term:
		if d.isOpen() {
			d.gate = make(chan struct{})
		}
	case o.Do == orderLead && o.Term > d.term:
		if o.Kept != nil {
			d.cutTo(*o.Kept)
		}
		d.term, d.leader, d.demoted, d.paused = o.Term, d.ID, false, 0
		d.applied, d.confirmed = len(d.log), map[string]receipts{}
		d.open()
	case o.Do == orderLearn && o.Term > d.term:
		d.rollBack(o.IDs)
		d.term, d.leader, d.upstream, d.paused, d.demoted = o.Term, o.Leader, o.Upstream, 0, false
		d.open()
	case o.Do == orderLearn:
		d.open()
	}
	out := state{Role: d.role(), Term: d.term, Length: len(d.log), Last: d.lastEntry()}
	if o.Do == orderLead {
		out.IDs = idsOf(d.log)
	}
	return out
}

// isOpen reports whether no promotion is being carried out. mu is held.
func (d *database) isOpen() bool {
	select {
	case <-d.gate:
		return true
	default:
		return false
	}
}

// open ends orderHold. mu is held.
func (d *database) open() {
	if !d.isOpen() {
		close(d.gate)
	}
	d.notify()
}

// controlConn is the platform's connection to a database.
type controlConn struct {
	conn net.Conn
	r    *bufio.Reader
}

func dialControl(address string) (*controlConn, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	if _, err := conn.Write([]byte(wordControl + "\r\n")); err != nil {
		conn.Close()
		return nil, err
	}
	return &controlConn{conn, bufio.NewReader(conn)}, nil
}

func (c *controlConn) do(o order) (state, error) {
	var out state
	raw, err := json.Marshal(o)
	if err != nil {
		return out, err
	}
	if _, err := c.conn.Write(append(raw, '\n')); err != nil {
		return out, err
	}
	line, err := c.r.ReadString('\n')
	if err != nil {
		return out, err
	}
	return out, json.Unmarshal([]byte(strings.TrimSpace(line)), &out)
}
