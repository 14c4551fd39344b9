package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/datacentre/placement"
	"github.com/bronzeloft/bronzeloft/link/gossippb"
	"github.com/bronzeloft/bronzeloft/statement"
)

var _ = Describe("a host that is not a service's home host", func() {
	var (
		dbs  *group
		g    *Gateway
		svc  *service
		near []string // host names that rank before this host for the service
	)

	BeforeEach(func() {
		dbs = newGroup("a", "b", "c")
		g = newTestGateway(newFakePlatform(dbs))
		svc = g.service(testService)
		near = nil
		rankHome := func(hosts []placement.Host) { placement.Rank("home/"+testService, hosts) }
		for i := 0; len(near) < 2; i++ {
			name := fmt.Sprint("near-", i)
			if rankNames(rankHome, name, g.opt.Name)[0] == name {
				near = append(near, name)
			}
		}
	})
	receiveFrom := func(names ...string) {
		for i, name := range names {
			g.peers.handleMessage(&gossippb.Gossip{Host: name, Address: "127.0.0.1:9", DataCentre: "dc-a", Access: fmt.Sprint("x", i), Boot: 1, Sequence: 1})
		}
	}

	It("closes its idle connections to the service's databases", func() {
		s := newTestSession(g, "own")
		Expect(s.serve(request(statement.Read)).Err).NotTo(HaveOccurred())
		open := func() (n int) {
			for _, p := range svc.allPools() {
				p.mu.Lock()
				n += p.open
				p.mu.Unlock()
			}
			return n
		}
		Expect(open()).To(BeNumerically(">", 0))
		receiveFrom(near...)
		// A sample in progress uses a connection, and a host that has run statements
		// recently keeps taking samples.
		Eventually(func() bool {
			svc.mu.Lock()
			defer svc.mu.Unlock()
			svc.lastUsed = time.Time{}
			return svc.sampling
		}).Should(BeFalse())
		for _, p := range svc.allPools() {
			p.mu.Lock()
			for _, c := range p.idle {
				c.usedAt = time.Now().Add(-time.Minute)
			}
			p.mu.Unlock()
		}
		svc.tick(true)
		Expect(open()).To(BeZero())
	})

	It("falls back to the next host in rank if the home host does not answer, and runs a statement itself only as the last choice", func() {
		receiveFrom(near...)
		home := g.runnerFor(svc)
		next := g.fallbackFor(svc, home)
		Expect(home).To(BeAssignableToTypeOf(&remote{}))
		Expect(next).To(BeAssignableToTypeOf(&remote{}))
		Expect(next.(*remote).home.name).NotTo(Equal(home.(*remote).home.name))
		g.peers.avoidHome(home.(*remote).home.name)
		Expect(g.fallbackFor(svc, next)).To(BeAssignableToTypeOf(&local{}))
	})

	It("is not ready until the peer discovery timeout has passed", func() {
		g.started = g.now().Add(time.Minute - peerDiscoveryTimeout)
		Expect(g.Ready()).To(BeFalse())
		g.started = g.now().Add(-peerDiscoveryTimeout)
		Expect(g.Ready()).To(BeTrue())
	})

	It("is ready as soon as all hosts of its data centre have sent a message", func() {
		for _, name := range near {
			g.peers.addHost(name, hostEntry{Address: "127.0.0.1:9", DataCentre: "dc-a"})
		}
		g.peers.addHost("far", hostEntry{Address: "127.0.0.1:9", DataCentre: "dc-b"})
		Expect(g.peers.listHosts()).To(BeTrue())
		receiveFrom(near[0])
		Expect(g.Ready()).To(BeFalse())
		receiveFrom(near...)
		Expect(g.Ready()).To(BeTrue())
	})

	It("sends its state immediately, and only once, to a host that has just started", func() {
		other, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		Expect(err).NotTo(HaveOccurred())
		defer other.Close()
		g.rates.apply(&routes.Configuration{Customers: map[string]routes.Customer{testCustomer: {Rate: 5, Burst: 5}}}, g.now())
		Expect(g.rates.admit(testCustomer, g.now())).To(BeNil())
		msg := &gossippb.Gossip{Host: "near", Address: other.LocalAddr().String(), DataCentre: "dc-a", Access: "x", Boot: 7, Sequence: 1}
		g.peers.handleMessage(msg)
		msg.Sequence = 2
		g.peers.handleMessage(msg)
		buf := make([]byte, maxDatagram)
		Expect(other.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
		n, _, err := other.ReadFromUDP(buf)
		Expect(err).NotTo(HaveOccurred())
		var announcement gossippb.Gossip
		Expect(proto.Unmarshal(buf[:n], &announcement)).To(Succeed())
		Expect(announcement.Host).To(Equal(g.opt.Name))
		Expect(announcement.Demands).To(BeEmpty(), "reading the demands would mark them as reported to all hosts")
		Expect(other.SetReadDeadline(time.Now().Add(100 * time.Millisecond))).To(Succeed())
		_, _, err = other.ReadFromUDP(buf)
		Expect(err).To(MatchError(os.ErrDeadlineExceeded))
	})
})

// lineCounter is a log handler that counts lines.
type lineCounter struct {
	slog.Handler
	lines *atomic.Int64
}

func (lineCounter) Enabled(context.Context, slog.Level) bool { return true }

func (c lineCounter) Handle(context.Context, slog.Record) error {
	c.lines.Add(1)
	return nil
}

var _ = Describe("receiving the messages of other hosts", func() {
	// Guards against a host that keeps its processor busy with a socket that fails at once.
	It("pauses after an error of the socket", func() {
		g := newTestGateway(newFakePlatform(newGroup("a")))
		var lines atomic.Int64
		g.log = slog.New(lineCounter{slog.DiscardHandler, &lines})
		Expect(g.peers.conn.SetReadDeadline(time.Now().Add(-time.Second))).To(Succeed())
		started := time.Now()
		g.startWorker(g.peers.receive)
		time.Sleep(10 * receivePause)
		logged := lines.Load()
		most := 1 + int64(time.Since(started)/receivePause) // one at once, and one after each pause
		Expect(logged).To(And(BeNumerically(">", 0), BeNumerically("<=", most)))
	})
})
