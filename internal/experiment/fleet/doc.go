// Package fleet measures the cost of the control plane per host (bytes, messages,
// processor time and memory), the calls to the platform, and the time until a
// published configuration is in force on every host. It runs many hosts in one
// process, each with its own member table and its own mesh over loopback TCP,
// against an in-memory metadata store in place of the platform's. In the baseline,
// hosts have no peers: each one watches the store itself.
package fleet
