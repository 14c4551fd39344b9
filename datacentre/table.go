package datacentre

import (
	"slices"
	"strings"
	"time"

	"github.com/bronzeloft/bronzeloft/contract"
	"github.com/bronzeloft/bronzeloft/link/peerpb"
	"github.com/bronzeloft/bronzeloft/objectapi"
)

// Output is what the host has to do.
type Output struct {
	// Send are messages for peers; those not connected may be skipped.
	Send []Send
	// FetchFrom is the peer to ask for its snapshot, empty for none. The host
	// answers with HandleSnapshot, also when the request failed. The table asks
	// another peer after FetchTimeout, but takes a late answer too, so the host
	// should wait some seconds: a whole snapshot can take them.
	FetchFrom string
	// Updated says that another version is in force.
	Updated bool
	// Groups are views of groups that are newer than those known before.
	Groups []*peerpb.GroupView
}

// Send is a message for one peer.
type Send struct {
	To  string
	Env *peerpb.Envelope
}

// Table is one host's view of the fleet. The host holds a lock over each call;
// Table itself has none. It keeps at most Limits.Members members: when full, a
// new one takes the place of one that is not alive, or is not taken in.
type Table struct {
	cfg     Config
	inForce *Configuration
	boot    uint32

	members map[string]*member
	order   []*member // the same members, for turns
	turn    int       // next of order in a digest
	leaving bool

	startedAt time.Time // first call that brought time
	digestAt  time.Time // next digest
	sequence  uint64
	sentAt    [sentKept]sentDigest
	rotation  int // first peer of the next digest when there are too many

	peers     []string // chosen at the last Tick
	announced uint64   // version that peers were told of
	rostered  uint64   // version whose roster was observed
	ownRoster uint64   // roster version that this host's shares follow

	fetch  fetch
	groups groupViews
}

// New returns a table that knows the seeds.
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
		if m := t.member(address, time.Time{}); m != nil {
			m.seeded = true
		}
	}
	return t
}

// InForce returns the configuration in force.
func (t *Table) InForce() *Configuration { return t.inForce }

// Config returns the settings, with defaults filled in.
func (t *Table) Config() Config { return t.cfg }

// member returns the member with the address, adding it if there is room. It
// returns nil for this host itself and when the table is full.
func (t *Table) member(address string, now time.Time) *member {
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

// evict removes the member that was seen least recently, if one is not alive.
func (t *Table) evict(now time.Time) bool {
	var oldest *member
	for _, m := range t.order {
		if m.live(t.cfg.Timing, now) {
			continue
		}
		if oldest == nil || m.seenAt.Before(oldest.seenAt) {
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

// ObserveList takes in the platform's list of hosts. It lags, so it only names
// candidates: it makes nobody alive and nobody dead.
func (t *Table) ObserveList(list []objectapi.HostState, now time.Time) {
	t.started(now)
	for _, m := range t.order {
		m.listed, m.listedLeaving = false, false
	}
	for _, host := range list {
		m := t.member(host.Address, now)
		if m == nil {
			continue
		}
		m.listed, m.listedLeaving = true, host.Leaving
		m.place(host.DataCentre)
	}
}

// ObserveRoster takes in the hosts that hold standing shares, as candidates.
func (t *Table) ObserveRoster(roster contract.Roster, now time.Time) {
	t.started(now)
	for _, m := range t.order {
		m.rostered = false
	}
	for _, host := range roster.Hosts {
		m := t.member(host.Address, now)
		if m == nil {
			continue
		}
		m.rostered = true
		m.place(host.DataCentre)
	}
}

// place sets the data centre that a list names; what a host says of itself
// goes before.
func (m *member) place(dataCentre string) {
	if m.boot == 0 || m.dataCentre == "" {
		m.dataCentre = dataCentre
	}
}

// ObserveHello notes that a peer connected and named itself.
func (t *Table) ObserveHello(address, dataCentre, bootID string, now time.Time) {
	t.started(now)
	m := t.member(address, now)
	if m == nil {
		return
	}
	m.dataCentre = dataCentre
	if boot := bootHash(bootID); m.boot != boot {
		m.restart(bootID, boot)
	}
	m.bootID = bootID
	m.greet = true
	m.heard(t.cfg.Timing, now)
}

// Heard notes any message of a connected peer; HandleDigest does so itself.
func (t *Table) Heard(address, dataCentre, bootID string, now time.Time) {
	if m := t.members[address]; m != nil && m.boot == bootHash(bootID) {
		m.heard(t.cfg.Timing, now)
		return
	}
	t.ObserveHello(address, dataCentre, bootID, now)
}

// Leaving notes that a host announced its end. It counts again when it comes
// back with another boot id.
func (t *Table) Leaving(address string) {
	if m := t.members[address]; m != nil && !m.leaving {
		m.leaving = true
		m.newsTurns = lossRepeats
	}
}

// Leave announces the end of this host: peers no longer count it as alive and
// its duties pass to others.
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

// FollowRoster sets the roster version that digests name as followed here.
func (t *Table) FollowRoster(version uint64) { t.ownRoster = version }

// Live returns the hosts that count as alive, this one included unless it is
// leaving, by address.
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
		RosterVersion: t.ownRoster,
	}
}

func (t *Table) describe(m *member, now time.Time) Member {
	return Member{
		Address:       m.address,
		DataCentre:    m.dataCentre,
		BootID:        m.bootID,
		Direct:        m.direct(t.cfg.Timing, now),
		LastSeen:      m.seenAt,
		ConfigVersion: m.config,
		RosterVersion: m.roster,
	}
}

func (t *Table) started(now time.Time) {
	if t.startedAt.IsZero() {
		t.startedAt = now
	}
}
