package gateway

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/bronzeloft/bronzeloft/customer/fair"
	"github.com/bronzeloft/bronzeloft/customer/share"
	"github.com/bronzeloft/bronzeloft/customer/turn"
	"github.com/bronzeloft/bronzeloft/errkind"
)

// urgencyClasses returns the number of classes of urgency in a database's queues, or 0 if
// urgency orders only the requests of one customer.
func (g *Gateway) urgencyClasses() int {
	if g.opt.Features.UrgentFirst {
		return share.Classes
	}
	return 0
}

// turnAway returns the statements that wait for a slot or a connection of the database, which
// have not been sent, so that they look for another one. p may be nil.
func (p *pool) turnAway(why string) {
	if p == nil || !p.g.opt.Features.UrgentFirst {
		return
	}
	err := errkind.New(errkind.DatabaseUnavailable, "database %s %s; the statement was waiting and has not been sent", p.db.ID, why)
	p.turns.TurnAway(err)
	p.slots.TurnAway(err)
}

// Outcomes of a request, for metrics by class of urgency.
const (
	outcomeServed  = "served"
	outcomeRefused = "refused" // certainly not run
	outcomeFailed  = "failed"  // it may have run
	outcomeGaveWay = "gave_way"
)

// recordQueueWait records how long a request waited for a slot and a connection, or that it
// gave way to a more urgent one.
func (g *Gateway) recordQueueWait(item fair.Item, arrived time.Time, err error) {
	switch {
	case !g.opt.Features.UrgentFirst:
	case err == nil:
		g.metrics.set.GetOrCreateHistogram(fmt.Sprintf(`bronzeloft_queue_wait_seconds{urgency=%q}`, urgencyLabel(item.Urgency))).Update(g.now().Sub(arrived).Seconds())
	case errors.Is(err, turn.ErrGaveWay):
		g.metrics.countByUrgency(item.Urgency, outcomeGaveWay)
	}
}

// recordOutcome counts an answered request by its class of urgency. err is nil if it was served.
func (g *Gateway) recordOutcome(op *operation, err *errkind.Error) {
	switch {
	case !g.opt.Features.UrgentFirst || op.svc == nil:
	case err == nil:
		g.metrics.countByUrgency(op.route.Urgency, outcomeServed)
	case err.Kind.Answer().Outcome == errkind.NotRun:
		g.metrics.countByUrgency(op.route.Urgency, outcomeRefused)
	default:
		g.metrics.countByUrgency(op.route.Urgency, outcomeFailed)
	}
}

func (m *gatewayMetrics) countByUrgency(urgency int, outcome string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`bronzeloft_requests_by_urgency_total{urgency=%q,outcome=%q}`, urgencyLabel(urgency), outcome)).Inc()
}

// urgencyLabel returns the class of an urgency: less urgent ones count as of the last class.
func urgencyLabel(urgency int) string {
	return strconv.Itoa(max(0, min(urgency, share.Classes-1)))
}
