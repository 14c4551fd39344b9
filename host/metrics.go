package host

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/bronzeloft/bronzeloft/errkind"
)

// hostMetrics holds the metrics of one host. Labels never contain a key.
type hostMetrics struct {
	set          *metrics.Set
	readRetries  *metrics.Counter
	writeRetries *metrics.Counter
	unsent       *metrics.Counter
	relayed      *metrics.Counter
}

func newHostMetrics(h *Host) *hostMetrics {
	set := metrics.NewSet()
	m := &hostMetrics{
		set:          set,
		readRetries:  set.NewCounter("bronzeloft_read_retries_total"),
		writeRetries: set.NewCounter("bronzeloft_write_retries_total"),
		unsent:       set.NewCounter("bronzeloft_peer_messages_unsent_total"),
		relayed:      set.NewCounter("bronzeloft_sessions_relayed_total"),
	}
	set.NewGauge("bronzeloft_caller_connections", func() float64 { return float64(h.callers.openConnections()) })
	set.NewGauge("bronzeloft_config_version", func() float64 { return float64(h.view.Load().snap.Version) })
	return m
}

// countRefusal counts a refused request or connection by kind of error.
func (m *hostMetrics) countRefusal(k errkind.Kind) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`bronzeloft_refused_total{kind=%q}`, k)).Inc()
}

// countRead counts a read by the role of the database that served it.
func (m *hostMetrics) countRead(service, role string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`bronzeloft_reads_total{service=%q,role=%q}`, service, role)).Inc()
}

// observe records the duration of one answered request.
func (m *hostMetrics) observe(service, access string, took time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`bronzeloft_request_seconds{service=%q,access=%q}`, service, access)).Update(took.Seconds())
}

// write writes the host's metrics and those of the process.
func (m *hostMetrics) write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
