package host

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzeloft/bronzeloft/contract"
	"github.com/bronzeloft/bronzeloft/database/group"
	"github.com/bronzeloft/bronzeloft/datacentre"
	"github.com/bronzeloft/bronzeloft/link/peer"
	"github.com/bronzeloft/bronzeloft/link/peerpb"
	"github.com/bronzeloft/bronzeloft/objectapi"
)

// Timing and bounds of the exchange with other hosts.
const (
	membersTick         = 100 * time.Millisecond // between ticks of the table
	rankEvery           = 500 * time.Millisecond // between updates of the promoter ranks
	snapshotTimeout     = 5 * time.Second        // to fetch a peer's snapshot
	reachabilityTimeout = 300 * time.Millisecond // for a peer's answer to a reachability request
	// maxPeersToAsk bounds the peers that get a reachability request for one database.
	maxPeersToAsk = 6
)

// members drives the table of the fleet's hosts and holds the configuration in
// force.
type members struct {
	host    *Host
	self    string
	inForce *datacentre.Configuration

	runners       *runnerReconciler // used only by run, except for reconciled
	configChanged atomic.Bool       // since the last call of runners.reconcile
	lastRanked    time.Time         // when updateRanks last set the ranks; used only by run
	logged        map[string]uint64 // last logged term of each group; used only by run

	mu    sync.Mutex // guards table and the methods of inForce that change it
	table *datacentre.Table
}

func newMembers(h *Host, self string) *members {
	inForce := datacentre.NewConfiguration(0)
	return &members{
		host:    h,
		self:    self,
		inForce: inForce,
		logged:  map[string]uint64{},
		runners: &runnerReconciler{host: h, unusedSince: map[string]time.Time{}},
		table: datacentre.New(datacentre.Config{
			Self:       self,
			DataCentre: h.set.Host.DataCentre,
			BootID:     h.bootID,
			Seeds:      h.set.Peers.Seeds,
			InForce:    inForce,
		}),
	}
}

// run ticks the table until the host stops.
func (m *members) run() {
	ticker := time.NewTicker(membersTick)
	defer ticker.Stop()
	for {
		select {
		case <-m.host.ctx.Done():
			return
		case <-ticker.C:
			m.tick()
		}
	}
}

func (m *members) tick() {
	groups := m.host.groupRunners()
	for _, g := range groups {
		if v, ok := g.view(); ok {
			m.observeGroup(g.name, v)
			m.logPrimary(g.name, v)
		}
	}
	m.tickTable()
	m.connect()
	m.runners.reconcile(m.configChanged.Swap(false))
	m.updateRanks(groups)
}

// logPrimary logs a change of a group's primary.
func (m *members) logPrimary(name string, v group.View) {
	if m.logged[name] == v.Term {
		return
	}
	m.logged[name] = v.Term
	m.host.log.Info("Primary established.", "part", "group", "group", name, "term", v.Term, "database", v.Primary)
}

// tickTable advances the table to the current time. After a new configuration the
// table announces it at once.
func (m *members) tickTable() {
	m.runStep(func(t *datacentre.Table, now time.Time) datacentre.Output { return t.Tick(now) })
}

// connect keeps connections to the peers that the table chooses and to the
// contacts in use.
func (m *members) connect() {
	m.mu.Lock()
	now := m.host.now()
	peers := m.table.Peers(now)
	m.mu.Unlock()
	m.host.mesh.SetPeers(append(peers, m.host.contacts.active(now)...))
}

// updateRanks sets this host's promoter rank in each group, at most once every
// rankEvery.
func (m *members) updateRanks(groups []*groupRunner) {
	now := m.host.now()
	if now.Sub(m.lastRanked) < rankEvery {
		return
	}
	m.lastRanked = now
	for _, g := range groups {
		centres := m.host.centresOf(g.name)
		m.mu.Lock()
		rank := m.table.Rank(g.name, centres, now)
		m.mu.Unlock()
		g.setRank(rank)
	}
}

// servers returns the other hosts that this host can relay sessions of a group to,
// best first.
func (m *members) servers(name string) []string {
	return slices.DeleteFunc(m.allServers(name), func(a string) bool { return a == m.self })
}

