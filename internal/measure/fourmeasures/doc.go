// Package fourmeasures runs the measures that users of the project weigh: the
// share of reads that replicas serve, the gap of a failover, how the
// worst-served customer fares, and requests refused although they were inside
// their customer's rate. Each is measured at both deployments' sizes beside a
// baseline in the same run.
//
// All runs use simulated time and fixed seeds: a Plan gives the same Results
// every time.
package fourmeasures
