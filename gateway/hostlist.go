package gateway

import (
	"encoding/json"
	"errors"
	"net"
	"slices"

	"github.com/bronzeloft/bronzeloft/customer/retry"
	"github.com/bronzeloft/bronzeloft/objectapi"
)

// kindHosts holds an entry for each host that ever served.
const kindHosts = "bronzeloft-hosts"

// hostEntry is a host's entry in the store.
type hostEntry struct {
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
}

// keepHosts stores this host's entry and reads the others' from time to time.
func (p *peers) keepHosts() {
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

// storeEntry creates or replaces this host's entry.
func (p *peers) storeEntry() bool {
	value, err := json.Marshal(hostEntry{Address: p.conn.LocalAddr().String(), DataCentre: p.g.opt.DataCentre})
	if err != nil {
		p.g.log.Error("Host entry cannot be written.", "part", "peers", "error", err)
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
		p.g.log.Warn("Host entry is not stored.", "part", "peers", "error", err)
	}
	return err == nil
}

// listHosts reads the hosts' entries.
func (p *peers) listHosts() bool {
	entries, _, err := p.g.platform.Objects().List(p.g.ctx, kindHosts)
	if err != nil {
		if p.g.ctx.Err() == nil {
			p.g.log.Warn("Hosts are not listed.", "part", "peers", "error", err)
		}
		return false
	}
	for _, o := range entries {
		var entry hostEntry
		if err := json.Unmarshal(o.Value, &entry); err != nil {
			p.g.log.Warn("Host entry cannot be read.", "part", "peers", "name", o.Name, "error", err)
			continue
		}
		p.learn(o.Name, entry)
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

// learn adds a host that was not heard yet.
func (p *peers) learn(name string, entry hostEntry) {
	to, err := net.ResolveUDPAddr("udp4", entry.Address)
	if err != nil || name == p.g.opt.Name {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.known[name] == nil {
		p.known[name] = &peerHost{address: to, dataCentre: entry.DataCentre}
	}
}
