package matrix

import (
	"time"

	"github.com/bronzeloft/bronzeloft/database/group"
)

// Stability is the result of a run with jitter, pauses and broken paths in which
// no primary is lost, so that every promotion is a false one.
type Stability struct {
	Site       string  `json:"site"`
	Detector   string  `json:"detector"`
	Minutes    float64 `json:"minutes"`
	Pauses     int     `json:"pauses"` // disturbances of databases, hosts and paths
	Claims     int     `json:"claims"` // apart from the first primary's
	Promotions int     `json:"falsePromotions"`
	BusiestOps float64 `json:"busiestHostOps"` // control operations per second, maximum over the hosts
	MeanOps    float64 `json:"meanHostOps"`    // control operations per second, mean over the hosts
	Violation  string  `json:"violation,omitempty"`
}

// Disturbances of a stability run. None of them amounts to the loss of a primary.
const (
	maxDatabasePause         = 250 * time.Millisecond // of any database
	maxHostPause             = 2 * time.Second        // of any host
	maxPathBreak             = 3 * time.Second        // between one host and one database
	meanDisturbanceInterval  = 3 * time.Second        // between two disturbances
	stabilityRequestInterval = 2 * time.Second        // mean time between two writes, or two reads, of one host
	stabilityJitter          = 15 * time.Millisecond  // maximum extra delay of a message
)

// MeasureStability runs the fleet of site s for the duration under jitter, pauses
// and broken paths, and counts false promotions.
func MeasureStability(s Site, d Detector, duration time.Duration, seed uint64) Stability {
	w := d.world(s, seed, stabilityRequestInterval)
	w.opt.Jitter = stabilityJitter
	w.waitForPrimary()
	claims, promotions := w.oracle.counts.Claims, w.oracle.counts.Promotions
	out := Stability{Site: s.Name, Detector: d.Name, Minutes: duration.Minutes()}
	end := w.now.Add(duration)
	for w.now.Before(end) {
		out.Pauses++
		w.disturb()
		w.Run(w.randomInterval(meanDisturbanceInterval))
	}
	out.Claims = w.oracle.counts.Claims - claims
	out.Promotions = w.oracle.counts.Promotions - promotions
	out.Violation = w.oracle.violation
	sum := 0
	for _, h := range w.hosts {
		sum += h.controlOps
		out.BusiestOps = max(out.BusiestOps, float64(h.controlOps)/w.Elapsed().Seconds())
	}
	out.MeanOps = float64(sum) / float64(len(w.hosts)) / w.Elapsed().Seconds()
	return out
}

// disturb pauses a random database or host, or breaks a random path, for a random
// time.
func (w *World) disturb() {
	d := w.dbs[w.rand.IntN(len(w.dbs))]
	h := w.hosts[w.rand.IntN(len(w.hosts))]
	randomUpTo := func(limit time.Duration) time.Duration { return time.Duration(w.rand.Int64N(int64(limit))) }
	switch w.rand.IntN(3) {
	case 0:
		w.freeze(&d.node)
		w.after(randomUpTo(maxDatabasePause), func() { w.unfreeze(&d.node) })
	case 1:
		w.freeze(&h.node)
		w.after(randomUpTo(maxHostPause), func() { w.unfreeze(&h.node) })
	default:
		w.cutBothWays(h.name, d.name)
		w.after(randomUpTo(maxPathBreak), func() {
			w.restore(h.name, d.name)
			w.restore(d.name, h.name)
		})
	}
}

// ReplicaShare is the share of reads that replicas served at one replication lag.
type ReplicaShare struct {
	Site      string       `json:"site"`
	LagMs     float64      `json:"lagMs"`
	Floor     string       `json:"floor"`      // position that a fresh read must reach
	WaitMs    float64      `json:"waitMs"`     // maximum wait for a replica to reach the floor
	Fresh     float64      `json:"freshShare"` // of fresh reads
	Aged      float64      `json:"agedShare"`  // of aged reads, with the ages in acceptedAges
	Refused   int          `json:"refused"`    // reads not answered before their deadline
	Reads     int          `json:"reads"`      // answered reads, fresh and aged
	FreshMs   Distribution `json:"freshMs"`
	AgedMs    Distribution `json:"agedMs"`
	Violation string       `json:"violation,omitempty"`
}

// Kinds of floor for fresh reads.
const (
	FloorMajorityHeld = "majority-held" // in use: the position that a majority holds
	FloorPrimary      = "primary's end" // baseline: the end of the primary's log
)

// MeasureReplicaShare runs the fleet of site s with the given replication lag and
// kind of floor, and returns the share of reads that replicas served.
func MeasureReplicaShare(s Site, lag time.Duration, floor string, wait, duration time.Duration, seed uint64) ReplicaShare {
	w := New(Options{
		Seed: seed, Hosts: s.Hosts, Centres: s.Centres, OneWayDelay: s.OneWayDelay, ReplicationLag: lag,
		Timing:        group.Timing{ReplicaWait: wait},
		WriteInterval: 60 * time.Millisecond, ReadInterval: 30 * time.Millisecond,
	})
	if floor == FloorPrimary {
		w.hooks.confirmedFloor = confirmedPrimaryPosition
	}
	w.Run(time.Second)
	w.oracle.counts, w.oracle.freshTimes, w.oracle.agedTimes = Counts{}, nil, nil
	w.Run(duration)
	c := w.oracle.counts
	return ReplicaShare{
		Site: s.Name, LagMs: float64(lag.Microseconds()) / 1000, Floor: floor, WaitMs: float64(wait.Microseconds()) / 1000,
		Fresh:   float64(c.FreshReplica) / float64(max(c.FreshReads, 1)),
		Aged:    float64(c.AgedReplica) / float64(max(c.AgedReads, 1)),
		Refused: c.RefusedReads, Reads: c.FreshReads + c.AgedReads,
		FreshMs: distribution(w.oracle.freshTimes), AgedMs: distribution(w.oracle.agedTimes),
		Violation: w.oracle.violation,
	}
}
