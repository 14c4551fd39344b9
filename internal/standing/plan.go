// Package standing divides fleet-wide amounts into standing shares over a
// versioned roster, and changes the division in two steps: shares fall at once
// and are acknowledged, and rise only when every host concerned has
// acknowledged the same roster.
//
// Nothing here reads a clock or does IO. Values are not safe for concurrent
// use; their owner locks.
package standing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/bronzeloft/bronzeloft/contract"
)

// Sizes of a plan.
const (
	// SmallRoster is the largest roster in which every host holds a share of
	// everything.
	SmallRoster = 32
	// HoldersPerDC is the number of hosts per data centre that hold a share of
	// one customer or database in a larger roster.
	HoldersPerDC = 2
	// MembersPerDC bounds the hosts per data centre that hold any share in a
	// larger roster. Further hosts of the roster borrow.
	MembersPerDC = 8
)

// Plan is the division that one roster version gives. It is immutable.
type Plan struct {
	Version uint64
	members []contract.RosterHost // sorted by address
	former  []string              // addresses of earlier rosters
	byDC    map[string][]string   // addresses by data centre, sorted
	dcs     []string              // sorted
}

// NewPlan returns the plan of r. It depends on r alone, so that hosts with the
// same roster agree.
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

// members returns the hosts that hold shares: all of a small roster, the first
// few by hash per data centre of a larger one.
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

// Members returns the addresses that hold any share.
func (p *Plan) Members() []string {
	out := make([]string, len(p.members))
	for i, m := range p.members {
		out[i] = m.Address
	}
	return out
}

// Holders returns the addresses that hold a share of name, those in the data
// centre near first, each part in rendezvous order. Every holder has an equal
// share.
func (p *Plan) Holders(name, near string) []string {
	out := p.pick(name, near)
	for _, dc := range p.dcs {
		if dc != near {
			out = append(out, p.pick(name, dc)...)
		}
	}
	return out
}

func (p *Plan) pick(name, dc string) []string {
	hosts := slices.Clone(p.byDC[dc])
	slices.SortFunc(hosts, func(a, b string) int {
		return cmp.Compare(score(name, a), score(name, b))
	})
	if len(p.members) > SmallRoster && len(hosts) > HoldersPerDC {
		hosts = hosts[:HoldersPerDC]
	}
	return hosts
}

// Fraction returns the part of name's amount that address holds, 0 to 1.
func (p *Plan) Fraction(name, address string) float64 {
	holders := p.Holders(name, "")
	if !slices.Contains(holders, address) {
		return 0
	}
	return 1 / float64(len(holders))
}

// Whole returns the whole units of name's amount that address holds. The units
// of all holders sum to amount; more of them never mean fewer for any holder.
func (p *Plan) Whole(name, address string, amount int) int {
	holders := p.Holders(name, "")
	i := slices.Index(holders, address)
	if i < 0 {
		return 0
	}
	return (max(0, amount) + len(holders) - 1 - i) / len(holders)
}

// DataCentre returns the data centre of a member, "" when address is none.
func (p *Plan) DataCentre(address string) string {
	for _, m := range p.members {
		if m.Address == address {
			return m.DataCentre
		}
	}
	return ""
}
