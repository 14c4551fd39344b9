package main

import (
	"bytes"
	"errors"
	"net"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bronzeloft/bronzeloft/link/gossippb"
)

// hostsPath is the path of the entries in which hosts announce their addresses.
const hostsPath = "/-/objects/bronzeloft-hosts"

// maxDatagram is the largest datagram between hosts.
const maxDatagram = 65536

// crossings are the paths between the hosts. A host is told the addresses of crossings
// in place of those of other hosts, in what it reads from the store and in the messages
// of the others.
type crossings struct {
	rec    *record
	faults *faults

	mu    sync.Mutex
	hosts map[string]*hostProcess // by name
	from  map[string]map[string]*crossing
}

// crossing carries what one host sends to another one.
type crossing struct {
	all           *crossings
	from, to      *hostProcess
	peers, access string // its addresses
}

func newCrossings(rec *record, f *faults) *crossings {
	return &crossings{rec: rec, faults: f, hosts: map[string]*hostProcess{}, from: map[string]map[string]*crossing{}}
}

// add opens the crossings between a new host and the others.
func (c *crossings) add(h *hostProcess) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, other := range c.hosts {
		if other.name == h.name {
			continue // an earlier try to start it
		}
		for _, pair := range [][2]*hostProcess{{h, other}, {other, h}} {
			x, err := c.open(pair[0], pair[1])
			if err != nil {
				return err
			}
			if c.from[x.from.name] == nil {
				c.from[x.from.name] = map[string]*crossing{}
			}
			c.from[x.from.name][x.to.name] = x
		}
	}
	c.hosts[h.name] = h
	return nil
}

// pairAttempts bounds the search for a port that is free for both TCP and UDP.
const pairAttempts = 20

func (c *crossings) open(from, to *hostProcess) (*crossing, error) {
	access, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	for range pairAttempts {
		peers, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		datagrams, err := net.ListenPacket("udp", peers.Addr().String())
		if err != nil {
			peers.Close()
			continue
		}
		x := &crossing{all: c, from: from, to: to, peers: peers.Addr().String(), access: access.Addr().String()}
		go x.carryDatagrams(datagrams)
		connections := &connectionPath{faults: c.faults, from: from.name, to: to.name}
		go connections.carryConnections(peers, to.peers)
		go connections.carryConnections(access, to.access)
		return x, nil
	}
	return nil, errors.New("no port is free for both TCP and UDP")
}

// carryDatagrams passes on messages, unless the path is cut.
func (x *crossing) carryDatagrams(conn net.PacketConn) {
	to, err := net.Dial("udp", x.to.peers)
	if err != nil {
		x.all.rec.logf("path from %s to %s: %v", x.from.name, x.to.name, err)
		return
	}
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := conn.ReadFrom(buf)
		if err != nil {
			return
		}
		if x.all.faults.isCut(x.from.name, x.to.name) {
			continue
		}
		if data, err := x.all.translate(x.to.name, buf[:n]); err == nil {
			_, _ = to.Write(data) // the host may be down
		}
	}
}

// translate replaces the addresses in a message by those that the receiver is to use.
func (c *crossings) translate(receiver string, data []byte) ([]byte, error) {
	var msg gossippb.Gossip
	if err := proto.Unmarshal(data, &msg); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if x := c.from[receiver][msg.Host]; x != nil {
		msg.Address, msg.Access = x.peers, x.access
	}
	for _, h := range msg.Ranked {
		if x := c.from[receiver][h.Name]; x != nil {
			h.Address, h.Access = x.peers, x.access
		}
	}
	return proto.Marshal(&msg)
}

// translateEntries replaces the addresses in entries of hosts that one of them reads.
func (c *crossings) translateEntries(reader string, body []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.from[reader] {
		body = bytes.ReplaceAll(body, []byte(`"`+x.to.peers+`"`), []byte(`"`+x.peers+`"`))
		body = bytes.ReplaceAll(body, []byte(`"`+x.to.access+`"`), []byte(`"`+x.access+`"`))
	}
	return body
}

// isHostsCall reports whether a call of the store concerns the hosts' entries.
func isHostsCall(path string) bool { return strings.HasPrefix(path, hostsPath) }

// connectionPath carries connections from one end to another one.
type connectionPath struct {
	faults   *faults
	from, to string
}

func (x *connectionPath) carryConnections(l net.Listener, address string) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go x.carry(conn, address)
	}
}

// carry connects one connection to an address.
func (x *connectionPath) carry(conn net.Conn, address string) {
	defer conn.Close()
	if !x.faults.await(nil, x.from, x.to) {
		return
	}
	to, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer to.Close()
	ended := make(chan struct{}, 2)
	go x.copyOver(to, conn, ended)
	go x.copyOver(conn, to, ended)
	<-ended
}

// copyOver copies what arrives. It is held up while the path is cut.
func (x *connectionPath) copyOver(to, from net.Conn, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	buf := make([]byte, maxDatagram)
	for {
		n, err := from.Read(buf)
		if err != nil || !x.faults.await(nil, x.from, x.to) {
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
