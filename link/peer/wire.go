package peer

import (
	"encoding/binary"
	"net"
	"sync/atomic"
	"time"
)

// countingConn counts bytes on the wire, reads and writes, and records when the last
// byte was received and when data was last sent.
type countingConn struct {
	net.Conn
	stats        *counters
	lastReceived atomic.Int64 // nanoseconds after epoch
	lastSent     atomic.Int64 // the same, of data; 0 for none
	epoch        time.Time    // creation time
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.stats.receivedBytes.Add(uint64(n))
		c.stats.reads.Add(1)
		c.lastReceived.Store(int64(time.Since(c.epoch)))
	}
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.stats.sentBytes.Add(uint64(n))
	c.stats.writes.Add(1)
	if n > muxHeaderLen { // a frame without a body, such as a ping, awaits no data
		c.lastSent.Store(int64(time.Since(c.epoch)))
	}
	return n, err
}

func (c *countingConn) lastReceivedAt() time.Time {
	return c.epoch.Add(time.Duration(c.lastReceived.Load()))
}

// silentFor returns the time since the last byte was received, and whether data has
// been sent since.
func (c *countingConn) silentFor() (silent time.Duration, unanswered bool) {
	received := c.lastReceived.Load()
	return time.Since(c.epoch) - time.Duration(received), c.lastSent.Load() > received
}

// Layout of a yamux frame header.
const (
	muxHeaderLen = 12
	muxTypeAt    = 1
	muxLengthAt  = 8
	muxTypeData  = 0
)

// coalescingConn writes the header of a yamux data frame together with its body:
// yamux writes them separately, which would cost a packet and a TLS record each.
// It needs no lock because yamux writes from a single goroutine.
type coalescingConn struct {
	net.Conn
	pendingHeader []byte
}

func (c *coalescingConn) Write(p []byte) (int, error) {
	if len(c.pendingHeader) == 0 && hasBody(p) {
		c.pendingHeader = append(c.pendingHeader, p...)
		return len(p), nil
	}
	if len(c.pendingHeader) == 0 {
		return c.Conn.Write(p)
	}
	joined := append(c.pendingHeader, p...)
	c.pendingHeader = joined[:0]
	if _, err := c.Conn.Write(joined); err != nil {
		return 0, err
	}
	return len(p), nil
}

// hasBody reports whether p is the header of a data frame with a body.
func hasBody(p []byte) bool {
	if len(p) != muxHeaderLen || p[muxTypeAt] != muxTypeData {
		return false
	}
	return binary.BigEndian.Uint32(p[muxLengthAt:]) > 0
}
