// Package dbserver simulates one PostgreSQL server of a database group for
// tests and trials. It implements PostgreSQL's wire protocol and the operations
// of package groupsql, and stores its data in SQLite, in memory. Replicas pull the
// log of the primary that they follow, asynchronously.
//
// The model is deliberately simple: one transaction runs at a time, and the log
// holds statements rather than row changes and is never compacted. Result
// columns and parameters have no type (OID 0); results are in the text format.
//
// Lock order: the engine's transaction lock, the mutexes of its SQLite databases
// (working before committed), the server's mutex, the mutex of the injected
// faults.
package dbserver
