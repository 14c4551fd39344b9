package datacentre

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// Peers returns the addresses that this host should keep a connection to, sorted.
// They are chosen anew whenever Tick sends the regular digests.
//
// A small fleet is a full mesh. In a larger one, a host keeps connections to the
// members of its data centre at distance 1, 2, 4, ... on a ring ordered by hash,
// so that news needs few hops and all hosts have equally many peers, and to a
// few hosts in other data centres. It also dials some lost members in rotation,
// so that the two sides of a partition reconnect after it heals even if the
// platform's list is unavailable.
func (t *Table) Peers(now time.Time) []string {
	if t.peers == nil {
		t.peers = t.choosePeers(now)
	}
	return slices.Clone(t.peers)
}

// choosePeers chooses the peers anew and returns their addresses, sorted.
func (t *Table) choosePeers(now time.Time) []string {
	var chosen []*member
	if len(t.members) < t.cfg.Limits.FullMesh {
		chosen = slices.Clone(t.order)
	} else {
		chosen = t.chooseFew(now)
	}
	chosen = append(chosen, t.leavingPeers(now)...)
	for _, m := range t.order {
		m.chosen = false
	}
	addresses := make([]string, 0, len(chosen))
	for _, m := range chosen {
		if m.chosen || (m.leaving && !m.direct(t.cfg.Timing, now)) {
			continue
		}
		m.chosen = true
		if m.dialingSince.IsZero() && m.lastSeen.IsZero() {
			m.dialingSince = now
		}
		addresses = append(addresses, m.address)
	}
	slices.Sort(addresses)
	return addresses
}

// leavingPeers returns the peers that are leaving but still in contact. The
// connection stays because they may still have state to hand over.
func (t *Table) leavingPeers(now time.Time) []*member {
	var list []*member
	for _, m := range t.order {
		if m.chosen && m.leaving && m.direct(t.cfg.Timing, now) {
			list = append(list, m)
		}
	}
	return list
}

// chooseFew chooses the peers in a fleet that is too large for a full mesh.
func (t *Table) chooseFew(now time.Time) []*member {
	byCentre := make(map[string][]*member)
	var unknownCentre, lost []*member
	for _, m := range t.order {
		switch {
		case m.usable(t.cfg.Timing, now) && m.dataCentre == "":
			unknownCentre = append(unknownCentre, m)
		case m.usable(t.cfg.Timing, now):
			byCentre[m.dataCentre] = append(byCentre[m.dataCentre], m)
		case !m.leaving:
			lost = append(lost, m)
		}
	}
	own := byCentre[t.cfg.DataCentre]
	delete(byCentre, t.cfg.DataCentre)
	ring, index := t.ring(own)
	chosen := t.fingers(own, ring, index)
	chosen = append(chosen, t.remote(byCentre, index, len(ring))...)
	chosen = append(chosen, t.probes(unknownCentre, now)...)
	return append(chosen, t.probes(lost, now)...)
}

// ringPoint is one host on the data centre's ring; the member is nil for this
// host itself.
type ringPoint struct {
	position uint64
	member   *member
}

// ring orders the hosts of this data centre by hash. It also returns this
// host's index.
func (t *Table) ring(own []*member) ([]ringPoint, int) {
	points := make([]ringPoint, 0, len(own)+1)
	for _, m := range own {
		points = append(points, ringPoint{keyedHash("ring", m.address), m})
	}
	points = append(points, ringPoint{keyedHash("ring", t.cfg.Self), nil})
	slices.SortFunc(points, func(a, b ringPoint) int { return cmp.Compare(a.position, b.position) })
	index := slices.IndexFunc(points, func(p ringPoint) bool { return p.member == nil })
	return points, index
}

// fingers returns all members of a small data centre. In a larger one it returns
// those at distances on the ring that are powers of two, like the finger table of
// the Chord protocol.
func (t *Table) fingers(own []*member, ring []ringPoint, index int) []*member {
	if len(own) < t.cfg.Limits.LocalMesh {
		return own
	}
	var chosen []*member
	for distance := 1; distance < len(ring); distance *= 2 {
		chosen = append(chosen, ring[(index+distance)%len(ring)].member)
	}
	return chosen
}

// remote returns peers in other data centres. The hosts of this data centre
// divide the other data centres among themselves by their index on the ring, so
// that each pair of data centres has several connections.
func (t *Table) remote(byCentre map[string][]*member, index, hosts int) []*member {
	centres := make([]string, 0, len(byCentre))
	for centre := range byCentre {
		centres = append(centres, centre)
	}
	slices.Sort(centres)
	count := min(len(centres), t.remoteCentres(len(centres), hosts))
	var chosen []*member
	for i := range count {
		centre := centres[(index*count+i)%len(centres)]
		chosen = append(chosen, t.remotePeers(byCentre[centre])...)
	}
	return chosen
}

// linksPerPair is the minimum number of connections that a data centre opens to
// each other data centre when it has few hosts.
const linksPerPair = 2

// remoteCentres returns the number of other data centres in which one host keeps
// peers: at least Limits.RemoteCentres, and enough for linksPerPair.
func (t *Table) remoteCentres(centres, hosts int) int {
	needed := (linksPerPair*centres + hosts - 1) / hosts
	return max(t.cfg.Limits.RemoteCentres, needed)
}

// remotePeers chooses this host's peers among the members of another data centre.
func (t *Table) remotePeers(candidates []*member) []*member {
	return topByWeight(candidates, t.cfg.Self, t.cfg.Limits.RemotePeers)
}

// probes returns at most Limits.Probes of the members. The selection changes
// every ProbeEvery.
func (t *Table) probes(members []*member, now time.Time) []*member {
	if len(members) <= t.cfg.Limits.Probes {
		return members
	}
	epoch := int64(now.Sub(t.startedAt) / t.cfg.Timing.ProbeEvery)
	key := t.cfg.Self + "/" + strconv.FormatInt(epoch, 10)
	return topByWeight(members, key, t.cfg.Limits.Probes)
}

// topByWeight returns the members with the highest weights for the key, at most
// count of them. It reorders members.
func topByWeight(members []*member, key string, count int) []*member {
	weights := make(map[*member]candidate, len(members))
	for _, m := range members {
		weights[m] = candidate{m.address, keyedHash(key, m.address)}
	}
	slices.SortFunc(members, func(a, b *member) int { return byWeight(weights[a], weights[b]) })
	return members[:min(len(members), count)]
}

// digestPeers returns the addresses to send a digest to: the chosen peers and all
// other members in direct contact. If there are more than Limits.DigestPeers, it
// rotates over them.
func (t *Table) digestPeers(now time.Time) []string {
	var addresses []string
	for _, m := range t.order {
		if m.chosen || m.direct(t.cfg.Timing, now) {
			addresses = append(addresses, m.address)
		}
	}
	limit := t.cfg.Limits.DigestPeers
	if len(addresses) <= limit {
		return addresses
	}
	start := t.peerCursor % len(addresses)
	t.peerCursor = start + limit
	return append(addresses[start:], addresses[:start]...)[:limit]
}
