package peer

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/bronzeloft/bronzeloft/link/peerpb"
)

// hasOwnStream reports whether a request gets a stream of its own because its
// answer can be large.
func hasOwnStream(env *peerpb.Envelope) bool {
	switch env.GetBody().(type) {
	case *peerpb.Envelope_SnapshotRequest, *peerpb.Envelope_BurnRequest:
		return true
	default:
		return false
	}
}

// requestOwnStream sends env on a stream of its own and waits for the answer.
func (c *conn) requestOwnStream(ctx context.Context, env *peerpb.Envelope) (*peerpb.Envelope, error) {
	stream, err := c.sess.OpenStream()
	if err != nil {
		return nil, ErrNotConnected
	}
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	reply, err := exchange(stream, env)
	switch {
	case err == nil && reply.GetReplyTo() == env.GetId() && reply.GetBody() != nil:
		c.mesh.stats.sentMessages.Add(1)
		c.mesh.stats.receivedMessages.Add(1)
		return reply, checkSender(c.info.Address, reply)
	case ctx.Err() != nil:
		return nil, ctx.Err()
	case c.ended():
		return nil, ErrConnectionLost
	default:
		return nil, ErrNoAnswer
	}
}

func exchange(stream *yamux.Stream, env *peerpb.Envelope) (*peerpb.Envelope, error) {
	frame, err := encodeFrame(env)
	if err != nil {
		return nil, err
	}
	if _, err := stream.Write(frame); err != nil {
		return nil, err
	}
	return (&frameReader{r: stream}).next()
}

// ownStreamLoop serves the streams that the peer opens besides the shared one.
func (c *conn) ownStreamLoop() error {
	slots := make(chan struct{}, maxOwnStreams)
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		stream, err := c.sess.AcceptStream()
		if err != nil {
			return err
		}
		wg.Go(func() { c.serveOwnStream(stream, slots) })
	}
}

// serveOwnStream reads a stream's first message and serves it: a caller's
// session until it ends, a request once one of the slots is free. After any other
// message it closes the stream.
func (c *conn) serveOwnStream(stream *yamux.Stream, slots chan struct{}) {
	defer func() { _ = stream.Close() }()
	_ = stream.SetDeadline(time.Now().Add(ownStreamLimit))
	env, err := (&frameReader{r: stream}).next()
	if err != nil {
		return
	}
	c.mesh.stats.receivedMessages.Add(1)
	if open := env.GetOpenSession(); open != nil && c.mesh.cfg.OnSession != nil {
		_ = stream.SetDeadline(time.Time{})
		c.mesh.cfg.OnSession(c.describe(), open, stream)
		return
	}
	if !hasOwnStream(env) {
		return
	}
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	case <-c.done:
		return
	}
	reply := c.mesh.cfg.Handler.HandlePeer(c.describe(), env)
	if reply == nil {
		return
	}
	frame, err := encodeFrame(&peerpb.Envelope{ReplyTo: env.GetId(), Body: reply.GetBody()})
	if err != nil {
		c.mesh.cfg.Logger.Warn("cannot encode answer to peer", "peer", c.info.Address, "err", err)
		return
	}
	c.mesh.stats.sentMessages.Add(1)
	_, _ = stream.Write(frame)
}
