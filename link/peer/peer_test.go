package peer_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/link/peer"
	"github.com/bronzeloft/bronzeloft/link/peerpb"
)

func TestPeer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peer")
}

// node is a Mesh on a loopback listener.
type node struct {
	*peer.Mesh
	address string
}

// start runs a Mesh on 127.0.0.1; change, if not nil, modifies its settings.
func start(handler peer.Handler, change func(*peer.Config)) *node {
	GinkgoHelper()
	return startAt("127.0.0.1:0", handler, change)
}

func startAt(address string, handler peer.Handler, change func(*peer.Config)) *node {
	GinkgoHelper()
	listener, err := net.Listen("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	cfg := peer.Config{
		Self:       listener.Addr().String(),
		DataCentre: "dc1",
		BootID:     "boot-1",
		Handler:    handler,
	}
	if change != nil {
		change(&cfg)
	}
	n := &node{Mesh: peer.New(cfg), address: cfg.Self}
	go func() { _ = n.Serve(listener) }()
	DeferCleanup(n.Close)
	return n
}

// connect makes a dial b and waits until both have registered the connection.
func connect(a, b *node) {
	GinkgoHelper()
	a.SetPeers([]string{b.address})
	Eventually(a.Peers, "5s", "5ms").Should(HaveLen(1))
	Eventually(b.Peers, "5s", "5ms").Should(HaveLen(1))
}

func tokenRequest(customer string) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_TokenRequest{
		TokenRequest: &peerpb.TokenRequest{Customer: customer},
	}}
}

func tokenGrant(customer string) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_TokenGrant{
		TokenGrant: &peerpb.TokenGrant{Customer: customer},
	}}
}

// echo answers a token request with a grant for the same customer.
var echo = peer.HandlerFunc(func(_ peer.Info, env *peerpb.Envelope) *peerpb.Envelope {
	return tokenGrant(env.GetTokenRequest().GetCustomer())
})

func request(a, b *node, customer string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	reply, err := a.Request(ctx, b.address, tokenRequest(customer))
	return reply.GetTokenGrant().GetCustomer(), err
}

