package peer

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/bronzeloft/bronzeloft/internal/defaults"
	"github.com/bronzeloft/bronzeloft/link/peerpb"
)

// ProtocolVersion is the version of the message set. Hosts with different
// versions refuse each other's connections.
const ProtocolVersion = 1

// Defaults of Config.
const (
	DefaultDialTimeout      = 700 * time.Millisecond
	DefaultHandshakeTimeout = 2 * time.Second
	DefaultProbeAfter       = 750 * time.Millisecond
	DefaultProbeInterval    = 250 * time.Millisecond
	DefaultWriteTimeout     = time.Second
	DefaultBackoffMin       = 50 * time.Millisecond
	DefaultBackoffMax       = 600 * time.Millisecond
	DefaultQueueLen         = 256 // messages
	DefaultWorkers          = 8
	DefaultMaxConns         = 256
)

// Config holds the settings of a Mesh. Zero values select the defaults.
type Config struct {
	Self       string // IP:port of this host's peer listener, as others dial it
	DataCentre string
	BootID     string // differs after every start of the process

	// TLS, when set, applies to inbound and outbound connections: it holds this
	// host's certificate and the fleet's CA in RootCAs. Certificates are issued
	// for the host's IP, or for ServerName when that is set.
	TLS     *tls.Config
	Logger  *slog.Logger
	Handler Handler
	Metrics *metrics.Set // set in which the metrics are registered; a private one when nil

	// OnPeer is called when a peer connects or disconnects, one call at a time. When
	// one connection replaces another, only the new one is reported, as connected.
	// OnPeer must not call Close, which waits for it.
	OnPeer func(info Info, connected bool)

	// OnSession serves the stream of a caller's session that a peer opened, and
	// returns when the session ends. When nil, such streams are closed.
	OnSession func(from Info, open *peerpb.OpenSession, stream net.Conn)

	// Dial opens a TCP connection; net.Dialer when nil.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	DialTimeout      time.Duration
	HandshakeTimeout time.Duration // TLS and Hello together
	ProbeAfter       time.Duration // time without received bytes, while sent data is unanswered, after which a ping is sent
	ProbeInterval    time.Duration // between checks for connections to be probed
	IdleProbeAfter   time.Duration // the same on an idle connection; ProbeAfter if zero
	WriteTimeout     time.Duration // limit for a blocked write and for the answer to a ping
	BackoffMin       time.Duration // initial delay between dials of one peer
	BackoffMax       time.Duration // maximum of that delay

	QueueLen int // queued messages per connection and direction
	Workers  int // goroutines that call Handler for the messages of shared streams
	MaxConns int // inbound connections
}

// Handler handles messages from peers. A bounded pool of workers handles the
// messages of the shared streams: those of one connection one at a time, in the
// order in which they were sent. Requests with a stream of their own are handled
// outside the pool, at most maxOwnStreams of one connection concurrently.
type Handler interface {
	// HandlePeer handles one message and returns the answer, or nil for none. An
	// answer to a message that is not a request is discarded.
	HandlePeer(from Info, env *peerpb.Envelope) *peerpb.Envelope
}

// HandlerFunc adapts a function to Handler.
type HandlerFunc func(from Info, env *peerpb.Envelope) *peerpb.Envelope

// HandlePeer calls f.
func (f HandlerFunc) HandlePeer(from Info, env *peerpb.Envelope) *peerpb.Envelope {
	return f(from, env)
}

// Info describes a peer. The status page of a host contains it as JSON.
type Info struct {
	Address      string
	DataCentre   string
	BootID       string
	Connected    bool
	LastReceived time.Time `json:"LastHeard"` // time of the last received byte
}

func (c Config) withDefaults() Config {
	defaults.Set(&c.DialTimeout, DefaultDialTimeout)
	defaults.Set(&c.HandshakeTimeout, DefaultHandshakeTimeout)
	defaults.Set(&c.ProbeAfter, DefaultProbeAfter)
	defaults.Set(&c.IdleProbeAfter, c.ProbeAfter)
	defaults.Set(&c.ProbeInterval, DefaultProbeInterval)
	defaults.Set(&c.WriteTimeout, DefaultWriteTimeout)
	defaults.Set(&c.BackoffMin, DefaultBackoffMin)
	defaults.Set(&c.BackoffMax, DefaultBackoffMax)
	defaults.Set(&c.QueueLen, DefaultQueueLen)
	defaults.Set(&c.Workers, DefaultWorkers)
	defaults.Set(&c.MaxConns, DefaultMaxConns)
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	c.Logger = c.Logger.With("part", "peer")
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	if c.Handler == nil {
		c.Handler = HandlerFunc(func(Info, *peerpb.Envelope) *peerpb.Envelope { return nil })
	}
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	return c
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}
