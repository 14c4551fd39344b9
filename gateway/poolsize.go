package gateway

import "github.com/bronzeloft/bronzeloft/database/allotment"

// Bounds of the connections that a host holds to one database.
const (
	// homesShare is the share of a database's connections that the home hosts of
	// all data centres hold together. When hosts fail together, their connections
	// stay open for seconds, and as many new ones must fit beside them.
	homesShare = 0.5
	// spareConns is the number of connections of a host that is not the home host:
	// for statements while the home host is unavailable, and for querying the
	// primary.
	spareConns = 2
	// unlimitedConns is the number of connections for each data centre if the
	// configuration sets no limit. homesShare applies to it too.
	unlimitedConns = 8
)

// initialPoolSize returns the number of connections that this host may hold to a new
// database of a service: on the home host the even share, on another host spareConns. Where
// connections are scarce, allotments changes the former.
func (g *Gateway) initialPoolSize(s *service) int {
	s.mu.Lock()
	rank := s.homeRank
	s.mu.Unlock()
	if rank > 0 {
		return spareConns
	}
	return g.evenShare(s, g.peers.dataCentreCount())
}

// evenShare returns the part of a database's connections that the home host of each of
// the given number of data centres holds if all hold the same: homesShare of the limit,
// divided evenly, but at least spareConns.
func (g *Gateway) evenShare(s *service, centres int) int {
	limit := g.config.Load().Services[s.name].MaxConns
	if limit <= 0 {
		limit = unlimitedConns * centres
	}
	return max(spareConns, int(homesShare*float64(limit))/centres)
}

// scarceConnections reports whether there are so many customers for the connections of an
// even share that they are divided by demand.
func (g *Gateway) scarceConnections(even int) bool {
	return allotment.Scarce(len(g.config.Load().Customers), even)
}

// sizePools adjusts the pools to a change of the configuration or of the number of
// hosts.
func (g *Gateway) sizePools() {
	for _, s := range g.allServices() {
		g.sizePoolsOf(s)
	}
}

// sizePoolsOf adjusts the pools of one service.
func (g *Gateway) sizePoolsOf(s *service) {
	s.mu.Lock()
	home := s.homeRank == 0
	s.mu.Unlock()
	var shares map[string]int
	if home { // otherwise its tenure ends with the next round
		shares = g.allotments.shares(s.name)
	}
	size := 0
	for _, p := range s.allPools() {
		n, divided := shares[p.db.ID]
		if !divided {
			if size == 0 {
				size = g.initialPoolSize(s)
			}
			n = size
		}
		p.setMax(max(spareConns, n))
	}
}
