// Package fleet measures what the control plane costs a host: bytes, messages,
// processor time and memory, platform calls, and the time until a published
// configuration is in force on every host. It runs many hosts in one process,
// each with its own table and its own mesh over loopback TCP, before a platform
// in memory. The baseline has no peers: each host watches the platform itself.
package fleet
