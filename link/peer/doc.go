// Package peer carries messages between hosts: one TCP connection per pair of
// hosts, with mutual TLS where configured, multiplexed by yamux, with one
// protobuf envelope per frame.
//
// A Mesh dials its configured peers, accepts connections from others, and
// replaces a connection that failed or stopped responding. Small messages share
// one stream, which preserves their order; a request with a large answer, such
// as a snapshot, and a caller's session each get a stream of their own and do not
// delay small messages. An answer is matched to its request by id on the connection
// that carried the request: when that connection ends, the request fails with
// ErrConnectionLost and a late answer is discarded.
package peer
