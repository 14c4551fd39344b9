package gateway

import (
	"encoding/json"
	"errors"
	"net"
	"net/netip"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/bronzeloft/bronzeloft/customer/retry"
	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/datacentre/placement"
	"github.com/bronzeloft/bronzeloft/objectapi"
)

// kindHosts is the object kind with an entry for each host that has ever run.
const kindHosts = "bronzeloft-hosts"

// hostEntry is the value of a host's entry in the store.
type hostEntry struct {
	Address    string  `json:"address"`
	DataCentre string  `json:"dataCentre"`
	Access     string  `json:"access,omitempty"`   // IP:port of its access listener
	Capacity   float64 `json:"capacity,omitempty"` // share of a core
	Rules      uint32  `json:"rules,omitempty"`    // see succession.Rules; absent in entries of older versions
}

// maxHostEntryBytes bounds a host's entry, which has a few short fields.
const maxHostEntryBytes = 64 << 10

func decodeHostEntry(value []byte) (entry hostEntry, err error) {
	if len(value) > maxHostEntryBytes {
		return entry, eris.Errorf("entry has %d bytes, more than %d", len(value), maxHostEntryBytes)
	}
	return entry, json.Unmarshal(value, &entry)
}

// syncHosts stores this host's entry and periodically reads those of the others. A
// host that hears from serving hosts and is none itself needs no others.
func (p *peers) syncHosts() {
	stored, listed := false, false
	for wait := listHostsSoon; ; wait = listHostsEvery {
		if !stored {
			stored = p.storeEntry()
		}
		if !listed || !p.hasServingHost() {
			listed = p.listHosts()
		}
		if !listed || !stored {
			wait = listHostsSoon
		}
		retry.Wait(p.g.ctx, wait)
		if p.g.ctx.Err() != nil {
			return
		}
	}
}

// hasServingHost reports whether this host does not serve and another one that does
// has sent a message recently.
func (p *peers) hasServingHost() bool {
	if p.serves() {
		return false
	}
	now := p.g.now()
	serving := p.servingHosts(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(serving, func(name string) bool {
		h := p.hostsByName[name]
		return h != nil && now.Sub(h.lastSeen) < reportTTL
	})
}

// storeEntry creates or replaces this host's entry and reports whether it
// succeeded.
func (p *peers) storeEntry() bool {
	value, err := json.Marshal(hostEntry{Address: p.conn.LocalAddr().String(), DataCentre: p.g.opt.DataCentre, Access: p.g.access, Capacity: p.g.opt.Capacity, Rules: succession.Rules})
	if err != nil {
		p.g.log.Error("Cannot encode this host's entry.", "part", "peers", "error", err)
		return false
	}
	store := p.g.platform.Objects()
	old, err := store.Create(p.g.ctx, kindHosts, p.g.opt.Name, value)
	if err == nil {
		p.mu.Lock()
		p.firstStart = true
		p.mu.Unlock()
	}
	if errors.Is(err, objectapi.ErrExists) {
		err = nil
		if old.Version == 0 {
			old, err = store.Get(p.g.ctx, kindHosts, p.g.opt.Name)
		}
		if err == nil && !slices.Equal(old.Value, value) {
			_, err = store.Update(p.g.ctx, kindHosts, p.g.opt.Name, old.Version, value)
		}
	}
	if err != nil && p.g.ctx.Err() == nil {
		p.g.log.Warn("Storing this host's entry failed.", "part", "peers", "error", err)
	}
	return err == nil
}

// listHosts reads the hosts' entries from the store and reports whether it
// succeeded. After the first successful read it sends a round of messages without
// waiting for the next tick.
func (p *peers) listHosts() bool {
	at := p.g.now()
	entries, _, err := p.g.platform.Objects().List(p.g.ctx, kindHosts)
	if err != nil {
		if p.g.ctx.Err() == nil {
			p.g.log.Warn("Listing the hosts' entries failed.", "part", "peers", "error", err)
		}
		return false
	}
	for _, o := range entries {
		entry, err := decodeHostEntry(o.Value)
		if err != nil {
			p.g.log.Warn("Cannot decode a host's entry.", "part", "peers", "name", logged(o.Name), "error", err)
			continue
		}
		p.addHost(o.Name, entry)
	}
	p.mu.Lock()
	p.rules.recordEntries(entries, at)
	first := !p.listed
	p.listed = true
	p.mu.Unlock()
	if first {
		p.send()
	}
	return true
}

// peerAddress parses an address that another host has announced. It accepts only an
// IPv4 address with a port: a name would be looked up on the network.
func peerAddress(address string) (*net.UDPAddr, bool) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || !parsed.Addr().Is4() || parsed.Addr().IsUnspecified() || parsed.Port() == 0 {
		return nil, false
	}
	return net.UDPAddrFromAddrPort(parsed), true
}

// addHost adds the host of an entry unless it is this host or known already. It
// ignores an entry with an invalid address.
func (p *peers) addHost(name string, entry hostEntry) {
	to, ok := peerAddress(entry.Address)
	if !ok || name == "" || name == p.g.opt.Name {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hostsByName[name] == nil {
		p.hostsByName[name] = &peerHost{address: to, dataCentre: entry.DataCentre, access: entry.Access, capacity: entry.Capacity}
		if entry.DataCentre == p.g.opt.DataCentre {
			p.placement.RecordListed(placement.Host{Name: name, Capacity: entry.Capacity})
		}
	}
}
