package datacentre

import (
	"time"
)

// Member is a host that is considered alive.
type Member struct {
	Address       string
	DataCentre    string
	BootID        string    // empty while the boot is known only through peers
	Direct        bool      // this host receives messages from it
	LastSeen      time.Time // newest evidence of life, own or reported by peers
	ConfigVersion uint64    // highest version in its digests since the last loss of contact
	RosterVersion uint64    // from its last digest
}

// member is the table's record of one host.
type member struct {
	address    string
	dataCentre string // empty for a seed until the host itself, a list or a peer names it
	bootID     string
	boot       uint32 // hash of the boot id, 0 when unknown

	seeded        bool
	listed        bool // on the platform's list
	listedLeaving bool // the platform's list marks it as leaving
	rostered      bool // in the roster of the configuration in force

	lastContact  time.Time // when this host last received a message from it
	contact      bool      // a message was received since the last recorded loss
	lastSeen     time.Time // newest evidence of life, own or reported by peers
	lostAt       time.Time // newest time at which a host lost direct contact with it
	dialingSince time.Time // when it was chosen as a peer before any contact; zero after contact
	leaving      bool      // this boot announced that it is shutting down

	chosen          bool      // is among Peers
	needsDigest     bool      // connected, and no digest sent since
	sequence        uint64    // of its last digest
	configVersion   uint64    // highest version in its digests since the last loss of contact
	rosterVersion   uint64    // from its last digest
	failedAt        time.Time // last failed or unanswered snapshot request to it
	priorityDigests int       // number of further digests that list it first
}

// Number of digests that carry a change of a member. An arrival is repeated by
// the rotation over live members; a loss or departure is not, so it is sent more
// often.
const (
	arrivalRepeats = 1
	lossRepeats    = 3
)

// direct reports whether this host received a message from the member recently.
func (m *member) direct(t Timing, now time.Time) bool {
	return !m.lastContact.IsZero() && now.Sub(m.lastContact) <= t.SilentAfter
}

// newestLoss returns the newest time at which this host or another one lost
// direct contact with the member.
func (m *member) newestLoss(t Timing, now time.Time) time.Time {
	newest := m.lostAt
	if m.contact && m.chosen && !m.direct(t, now) {
		newest = later(newest, m.lastContact.Add(t.SilentAfter))
	}
	return newest
}

// live reports whether the member is considered alive: it is not leaving, and it
// is in direct contact or was seen within IndirectLifetime and after the newest
// loss.
func (m *member) live(t Timing, now time.Time) bool {
	switch {
	case m.leaving || m.lastSeen.IsZero():
		return false
	case m.direct(t, now):
		return true
	default:
		return now.Sub(m.lastSeen) <= t.IndirectLifetime && m.lastSeen.After(m.newestLoss(t, now))
	}
}

// awaitsFirstContact reports whether the member has never been seen but should
// still be dialed: it is not leaving and has not been dialed without success for
// longer than FirstContactTimeout.
func (m *member) awaitsFirstContact(t Timing, now time.Time) bool {
	if m.leaving || m.listedLeaving || !m.lastSeen.IsZero() {
		return false
	}
	return m.dialingSince.IsZero() || now.Sub(m.dialingSince) <= t.FirstContactTimeout
}

func (m *member) usable(t Timing, now time.Time) bool {
	return m.live(t, now) || m.awaitsFirstContact(t, now)
}

// inAnyList reports whether the seeds, the platform's list or the roster name it.
func (m *member) inAnyList() bool { return m.seeded || m.listed || m.rostered }

// recordRestart records a new boot and resets the state that belongs to the
// previous boot at the same address.
func (m *member) recordRestart(bootID string, boot uint32) {
	m.bootID = bootID
	m.boot = boot
	m.leaving = false
	m.sequence = 0
	m.configVersion = 0
	m.rosterVersion = 0
	m.failedAt = time.Time{}
	m.priorityDigests = arrivalRepeats
}

// recordContact records that this host received a message from the member.
func (m *member) recordContact(t Timing, now time.Time) {
	if !m.leaving && !m.live(t, now) {
		m.priorityDigests = arrivalRepeats
	}
	m.lastContact = now
	m.lastSeen = later(m.lastSeen, now)
	m.contact = true
	m.dialingSince = time.Time{}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
