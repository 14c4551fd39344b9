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

// ProtocolVersion is the version of the message set. Hosts of different
// versions do not talk to each other.
const ProtocolVersion = 1

// Defaults of Config.
const (
	DefaultDialTimeout      = 700 * time.Millisecond
	DefaultHandshakeTimeout = 2 * time.Second
	DefaultProbeAfter       = 750 * time.Millisecond
	DefaultWriteTimeout     = time.Second
	DefaultBackoffMin       = 50 * time.Millisecond
	DefaultBackoffMax       = 600 * time.Millisecond
	DefaultQueueLen         = 256 // messages
	DefaultWorkers          = 8
	DefaultMaxConns         = 256
)

// Config is the settings of a Mesh. Zero values take the defaults.
type Config struct {
	Self       string // IP:port of this host's peer listener, as others dial it
	DataCentre string
	BootID     string // differs after every start of the process

	// TLS is used in both directions when set: it holds this host's
	// certificate and the fleet's CA in RootCAs. Certificates name the host's
	// IP, or ServerName when that is set.
	TLS     *tls.Config
	Logger  *slog.Logger
	Handler Handler
	Metrics *metrics.Set // where counters are registered; a private set when nil

	// OnPeer is called when a peer gets or loses its connection, one call at a
	// time. It must not call Close.
	OnPeer func(info Info, connected bool)

	// OnSession serves the stream of a caller's session that a peer opened, and
	// returns when it ends. Nil refuses such streams.
	OnSession func(from Info, open *peerpb.OpenSession, stream net.Conn)

	// Dial opens a TCP connection; net.Dialer when nil.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	DialTimeout      time.Duration
	HandshakeTimeout time.Duration // TLS and Hello together
	ProbeAfter       time.Duration // silence after which a ping is sent
	WriteTimeout     time.Duration // for a blocked write and for the answer to a ping
	BackoffMin       time.Duration // between dials of one peer
	BackoffMax       time.Duration

	QueueLen int // messages waiting per connection, each way
	Workers  int // goroutines that call Handler
	MaxConns int // connections taken from others
}

// Handler gets the messages of peers. It is called from a bounded pool of
// workers. Messages of one connection are handled one after the other in the
// order in which they were sent, except requests with a stream of their own.
type Handler interface {
	// HandlePeer handles one message and returns the answer, nil for none.
	HandlePeer(from Info, env *peerpb.Envelope) *peerpb.Envelope
}

// HandlerFunc is a function that is a Handler.
type HandlerFunc func(from Info, env *peerpb.Envelope) *peerpb.Envelope

// HandlePeer calls f.
func (f HandlerFunc) HandlePeer(from Info, env *peerpb.Envelope) *peerpb.Envelope {
	return f(from, env)
}

// Info describes a peer.
type Info struct {
	Address    string
	DataCentre string
	BootID     string
	Connected  bool
	LastHeard  time.Time // last byte received; zero when never connected
}

func (c Config) withDefaults() Config {
	defaults.Set(&c.DialTimeout, DefaultDialTimeout)
	defaults.Set(&c.HandshakeTimeout, DefaultHandshakeTimeout)
	defaults.Set(&c.ProbeAfter, DefaultProbeAfter)
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
