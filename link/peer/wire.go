package peer

import (
	"encoding/binary"
	"net"
	"sync/atomic"
	"time"
)

// countingConn counts bytes on the wire and notes when the last one came.
type countingConn struct {
	net.Conn
	stats     *counters
	lastHeard atomic.Int64 // nanoseconds after epoch
	epoch     time.Time
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.stats.receivedBytes.Add(uint64(n))
		c.stats.reads.Add(1)
		c.lastHeard.Store(int64(time.Since(c.epoch)))
	}
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.stats.sentBytes.Add(uint64(n))
	c.stats.writes.Add(1)
	return n, err
}

func (c *countingConn) heardAt() time.Time {
	return c.epoch.Add(time.Duration(c.lastHeard.Load()))
}

// Layout of a yamux frame header.
const (
	muxHeaderLen = 12
	muxTypeAt    = 1
	muxLengthAt  = 8
	muxTypeData  = 0
)

// joiningConn joins the header of a yamux data frame with the body that
// follows it: yamux writes them apart, which would cost a packet and a TLS
// record each. yamux writes from one goroutine only.
type joiningConn struct {
	net.Conn
	held []byte
}

func (c *joiningConn) Write(p []byte) (int, error) {
	if len(c.held) == 0 && hasBody(p) {
		c.held = append(c.held, p...)
		return len(p), nil
	}
	if len(c.held) == 0 {
		return c.Conn.Write(p)
	}
	joined := append(c.held, p...)
	c.held = joined[:0]
	if _, err := c.Conn.Write(joined); err != nil {
		return 0, err
	}
	return len(p), nil
}

// hasBody reports whether p is a header that a body follows.
func hasBody(p []byte) bool {
	if len(p) != muxHeaderLen || p[muxTypeAt] != muxTypeData {
		return false
	}
	return binary.BigEndian.Uint32(p[muxLengthAt:]) > 0
}
