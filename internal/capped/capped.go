// Package capped bounds connections that have not shown yet that they serve a purpose. One
// beyond the bound closes the oldest, so that a crowd that sends nothing does not keep out
// those that do.
package capped

import (
	"container/list"
	"net"
	"sync"
)

// Conns is a bounded set of connections. It is safe for concurrent use.
type Conns struct {
	max int

	mu       sync.Mutex // guards the fields below; no other lock is taken under it
	order    *list.List // of net.Conn, oldest first
	elements map[net.Conn]*list.Element
}

// New returns a set of at most max connections.
func New(max int) *Conns {
	return &Conns{max: max, order: list.New(), elements: map[net.Conn]*list.Element{}}
}

// Add adds a connection. If there are too many then, it removes and closes the oldest.
func (s *Conns) Add(c net.Conn) {
	s.mu.Lock()
	s.elements[c] = s.order.PushBack(c)
	var oldest net.Conn
	if s.order.Len() > s.max {
		oldest = s.order.Front().Value.(net.Conn)
		s.remove(oldest)
	}
	s.mu.Unlock()
	if oldest != nil {
		_ = oldest.Close() // its owner may have closed it
	}
}

// Remove removes a connection, which then counts no more.
func (s *Conns) Remove(c net.Conn) {
	s.mu.Lock()
	s.remove(c)
	s.mu.Unlock()
}

// remove is Remove with mu held.
func (s *Conns) remove(c net.Conn) {
	if e := s.elements[c]; e != nil {
		s.order.Remove(e)
		delete(s.elements, c)
	}
}

// Listen returns a listener whose connections count until they are closed.
func Listen(l net.Listener, max int) net.Listener { return &listener{l, New(max)} }

type listener struct {
	net.Listener
	conns *Conns
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{raw, l.conns}
	l.conns.Add(c)
	return c, nil
}

type conn struct {
	net.Conn
	conns *Conns
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.conns.Remove(c)
	return c.Conn.Close()
}
