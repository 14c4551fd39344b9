// Package sessionstate moves callers' session values and prepared statements
// between database connections.
//
// A caller's session keeps its values and its prepared statements itself. A
// database connection serves one session after another; before a statement it
// is brought to the session's state by the statements that Connection.Bring
// returns. Prepared statements get names of the proxy's own, so that callers'
// names cannot collide and sessions with the same form share one.
package sessionstate

import (
	"maps"
	"slices"
	"strconv"

	"github.com/bronzeloft/bronzeloft/statement"
)

// Bounds of a session's state. A caller beyond them is refused.
const (
	MaxValues   = 256
	MaxPrepared = 1024
)

// maxConnPrepared bounds the prepared statements of one database connection;
// beyond it the connection is reset.
const maxConnPrepared = 256

// Form is a prepared statement without its name.
type Form struct {
	Writes bool
	Shape  string
}

// Session is the state of a caller's session. Its maps are replaced, never
// changed, so that a copy of a Session can be used by another goroutine.
type Session struct {
	Values   map[string]string
	Prepared map[string]Form
}

// Set keeps a value; false means that there are too many.
func (s *Session) Set(name, value string) bool {
	if _, known := s.Values[name]; !known && len(s.Values) >= MaxValues {
		return false
	}
	s.Values = with(s.Values, name, value)
	return true
}

// Prepare keeps a prepared statement; false means that there are too many.
func (s *Session) Prepare(name string, form Form) bool {
	if _, known := s.Prepared[name]; !known && len(s.Prepared) >= MaxPrepared {
		return false
	}
	s.Prepared = with(s.Prepared, name, form)
	return true
}

// Deallocate forgets a prepared statement.
func (s *Session) Deallocate(name string) {
	s.Prepared = maps.Clone(s.Prepared)
	delete(s.Prepared, name)
}

func with[V any](m map[string]V, name string, value V) map[string]V {
	out := make(map[string]V, len(m)+1)
	maps.Copy(out, m)
	out[name] = value
	return out
}

// Connection is what a database connection holds, assuming that every
// statement that Bring returned has succeeded; where one has not, the
// connection must be closed. The zero value is a new connection.
type Connection struct {
	values   map[string]string
	prepared map[Form]string
	named    int
}

// Bring returns the statements that give the connection the session's values.
func (c *Connection) Bring(s Session) []statement.Statement {
	var out []statement.Statement
	if c.holdsOther(s.Values) {
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

// holdsOther reports whether the connection has a value that is not to be set.
func (c *Connection) holdsOther(values map[string]string) bool {
	for name := range c.values {
		if _, ok := values[name]; !ok {
			return true
		}
	}
	return false
}

// Name returns the connection's name for a form, and the statement that
// prepares it where it is new.
func (c *Connection) Name(f Form) (string, []statement.Statement) {
	if name, ok := c.prepared[f]; ok {
		return name, nil
	}
	if c.prepared == nil {
		c.prepared = map[Form]string{}
	}
	c.named++
	name := "b" + strconv.Itoa(c.named)
	c.prepared[f] = name
	return name, []statement.Statement{{Kind: statement.Prepare, Name: name, Writes: f.Writes, Shape: f.Shape}}
}

// Full reports whether the connection holds so many prepared statements that
// it should be closed instead of kept.
func (c *Connection) Full() bool { return len(c.prepared) >= maxConnPrepared }
