package datacentre

import (
	"slices"
	"strings"
	"time"

	"github.com/bronzeloft/bronzeloft/contract"
	"github.com/bronzeloft/bronzeloft/link/peerpb"
	"github.com/bronzeloft/bronzeloft/objectapi"
)

// Output holds the actions for the host to carry out.
type Output struct {
	// Send holds messages for peers. Those to unconnected peers may be dropped.
	Send []Send
	// FetchFrom is the peer from which to request a snapshot, empty for none. The
	// host passes the result to HandleSnapshot, also if the request failed. After
	// FetchTimeout the table selects another peer but still accepts a late reply,
	// so the host should wait some seconds: a whole snapshot can take that long.
	FetchFrom string
	// Updated reports that another version is in force.
	Updated bool
	// Groups holds received group views that are newer than the known ones.
	Groups []*peerpb.GroupView
}

// Send is a message for one peer.
type Send struct {
	To  string
	Env *peerpb.Envelope
}

// Table is one host's view of the fleet. It has no lock: the host must serialize
// the calls. It keeps at most Limits.Members members. When it is full, a new member
// replaces one that is not alive; if all are alive, it is not added.
type Table struct {
	cfg     Config
	inForce *Configuration
	boot    uint32

	members    map[string]*member
	order      []*member // the same members in the order of addition, for rotation
	newsCursor int       // index in order of the last member sent in rotation
	leaving    bool

	startedAt  time.Time // time of the first call
	digestAt   time.Time // when the next regular digests are due
	sequence   uint64
	sentAt     [sentHistory]sentDigest
	peerCursor int // start of the next rotation over peers, if there are more than DigestPeers

	peers          []string // chosen with the last regular digests; nil before the first choice
	announced      uint64   // last version announced to peers
	rosterObserved uint64   // configuration version whose roster was observed
	rosterVersion  uint64   // version of the roster that this host's shares are based on

	fetch  fetch
	groups groupViews
}

// New returns a table that holds the seeds as members.
func New(cfg Config) *Table {
	cfg = cfg.withDefaults()
	t := &Table{
		cfg:      cfg,
		inForce:  cfg.InForce,
		boot:     bootHash(cfg.BootID),
		members:  make(map[string]*member),
		sequence: uint64(cfg.Rand.Uint32()),
		groups:   newGroupViews(cfg.Limits.Groups),
	}
	for _, address := range cfg.Seeds {
		if m := t.ensureMember(address, time.Time{}); m != nil {
			m.seeded = true
		}
	}
	return t
}

// InForce returns the configuration in force.
func (t *Table) InForce() *Configuration { return t.inForce }

// Config returns the settings, with defaults filled in.
func (t *Table) Config() Config { return t.cfg }

// ensureMember returns the member with the address and adds it if needed. It
// returns nil for this host itself, and if the table is full of live members.
func (t *Table) ensureMember(address string, now time.Time) *member {
	if m := t.members[address]; m != nil {
		return m
	}
	if address == t.cfg.Self || address == "" {
		return nil
	}
	if len(t.members) >= t.cfg.Limits.Members && !t.evict(now) {
		return nil
	}
	m := &member{address: address}
	t.members[address] = m
	t.order = append(t.order, m)
	return m
}

// evict removes the least recently seen member that is not alive and reports
// whether there was one.
func (t *Table) evict(now time.Time) bool {
	var oldest *member
	for _, m := range t.order {
		if m.live(t.cfg.Timing, now) {
			continue
		}
		if oldest == nil || m.lastSeen.Before(oldest.lastSeen) {
			oldest = m
		}
	}
	if oldest == nil {
		return false
	}
	t.remove(oldest)
	return true
}

func (t *Table) remove(m *member) {
	delete(t.members, m.address)
	if i := slices.Index(t.order, m); i >= 0 {
		t.order = slices.Delete(t.order, i, i+1)
	}
}

// ObserveList records the platform's list of hosts. The list lags, so it only adds
// candidates to dial; it never changes whether a member is considered alive.
func (t *Table) ObserveList(list []objectapi.HostState, now time.Time) {
	t.recordStart(now)
	for _, m := range t.order {
		m.listed, m.listedLeaving = false, false
	}
	for _, host := range list {
		m := t.ensureMember(host.Address, now)
		if m == nil {
			continue
		}
		m.listed, m.listedLeaving = true, host.Leaving
		m.setListedCentre(host.DataCentre)
	}
}