// allServers returns the hosts that serve a group for this host's data centre, best
// first. This host may be one of them.
func (m *members) allServers(name string) []string {
	centres := m.host.centresOf(name)
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Servers(name, centres, m.host.servingHosts(), m.host.now())
}

// serves reports whether this host is one of those that serve a group.
func (m *members) serves(name string) bool {
	return slices.Contains(m.allServers(name), m.self)
}

// carryOut carries out the output of the table. The caller holds no lock.
func (m *members) carryOut(out datacentre.Output) {
	for _, s := range out.Send {
		m.host.sendToPeer(s.To, s.Env)
	}
	for _, v := range out.Groups {
		m.host.applyGroupHint(v)
	}
	if out.Updated {
		m.host.apply()
	}
	if out.FetchFrom != "" {
		go m.fetch(out.FetchFrom)
	}
}

// fetch requests a peer's snapshot and passes it to the table, or nil if the
// request failed or the peer has nothing newer.
func (m *members) fetch(from string) {
	ctx, cancel := context.WithTimeout(m.host.ctx, snapshotTimeout)
	defer cancel()
	req := &peerpb.Envelope{Body: &peerpb.Envelope_SnapshotRequest{
		SnapshotRequest: m.inForce.Request(),
	}}
	var snap *contract.Snapshot
	env, err := m.host.mesh.Request(ctx, from, req)
	if err == nil && env.GetSnapshotReply() != nil {
		snap, err = m.inForce.Decode(env.GetSnapshotReply())
	}
	if err != nil {
		m.host.log.Warn("Configuration could not be fetched from a peer.", "part", "config", "peer", from, "error", err)
	}
	m.runStep(func(t *datacentre.Table, now time.Time) datacentre.Output { return t.HandleSnapshot(from, snap, now) })
}

// runStep runs one step of the table and carries out its output.
func (m *members) runStep(step func(t *datacentre.Table, now time.Time) datacentre.Output) {
	m.mu.Lock()
	out := step(m.table, m.host.now())
	m.mu.Unlock()
	m.carryOut(out)
}

func (m *members) current() *contract.Snapshot { return m.inForce.Current() }

func (m *members) offer(snap *contract.Snapshot, from string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inForce.Offer(snap, from, m.host.now())
}

func (m *members) confirm(version uint64, requestedAt time.Time) {
	m.mu.Lock()
	m.inForce.Confirm(version, requestedAt)
	m.mu.Unlock()
}

func (m *members) applyRoster(r contract.Roster) {
	m.mu.Lock()
	m.table.ObserveRoster(r, m.host.now())
	m.table.SetRosterVersion(r.Version)
	m.mu.Unlock()
}

func (m *members) observeList(list []objectapi.HostState) {
	m.mu.Lock()
	m.table.ObserveList(list, m.host.now())
	m.mu.Unlock()
}

func (m *members) observeGroup(name string, v group.View) {
	m.mu.Lock()
	m.table.ObserveGroup(&peerpb.GroupView{Group: name, Term: v.Term, Primary: v.Primary, MarkerIndex: v.Marker})
	m.mu.Unlock()
}

func (m *members) isWatcher() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.IsWatcher(m.host.now())
}

// noLivePeers reports whether no other host is live as far as this host knows.
func (m *members) noLivePeers() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.table.Live(m.host.now())) <= 1
}

// observeMessage records contact with a peer that sent a message.
func (m *members) observeMessage(info peer.Info) {
	m.mu.Lock()
	m.table.ObserveMessage(info.Address, info.DataCentre, info.BootID, m.host.now())
	m.mu.Unlock()
}

func (m *members) observeHello(info peer.Info) {
	m.mu.Lock()
	m.table.ObserveHello(info.Address, info.DataCentre, info.BootID, m.host.now())
	m.mu.Unlock()
}

func (m *members) observeLeaving(address string) {
	m.mu.Lock()
	m.table.ObserveLeaving(address)
	m.mu.Unlock()
}

// leave makes the table announce that this host is leaving and give up its duties.
func (m *members) leave() {
	m.runStep(func(t *datacentre.Table, now time.Time) datacentre.Output { return t.Leave(now) })
}
