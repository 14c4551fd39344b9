package datacentre

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/bronzeloft/bronzeloft/contract"
)

// Never is the confirmed age of a configuration that was never confirmed.
const Never = time.Duration(math.MaxInt64)

// Configuration is the configuration in force on one host. Calls of Offer, Confirm
// and Source must be serialized with each other and with the calls of the Table
// that uses it; the other methods are safe for concurrent use. Only Offer changes
// the snapshot in force.
//
// A version in force is never replaced by a lower one. A host that lost contact
// with the platform and with every peer that can reach it continues with its
// current version, since it cannot know of a newer one. ConfirmedAge bounds the
// age of its configuration, and Expired reports whether the operator's limit on
// that age is exceeded.
type Configuration struct {
	refuseAfter time.Duration
	replaces    func(current, offered uint64) bool
	current     atomic.Pointer[contract.Snapshot]
	confirmed   atomic.Pointer[time.Time]
	source      string
	transfer    transfer
}

// NewConfiguration returns a configuration with version 0 in force. refuseAfter is
// the age of the last confirmation above which Expired reports true; 0 means
// never.
func NewConfiguration(refuseAfter time.Duration) *Configuration {
	c := &Configuration{refuseAfter: refuseAfter, replaces: isHigher}
	c.current.Store(&contract.Snapshot{})
	return c
}

func isHigher(current, offered uint64) bool { return offered > current }

// Offer puts a snapshot in force if its version is higher than the current
// one, and reports whether it did. from names the peer or the platform that
// supplied it. The snapshot must not be modified afterwards.
func (c *Configuration) Offer(snap *contract.Snapshot, from string, _ time.Time) bool {
	current := c.current.Load()
	if snap == nil || !c.replaces(current.Version, snap.Version) {
		return false
	}
	c.transfer.keepReplaced(current)
	c.current.Store(snap)
	c.source = from
	return true
}

// Version returns the version in force, 0 before the first snapshot.
func (c *Configuration) Version() uint64 { return c.current.Load().Version }

// Current returns the snapshot in force. It is never nil and must not be
// modified.
func (c *Configuration) Current() *contract.Snapshot { return c.current.Load() }

// Source returns the peer or platform that supplied the snapshot in force.
func (c *Configuration) Source() string { return c.source }

// Confirm records that the platform returned version as its newest in answer to a
// request sent at the time asked. An answer with another version than the one in
// force confirms nothing: a lower version is stale, and a higher one has to be
// offered first.
func (c *Configuration) Confirm(version uint64, asked time.Time) {
	if version == c.Version() {
		c.confirm(asked)
	}
}

// confirm records that nothing newer than the current version existed at the
// given time.
func (c *Configuration) confirm(at time.Time) {
	if old := c.confirmed.Load(); old == nil || at.After(*old) {
		c.confirmed.Store(&at)
	}
}

// ConfirmedAge returns the time since it was last certain that the platform held
// nothing newer than the version in force, or Never if that was never certain.
func (c *Configuration) ConfirmedAge(now time.Time) time.Duration {
	at := c.confirmed.Load()
	if at == nil {
		return Never
	}
	return max(0, now.Sub(*at))
}

// Expired reports whether a limit is configured and the last confirmation is older
// than it or missing. The host should then refuse requests, since keys in its
// snapshot may have been withdrawn.
func (c *Configuration) Expired(now time.Time) bool {
	return c.refuseAfter > 0 && c.ConfirmedAge(now) > c.refuseAfter
}
