package peer

import "errors"

// Errors of a Mesh. ErrNoAnswer means that the peer closed a request's own stream
// without a valid answer, or sent an answer without a body. ErrClosed is returned by
// Serve, and is logged for a connection that this host replaced.
var (
	ErrNotConnected   = errors.New("peer: not connected")
	ErrConnectionLost = errors.New("peer: connection lost before the answer")
	ErrQueueFull      = errors.New("peer: send queue full")
	ErrTooLarge       = errors.New("peer: message too large")
	ErrNoAnswer       = errors.New("peer: no answer to this request")
	ErrClosed         = errors.New("peer: closed by this host")
)
