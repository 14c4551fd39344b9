// Package capped bounds connections that have not shown yet that they serve a purpose. One
// beyond the bound closes the oldest, so that a crowd that sends nothing does not keep out
// those that do.
package capped

import (
	"container/list"
	"context"
	"net"
	"net/http"
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
	c := &conn{Conn: raw, conns: l.conns}
	l.conns.Add(c)
	return c, nil
}

type conn struct {
	net.Conn
	conns *Conns

	mu     sync.Mutex // guards closed; taken before conns.mu
	closed bool
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.conns.Remove(c)
	c.mu.Unlock()
	return c.Conn.Close()
}

// count makes the connection count again, unless it is closed.
func (c *conn) count() {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if !closed {
		c.conns.Add(c)
	}
}

// Serve sets the server up so that a connection of Listen does not count while a complete
// request on it is served.
func Serve(srv *http.Server) {
	handler := srv.Handler
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.conns.Remove(c)
			defer c.count()
		}
		handler.ServeHTTP(w, r)
	})
}

// connKey is the key of a request's connection in its context.
type connKey struct{}
