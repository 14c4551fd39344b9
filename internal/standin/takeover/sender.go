package main

import (
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
)

// senders tells which host has opened a connection. All hosts share one loopback
// address and exchange the databases' addresses, so neither end's address shows it; the
// kernel names the far end's socket, and a host's descriptors show that it has it.
type senders struct {
	rec *record

	mu      sync.Mutex        // held during a look-up, so that one sweep serves several
	hosts   map[int]string    // by process id
	sockets map[uint32]string // host by inode, as of the last sweep
}

func newSenders(rec *record) *senders {
	return &senders{rec: rec, hosts: map[int]string{}, sockets: map[uint32]string{}}
}

// started records the process of a host.
func (s *senders) started(host string, pid int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for old, name := range s.hosts {
		if name == host {
			delete(s.hosts, old)
		}
	}
	s.hosts[pid] = host
}

// sender returns the host that has opened a connection, or "" if its process has ended
// or has closed it.
func (s *senders) sender(conn net.Conn) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	inode, err := inodeOf(conn.RemoteAddr(), conn.LocalAddr())
	if err != nil {
		s.rec.logf("connection from %s: %v", conn.RemoteAddr(), err)
		return ""
	}
	if inode == closedInode {
		return ""
	}
	if s.sockets[inode] == "" {
		s.sweep()
	}
	return s.sockets[inode]
}

// closedInode is that of a socket that its process has closed.
const closedInode = 0

// sweep lists the sockets of all hosts. mu is held.
func (s *senders) sweep() {
	clear(s.sockets)
	for pid, host := range s.hosts {
		folder := fmt.Sprintf("/proc/%d/fd", pid)
		entries, err := os.ReadDir(folder)
		if err != nil {
			continue // it has ended
		}
		for _, e := range entries {
			to, err := os.Readlink(filepath.Join(folder, e.Name()))
			number, ok := strings.CutPrefix(to, "socket:[")
			if err != nil || !ok {
				continue
			}
			if inode, err := strconv.ParseUint(strings.TrimSuffix(number, "]"), 10, 32); err == nil {
				s.sockets[uint32(inode)] = host
			}
		}
	}
}

// Numbers of the kernel's interface to its sockets, sock_diag(7).
const (
	netlinkSockDiag  = 4
	sockDiagByFamily = 20
	headerBytes      = 16 // of a message
	requestBytes     = 56
	portsAt          = headerBytes + 8 // of the socket in a request
	sourceAt         = portsAt + 4
	destinationAt    = sourceAt + 16
	cookieAt         = destinationAt + 20
	inodeAt          = headerBytes + 68 // in an answer
)

// inodeOf returns the inode of the socket with an address and a peer, both loopback.
func inodeOf(address, peer net.Addr) (uint32, error) {
	from, ok1 := address.(*net.TCPAddr)
	to, ok2 := peer.(*net.TCPAddr)
	if !ok1 || !ok2 || from.IP.To4() == nil || to.IP.To4() == nil {
		return 0, fmt.Errorf("%s and %s are not TCP addresses of IPv4", address, peer)
	}
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_RAW|syscall.SOCK_CLOEXEC, netlinkSockDiag)
	if err != nil {
		return 0, fmt.Errorf("socket of sock_diag: %w", err)
	}
	defer syscall.Close(fd)
	out := make([]byte, headerBytes+requestBytes)
	binary.NativeEndian.PutUint32(out, uint32(len(out)))
	binary.NativeEndian.PutUint16(out[4:], sockDiagByFamily)
	binary.NativeEndian.PutUint16(out[6:], syscall.NLM_F_REQUEST)
	out[headerBytes], out[headerBytes+1] = syscall.AF_INET, syscall.IPPROTO_TCP
	binary.NativeEndian.PutUint32(out[headerBytes+4:], ^uint32(0)) // any state
	binary.BigEndian.PutUint16(out[portsAt:], uint16(from.Port))
	binary.BigEndian.PutUint16(out[portsAt+2:], uint16(to.Port))
	copy(out[sourceAt:], from.IP.To4())
	copy(out[destinationAt:], to.IP.To4())
	binary.NativeEndian.PutUint64(out[cookieAt:], ^uint64(0)) // none
	if err := syscall.Sendto(fd, out, 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return 0, fmt.Errorf("ask for the socket from %s to %s: %w", address, peer, err)
	}
	in := make([]byte, 4096)
	n, _, err := syscall.Recvfrom(fd, in, 0)
	if err != nil {
		return 0, fmt.Errorf("answer for the socket from %s to %s: %w", address, peer, err)
	}
	if n < inodeAt+4 || binary.NativeEndian.Uint16(in[4:]) != sockDiagByFamily {
		return 0, fmt.Errorf("no socket from %s to %s", address, peer)
	}
	return binary.NativeEndian.Uint32(in[inodeAt:]), nil
}
