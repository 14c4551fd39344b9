package database

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// setUserTimeout makes the kernel break a connection whose sent data stays
// unacknowledged for d. A connection of another type is left as it is.
func setUserTimeout(nc net.Conn, d time.Duration) {
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
