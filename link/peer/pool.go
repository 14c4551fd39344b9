package peer

import (
	"sync/atomic"

	"github.com/bronzeloft/bronzeloft/link/peerpb"
)

// maxHandleBatch is the maximum number of messages of one connection that a
// worker handles before it serves the next connection.
const maxHandleBatch = 16

// inbox queues the received messages of one connection. At most one worker
// handles them at a time, which preserves their order.
type inbox struct {
	conn      *conn
	queue     chan *peerpb.Envelope
	scheduled atomic.Bool
}

func newInbox(c *conn, size int) *inbox {
	return &inbox{conn: c, queue: make(chan *peerpb.Envelope, size)}
}

// put queues a message, or drops and counts it when the queue is full.
func (b *inbox) put(env *peerpb.Envelope) {
	select {
	case b.queue <- env:
		b.schedule()
	default:
		b.conn.mesh.meters.dropped.Inc()
	}
}

func (b *inbox) schedule() {
	if b.scheduled.CompareAndSwap(false, true) {
		b.conn.mesh.pool.enqueue(b)
	}
}

// handleBatch handles up to maxHandleBatch messages and schedules the inbox again
// when more are queued.
func (b *inbox) handleBatch() {
	for range maxHandleBatch {
		select {
		case env := <-b.queue:
			b.conn.handle(env)
			continue
		default:
		}
		break
	}
	b.scheduled.Store(false)
	if len(b.queue) > 0 {
		b.schedule()
	}
}

// discard removes the queued messages without handling them.
func (b *inbox) discard() {
	for {
		select {
		case <-b.queue:
		default:
			return
		}
	}
}

// handle calls the handler and queues its answer, unless the connection has ended.
func (c *conn) handle(env *peerpb.Envelope) {
	if c.ended() {
		return
	}
	reply := c.mesh.cfg.Handler.HandlePeer(c.describe(), env)
	if reply == nil || env.GetId() == 0 {
		return
	}
	frame, err := encodeFrame(&peerpb.Envelope{ReplyTo: env.GetId(), Body: reply.GetBody()})
	if err != nil {
		c.mesh.cfg.Logger.Warn("cannot encode answer to peer", "peer", c.info.Address, "err", err)
		return
	}
	_ = c.enqueue(frame)
}

// pool distributes inboxes with queued messages to a fixed number of workers.
type pool struct {
	ready chan *inbox
	stop  chan struct{}
}

func newPool(inboxes int) *pool {
	return &pool{ready: make(chan *inbox, inboxes), stop: make(chan struct{})}
}

// enqueue schedules an inbox for a worker.
func (p *pool) enqueue(b *inbox) {
	select {
	case p.ready <- b:
	case <-p.stop:
	}
}

func (p *pool) run() {
	for {
		select {
		case b := <-p.ready:
			b.handleBatch()
		case <-p.stop:
			return
		}
	}
}
