// Package peerpb holds the generated messages between hosts. The generated code
// is committed; a test compares it with peer.proto without running the generator.
package peerpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative peer.proto
