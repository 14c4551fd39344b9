// Package accesspb holds the generated messages with which hosts run statements
// for each other. The generated code is committed; a test compares it with
// access.proto without running the generator.
package accesspb

//go:generate protoc --go_out=. --go_opt=paths=source_relative access.proto
