package gateway

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

// poolSize returns the number of connections that this host may hold to each of a
// service's databases. On the home host this is homesShare of the limit, divided
// evenly among the data centres, but at least spareConns; on another host it is
// spareConns.
func (g *Gateway) poolSize(s *service) int {
	s.mu.Lock()
	rank := s.homeRank
	s.mu.Unlock()
	limit := g.config.Load().Services[s.name].MaxConns
	if limit <= 0 {
		limit = unlimitedConns * g.peers.dataCentreCount()
	}
	if rank > 0 {
		return spareConns
	}
	return max(spareConns, int(homesShare*float64(limit))/g.peers.dataCentreCount())
}

// sizePools adjusts the pools to a change of the configuration or of the number of
// hosts.
func (g *Gateway) sizePools() {
	for _, s := range g.allServices() {
		s.setPoolSize(g.poolSize(s))
	}
}
