// Package peer carries messages between hosts: one TCP connection per pair of
// hosts, with mutual TLS where configured, yamux above it and one protobuf
// envelope per frame.
//
// A Mesh dials the peers that it was given, takes the connections of others,
// and replaces a connection that broke or went silent. Small messages share
// one stream, so they keep their order; a request with a large answer, such as
// a snapshot, has a stream of its own and delays no small message. An answer
// is matched to its request by id on the connection that carried the request:
// when that connection ends, the request fails with ErrConnectionLost and a
// later answer reaches nobody.
package peer
