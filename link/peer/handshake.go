package peer

import (
	"context"
	"crypto/tls"
	"io"
	"log"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"

	"github.com/bronzeloft/bronzeloft/link/peerpb"
)

const streamWindow = 256 << 10 // bytes that may be in flight on one stream

// link is a connection during its handshake.
type link struct {
	wire   *countingConn
	sess   *yamux.Session
	stream *yamux.Stream
	frames *frameReader
}

// handshake sets up TLS, yamux and the shared stream, and exchanges Hellos.
// address is the dialed address, or empty for an inbound connection.
func (m *Mesh) handshake(raw net.Conn, address string) (*conn, error) {
	wire := &countingConn{Conn: raw, stats: &m.stats, epoch: time.Now()}
	deadline := time.Now().Add(m.cfg.HandshakeTimeout)
	_ = wire.SetDeadline(deadline)
	secured, tlsState, err := m.secure(wire, address)
	if err != nil {
		_ = wire.Close()
		return nil, err
	}
	l := &link{wire: wire}
	hello, err := m.exchangeHello(l, secured, address != "", deadline)
	if err == nil {
		err = m.checkHello(hello, address, tlsState)
	}
	if err != nil {
		l.close()
		return nil, err
	}
	_ = wire.SetDeadline(time.Time{})
	_ = l.stream.SetDeadline(time.Time{})
	return newConn(m, address != "", l, hello), nil
}

func (l *link) close() {
	_ = l.wire.Close()
	if l.sess != nil {
		_ = l.sess.Close()
	}
}

// secure runs the TLS handshake when TLS is configured.
func (m *Mesh) secure(wire net.Conn, address string) (net.Conn, *tls.ConnectionState, error) {
	if m.cfg.TLS == nil {
		return wire, nil, nil
	}
	var secured *tls.Conn
	if address == "" {
		secured = tls.Server(wire, m.serverTLS)
	} else {
		secured = tls.Client(wire, m.clientTLS(address))
	}
	if err := secured.Handshake(); err != nil {
		return nil, nil, eris.Wrap(err, "TLS handshake")
	}
	state := secured.ConnectionState()
	return secured, &state, nil
}

func (m *Mesh) clientTLS(address string) *tls.Config {
	config := m.cfg.TLS.Clone()
	if config.ServerName == "" {
		config.ServerName = hostOf(address)
	}
	return config
}

// serverTLS returns config with mandatory client certificates, verified against
// the fleet's CA.
func serverTLS(config *tls.Config) *tls.Config {
	if config == nil {
		return nil
	}
	config = config.Clone()
	config.ClientAuth = tls.RequireAndVerifyClientCert
	if config.ClientCAs == nil {
		config.ClientCAs = config.RootCAs
	}
	return config
}

// exchangeHello starts yamux and exchanges Hellos on the shared stream.
func (m *Mesh) exchangeHello(l *link, secured net.Conn, dialed bool, deadline time.Time) (*peerpb.Hello, error) {
	var err error
	coalescing := &coalescingConn{Conn: secured}
	if dialed {
		l.sess, err = yamux.Client(coalescing, m.muxConfig())
	} else {
		l.sess, err = yamux.Server(coalescing, m.muxConfig())
	}
	if err != nil {
		return nil, eris.Wrap(err, "cannot start yamux session")
	}
	if l.stream, err = openSharedStream(l.sess, dialed, deadline); err != nil {
		return nil, eris.Wrap(err, "cannot open shared stream")
	}
	_ = l.stream.SetDeadline(deadline)
	frame, err := encodeFrame(&peerpb.Envelope{Body: &peerpb.Envelope_Hello{Hello: m.hello()}})
	if err != nil {
		return nil, err
	}
	if _, err := l.stream.Write(frame); err != nil {
		return nil, eris.Wrap(err, "cannot send Hello")
	}
	l.frames = &frameReader{r: l.stream}
	env, err := l.frames.next()
	if err != nil {
		return nil, eris.Wrap(err, "cannot read Hello")
	}
	if env.GetHello() == nil {
		return nil, eris.New("first message is not a Hello")
	}
	return env.GetHello(), nil
}

func openSharedStream(sess *yamux.Session, dialed bool, deadline time.Time) (*yamux.Stream, error) {
	if dialed {
		return sess.OpenStream()
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return sess.AcceptStreamWithContext(ctx)
}

func (m *Mesh) hello() *peerpb.Hello {
	return &peerpb.Hello{
		Protocol:   ProtocolVersion,
		Address:    m.cfg.Self,
		DataCentre: m.cfg.DataCentre,
		BootId:     m.cfg.BootID,
	}
}

// checkHello verifies the peer's protocol version and identity: its address must
// match the dialed one and, with TLS, its certificate. When TLS.ServerName is set,
// the certificate must be valid for that name instead. tlsState is nil without TLS.
func (m *Mesh) checkHello(hello *peerpb.Hello, dialedTo string, tlsState *tls.ConnectionState) error {
	claimed := hello.GetAddress()
	switch {
	case hello.GetProtocol() != ProtocolVersion:
		return eris.Errorf("protocol version %d, want %d", hello.GetProtocol(), ProtocolVersion)
	case hello.GetBootId() == "" || hostOf(claimed) == "":
		return eris.New("incomplete Hello: boot id or valid address missing")
	case claimed == m.cfg.Self:
		return eris.New("peer claims this host's address")
	case dialedTo != "" && claimed != dialedTo:
		return eris.Errorf("dialed %s, peer claims %s", dialedTo, claimed)
	case tlsState == nil:
		return nil
	}
	name := m.cfg.TLS.ServerName
	if name == "" {
		name = hostOf(claimed)
	}
	if len(tlsState.PeerCertificates) == 0 {
		return eris.New("no peer certificate")
	}
	return eris.Wrap(tlsState.PeerCertificates[0].VerifyHostname(name), "peer certificate does not match the claimed address or the configured server name")
}

// checkSender returns an error when a message carries another address than its
// sender's, or is a second Hello.
func checkSender(address string, env *peerpb.Envelope) error {
	claimed := address
	switch body := env.GetBody().(type) {
	case *peerpb.Envelope_Hello:
		return eris.New("second Hello")
	case *peerpb.Envelope_Leaving:
		claimed = body.Leaving.GetAddress()
	case *peerpb.Envelope_RosterAck:
		claimed = body.RosterAck.GetAddress()
	case *peerpb.Envelope_BurnReply:
		claimed = body.BurnReply.GetAddress()
	}
	if claimed != address {
		return eris.Errorf("message carries address %s, which is not its sender's", claimed)
	}
	return nil
}

func (m *Mesh) muxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false // the mesh pings only silent connections
	config.ConnectionWriteTimeout = m.cfg.WriteTimeout
	config.StreamOpenTimeout = ownStreamLimit
	config.StreamCloseTimeout = ownStreamLimit
	config.AcceptBacklog = 2 * maxOwnStreams
	config.MaxStreamWindowSize = streamWindow
	config.LogOutput = nil
	config.Logger = log.New(io.Discard, "", 0)
	return config
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return host
}
