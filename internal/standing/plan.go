// Package standing divides fleet-wide amounts into standing shares over the hosts
// of a versioned roster. Each amount has a name, such as the id of the customer or
// database that it belongs to. A new roster takes effect in two steps: shares that
// become smaller do so at once, and hosts acknowledge this; shares that become
// larger are raised only when every host concerned has acknowledged the same
// roster.
//
// The package reads no clock and does no I/O. Its values are not safe for
// concurrent use; their owner guards them by a lock.
package standing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/bronzeloft/bronzeloft/contract"
)

// Sizes of a plan.
const (
	// SmallRoster is the largest number of hosts in a roster for which every host
	// holds a share of every name.
	SmallRoster = 32
	// HoldersPerDC is the largest number of hosts per data centre that hold a share
	// of one name, if the plan has more than SmallRoster members. Otherwise every
	// member holds a share of every name.
	HoldersPerDC = 2
	// MembersPerDC bounds the hosts per data centre that hold any share in a
	// larger roster. Further hosts of the roster can only borrow.
	MembersPerDC = 8
)

// Plan is the division into shares for one roster version. It is immutable.
type Plan struct {
	Version uint64
	members []contract.RosterHost // sorted by address
	former  []string              // addresses of earlier rosters
	byDC    map[string][]string   // addresses by data centre, sorted
	dcs     []string              // sorted
}

// NewPlan returns the plan for r. The plan depends on r alone, so that all hosts
// with the same roster compute the same plan.
func NewPlan(r contract.Roster) *Plan {
	p := &Plan{Version: r.Version, members: members(r)}
	for _, h := range r.Former {
		p.former = append(p.former, h.Address)
	}
	p.byDC = map[string][]string{}
	for _, m := range p.members {
		p.byDC[m.DataCentre] = append(p.byDC[m.DataCentre], m.Address)
	}
	for dc := range p.byDC {
		p.dcs = append(p.dcs, dc)
	}
	slices.Sort(p.dcs)
	return p
}

// members returns the hosts that hold shares: all hosts of a small roster, or the
// first MembersPerDC by hash in each data centre of a larger one.
func members(r contract.Roster) []contract.RosterHost {
	all := slices.Clone(r.Hosts)
	byAddress := func(a, b contract.RosterHost) int { return cmp.Compare(a.Address, b.Address) }
	slices.SortFunc(all, byAddress)
	all = slices.CompactFunc(all, func(a, b contract.RosterHost) bool { return a.Address == b.Address })
	if len(all) <= SmallRoster {
		return all
	}
	slices.SortStableFunc(all, func(a, b contract.RosterHost) int {
		return cmp.Compare(score("", a.Address), score("", b.Address))
	})
	count := map[string]int{}
	var out []contract.RosterHost
	for _, h := range all {
		if count[h.DataCentre] < MembersPerDC {
			count[h.DataCentre]++
			out = append(out, h)
		}
	}
	slices.SortFunc(out, byAddress)
	return out
}

// score is the rendezvous weight of address for name.
func score(name, address string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(name)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(address)
	return d.Sum64()
}

// Members returns the addresses that hold any share, sorted.
func (p *Plan) Members() []string {
	out := make([]string, len(p.members))
	for i, m := range p.members {
		out[i] = m.Address
	}
	return out
}

// Holders returns the addresses that hold a share of name: those in localDC
// first, then the other data centres in the order of their names, each in
// rendezvous order. Every holder has an equal share.
func (p *Plan) Holders(name, localDC string) []string {
	out := p.holdersIn(name, localDC)
	for _, dc := range p.dcs {
		if dc != localDC {
			out = append(out, p.holdersIn(name, dc)...)
		}
	}
	return out
}

// holdersIn returns the addresses in a data centre that hold a share of name, in
// rendezvous order.
func (p *Plan) holdersIn(name, dc string) []string {
	hosts := slices.Clone(p.byDC[dc])
	slices.SortFunc(hosts, func(a, b string) int {
		return cmp.Compare(score(name, a), score(name, b))
	})
	if len(p.members) > SmallRoster && len(hosts) > HoldersPerDC {
		hosts = hosts[:HoldersPerDC]
	}
	return hosts
}

// Fraction returns the fraction of name's amount that address holds, 0 to 1.
func (p *Plan) Fraction(name, address string) float64 {
	holders := p.Holders(name, "")
	if !slices.Contains(holders, address) {
		return 0
	}
	return 1 / float64(len(holders))
}

// Units returns how many whole units of name's amount address holds. The units of
// all holders sum to amount, and a larger amount never gives any holder fewer
// units.
func (p *Plan) Units(name, address string, amount int) int {
	holders := p.Holders(name, "")
	i := slices.Index(holders, address)
	if i < 0 {
		return 0
	}
	return (max(0, amount) + len(holders) - 1 - i) / len(holders)
}

// DataCentre returns the data centre of a member, "" when address is not a
// member.
func (p *Plan) DataCentre(address string) string {
	for _, m := range p.members {
		if m.Address == address {
			return m.DataCentre
		}
	}
	return ""
}
