package gateway

import (
	"time"

	"github.com/bronzeloft/bronzeloft/database/allotment"
)

// evictIdle removes an idle connection from a pool that is full or whose database is
// full. It returns nil if there is room or no
// connection is idle. mu is held.
func (p *pool) evictIdle(databaseFull bool) *conn {
	if p.open < p.max && !databaseFull || len(p.idle) == 0 {
		return nil
	}
	return p.removeIdle()
}

// removeIdle removes and returns the idle connection that is needed least: the one with
// the longest expected time until its next use if connections are scarce, and otherwise
// the one that has been idle longest. mu is held, and a connection is idle.
func (p *pool) removeIdle() *conn {
	i := 0
	if p.usage != nil {
		customers := make([]string, len(p.idle))
		for j, c := range p.idle {
			customers[j] = c.customer
		}
		i = p.usage.LeastUseful(customers, p.g.now())
	}
	c := p.idle[i]
	p.idle = append(p.idle[:i], p.idle[i+1:]...)
	p.open--
	return c
}

// setScarce sets whether the use of connections by customers is recorded, by which the pool
// chooses what it gives up.
func (p *pool) setScarce(scarce bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !scarce:
		p.usage = nil
	case p.usage == nil:
		p.usage = allotment.NewUsage()
	}
}

// use returns the pool's demand for connections in check-outs a second, and how many it
// holds and has in use.
func (p *pool) use(now time.Time) (demand float64, open, inUse int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.usage != nil {
		demand = p.usage.Demand(now)
	}
	return demand, p.open, p.open - len(p.idle)
}

// spacing returns the mean time between the ends of statements on this host's connections
// while it sends as many as it may, or 0 if it is not recorded.
func (p *pool) spacing() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.usage == nil {
		return 0
	}
	return p.usage.Held() / time.Duration(p.window.Size())
}
