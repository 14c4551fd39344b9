package peer_test

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/link/peer"
	"github.com/bronzeloft/bronzeloft/link/peerpb"
)

// relay forwards dialed connections and can silence the open ones while new
// ones work, or cut them.
type relay struct {
	mu    sync.Mutex
	pairs []*pair
}

type pair struct {
	near, far net.Conn
	silent    chan struct{}
}

// dial is a Config.Dial through the relay.
func (r *relay) dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	far, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	near, mine := net.Pipe()
	p := &pair{near: mine, far: far, silent: make(chan struct{})}
	r.mu.Lock()
	r.pairs = append(r.pairs, p)
	r.mu.Unlock()
	go p.copy(mine, far)
	go p.copy(far, mine)
	return near, nil
}

func (p *pair) copy(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		select {
		case <-p.silent:
			continue // swallows what was sent, tells nobody
		default:
		}
		if err != nil {
			_ = to.Close()
			return
		}
		_, _ = to.Write(buf[:n])
	}
}

func (r *relay) each(f func(*pair)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pairs {
		f(p)
	}
	r.pairs = nil
}

// silence makes the open connections swallow everything.
func (r *relay) silence() {
	r.each(func(p *pair) {
		close(p.silent)
		DeferCleanup(func() { _ = p.near.Close(); _ = p.far.Close() })
	})
}

func (r *relay) cut() {
	r.each(func(p *pair) { _ = p.near.Close(); _ = p.far.Close() })
}

var _ = Describe("a faulty link", func() {
	It("is replaced when it goes silent", func() {
		var r relay
		a := start(nil, func(c *peer.Config) { c.Dial = r.dial })
		b := start(echo, nil)
		connect(a, b)
		Expect(ask(a, b, "x")).To(Equal("x"))
		r.silence()
		began := time.Now()
		_, err := ask(a, b, "lost")
		Expect(err).To(MatchError(peer.ErrConnectionLost))
		Eventually(func() (string, error) { return ask(a, b, "y") }, "5s", "5ms").Should(Equal("y"))
		Expect(time.Since(began)).To(BeNumerically("<", 3500*time.Millisecond))
	})

	It("gives no answer from before a reset to a request after it", func() {
		held := make(chan struct{})
		slow := peer.HandlerFunc(func(_ peer.Info, env *peerpb.Envelope) *peerpb.Envelope {
			if env.GetTokenRequest().GetCustomer() == "before" {
				<-held
			}
			return echo(peer.Info{}, env)
		})
		var r relay
		a := start(nil, func(c *peer.Config) { c.Dial = r.dial })
		b := start(slow, nil)
		connect(a, b)
		first := make(chan error, 1)
		go func() {
			_, err := ask(a, b, "before")
			first <- err
		}()
		Eventually(func() uint64 { return b.Stats().ReceivedMessages }, "5s", "5ms").Should(BeNumerically(">=", 1))
		r.cut()
		Eventually(first, "5s").Should(Receive(MatchError(peer.ErrConnectionLost)))
		Eventually(func() error { return a.Send(b.address, token("hint")) }, "5s", "5ms").Should(Succeed())
		close(held)
		for range 20 {
			Expect(ask(a, b, "after")).To(Equal("after"))
		}
	})

	It("never matches an answer by id alone", func() {
		// A peer that answers, on its second connection, the request of its
		// first one.
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		address := listener.Addr().String()
		go forge(listener, address)
		a := start(nil, nil)
		a.SetPeers([]string{address})
		Eventually(a.Peers, "5s", "5ms").Should(HaveLen(1))
		_, err = a.Request(context.Background(), address, token("one"))
		Expect(err).To(MatchError(peer.ErrConnectionLost))
		Eventually(a.Peers, "5s", "5ms").Should(HaveLen(1))
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		_, err = a.Request(ctx, address, token("two"))
		Expect(err).To(MatchError(context.DeadlineExceeded))
	})
})