var _ = Describe("Mesh", func() {
	It("answers requests in both directions over one connection", func() {
		a, b := start(echo, nil), start(echo, nil)
		connect(a, b)
		Expect(request(a, b, "x")).To(Equal("x"))
		Expect(request(b, a, "y")).To(Equal("y"))
		Expect(b.Peers()[0].BootID).To(Equal("boot-1"))
		Expect(b.Peers()[0].Connected).To(BeTrue())
	})

	It("matches each answer to its request among 100 concurrent requests", func() {
		a, b := start(echo, nil), start(echo, nil)
		connect(a, b)
		var wg sync.WaitGroup
		for i := range 100 {
			wg.Go(func() {
				defer GinkgoRecover()
				want := fmt.Sprint(i)
				Expect(request(a, b, want)).To(Equal(want))
			})
		}
		wg.Wait()
	})

	It("handles the messages of a peer in the order in which they were sent", func() {
		const count = 200 // below the queue length, so that none is dropped
		seen := make(chan string, count)
		record := peer.HandlerFunc(func(_ peer.Info, env *peerpb.Envelope) *peerpb.Envelope {
			seen <- env.GetTokenRequest().GetCustomer()
			return nil
		})
		a, b := start(nil, nil), start(record, nil)
		connect(a, b)
		for i := range count {
			Expect(a.Send(b.address, tokenRequest(fmt.Sprint(i)))).To(Succeed())
		}
		for i := range count {
			Eventually(seen, "5s").Should(Receive(Equal(fmt.Sprint(i))))
		}
	})

	It("keeps one connection when both ends dial simultaneously", func() {
		for range 5 {
			a, b := start(echo, nil), start(echo, nil)
			a.SetPeers([]string{b.address})
			b.SetPeers([]string{a.address})
			Eventually(func() error { _, err := request(a, b, "x"); return err }, "5s", "20ms").Should(Succeed())
			Eventually(func() error { _, err := request(b, a, "x"); return err }, "5s", "20ms").Should(Succeed())
			// Until the simultaneous dials are resolved, each end may have
			// registered its own connection, which also gives a total of two.
			// The count must therefore stay at two.
			settled := func() bool {
				for until := time.Now().Add(100 * time.Millisecond); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
					if len(a.Peers())+len(b.Peers()) != 2 {
						return false
					}
				}
				return true
			}
			Eventually(settled, "5s", "20ms").Should(BeTrue())
			a.Close()
			b.Close()
		}
	})

	It("closes the connections that it dialed to peers removed by SetPeers", func() {
		a, b := start(nil, nil), start(nil, nil)
		connect(a, b)
		a.SetPeers(nil)
		Eventually(a.Peers, "5s", "5ms").Should(BeEmpty())
		Eventually(b.Peers, "5s", "5ms").Should(BeEmpty())
		Expect(a.Send(b.address, tokenRequest("x"))).To(MatchError(peer.ErrNotConnected))
	})

	It("replaces the connection when a peer restarts at the same address", func() {
		a, b := start(echo, nil), start(echo, nil)
		connect(a, b)
		b.Close()
		b2 := startAt(b.address, echo, func(c *peer.Config) { c.BootID = "boot-2" })
		Eventually(func() string {
			if peers := a.Peers(); len(peers) == 1 {
				return peers[0].BootID
			}
			return ""
		}, "5s", "5ms").Should(Equal("boot-2"))
		Expect(request(a, b2, "x")).To(Equal("x"))
	})

	It("drops and counts messages when the receive queue is full", func() {
		block := make(chan struct{})
		wait := peer.HandlerFunc(func(peer.Info, *peerpb.Envelope) *peerpb.Envelope {
			<-block
			return nil
		})
		a, b := start(nil, nil), start(wait, func(c *peer.Config) { c.QueueLen = 4 })
		defer close(block)
		connect(a, b)
		for range 50 {
			Expect(a.Send(b.address, tokenRequest("x"))).To(Succeed())
		}
		Eventually(func() uint64 { return b.Stats().Dropped }, "5s", "5ms").Should(BeNumerically(">=", 40))
	})

	It("reports connected and disconnected peers in order", func() {
		var mu sync.Mutex
		var events []bool
		a := start(nil, func(c *peer.Config) {
			c.OnPeer = func(_ peer.Info, connected bool) {
				mu.Lock()
				defer mu.Unlock()
				events = append(events, connected)
			}
		})
		b := start(nil, nil)
		connect(a, b)
		a.SetPeers(nil)
		Eventually(func() []bool {
			mu.Lock()
			defer mu.Unlock()
			return events
		}, "5s", "5ms").Should(Equal([]bool{true, false}))
	})

	It("carries an answer slightly below the frame limit, and small messages after a larger answer failed", func() {
		size := 1900 << 10
		big := peer.HandlerFunc(func(_ peer.Info, env *peerpb.Envelope) *peerpb.Envelope {
			if env.GetSnapshotRequest() == nil {
				return echo(peer.Info{}, env)
			}
			return &peerpb.Envelope{Body: &peerpb.Envelope_SnapshotReply{
				SnapshotReply: &peerpb.SnapshotReply{Snapshot: make([]byte, size)},
			}}
		})
		a, b := start(nil, nil), start(big, nil)
		connect(a, b)
		fetch := &peerpb.Envelope{Body: &peerpb.Envelope_SnapshotRequest{SnapshotRequest: &peerpb.SnapshotRequest{}}}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		reply, err := a.Request(ctx, b.address, fetch)
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.GetSnapshotReply().GetSnapshot()).To(HaveLen(size))
		size = peer.MaxFrame
		_, err = a.Request(ctx, b.address, fetch)
		Expect(err).To(MatchError(peer.ErrNoAnswer))
		Expect(request(a, b, "x")).To(Equal("x"))
	})
})

// failingListener fails its first calls of Accept, as one does while the process has no
// file descriptor left.
type failingListener struct {
	net.Listener
	mu       sync.Mutex
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	l.failures--
	failed := l.failures >= 0
	l.mu.Unlock()
	if failed {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

var _ = Describe("a listener", func() {
	It("accepts peers again after Accept has failed", func() {
		raw, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		b := &node{Mesh: peer.New(peer.Config{Self: raw.Addr().String(), DataCentre: "dc1", BootID: "boot-1"}), address: raw.Addr().String()}
		DeferCleanup(b.Close)
		served := make(chan error, 1)
		go func() { served <- b.Serve(&failingListener{Listener: raw, failures: 3}) }()
		connect(start(nil, nil), b)
		b.Close()
		Eventually(served).Should(Receive(BeNil()))
	})

	It("ends when it is closed", func() {
		raw, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		b := peer.New(peer.Config{Self: raw.Addr().String(), DataCentre: "dc1", BootID: "boot-1"})
		DeferCleanup(b.Close)
		Expect(raw.Close()).To(Succeed())
		Expect(b.Serve(raw)).To(MatchError(net.ErrClosed))
	})
})
