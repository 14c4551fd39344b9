// Package sessionstate carries callers' session values and prepared statements
// across shared database connections.
//
// The proxy keeps the values and prepared statements of each caller's session. A
// database connection serves one session after another: before each statement of
// a session, the proxy runs the statements that Connection.Sync returns, which set
// the session's values on the connection. Prepared statements get names generated
// by the proxy, so that callers' names cannot collide and sessions with the same
// form share one prepared statement.
package sessionstate

import (
	"maps"
	"slices"
	"strconv"

	"github.com/bronzeloft/bronzeloft/statement"
)

// Bounds of a session's state. Requests that would exceed them are refused.
const (
	MaxValues   = 256
	MaxPrepared = 1024
)

// maxConnPrepared bounds the prepared statements of one database connection.
// A connection that reaches it is closed instead of reused (see Full).
const maxConnPrepared = 256

// Form is a prepared statement without its name.
type Form struct {
	Writes bool   // the statement writes
	Shape  string // its definition; not interpreted by the proxy
}

// Session is the state of a caller's session. Its maps are copied on write, so
// that another goroutine can use a copy of a Session.
type Session struct {
	Values   map[string]string // by name
	Prepared map[string]Form   // by the caller's name
}

// Set stores a value. It returns false if the name is new and the session holds
// MaxValues already.
func (s *Session) Set(name, value string) bool {
	if _, known := s.Values[name]; !known && len(s.Values) >= MaxValues {
		return false
	}
	s.Values = withEntry(s.Values, name, value)
	return true
}

// Prepare stores a prepared statement. It returns false if the name is new and the
// session holds MaxPrepared already.
func (s *Session) Prepare(name string, form Form) bool {
	if _, known := s.Prepared[name]; !known && len(s.Prepared) >= MaxPrepared {
		return false
	}
	s.Prepared = withEntry(s.Prepared, name, form)
	return true
}

// Deallocate removes a prepared statement.
func (s *Session) Deallocate(name string) {
	s.Prepared = maps.Clone(s.Prepared)
	delete(s.Prepared, name)
}

// Bytes returns the size of the session's values and prepared statements with their names.
func (s *Session) Bytes() int {
	bytes := 0
	for name, value := range s.Values {
		bytes += len(name) + len(value)
	}
	for name, form := range s.Prepared {
		bytes += len(name) + len(form.Shape)
	}
	return bytes
}

func withEntry[V any](m map[string]V, name string, value V) map[string]V {
	out := make(map[string]V, len(m)+1)
	maps.Copy(out, m)
	out[name] = value
	return out
}

// Connection is the session state of a database connection, assuming that every
// statement returned by Sync and EnsurePrepared has succeeded. If one fails, the
// connection must be closed. The zero value is a new connection.
type Connection struct {
	values   map[string]string // by name
	prepared map[Form]string   // name on the connection
	nameSeq  int               // number of the last generated name
}

// Sync returns the statements that set exactly the session's values on the
// connection. If the connection holds a value that the session lacks, the first is
// a Reset, which also drops the connection's prepared statements.
func (c *Connection) Sync(s Session) []statement.Statement {
	var out []statement.Statement
	if c.hasStaleValue(s.Values) {
		out = append(out, statement.Statement{Kind: statement.Reset})
		c.values, c.prepared = nil, nil
	}
	for _, name := range slices.Sorted(maps.Keys(s.Values)) {
		value := s.Values[name]
		if held, ok := c.values[name]; ok && held == value {
			continue
		}
		if c.values == nil {
			c.values = map[string]string{}
		}
		c.values[name] = value
		out = append(out, statement.Statement{Kind: statement.Set, Name: name, Args: value})
	}
	return out
}

// hasStaleValue reports whether the connection holds a value whose name is not
// in values.
func (c *Connection) hasStaleValue(values map[string]string) bool {
	for name := range c.values {
		if _, ok := values[name]; !ok {
			return true
		}
	}
	return false
}

// EnsurePrepared returns the connection's name for a form, and the statement
// that prepares it if the connection does not hold it yet.
func (c *Connection) EnsurePrepared(f Form) (string, []statement.Statement) {
	if name, ok := c.prepared[f]; ok {
		return name, nil
	}
	if c.prepared == nil {
		c.prepared = map[Form]string{}
	}
	c.nameSeq++
	name := "b" + strconv.Itoa(c.nameSeq)
	c.prepared[f] = name
	return name, []statement.Statement{{Kind: statement.Prepare, Name: name, Writes: f.Writes, Shape: f.Shape}}
}

// Full reports whether the connection holds so many prepared statements that
// it should be closed instead of reused.
func (c *Connection) Full() bool { return len(c.prepared) >= maxConnPrepared }