// forge accepts two connections: it closes the first one on a request and
// answers that request on the second one.
func forge(listener net.Listener, address string) {
	var old uint64
	for {
		raw, err := listener.Accept()
		if err != nil {
			return
		}
		stream, err := greetAs(raw, &peerpb.Hello{Protocol: peer.ProtocolVersion, Address: address, BootId: "b"})
		if err != nil {
			return
		}
		env, err := readOne(stream, 2) // the Hello, then the request
		if err != nil {
			return
		}
		if old == 0 {
			old = env.GetId()
			_ = raw.Close()
			continue
		}
		forged := grant("one")
		forged.ReplyTo = old
		frame, _ := peer.EncodeFrame(forged)
		_, _ = stream.Write(frame)
	}
}

// greetAs plays the accepting end up to its Hello.
func greetAs(raw net.Conn, hello *peerpb.Hello) (*yamux.Stream, error) {
	cfg := yamux.DefaultConfig()
	cfg.LogOutput = io.Discard
	sess, err := yamux.Server(raw, cfg)
	if err != nil {
		return nil, err
	}
	stream, err := sess.AcceptStream()
	if err != nil {
		return nil, err
	}
	frame, err := peer.EncodeFrame(&peerpb.Envelope{Body: &peerpb.Envelope_Hello{Hello: hello}})
	if err != nil {
		return nil, err
	}
	_, err = stream.Write(frame)
	return stream, err
}

func readOne(stream *yamux.Stream, skip int) (*peerpb.Envelope, error) {
	next := peer.FrameReader(stream)
	var env *peerpb.Envelope
	var err error
	for range skip {
		if env, err = next(); err != nil {
			return nil, err
		}
	}
	return env, nil
}

// logBuffer collects log lines.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

func (l *logBuffer) logger() *slog.Logger { return slog.New(slog.NewTextHandler(l, nil)) }

var _ = Describe("a peer that is not one of the fleet", func() {
	refuses := func(hello func(address string) *peerpb.Hello, cause string) {
		GinkgoHelper()
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		address := listener.Addr().String()
		go func() {
			for {
				raw, err := listener.Accept()
				if err != nil {
					return
				}
				_, _ = greetAs(raw, hello(address))
			}
		}()
		var log logBuffer
		a := start(nil, func(c *peer.Config) { c.Logger = log.logger() })
		a.SetPeers([]string{address})
		Eventually(log.String, "5s", "5ms").Should(ContainSubstring(cause))
		Expect(a.Peers()).To(BeEmpty())
	}

	It("is dropped for another protocol version", func() {
		refuses(func(address string) *peerpb.Hello {
			return &peerpb.Hello{Protocol: peer.ProtocolVersion + 1, Address: address, BootId: "b"}
		}, "protocol version")
	})

	It("is dropped when it is not the one that was dialed", func() {
		refuses(func(string) *peerpb.Hello {
			return &peerpb.Hello{Protocol: peer.ProtocolVersion, Address: "127.0.0.9:1", BootId: "b"}
		}, "peer claims 127.0.0.9:1")
	})

	It("is dropped for an incomplete Hello", func() {
		refuses(func(address string) *peerpb.Hello {
			return &peerpb.Hello{Protocol: peer.ProtocolVersion, Address: address}
		}, "incomplete Hello")
	})

	It("is dropped when it speaks no such protocol", func() {
		var log logBuffer
		a := start(nil, func(c *peer.Config) { c.Logger = log.logger() })
		raw, err := net.Dial("tcp", a.address)
		Expect(err).NotTo(HaveOccurred())
		defer raw.Close()
		_, err = raw.Write([]byte("GET / HTTP/1.1\r\nHost: there\r\n\r\n"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(log.String, "5s", "5ms").Should(ContainSubstring("peer refused"))
		Expect(a.Peers()).To(BeEmpty())
	})

	It("is dropped when it speaks for another address", func() {
		a, b := start(nil, nil), start(nil, nil)
		connect(a, b)
		Expect(a.Send(b.address, &peerpb.Envelope{Body: &peerpb.Envelope_Leaving{
			Leaving: &peerpb.Leaving{Address: "127.0.0.9:1"},
		}})).To(Succeed())
		a.SetPeers(nil)
		Eventually(b.Peers, "5s", "5ms").Should(BeEmpty())
	})
})
