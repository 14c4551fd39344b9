// Package gossippb holds the generated messages of the datagrams between hosts.
// The generated code is committed; a test compares it with gossip.proto without
// running the generator.
package gossippb

//go:generate protoc --go_out=. --go_opt=paths=source_relative gossip.proto
