package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/bronzeloft/bronzeloft/link/peerpb"
)

const (
	maxWriteBatch  = 16 << 10         // bytes of queued frames combined into one write
	maxOwnStreams  = 4                // requests with their own stream served concurrently per connection
	ownStreamLimit = 10 * time.Second // time limit for such a request; also yamux's limit for opening or closing a stream
)

// conn is one connection to a peer, after the handshake. A peer that reconnects
// gets a new conn.
type conn struct {
	mesh   *Mesh
	info   Info
	dialed bool // this host opened it
	since  time.Time

	wire   *countingConn
	sess   *yamux.Session
	stream *yamux.Stream // small messages, in both directions
	frames *frameReader  // reads from stream

	out   chan []byte // encoded frames
	inbox *inbox
	done  chan struct{} // closed when the connection ends
	once  sync.Once
	cause atomic.Value // *error; set once

	probing atomic.Bool // a ping is in flight

	mu      sync.Mutex // guards pending
	pending map[uint64]chan *peerpb.Envelope
}

func newConn(m *Mesh, dialed bool, l *link, hello *peerpb.Hello) *conn {
	c := &conn{
		mesh: m,
		info: Info{
			Address:    hello.GetAddress(),
			DataCentre: hello.GetDataCentre(),
			BootID:     hello.GetBootId(),
		},
		dialed:  dialed,
		since:   time.Now(),
		wire:    l.wire,
		sess:    l.sess,
		stream:  l.stream,
		frames:  l.frames,
		out:     make(chan []byte, m.cfg.QueueLen),
		done:    make(chan struct{}),
		pending: make(map[uint64]chan *peerpb.Envelope),
	}
	c.inbox = newInbox(c, m.cfg.QueueLen)
	return c
}

// describe returns the peer and the current state of its connection.
func (c *conn) describe() Info {
	info := c.info
	info.Connected = !c.ended()
	info.LastReceived = c.wire.lastReceivedAt()
	return info
}

func (c *conn) ended() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// close ends the connection. The first cause is recorded, later calls do nothing.
func (c *conn) close(cause error) {
	c.once.Do(func() {
		c.cause.Store(&cause)
		close(c.done)
		_ = c.wire.Close()
		_ = c.sess.Close()
	})
}

// reason returns why the connection ended.
func (c *conn) reason() error {
	if cause, ok := c.cause.Load().(*error); ok {
		return *cause
	}
	return nil
}

// run serves the connection until it ends.
func (c *conn) run() {
	var wg sync.WaitGroup
	for _, loop := range []func() error{c.writeLoop, c.ownStreamLoop} {
		wg.Go(func() { c.close(loop()) })
	}
	c.close(c.readLoop())
	wg.Wait()
	c.discardPending()
}

func (c *conn) readLoop() error {
	for {
		env, err := c.frames.next()
		if err != nil {
			return err
		}
		if err := checkSender(c.info.Address, env); err != nil {
			return err
		}
		c.mesh.stats.receivedMessages.Add(1)
		if env.GetReplyTo() != 0 {
			c.deliverReply(env)
			continue
		}
		c.inbox.put(env)
	}
}

// deliverReply passes env to the request that waits for it on this connection.
// An answer without a waiting request is discarded.
func (c *conn) deliverReply(env *peerpb.Envelope) {
	c.mu.Lock()
	replyCh := c.pending[env.GetReplyTo()]
	delete(c.pending, env.GetReplyTo())
	c.mu.Unlock()
	if replyCh != nil {
		replyCh <- env
	}
}

// enqueue queues a frame for sending without blocking.
func (c *conn) enqueue(frame []byte) error {
	select {
	case <-c.done:
		return ErrNotConnected
	default:
	}
	select {
	case c.out <- frame:
		return nil
	default:
		c.mesh.meters.dropped.Inc()
		return ErrQueueFull
	}
}

func (c *conn) writeLoop() error {
	batch := make([]byte, 0, maxWriteBatch)
	for {
		select {
		case <-c.done:
			return ErrClosed
		case frame := <-c.out:
			batch = c.fillBatch(append(batch[:0], frame...))
		}
		if _, err := c.stream.Write(batch); err != nil {
			return err
		}
		if cap(batch) > 2*maxWriteBatch {
			batch = make([]byte, 0, maxWriteBatch)
		}
	}
}

// fillBatch appends frames that are already queued, until the batch reaches
// maxWriteBatch.
func (c *conn) fillBatch(batch []byte) []byte {
	c.mesh.stats.sentMessages.Add(1)
	for len(batch) < maxWriteBatch {
		select {
		case frame := <-c.out:
			c.mesh.stats.sentMessages.Add(1)
			batch = append(batch, frame...)
		default:
			return batch
		}
	}
	return batch
}

// probe pings the peer if the connection is silent, and ends the connection when the
// ping times out. It does not block.
func (c *conn) probe() {
	silent, unanswered := c.wire.silentFor()
	after := c.mesh.cfg.IdleProbeAfter
	if unanswered {
		after = c.mesh.cfg.ProbeAfter
	}
	if silent < after || !c.probing.CompareAndSwap(false, true) {
		return
	}
	c.mesh.wg.Go(func() {
		defer c.probing.Store(false)
		if _, err := c.sess.Ping(); err != nil {
			c.close(err)
		}
	})
}

// request sends env on the shared stream and waits for the answer.
func (c *conn) request(ctx context.Context, env *peerpb.Envelope) (*peerpb.Envelope, error) {
	frame, err := encodeFrame(env)
	if err != nil {
		return nil, err
	}
	replyCh := make(chan *peerpb.Envelope, 1)
	c.mu.Lock()
	c.pending[env.GetId()] = replyCh
	c.mu.Unlock()
	defer c.removePending(env.GetId())
	if err := c.enqueue(frame); err != nil {
		return nil, err
	}
	select {
	case reply := <-replyCh:
		if reply.GetBody() == nil {
			return nil, ErrNoAnswer
		}
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-c.done:
		return nil, ErrConnectionLost
	}
}

func (c *conn) removePending(id uint64) {
	c.mu.Lock()
	delete(c.pending, id)
	c.mu.Unlock()
}

// discardPending removes the pending requests, which fail because done is closed,
// and the received messages that no worker has handled.
func (c *conn) discardPending() {
	c.mu.Lock()
	clear(c.pending)
	c.mu.Unlock()
	c.inbox.discard()
}
