package datacentre

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// Peers returns the addresses that this host should keep a connection to, as
// chosen at the last Tick, by address.
//
// A small fleet is a full mesh. A larger one keeps, within the data centre, the
// members at distance 1, 2, 4, ... on a ring ordered by hash, so that news needs
// few hops and everyone has as many peers as everyone else; in other data
// centres a few hosts. Some lost members are tried in turn, so that two halves
// find each other after a partition even when the platform's list is down.
func (t *Table) Peers(now time.Time) []string {
	if t.peers == nil {
		t.peers = t.choosePeers(now)
	}
	return slices.Clone(t.peers)
}

func (t *Table) choosePeers(now time.Time) []string {
	var chosen []*member
	if len(t.members) < t.cfg.Limits.FullMesh {
		chosen = slices.Clone(t.order)
	} else {
		chosen = t.chooseFew(now)
	}
	chosen = append(chosen, t.departing(now)...)
	for _, m := range t.order {
		m.chosen = false
	}
	addresses := make([]string, 0, len(chosen))
	for _, m := range chosen {
		if m.chosen || (m.leaving && !m.direct(t.cfg.Timing, now)) {
			continue
		}
		m.chosen = true
		if m.triedAt.IsZero() && m.seenAt.IsZero() {
			m.triedAt = now
		}
		addresses = append(addresses, m.address)
	}
	slices.Sort(addresses)
	return addresses
}

// departing returns the peers that are leaving but still there: they have
// something to hand over.
func (t *Table) departing(now time.Time) []*member {
	var list []*member
	for _, m := range t.order {
		if m.chosen && m.leaving && m.direct(t.cfg.Timing, now) {
			list = append(list, m)
		}
	}
	return list
}

// chooseFew picks the peers in a fleet too large for a full mesh.
func (t *Table) chooseFew(now time.Time) []*member {
	byCentre := make(map[string][]*member)
	var unplaced, lost []*member
	for _, m := range t.order {
		switch {
		case m.usable(t.cfg.Timing, now) && m.dataCentre == "":
			unplaced = append(unplaced, m)
		case m.usable(t.cfg.Timing, now):
			byCentre[m.dataCentre] = append(byCentre[m.dataCentre], m)
		case !m.leaving:
			lost = append(lost, m)
		}
	}
	own := byCentre[t.cfg.DataCentre]
	delete(byCentre, t.cfg.DataCentre)
	ring, place := t.ring(own)
	chosen := t.fingers(own, ring, place)
	chosen = append(chosen, t.remote(byCentre, place, len(ring))...)
	chosen = append(chosen, t.probes(unplaced, now)...)
	return append(chosen, t.probes(lost, now)...)
}

// ringPoint is one host on the data centre's ring; the member is nil for this
// host itself.
type ringPoint struct {
	score  uint64
	member *member
}

// ring orders the hosts of this data centre by hash and returns this host's
// place.
func (t *Table) ring(own []*member) ([]ringPoint, int) {
	points := make([]ringPoint, 0, len(own)+1)
	for _, m := range own {
		points = append(points, ringPoint{score("ring", m.address), m})
	}
	points = append(points, ringPoint{score("ring", t.cfg.Self), nil})
	slices.SortFunc(points, func(a, b ringPoint) int { return cmp.Compare(a.score, b.score) })
	place := slices.IndexFunc(points, func(p ringPoint) bool { return p.member == nil })
	return points, place
}

// fingers returns all of a small data centre, else the members at distances
// that are powers of two.
func (t *Table) fingers(own []*member, ring []ringPoint, place int) []*member {
	if len(own) < t.cfg.Limits.LocalMesh {
		return own
	}
	var chosen []*member
	for distance := 1; distance < len(ring); distance *= 2 {
		chosen = append(chosen, ring[(place+distance)%len(ring)].member)
	}
	return chosen
}

// remote returns peers in other data centres. The hosts of this one divide the
// others among them by their place on the ring, so that each pair of data
// centres has several connections.
func (t *Table) remote(byCentre map[string][]*member, place, hosts int) []*member {
	centres := make([]string, 0, len(byCentre))
	for centre := range byCentre {
		centres = append(centres, centre)
	}
	slices.Sort(centres)
	count := min(len(centres), t.remoteCentres(len(centres), hosts))
	var chosen []*member
	for i := range count {
		centre := centres[(place*count+i)%len(centres)]
		chosen = append(chosen, t.nearest(byCentre[centre])...)
	}
	return chosen
}

// linksPerPair is the least number of connections that a data centre opens to
// each other one while it has few hosts.
const linksPerPair = 2

func (t *Table) remoteCentres(centres, hosts int) int {
	needed := (linksPerPair*centres + hosts - 1) / hosts
	return max(t.cfg.Limits.RemoteCentres, needed)
}

// nearest returns this host's peers among those of another data centre.
func (t *Table) nearest(candidates []*member) []*member {
	return top(candidates, t.cfg.Self, t.cfg.Limits.RemotePeers)
}

// probes returns a few of the members, others after each ProbeEvery.
func (t *Table) probes(members []*member, now time.Time) []*member {
	if len(members) <= t.cfg.Limits.Probes {
		return members
	}
	epoch := int64(now.Sub(t.startedAt) / t.cfg.Timing.ProbeEvery)
	key := t.cfg.Self + "/" + strconv.FormatInt(epoch, 10)
	return top(members, key, t.cfg.Limits.Probes)
}

// top returns the best members for the key, at most count.
func top(members []*member, key string, count int) []*member {
	weights := make(map[*member]candidate, len(members))
	for _, m := range members {
		weights[m] = candidate{m.address, score(key, m.address)}
	}
	slices.SortFunc(members, func(a, b *member) int { return first(weights[a], weights[b]) })
	return members[:min(len(members), count)]
}

// digestPeers returns who gets a digest: the chosen peers and whoever else is
// in direct contact, in turn when there are more than DigestPeers.
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
	start := t.rotation % len(addresses)
	t.rotation = start + limit
	return append(addresses[start:], addresses[:start]...)[:limit]
}
