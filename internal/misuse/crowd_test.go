//go:build misuse

package misuse

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Sizes of the crowds.
const (
	largeSenders = 100  // connections that send messages of legal size at once
	farSenders   = 10   // connections that send messages far over the limit
	farBytes     = 48   // MB of such a message
	slowCallers  = 300  // connections that send or read very slowly, or stop half-way
	ahead        = 5000 // statements that one connection sends ahead
	comers       = 2000 // connections opened and left
)

// crowd is a number of connections to a host. Whatever they meet is allowed: their
// connections may be refused or closed.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
	done  sync.WaitGroup
}

func newCrowd() *crowd {
	c := &crowd{}
	DeferCleanup(func() {
		c.close()
		c.done.Wait()
	})
	return c
}

func (c *crowd) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
}

// join opens n connections to address and runs act on each.
func (c *crowd) join(n int, address string, act func(net.Conn)) {
	for range n {
		c.done.Go(func() {
			conn, err := net.DialTimeout("tcp", address, 5*time.Second)
			if err != nil {
				return
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			_ = conn.SetDeadline(time.Now().Add(served)) // an error of the socket shows in the next call
			act(conn)
		})
	}
}

// send writes text as a whole, or in pieces of the given size with a pause after each.
func send(conn net.Conn, text []byte, piece int, pause time.Duration) bool {
	if piece == 0 {
		_, err := conn.Write(text)
		return err == nil
	}
	for len(text) > 0 {
		n := min(piece, len(text))
		if _, err := conn.Write(text[:n]); err != nil {
			return false
		}
		text = text[n:]
		time.Sleep(pause)
	}
	return true
}

// login sends the startup message of the crowd's customer and reads the answer.
func login(conn net.Conn) bool {
	if !send(conn, []byte("STARTUP orders "+rudest+"\r\n"), 0, 0) {
		return false
	}
	answer := make([]byte, 64)
	n, err := conn.Read(answer)
	return err == nil && bytes.HasPrefix(answer[:n], []byte("READY"))
}

// drain reads answers until the connection ends.
func drain(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

// large returns a write of the largest legal size.
func large() []byte {
	head := "QUERY 77aa WRITE 1a4 "
	return []byte(head + strings.Repeat("x", messageBytes-len(head)-2) + "\r\n")
}

var _ = Describe("callers that don't behave", Serial, func() {
	var d *daemon
	var c *crowd

	BeforeEach(func() {
		d = startDaemon()
		c = newCrowd()
	})

	It("one message of the largest legal size is served in calm", func() {
		head := "WRITE 1a4 "
		text := head + strings.Repeat("x", messageBytes-len("QUERY 5c0e7a21 ")-len(head)-2)
		Expect(d.request(text)).To(Succeed())
		d.hold()
	})

	It("many messages of legal size at once", func() {
		c.join(largeSenders, d.callers, func(conn net.Conn) {
			for login(conn) && send(conn, large(), 0, 0) {
				drain(conn)
				return
			}
		})
		time.Sleep(3 * time.Second)
		d.hold()
	})

	It("many messages of legal size at once, in small pieces", func() {
		c.join(largeSenders, d.callers, func(conn net.Conn) {
			if login(conn) && send(conn, large(), 8<<10, 10*time.Millisecond) {
				drain(conn)
			}
		})
		time.Sleep(4 * time.Second)
		d.hold()
	})

	It("many messages of legal size that stop before their end", func() {
		c.join(largeSenders, d.callers, func(conn net.Conn) {
			if login(conn) && send(conn, large()[:messageBytes-4096], 0, 0) {
				drain(conn)
			}
		})
		time.Sleep(3 * time.Second)
		d.hold()
	})

	It("startup messages of legal size that stop before their end", func() {
		c.join(largeSenders, d.callers, func(conn net.Conn) {
			if send(conn, []byte("STARTUP "+strings.Repeat("x", messageBytes-4096)), 0, 0) {
				drain(conn)
			}
		})
		time.Sleep(2 * time.Second)
		d.hold()
	})

	DescribeTable("messages far over the limit", func(end string) {
		c.join(farSenders, d.callers, func(conn net.Conn) {
			if login(conn) && send(conn, []byte("QUERY 77aa WRITE 1a4 "), 0, 0) {
				block := bytes.Repeat([]byte("x"), 1<<20)
				for range farBytes {
					if !send(conn, block, 0, 0) {
						return
					}
				}
				send(conn, []byte(end), 0, 0)
				drain(conn)
			}
		})
		time.Sleep(3 * time.Second)
		d.hold()
	},
		Entry("with their end", "\r\n"),
		Entry("without their end", ""),
	)

	It("thousands of statements sent ahead on one connection without reading the answers", func() {
		c.join(4, d.callers, func(conn net.Conn) {
			if login(conn) {
				send(conn, bytes.Repeat([]byte("QUERY 77aa READ 1a4\r\n"), ahead), 0, 0)
			}
		})
		time.Sleep(3 * time.Second)
		d.hold()
	})

	It("prepared statements and values of the largest legal size in many sessions", func() {
		c.join(largeSenders, d.callers, func(conn net.Conn) {
			if !login(conn) {
				return
			}
			go drain(conn)
			for i := range 4 {
				head := fmt.Sprintf("QUERY 77aa SET v%d ", i)
				if !send(conn, []byte(head+strings.Repeat("x", messageBytes/2)+"\r\n"), 0, 0) {
					return
				}
			}
			<-time.After(served / 4)
		})
		time.Sleep(3 * time.Second)
		d.hold()
	})

	It("a crowd that sends its startup a byte at a time", func() {
		c.join(slowCallers, d.callers, func(conn net.Conn) {
			send(conn, []byte("STARTUP "+strings.Repeat("x", 1000)), 1, 200*time.Millisecond)
		})
		time.Sleep(2 * time.Second)
		d.hold()
	})

	It("a crowd that stops half-way in its startup", func() {
		c.join(slowCallers, d.callers, func(conn net.Conn) {
			if send(conn, []byte("STARTUP ord"), 0, 0) {
				drain(conn)
			}
		})
		time.Sleep(2 * time.Second)
		d.hold()
	})

	It("a crowd that stops half-way in a line", func() {
		c.join(slowCallers, d.callers, func(conn net.Conn) {
			if login(conn) && send(conn, []byte("QUERY 77aa WRI"), 0, 0) {
				drain(conn)
			}
		})
		time.Sleep(2 * time.Second)
		d.hold()
	})

	It("a crowd of one customer that sends a line a byte at a time, for ever", func() {
		c.join(slowCallers, d.callers, func(conn net.Conn) {
			if login(conn) {
				send(conn, append([]byte("QUERY 77aa WRITE 1a4 "), bytes.Repeat([]byte("x"), 1000)...), 1, 300*time.Millisecond)
			}
		})
		time.Sleep(2 * time.Second)
		d.hold()
	})

	It("a crowd of one customer that stays idle in transactions that it begins again and again", func() {
		c.join(slowCallers, d.callers, func(conn net.Conn) {
			if !login(conn) {
				return
			}
			go drain(conn)
			for send(conn, []byte("QUERY 77aa BEGIN\r\nQUERY 77ab READ 1a4\r\n"), 0, 0) {
				time.Sleep(500 * time.Millisecond)
				if !send(conn, []byte("QUERY 77ac ROLLBACK\r\n"), 0, 0) {
					return
				}
			}
		})
		time.Sleep(2 * time.Second)
		d.hold()
	})

	It("connections opened and left, and resets amid answers", func() {
		c.join(comers/20, d.callers, func(conn net.Conn) {
			for range 20 {
				next, err := net.DialTimeout("tcp", d.callers, time.Second)
				if err != nil {
					return
				}
				if login(next) {
					send(next, bytes.Repeat([]byte("QUERY 77aa READ 1a4\r\n"), 20), 0, 0)
				}
				_ = next.(*net.TCPConn).SetLinger(0) // close resets the connection
				next.Close()
			}
		})
		c.done.Wait()
		d.hold()
	})

	DescribeTable("crowds on the listeners for other hosts and for the platform", func(address func() string, text string) {
		c.join(slowCallers, address(), func(conn net.Conn) {
			if send(conn, []byte(text), 0, 0) {
				drain(conn)
			}
		})
		time.Sleep(2 * time.Second)
		d.hold()
	},
		Entry("half of an HTTP request to the readiness probe", func() string { return d.ready }, "GET /-/readyz HTTP/1.1\r\nHos"),
		Entry("nothing at all to the readiness probe", func() string { return d.ready }, ""),
		Entry("half of an HTTP request for the configuration", func() string { return d.peers }, "GET /configuration HTTP/1.1\r\nHos"),
		Entry("a large header", func() string { return d.peers }, "GET /configuration HTTP/1.1\r\nA: "+strings.Repeat("x", 600<<10)),
		Entry("nothing at all on the listener for statements", func() string { return d.access }, ""),
		Entry("no protocol of ours on the listener for statements", func() string { return d.access }, strings.Repeat("\xff\x00", 100<<10)),
	)
})
