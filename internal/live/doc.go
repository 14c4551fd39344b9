// Package live tests the request path over real sockets with a fault matrix. It
// runs every step of the path while each fault is injected, on whole sites in
// one process. An oracle checks the answers that callers received. A cell of the
// matrix is a step of Steps under a fault of Faults, so that a step or a fault
// added there needs no further change to be tested.
//
// "go test ./internal/live" runs each cell once, with a short load. For longer
// runs, BRONZELOFT_LIVE_LOAD sets the time that a cell is under load (a duration
// such as 5s) and BRONZELOFT_LIVE_ROUNDS sets how often the whole matrix runs;
// give go test a matching -timeout. BRONZELOFT_LIVE_CELL, a name such as "write
// under kill primary", runs that cell alone.
package live
