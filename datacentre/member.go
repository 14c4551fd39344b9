package datacentre

import (
	"time"
)

// Member is a host that counts as alive.
type Member struct {
	Address       string
	DataCentre    string
	BootID        string    // empty while only others heard it
	Direct        bool      // this host hears it itself
	LastSeen      time.Time // newest evidence, own or from others
	ConfigVersion uint64    // from its last digest; 0 when not direct
	RosterVersion uint64
}

// member is what the table keeps of one host.
type member struct {
	address    string
	dataCentre string // empty for a seed that was never heard
	bootID     string
	boot       uint32 // hash of the boot id, 0 when unknown

	seeded        bool
	listed        bool // on the platform's list
	listedLeaving bool
	rostered      bool

	heardAt time.Time // last message received here
	contact bool      // heardAt is followed by silence that was not noted yet
	seenAt  time.Time // newest evidence of life, own or from others
	lostAt  time.Time // newest time at which a host in direct contact missed it
	triedAt time.Time // chosen as a peer without having been heard since
	leaving bool      // this boot announced its end

	chosen    bool   // among Peers
	greet     bool   // connected, and no digest sent since
	sequence  uint64 // of its last digest
	config    uint64
	roster    uint64
	failedAt  time.Time // last snapshot request that it did not answer
	newsTurns int       // digests that still put it in front
}

// Number of digests that carry a change of a member. An arrival is also told
// in turn, a loss or departure is not.
const (
	arrivalRepeats = 1
	lossRepeats    = 3
)

// direct reports whether the member was heard here recently.
func (m *member) direct(t Timing, now time.Time) bool {
	return !m.heardAt.IsZero() && now.Sub(m.heardAt) <= t.SilentAfter
}

// missedAt returns the newest time at which somebody missed it.
func (m *member) missedAt(t Timing, now time.Time) time.Time {
	missed := m.lostAt
	if m.contact && m.chosen && !m.direct(t, now) {
		missed = later(missed, m.heardAt.Add(t.SilentAfter))
	}
	return missed
}

// live reports whether the member counts as alive.
func (m *member) live(t Timing, now time.Time) bool {
	switch {
	case m.leaving || m.seenAt.IsZero():
		return false
	case m.direct(t, now):
		return true
	default:
		return now.Sub(m.seenAt) <= t.VouchedFor && m.seenAt.After(m.missedAt(t, now))
	}
}

// hopeful reports whether a list names it and it has not yet been tried in
// vain.
func (m *member) hopeful(t Timing, now time.Time) bool {
	if m.leaving || m.listedLeaving || !m.seenAt.IsZero() {
		return false
	}
	return m.triedAt.IsZero() || now.Sub(m.triedAt) <= t.HopeFor
}

func (m *member) usable(t Timing, now time.Time) bool {
	return m.live(t, now) || m.hopeful(t, now)
}

// hinted reports whether a list names it.
func (m *member) hinted() bool { return m.seeded || m.listed || m.rostered }

// restart notes another boot at the same address.
func (m *member) restart(bootID string, boot uint32) {
	m.bootID = bootID
	m.boot = boot
	m.leaving = false
	m.sequence = 0
	m.config = 0
	m.roster = 0
	m.failedAt = time.Time{}
	m.newsTurns = arrivalRepeats
}

// heard notes a message received here.
func (m *member) heard(t Timing, now time.Time) {
	if !m.leaving && !m.live(t, now) {
		m.newsTurns = arrivalRepeats
	}
	m.heardAt = now
	m.seenAt = later(m.seenAt, now)
	m.contact = true
	m.triedAt = time.Time{}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