// ObserveRoster records the hosts of the roster, over which the limits of customers
// and databases are divided, as candidates to dial.
func (t *Table) ObserveRoster(roster contract.Roster, now time.Time) {
	t.recordStart(now)
	for _, m := range t.order {
		m.rostered = false
	}
	for _, host := range roster.Hosts {
		m := t.ensureMember(host.Address, now)
		if m == nil {
			continue
		}
		m.rostered = true
		m.setListedCentre(host.DataCentre)
	}
}

// setListedCentre sets the data centre that a list names for the member. The data
// centre that the host itself or news from a peer gave takes precedence.
func (m *member) setListedCentre(dataCentre string) {
	if m.boot == 0 || m.dataCentre == "" {
		m.dataCentre = dataCentre
	}
}

// ObserveHello records that a peer connected and announced itself.
func (t *Table) ObserveHello(address, dataCentre, bootID string, now time.Time) {
	t.recordStart(now)
	m := t.ensureMember(address, now)
	if m == nil {
		return
	}
	m.dataCentre = dataCentre
	if boot := bootHash(bootID); m.boot != boot {
		m.recordRestart(bootID, boot)
	}
	m.bootID = bootID
	m.needsDigest = true
	m.recordContact(t.cfg.Timing, now)
}

// ObserveMessage records that a message from a connected peer was received. From an
// unknown member or boot it counts as a hello. HandleDigest records it itself.
func (t *Table) ObserveMessage(address, dataCentre, bootID string, now time.Time) {
	if m := t.members[address]; m != nil && m.boot == bootHash(bootID) {
		m.recordContact(t.cfg.Timing, now)
		return
	}
	t.ObserveHello(address, dataCentre, bootID, now)
}

// ObserveLeaving records that a known host announced that it is leaving. The host
// can be considered alive again only with another boot id.
func (t *Table) ObserveLeaving(address string) {
	if m := t.members[address]; m != nil && !m.leaving {
		m.leaving = true
		m.priorityDigests = lossRepeats
	}
}

// Leave announces that this host is leaving. Peers then no longer consider it
// alive, and its duties pass to other hosts.
func (t *Table) Leave(now time.Time) Output {
	t.leaving = true
	var out Output
	for _, address := range t.digestPeers(now) {
		out.Send = append(out.Send, Send{To: address, Env: &peerpb.Envelope{
			Body: &peerpb.Envelope_Leaving{Leaving: &peerpb.Leaving{Address: t.cfg.Self}},
		}})
	}
	return out
}

// SetRosterVersion sets the roster version that this host reports in its digests.
func (t *Table) SetRosterVersion(version uint64) { t.rosterVersion = version }

// Live returns the hosts considered alive, sorted by address. It includes this host
// unless it is leaving.
func (t *Table) Live(now time.Time) []Member {
	var list []Member
	if !t.leaving {
		list = append(list, t.self(now))
	}
	for _, m := range t.order {
		if m.live(t.cfg.Timing, now) {
			list = append(list, t.describe(m, now))
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.Address, b.Address) })
	return list
}

func (t *Table) self(now time.Time) Member {
	return Member{
		Address:       t.cfg.Self,
		DataCentre:    t.cfg.DataCentre,
		BootID:        t.cfg.BootID,
		Direct:        true,
		LastSeen:      now,
		ConfigVersion: t.inForce.Version(),
		RosterVersion: t.rosterVersion,
	}
}

func (t *Table) describe(m *member, now time.Time) Member {
	return Member{
		Address:       m.address,
		DataCentre:    m.dataCentre,
		BootID:        m.bootID,
		Direct:        m.direct(t.cfg.Timing, now),
		LastSeen:      m.lastSeen,
		ConfigVersion: m.configVersion,
		RosterVersion: m.rosterVersion,
	}
}

func (t *Table) recordStart(now time.Time) {
	if t.startedAt.IsZero() {
		t.startedAt = now
	}
}
