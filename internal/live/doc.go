// Package live is the fault matrix on real sockets: every step of the path, at
// work while every fault happens, on whole sites in one process, judged by an
// oracle that knows what callers were told. A step added to Steps or a fault
// added to Faults enters the matrix by itself.
//
// "go test ./internal/live" runs each cell once, shortly. The environment
// variable BRONZELOFT_LIVE_LOAD, a duration such as 5s, sets the time that a
// cell is under load for a longer run, BRONZELOFT_LIVE_ROUNDS how often the
// whole matrix runs; give go test a matching -timeout. BRONZELOFT_LIVE_CELL, a
// name such as "write under kill primary", runs that cell alone.
package live
