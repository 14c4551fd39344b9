// Package sockopt sets options of TCP connections that the standard library
// does not expose.
package sockopt

import (
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// SetUserTimeout makes the kernel close a connection whose sent data stays
// unacknowledged for d. It does nothing if nc is not a TCP connection, and ignores
// errors.
func SetUserTimeout(nc net.Conn, d time.Duration) {
	tc, ok := nc.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tc.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) {
		unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
}

// Quiet reports whether an idle connection is open and has received nothing: it is
// false after the other end has closed it or sent bytes, one of which Quiet discards.
// It does not block. It is true if nc is not a TCP connection.
func Quiet(nc net.Conn) bool {
	tc, ok := nc.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := true
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, err := unix.Read(int(fd), buf[:])
		quiet = errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR)
		return true
	})
	return quiet && err == nil
}
