package datacentre

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/bronzeloft/bronzeloft/contract"
)

// Never is the age of a configuration that no news ever confirmed.
const Never = time.Duration(math.MaxInt64)

// Configuration is the configuration in force on one host. Offer, Confirm and
// Source are called by the holder of the lock of the Table that it belongs to,
// the others at any time. Only Offer changes what is in force.
//
// A version once in force is never followed by a lower one. A host that lost
// contact with the platform and with every peer that hears it goes on with what
// it has, since it cannot know of a newer one: Fresh bounds how old its
// knowledge is, and Refuses says whether the operator's limit is passed.
type Configuration struct {
	refuseAfter time.Duration
	replaces    func(current, offered uint64) bool
	current     atomic.Pointer[contract.Snapshot]
	confirmed   atomic.Pointer[time.Time]
	source      string
	transfer    transfer
}

// NewConfig returns a configuration with version 0 in force. refuseAfter is
// the age of the last confirmation at which Refuses turns true; 0 means never.
func NewConfig(refuseAfter time.Duration) *Configuration {
	c := &Configuration{refuseAfter: refuseAfter, replaces: isHigher}
	c.current.Store(&contract.Snapshot{})
	return c
}

func isHigher(current, offered uint64) bool { return offered > current }

// Offer puts a snapshot in force if its version is higher than the current
// one, and reports whether it did. from names the peer, or the platform. The
// snapshot must not be changed afterwards.
func (c *Configuration) Offer(snap *contract.Snapshot, from string, _ time.Time) bool {
	current := c.current.Load()
	if snap == nil || !c.replaces(current.Version, snap.Version) {
		return false
	}
	c.transfer.keepEarlier(current)
	c.current.Store(snap)
	c.source = from
	return true
}

// Version returns the version in force, 0 before the first.
func (c *Configuration) Version() uint64 { return c.current.Load().Version }

// Current returns the snapshot in force. It is never nil and must not be
// changed.
func (c *Configuration) Current() *contract.Snapshot { return c.current.Load() }

// Source returns who offered the snapshot in force.
func (c *Configuration) Source() string { return c.source }

// Confirm notes that the platform, asked at the time asked, named version as
// its newest. An answer with another version than the one in force confirms
// nothing: a lower one is old data, and a higher one has to be offered first.
func (c *Configuration) Confirm(version uint64, asked time.Time) {
	if version == c.Version() {
		c.confirm(asked)
	}
}

// confirm notes that nothing newer than the current version existed at the
// given time.
func (c *Configuration) confirm(at time.Time) {
	if old := c.confirmed.Load(); old == nil || at.After(*old) {
		c.confirmed.Store(&at)
	}
}

// Fresh returns how long ago it was last certain that the platform held
// nothing newer than the version in force; Never if it never was.
func (c *Configuration) Fresh(now time.Time) time.Duration {
	at := c.confirmed.Load()
	if at == nil {
		return Never
	}
	return max(0, now.Sub(*at))
}

// Refuses reports whether the last confirmation is older than the configured
// limit, so that the host should refuse requests rather than serve by keys that
// may have been withdrawn.
func (c *Configuration) Refuses(now time.Time) bool {
	return c.refuseAfter > 0 && c.Fresh(now) > c.refuseAfter
}
