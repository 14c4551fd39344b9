package main

import (
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

// crossings are the paths of messages between the hosts. A host is told the addresses of
// crossings in place of those of other hosts, in what it reads from the store and in the
// messages of the others. Statements pass between hosts without a crossing: a host
// connects only to one that states the address that it has dialled.
type crossings struct {
	rec    *record
	faults *faults

	mu    sync.Mutex
	hosts map[string]*crossing    // by the name of the host to which they lead
	peers map[string]*hostProcess // by address

	replacers map[string]*strings.Replacer // of entries, by the host that reads them
}

// crossing carries what the other hosts send to one. A message comes from the address of
// its sender's listener; of a connection the senders tell where it comes from.
type crossing struct {
	all   *crossings
	to    *hostProcess
	peers string // its address
}

func newCrossings(rec *record, f *faults) *crossings {
	return &crossings{rec: rec, faults: f, hosts: map[string]*crossing{}, peers: map[string]*hostProcess{}}
}

// add opens the crossing to a new host.
func (c *crossings) add(h *hostProcess) error {
	x, err := c.open(h)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts[h.name], c.peers[h.peers] = x, h
	c.replacers = map[string]*strings.Replacer{}
	return nil
}

// pairAttempts bounds the search for a port that is free for both TCP and UDP.
const pairAttempts = 20

func (c *crossings) open(to *hostProcess) (*crossing, error) {
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
		x := &crossing{all: c, to: to, peers: peers.Addr().String()}
		go x.carryDatagrams(datagrams)
		connections := &connectionPath{faults: c.faults, to: to.name}
		go connections.carryConnections(peers, to.peers)
		return x, nil
	}
	return nil, errors.New("no port is free for both TCP and UDP")
}

// sender returns the name of the host that sends from an address, or "".
func (c *crossings) sender(address string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.peers[address]; h != nil {
		return h.name
	}
	return ""
}

// carryDatagrams passes on messages, unless the path is cut.
func (x *crossing) carryDatagrams(conn net.PacketConn) {
	to, err := net.Dial("udp", x.to.peers)
	if err != nil {
		x.all.rec.logf("path to %s: %v", x.to.name, err)
		return
	}
	buf := make([]byte, maxDatagram)
	for {
		n, source, err := conn.ReadFrom(buf)
		if err != nil {
			return
		}
		from := x.all.sender(source.String())
		if from == "" || x.all.faults.isCut(from, x.to.name) {
			continue
		}
		if data, err := x.all.translate(x.to.name, buf[:n]); err == nil {
			_, _ = to.Write(data) // the host may be down
		}
	}
}

// seenBy returns the address at which a host is to reach another one. mu is held.
func (c *crossings) seenBy(receiver, host, address string) string {
	if x := c.hosts[host]; x != nil && host != receiver {
		return x.peers
	}
	return address
}

// translate replaces the addresses in a message by those that the receiver is to use.
func (c *crossings) translate(receiver string, data []byte) ([]byte, error) {
	var msg gossippb.Gossip
	if err := proto.Unmarshal(data, &msg); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	msg.Address = c.seenBy(receiver, msg.Host, msg.Address)
	for _, h := range msg.Ranked {
		h.Address = c.seenBy(receiver, h.Name, h.Address)
	}
	return proto.Marshal(&msg)
}

// translateEntries replaces the addresses in entries of hosts that one of them reads.
func (c *crossings) translateEntries(reader string, body []byte) []byte {
	return []byte(c.replacer(reader).Replace(string(body)))
}

func (c *crossings) replacer(reader string) *strings.Replacer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.replacers[reader]; r != nil {
		return r
	}
	var pairs []string
	for name, x := range c.hosts {
		pairs = append(pairs, `"`+x.to.peers+`"`, `"`+c.seenBy(reader, name, x.to.peers)+`"`)
	}
	r := strings.NewReplacer(pairs...)
	c.replacers[reader] = r
	return r
}

// isHostsCall reports whether a call of the store concerns the hosts' entries.
func isHostsCall(path string) bool { return strings.HasPrefix(path, hostsPath) }

// connectionPath carries connections from one end to another one.
type connectionPath struct {
	faults   *faults
	from, to string // from is empty for the host that has opened the connection
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
func (x connectionPath) carry(conn net.Conn, address string) {
	defer conn.Close()
	if x.from == "" {
		if x.from = x.faults.sender(conn); x.from == "" {
			return
		}
	}
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
