package gateway

import (
	"encoding/json"
	"errors"
	"net"
	"net/netip"
	"slices"

	"github.com/bronzeloft/bronzeloft/customer/retry"
	"github.com/bronzeloft/bronzeloft/objectapi"
)

// kindHosts is the object kind with an entry for each host that has ever run.
const kindHosts = "bronzeloft-hosts"

// hostEntry is the value of a host's entry in the store.
type hostEntry struct {
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
}

// syncHosts stores this host's entry and periodically reads those of the others.
func (p *peers) syncHosts() {
	stored := false
	for wait := listHostsSoon; ; wait = listHostsEvery {
		if !stored {
			stored = p.storeEntry()
		}
		if !p.listHosts() || !stored {
			wait = listHostsSoon
		}
		retry.Wait(p.g.ctx, wait)
		if p.g.ctx.Err() != nil {
			return
		}
	}
}

// storeEntry creates or replaces this host's entry and reports whether it
// succeeded.
func (p *peers) storeEntry() bool {
	value, err := json.Marshal(hostEntry{Address: p.conn.LocalAddr().String(), DataCentre: p.g.opt.DataCentre})
	if err != nil {
		p.g.log.Error("Cannot encode this host's entry.", "part", "peers", "error", err)
		return false
	}
	store := p.g.platform.Objects()
	_, err = store.Create(p.g.ctx, kindHosts, p.g.opt.Name, value)
	if errors.Is(err, objectapi.ErrExists) {
		old, getErr := store.Get(p.g.ctx, kindHosts, p.g.opt.Name)
		if err = getErr; err == nil && !slices.Equal(old.Value, value) {
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
	entries, _, err := p.g.platform.Objects().List(p.g.ctx, kindHosts)
	if err != nil {
		if p.g.ctx.Err() == nil {
			p.g.log.Warn("Listing the hosts' entries failed.", "part", "peers", "error", err)
		}
		return false
	}
	for _, o := range entries {
		var entry hostEntry
		if err := json.Unmarshal(o.Value, &entry); err != nil {
			p.g.log.Warn("Cannot decode a host's entry.", "part", "peers", "name", logged(o.Name), "error", err)
			continue
		}
		p.addHost(o.Name, entry)
	}
	p.mu.Lock()
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
		p.hostsByName[name] = &peerHost{address: to, dataCentre: entry.DataCentre}
	}
}
