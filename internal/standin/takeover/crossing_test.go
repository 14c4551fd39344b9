package main

import (
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/bronzeloft/bronzeloft/link/gossippb"
)

var _ = Describe("the paths between hosts", func() {
	// listener is where a host receives messages, and sends them from.
	listener := func() net.PacketConn {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		return conn
	}
	send := func(from net.PacketConn, to string, msg *gossippb.Gossip) {
		raw, err := proto.Marshal(msg)
		Expect(err).NotTo(HaveOccurred())
		address, err := net.ResolveUDPAddr("udp", to)
		Expect(err).NotTo(HaveOccurred())
		_, err = from.WriteTo(raw, address)
		Expect(err).NotTo(HaveOccurred())
	}
	receive := func(at net.PacketConn) *gossippb.Gossip {
		Expect(at.SetReadDeadline(time.Now().Add(200 * time.Millisecond))).To(Succeed())
		buf := make([]byte, maxDatagram)
		n, _, err := at.ReadFrom(buf)
		if err != nil {
			return nil
		}
		var msg gossippb.Gossip
		Expect(proto.Unmarshal(buf[:n], &msg)).To(Succeed())
		return &msg
	}

	It("carry messages of known hosts with the addresses that the receiver is to use, unless cut", func() {
		rec := &record{file: GinkgoWriter}
		f := newFaults(rec, 7)
		c := newCrossings(rec, f)
		one, two := listener(), listener()
		for name, at := range map[string]net.PacketConn{"edge-1": one, "edge-2": two} {
			Expect(c.add(&hostProcess{name: name, peers: at.LocalAddr().String()})).To(Succeed())
		}
		msg := &gossippb.Gossip{Host: "edge-1", Address: one.LocalAddr().String(), Ranked: []*gossippb.Host{
			{Name: "edge-1", Address: one.LocalAddr().String()}, {Name: "edge-2", Address: two.LocalAddr().String()}}}
		send(one, c.hosts["edge-2"].peers, msg)
		got := receive(two)
		Expect(got).NotTo(BeNil())
		Expect(got.Address).To(Equal(c.hosts["edge-1"].peers))
		Expect(got.Ranked[0].Address).To(Equal(c.hosts["edge-1"].peers))
		Expect(got.Ranked[1].Address).To(Equal(two.LocalAddr().String()), "its own")

		send(listener(), c.hosts["edge-2"].peers, msg)
		Expect(receive(two)).To(BeNil(), "of no known host")
		f.cut([]path{pathOf("edge-1", "edge-2")})
		send(one, c.hosts["edge-2"].peers, msg)
		Expect(receive(two)).To(BeNil(), "over a path that is cut")
	})

	It("replace the addresses in what a host reads of the others", func() {
		rec := &record{file: GinkgoWriter}
		c := newCrossings(rec, newFaults(rec, 7))
		Expect(c.add(&hostProcess{name: "edge-1", peers: "127.0.0.1:1"})).To(Succeed())
		Expect(string(c.translateEntries("edge-1", []byte(`["127.0.0.1:1","127.0.0.1:2"]`)))).To(Equal(`["127.0.0.1:1","127.0.0.1:2"]`))
		Expect(c.add(&hostProcess{name: "edge-2", peers: "127.0.0.1:2"})).To(Succeed())
		Expect(string(c.translateEntries("edge-1", []byte(`["127.0.0.1:1","127.0.0.1:2"]`)))).To(Equal(`["127.0.0.1:1","` + c.hosts["edge-2"].peers + `"]`))
	})
})
