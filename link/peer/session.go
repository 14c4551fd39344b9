package peer

import (
	"net"

	"github.com/bronzeloft/bronzeloft/link/peerpb"
)

// OpenSession opens a stream to a connected peer for one caller's session. The
// peer's OnSession receives open and the other end of the stream. Closing the
// stream ends the session. Without a usable connection the error is ErrNotConnected.
func (m *Mesh) OpenSession(address string, open *peerpb.OpenSession) (net.Conn, error) {
	c := m.conn(address)
	if c == nil {
		return nil, ErrNotConnected
	}
	stream, err := c.sess.OpenStream()
	if err != nil {
		return nil, ErrNotConnected
	}
	frame, err := encodeFrame(&peerpb.Envelope{Body: &peerpb.Envelope_OpenSession{OpenSession: open}})
	if err == nil {
		_, err = stream.Write(frame)
	}
	if err != nil {
		_ = stream.Close()
		return nil, err
	}
	m.stats.sentMessages.Add(1)
	return stream, nil
}
