// Package dbserver is a stand-in for one PostgreSQL server of a database
// group, for tests and trials. It speaks PostgreSQL's wire protocol, keeps its
// data in SQLite in memory, replicates its log asynchronously to the servers
// that follow it, and carries out the operations of package groupsql.
//
// It is a deliberately small model of a server: one transaction runs at a time,
// the log holds statements rather than changes, and it is never shortened.
// Result columns and parameters have no type (OID 0) and the text format.
//
// Lock order: the transaction lock of the engine, the engine's own mutex, the
// server's mutex.
package dbserver
