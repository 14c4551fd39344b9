package host

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Limits on the hosts that this host connects to on demand.
const (
	contactRetention = time.Minute // time from the last use of a contact to its removal
	maxContacts      = 512         // new contacts beyond this number are ignored
)

// contacts holds the hosts that this host connects to in addition to the peers
// selected by the membership protocol: hosts that it sends messages to, such as
// lenders of shares, and hosts that serve groups.
type contacts struct {
	mu     sync.Mutex           // guards expiry; no other lock is taken under it
	expiry map[string]time.Time // end of each contact's retention, by address
}

func newContacts() *contacts { return &contacts{expiry: map[string]time.Time{}} }

// touch adds address, or extends its retention if it is already a contact.
func (c *contacts) touch(address string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.expiry[address]; ok || len(c.expiry) < maxContacts {
		c.expiry[address] = now.Add(contactRetention)
	}
}

// active removes expired contacts and returns the others.
func (c *contacts) active(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.expiry, func(_ string, end time.Time) bool { return end.Before(now) })
	return slices.Collect(maps.Keys(c.expiry))
}
