package dbserver

import (
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// settings are the run-time parameters of a session. Only statement_timeout
// has an effect.
type settings struct {
	session map[string]string
	local   map[string]string // valid until the transaction block ends
}

func newSettings() settings {
	return settings{session: map[string]string{}, local: map[string]string{}}
}

func (s settings) get(name string) string {
	if v, ok := s.local[name]; ok {
		return v
	}
	return s.session[name]
}

// endBlock discards the values set by SET LOCAL.
func (s settings) endBlock() { clear(s.local) }

func (s settings) reset() {
	clear(s.session)
	clear(s.local)
}

// statementTimeout returns the value of statement_timeout, 0 if unset or invalid.
// A plain number is in milliseconds.
func (s settings) statementTimeout() time.Duration {
	v := s.get("statement_timeout")
	if ms, err := strconv.Atoi(v); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	d, err := time.ParseDuration(v)
	if err != nil {
		return 0
	}
	return d
}

// handleSet handles "SET [SESSION|LOCAL] name {=|TO} value".
func (c *session) handleSet(sql string) {
	fields := strings.Fields(strings.ReplaceAll(sql, "=", " "))[1:]
	target := c.settings.session
	if len(fields) > 0 && strings.EqualFold(fields[0], "local") {
		target, fields = c.settings.local, fields[1:]
	} else if len(fields) > 0 && strings.EqualFold(fields[0], "session") {
		fields = fields[1:]
	}
	if len(fields) > 0 {
		rest := fields[1:]
		if len(rest) > 0 && strings.EqualFold(rest[0], "to") {
			rest = rest[1:]
		}
		target[strings.ToLower(fields[0])] = strings.Trim(strings.Join(rest, " "), "'")
	}
	if c.status == statusIdle {
		c.settings.endBlock() // SET LOCAL has no effect outside a block
	}
	c.complete("SET")
}

// handleSetting handles SET, RESET, SHOW, DISCARD and DEALLOCATE. It returns
// false for any other verb.
func (c *session) handleSetting(verb, sql string, withColumns bool) bool {
	switch verb {
	case "SET":
		c.handleSet(sql)
	case "RESET":
		c.settings.reset()
		c.complete("RESET")
	case "DISCARD":
		c.settings.reset()
		clear(c.statements)
		c.complete("DISCARD ALL")
	case "DEALLOCATE":
		c.deallocate(sql)
	case "SHOW":
		c.show(showName(sql), withColumns)
	default:
		return false
	}
	return true
}

func (c *session) deallocate(sql string) {
	fields := strings.Fields(sql)
	name := fields[len(fields)-1]
	if strings.EqualFold(name, "all") {
		clear(c.statements)
	}
	delete(c.statements, strings.Trim(name, `"`))
	c.complete("DEALLOCATE")
}

func showName(sql string) string {
	fields := strings.Fields(sql)
	return strings.ToLower(fields[len(fields)-1])
}

func (c *session) show(name string, withColumns bool) {
	if withColumns {
		c.send(rowDescription([]string{name}))
	}
	c.send(&pgproto3.DataRow{Values: [][]byte{[]byte(c.settings.get(name))}})
	c.complete("SHOW")
}
