// Package evaluation measures what matters most to users of the project: the share
// of reads that replicas serve, the gap of a failover, the waits and the slot time of
// the worst-served customer, and requests refused although they were within their
// customer's rate. Each is measured at the sizes of both deployments, in the same run
// as a baseline, and compared with its target if it has one.
//
// All runs use simulated time and fixed seeds: a Plan gives the same Results
// every time.
package evaluation
