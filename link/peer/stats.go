package peer

import (
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// Stats counts the traffic of a Mesh since its start. Byte counts are TCP
// payload, including TLS.
type Stats struct {
	SentBytes        uint64
	ReceivedBytes    uint64
	SentMessages     uint64
	ReceivedMessages uint64
	Writes           uint64 // to TCP connections
	Reads            uint64 // from TCP connections
	Dropped          uint64 // messages dropped because a queue was full
}

type counters struct {
	sentBytes        atomic.Uint64
	receivedBytes    atomic.Uint64
	sentMessages     atomic.Uint64
	receivedMessages atomic.Uint64
	writes           atomic.Uint64
	reads            atomic.Uint64
}

// Stats returns the traffic counted since the start.
func (m *Mesh) Stats() Stats {
	return Stats{
		SentBytes:        m.stats.sentBytes.Load(),
		ReceivedBytes:    m.stats.receivedBytes.Load(),
		SentMessages:     m.stats.sentMessages.Load(),
		ReceivedMessages: m.stats.receivedMessages.Load(),
		Writes:           m.stats.writes.Load(),
		Reads:            m.stats.reads.Load(),
		Dropped:          m.meters.dropped.Get(),
	}
}

type meters struct {
	dropped      *metrics.Counter
	refused      *metrics.Counter
	dialFailures *metrics.Counter
}

func newMeters(set *metrics.Set, m *Mesh) meters {
	gauge := func(name string, value func() float64) { set.GetOrCreateGauge(name, value) }
	gauge("bronzeloft_peer_connections", func() float64 { return float64(len(m.Peers())) })
	gauge("bronzeloft_peer_sent_bytes", func() float64 { return float64(m.stats.sentBytes.Load()) })
	gauge("bronzeloft_peer_received_bytes", func() float64 { return float64(m.stats.receivedBytes.Load()) })
	return meters{
		dropped:      set.GetOrCreateCounter("bronzeloft_peer_dropped_messages_total"),
		refused:      set.GetOrCreateCounter("bronzeloft_peer_refused_connections_total"),
		dialFailures: set.GetOrCreateCounter("bronzeloft_peer_dial_failures_total"),
	}
}
