package host

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Bounds of the hosts that this one connects to on demand.
const (
	contactTime = time.Minute // a contact is kept this long after its last use
	maxContacts = 512         // when full, further ones are not connected
)

// contacts are the hosts, besides the peers that membership chooses, that this
// one has something to say to: lenders of shares, and hosts that serve groups.
type contacts struct {
	mu    sync.Mutex // guards until; no other lock is taken under it
	until map[string]time.Time
}

func newContacts() *contacts { return &contacts{until: map[string]time.Time{}} }

// use keeps a connection to address wanted.
func (c *contacts) use(address string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.until[address]; ok || len(c.until) < maxContacts {
		c.until[address] = now.Add(contactTime)
	}
}

// wanted returns the contacts in use.
func (c *contacts) wanted(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.until, func(_ string, until time.Time) bool { return until.Before(now) })
	return slices.Collect(maps.Keys(c.until))
}
