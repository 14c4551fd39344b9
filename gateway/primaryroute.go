package gateway

import (
	"time"

	"github.com/bronzeloft/bronzeloft/contract/routes"
)

// A partition may cut a primary off from some hosts of a data centre and not from others. Where
// urgent statements go first, statements that need the primary then go to a host
// that reaches it, instead of waiting at the home host until the partition ends.

// needsPrimary reports whether the operation runs on the primary only.
func (op *operation) needsPrimary() bool {
	if op.inTransaction {
		return !op.readOnly
	}
	return op.writes() || op.route.Freshness == routes.Current
}

// runnerForOperation returns runnerFor, or the next home candidate that reaches the primary
// if the operation needs it and the home host does not reach it.
func (g *Gateway) runnerForOperation(op *operation) runner {
	home := g.runnerFor(op.svc)
	if !g.opt.Features.UrgentFirst || !op.needsPrimary() {
		return home
	}
	list := g.runners(op.svc)
	reaches := g.reachPrimary(op.svc, g.now())
	if len(list) == 0 {
		return home
	}
	if reached, reported := reaches[list[0].name]; reached || !reported {
		return home
	}
	for _, h := range list[1:] {
		switch {
		case !reaches[h.name] || h.avoided:
		case h.access == "":
			return newLocal(g)
		default:
			return &remote{g: g, home: h}
		}
	}
	return home
}

// reachPrimary returns for this host, and for those of its data centre that have reported on
// the service a moment ago, whether they know a primary that is reachable for them.
func (g *Gateway) reachPrimary(svc *service, now time.Time) map[string]bool {
	out := map[string]bool{}
	svc.mu.Lock()
	own := svc.primaryView(now)
	svc.mu.Unlock()
	out[g.opt.Name] = own.Primary != "" && !own.Unreachable
	p := g.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, h := range p.hostsByName {
		if h.dataCentre != g.opt.DataCentre || now.Sub(h.lastSeen) >= reportTTL {
			continue
		}
		for _, report := range h.groups {
			if report.Service == svc.name && report.Watching {
				out[name] = report.Primary != "" && !report.Unreachable
			}
		}
	}
	return out
}
