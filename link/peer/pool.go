package peer

import (
	"sync/atomic"

	"github.com/bronzeloft/bronzeloft/link/peerpb"
)

// turnLength bounds the messages that a worker handles of one connection
// before it serves the next.
const turnLength = 16

// inbox holds the received messages of one connection. At most one worker
// works on it at a time, which keeps their order.
type inbox struct {
	conn      *conn
	queue     chan *peerpb.Envelope
	scheduled atomic.Bool
}

func newInbox(c *conn, size int) *inbox {
	return &inbox{conn: c, queue: make(chan *peerpb.Envelope, size)}
}

// put queues a message; a full queue drops it.
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

// turn handles some messages and comes back later for the rest.
func (b *inbox) turn() {
	for range turnLength {
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

// drop forgets what was not handled.
func (b *inbox) drop() {
	for {
		select {
		case <-b.queue:
		default:
			return
		}
	}
}

// handle calls the handler and sends its answer.
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
		c.mesh.cfg.Logger.Warn("answer not sent", "peer", c.info.Address, "err", err)
		return
	}
	_ = c.enqueue(frame)
}

// pool is a fixed number of workers over the inboxes that hold messages.
type pool struct {
	ready chan *inbox
	stop  chan struct{}
}

func newPool(inboxes int) *pool {
	return &pool{ready: make(chan *inbox, inboxes), stop: make(chan struct{})}
}

// enqueue gives an inbox to the workers.
func (p *pool) enqueue(b *inbox) {
	select {
	case p.ready <- b:
	case <-p.stop:
	}
}

func (p *pool) work() {
	for {
		select {
		case b := <-p.ready:
			b.turn()
		case <-p.stop:
			return
		}
	}
}
