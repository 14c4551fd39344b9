package gateway

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/link/gossippb"
	"github.com/bronzeloft/bronzeloft/objectapi"
)

// A fleet may run several versions while it is upgraded host by host, or back. Each
// host states the takeover rules that it follows in its entry in the store, which the
// version that starts under its name replaces, and in its messages. The operator sees in
// the log and the metrics which hosts follow older ones. Whoever replaces a primary pauses
// replicas whatever the others state (see pausing.go), on which hosts of rules 0 rely.

// Timing of the knowledge about other hosts' rules.
const (
	// statedFor is how long after a host's last message the rules stated in it count
	// beside those of its entry. A host that stores no entry at its start sends
	// messages for as long as it runs.
	statedFor = 30 * time.Second
	// correctEvery is the time between two corrections of a host's entry.
	correctEvery = 2 * time.Second
)

// statedRules are the rules that one host, or the delegates of a data centre, stated in
// messages.
type statedRules struct {
	rules uint32
	at    time.Time // of the last message
}

// fleetRules is what this host knows of the rules that the hosts follow. peers.mu
// guards it.
type fleetRules struct {
	entries   map[string]uint32 // by host, from the last read of the entries
	entriesAt time.Time         // when that read began; zero before the first one
	hosts     map[string]statedRules
	centres   map[string]statedRules
	older     []string  // as last logged
	corrected time.Time // when an entry was last corrected
}

func newFleetRules() fleetRules {
	return fleetRules{entries: map[string]uint32{}, hosts: map[string]statedRules{}, centres: map[string]statedRules{}}
}

// recordMessage records the rules that a message states.
func (f *fleetRules) recordMessage(msg *gossippb.Gossip, now time.Time) {
	f.hosts[msg.Host] = statedRules{msg.Rules, now}
}

// recordCentre records the rules that a data centre's summary, made at the given time,
// states.
func (f *fleetRules) recordCentre(c *gossippb.Centre, at time.Time) {
	f.centres[c.Name] = statedRules{c.Rules, at}
}

// recordEntries records the hosts' entries, read from the given time on. Values without
// a host's address and data centre are another writer's.
func (f *fleetRules) recordEntries(entries []objectapi.Object, at time.Time) {
	f.entries, f.entriesAt = make(map[string]uint32, len(entries)), at
	for _, o := range entries {
		entry, err := decodeHostEntry(o.Value)
		if err != nil {
			continue // logged by listHosts
		}
		if _, ok := peerAddress(entry.Address); ok && entry.DataCentre != "" {
			f.entries[o.Name] = entry.Rules
		}
	}
}

// holders returns the sorted names of the hosts, and of the data centres with hosts, that
// may follow older rules than this build.
func (f *fleetRules) holders(now time.Time) []string {
	older := map[string]bool{}
	for name, rules := range f.entries {
		if rules < succession.Rules {
			older[name] = true
		}
	}
	for name, stated := range f.hosts {
		if stated.rules < succession.Rules && now.Sub(stated.at) < statedFor {
			older[name] = true
		}
	}
	for name, stated := range f.centres {
		if stated.rules < succession.Rules && now.Sub(stated.at) < statedFor {
			older["data centre "+name] = true
		}
	}
	return slices.Sorted(maps.Keys(older))
}

// followPresentRules reports whether no known host may follow older rules than this build.
func (p *peers) followPresentRules() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.rules.older) == 0
}

// contradicted returns a host that follows older rules by its messages, but not by its
// entry: another version that started under its name has not stored one. Its last message
// must be newer than the entry, by more than messages take.
func (f *fleetRules) contradicted(now time.Time) (string, uint32, bool) {
	for name, stated := range f.hosts {
		if stated.rules < f.entries[name] && now.Sub(stated.at) < reportTTL && stated.at.Sub(f.entriesAt) > restartGap {
			return name, stated.rules, true
		}
	}
	return "", 0, false
}

// leastRules returns the least rules that this host and the live hosts of its data centre
// state. mu is held.
func (p *peers) leastRules(now time.Time) uint32 {
	least := uint32(succession.Rules)
	for name, h := range p.hostsByName {
		if h.dataCentre == p.g.opt.DataCentre && !h.lastSeen.IsZero() && now.Sub(h.lastSeen) < statedFor {
			least = min(least, p.rules.hosts[name].rules)
		}
	}
	return least
}

// reviewRules logs changes of the hosts that follow older rules, and starts to correct an
// entry that claims newer rules than its host states.
func (p *peers) reviewRules(now time.Time) {
	p.mu.Lock()
	older := p.rules.holders(now)
	before := p.rules.older
	p.rules.older = older
	contradicted, stated, wrong := p.rules.contradicted(now)
	wrong = wrong && now.Sub(p.rules.corrected) >= correctEvery
	if wrong {
		p.rules.corrected = now
	}
	p.mu.Unlock()
	switch {
	case slices.Equal(older, before):
	case len(older) == 0:
		p.g.log.Warn("All known hosts follow the present takeover rules.", "part", "peers", "rules", succession.Rules, "before", strings.Join(before, " "))
	default:
		p.g.log.Warn("Hosts of older takeover rules are in the fleet.", "part", "peers", "rules", succession.Rules, "hosts", strings.Join(older, " "))
	}
	if wrong {
		p.g.startWorker(func() { p.correctEntry(contradicted, stated) })
	}
}

// correctEntry lowers the rules in the entry of a host that states older ones in its
// messages, so that hosts that do not hear it learn of it as well.
func (p *peers) correctEntry(name string, rules uint32) {
	store := p.g.platform.Objects()
	old, err := store.Get(p.g.ctx, kindHosts, name)
	if err == nil {
		entry, decodeErr := decodeHostEntry(old.Value)
		if decodeErr != nil || entry.Rules <= rules {
			return // logged by listHosts, or corrected by another host
		}
		entry.Rules = rules
		var value []byte
		if value, err = json.Marshal(entry); err == nil {
			_, err = store.Update(p.g.ctx, kindHosts, name, old.Version, value)
		}
	}
	p.g.log.Warn("Host follows older takeover rules than its entry states; correcting the entry.", "part", "peers", "name", logged(name), "rules", rules, "error", errorText(err))
}

// hostsByRules returns the number of known hosts that follow the present rules, and of
// those that may follow older ones.
func (p *peers) hostsByRules() (present, older int) {
	now := p.g.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	holders := p.rules.holders(now)
	names := maps.Clone(p.rules.entries)
	for name := range p.rules.hosts {
		names[name] = 0
	}
	names[p.g.opt.Name] = 0
	for name := range names {
		if slices.Contains(holders, name) {
			older++
		}
	}
	return len(names) - older, older
}
