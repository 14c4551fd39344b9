package peer

import "errors"

// Errors of Send and Request.
var (
	ErrNotConnected   = errors.New("peer: not connected")
	ErrConnectionLost = errors.New("peer: connection lost before the answer")
	ErrQueueFull      = errors.New("peer: send queue full")
	ErrTooLarge       = errors.New("peer: message too large")
	ErrNoAnswer       = errors.New("peer: no answer to this request")
	ErrClosed         = errors.New("peer: mesh closed")
)
