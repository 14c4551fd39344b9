package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/internal/buildinfo"
)

// gatewayMetrics are the metrics of one host. No label contains a customer's key.
type gatewayMetrics struct {
	set              *metrics.Set
	dialled          *metrics.Counter
	storeFailures    *metrics.Counter
	unsent           *metrics.Counter
	allotmentsUnsent *metrics.Counter
	missing          *metrics.Counter
	keptFromCold     *metrics.Counter
	awaitingReturn   *metrics.Counter
	writtenAgain     *metrics.Counter
}

func newMetrics(g *Gateway) *gatewayMetrics {
	set := metrics.NewSet()
	m := &gatewayMetrics{
		set:              set,
		dialled:          set.NewCounter("bronzeloft_database_connections_opened_total"),
		storeFailures:    set.NewCounter("bronzeloft_store_failures_total"),
		unsent:           set.NewCounter("bronzeloft_peer_messages_unsent_total"),
		allotmentsUnsent: set.NewCounter("bronzeloft_peer_messages_without_allotments_total"),
		missing:          set.NewCounter("bronzeloft_acknowledged_commits_missing_total"),
		keptFromCold:     set.NewCounter("bronzeloft_cold_statements_kept_total"),
	}
	m.awaitingReturn = set.NewCounter("bronzeloft_takeovers_awaiting_store_return_total")
	m.writtenAgain = set.NewCounter("bronzeloft_store_records_written_again_total")
	set.NewGauge("bronzeloft_store_era", func() float64 {
		if g.opt.Platform == nil {
			return 0
		}
		return float64(g.opt.Platform.Eras().Newest())
	})
	set.NewGauge("bronzeloft_caller_connections", func() float64 { return float64(g.callers.count()) })
	set.NewGauge("bronzeloft_config_version", func() float64 { return float64(g.config.Load().Version) })
	set.NewGauge("bronzeloft_services_waiting_for_logs", func() float64 { return float64(g.servicesAwaitingLogs()) })
	if g.evacuations != nil {
		set.NewGauge("bronzeloft_evacuated_data_centres", func() float64 { return float64(g.evacuations.count.Load()) })
		set.NewGauge("bronzeloft_services_waiting_for_evacuation", func() float64 { return float64(g.servicesAwaitingEvacuation()) })
	}
	set.NewGauge("bronzeloft_cold_databases", func() float64 { return float64(g.cold.count(g.now())) })
	for _, rules := range []string{"present", "older"} {
		set.NewGauge(fmt.Sprintf(`bronzeloft_hosts{rules=%q}`, rules), func() float64 {
			if g.peers == nil {
				return 0
			}
			present, older := g.peers.hostsByRules()
			if rules == "older" {
				return float64(older)
			}
			return float64(present)
		})
	}
	build := buildinfo.Get()
	set.NewGauge(fmt.Sprintf(`bronzeloft_build_info{release=%q,build_id=%q,revision=%q}`, build.Release, build.ID, build.Revision), func() float64 { return 1 })
	return m
}

// Reasons for which a caller, or one of its messages, is refused.
const (
	refusedFull      = "sessions"      // the host is full of sessions that have logged in
	refusedSlowLogin = "slow_login"    // too many sessions have not logged in, and it was the oldest
	refusedShare     = "session_share" // its customer holds too many of the host's sessions
	refusedMemory    = "memory"        // other callers hold the memory for messages
	refusedStatement = "forwarded"     // a statement of another host, for want of that memory
)

// refusedCaller counts a caller that is refused for the given reason.
func (m *gatewayMetrics) refusedCaller(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`bronzeloft_callers_refused_total{reason=%q}`, reason)).Inc()
}

// Reasons for which a connection to a database is closed.
const (
	closedBroken  = "broken"  // its state is unknown, for example after an unanswered or abandoned statement
	closedEvicted = "evicted" // replaced by a connection for another customer
	closedExcess  = "excess"  // the pool is closed or too large, or the connection was spare or its session state full
)

// Reasons for which a connection to a database is opened for a customer.
const (
	dialledAdding    = "adding"    // the pool has room
	dialledReplacing = "replacing" // in place of an idle connection of another customer
)

// dialling counts an attempt to open a connection for a customer by reason.
func (m *gatewayMetrics) dialling(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`bronzeloft_database_dials_total{reason=%q}`, reason)).Inc()
}

// States of the connections to a database that are divided by demand.
const (
	connectionsAllotted = "allotted" // this host may hold
	connectionsHeld     = "held"     // it holds
)

// connections sets what this host may hold and holds of a database's connections, and its
// demand in check-outs a second.
func (m *gatewayMetrics) connections(database string, allotted, held int, demand float64) {
	set := func(name string, value float64) { m.set.GetOrCreateGauge(name, nil).Set(value) }
	set(fmt.Sprintf(`bronzeloft_database_connections{database=%q,state=%q}`, database, connectionsAllotted), float64(allotted))
	set(fmt.Sprintf(`bronzeloft_database_connections{database=%q,state=%q}`, database, connectionsHeld), float64(held))
	set(fmt.Sprintf(`bronzeloft_database_checkouts_per_second{database=%q}`, database), demand)
}

// forgetConnections removes what connections set.
func (m *gatewayMetrics) forgetConnections(database string) {
	m.set.UnregisterMetric(fmt.Sprintf(`bronzeloft_database_connections{database=%q,state=%q}`, database, connectionsAllotted))
	m.set.UnregisterMetric(fmt.Sprintf(`bronzeloft_database_connections{database=%q,state=%q}`, database, connectionsHeld))
	m.set.UnregisterMetric(fmt.Sprintf(`bronzeloft_database_checkouts_per_second{database=%q}`, database))
}

// closed counts a closed connection to a database by reason.
func (m *gatewayMetrics) closed(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`bronzeloft_database_connections_closed_total{reason=%q}`, reason)).Inc()
}

// failed counts a request that was refused, that failed or whose outcome is
// unknown, by kind.
func (m *gatewayMetrics) failed(k errkind.Kind) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`bronzeloft_refused_total{kind=%q}`, k)).Inc()
}

// refusedForEvacuation counts an attempt to run a statement that was refused because a data centre
// is evacuated.
func (m *gatewayMetrics) refusedForEvacuation() {
	m.set.GetOrCreateCounter("bronzeloft_evacuation_refusals_total").Inc()
}

// acknowledged counts a confirmed commit by the evidence on which it was acknowledged,
// or as unknown.
func (m *gatewayMetrics) acknowledged(outcome string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`bronzeloft_commits_total{evidence=%q}`, outcome)).Inc()
}

// ordered counts a promotion order by its outcome.
func (m *gatewayMetrics) ordered(err error) {
	outcome := "accepted"
	switch {
	case errors.Is(err, succession.ErrRefused):
		outcome = "refused"
	case err != nil:
		outcome = "unanswered"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`bronzeloft_promotion_orders_total{outcome=%q}`, outcome)).Inc()
}

// observe records the duration of one served request.
func (m *gatewayMetrics) observe(op *operation, took time.Duration) {
	access := "read"
	if op.writes() {
		access = "write"
	}
	m.set.GetOrCreateHistogram(fmt.Sprintf(`bronzeloft_request_seconds{service=%q,access=%q}`, op.route.Service, access)).Update(took.Seconds())
}

// handler serves the metrics in the Prometheus text format.
func (m *gatewayMetrics) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		m.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
}
