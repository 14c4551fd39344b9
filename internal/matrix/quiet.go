package matrix

import (
	"time"

	"github.com/bronzeloft/bronzeloft/database/group"
)

// Quiet is the result of a spell of jitter and pauses in which nothing is lost.
type Quiet struct {
	Site       string  `json:"site"`
	Detector   string  `json:"detector"`
	Minutes    float64 `json:"minutes"`
	Pauses     int     `json:"pauses"` // of databases, hosts and paths
	Claims     int     `json:"claims"` // besides the first
	Promotions int     `json:"falsePromotions"`
	BusiestOps float64 `json:"busiestHostOps"` // control operations a second
	MeanOps    float64 `json:"meanHostOps"`
	Violation  string  `json:"violation,omitempty"`
}

// Disturbances of a quiet spell: none of them is the loss of a primary.
const (
	databasePause   = 250 * time.Millisecond // longest, of any database
	hostPause       = 2 * time.Second        // longest, of any host
	pathBreak       = 3 * time.Second        // longest, between one host and one database
	disturbanceMean = 3 * time.Second        // between disturbances
	quietGap        = 2 * time.Second        // mean time between writes, or reads, of one host
	quietJitter     = 15 * time.Millisecond  // largest extra delay of a message
)

// MeasureQuiet runs a fleet of s for spell under jitter, pauses and broken
// paths, and counts promotions that nothing called for.
func MeasureQuiet(s Site, d Detector, spell time.Duration, seed uint64) Quiet {
	w := d.world(s, seed, quietGap)
	w.opt.Jitter = quietJitter
	w.settle()
	claims, promotions := w.oracle.counts.Claims, w.oracle.counts.Promotions
	out := Quiet{Site: s.Name, Detector: d.Name, Minutes: spell.Minutes()}
	end := w.now.Add(spell)
	for w.now.Before(end) {
		out.Pauses++
		w.disturb()
		w.Run(w.gap(disturbanceMean))
	}
	out.Claims = w.oracle.counts.Claims - claims
	out.Promotions = w.oracle.counts.Promotions - promotions
	out.Violation = w.oracle.violation
	sum := 0
	for _, h := range w.hosts {
		sum += h.controls
		out.BusiestOps = max(out.BusiestOps, float64(h.controls)/w.Elapsed().Seconds())
	}
	out.MeanOps = float64(sum) / float64(len(w.hosts)) / w.Elapsed().Seconds()
	return out
}

// disturb pauses a database or a host, or breaks a path, for a while.
func (w *World) disturb() {
	d := w.dbs[w.rand.IntN(len(w.dbs))]
	h := w.hosts[w.rand.IntN(len(w.hosts))]
	upTo := func(most time.Duration) time.Duration { return time.Duration(w.rand.Int64N(int64(most))) }
	switch w.rand.IntN(3) {
	case 0:
		w.freeze(&d.node)
		w.after(upTo(databasePause), func() { w.wake(&d.node) })
	case 1:
		w.freeze(&h.node)
		w.after(upTo(hostPause), func() { w.wake(&h.node) })
	default:
		w.cutBoth(h.name, d.name)
		w.after(upTo(pathBreak), func() {
			w.mend(h.name, d.name)
			w.mend(d.name, h.name)
		})
	}
}

// ReplicaShare is the share of reads that replicas served at a replication lag.
type ReplicaShare struct {
	Site    string  `json:"site"`
	LagMs   float64 `json:"lagMs"`
	Floor   string  `json:"floor"`  // what a fresh read must reach
	WaitMs  float64 `json:"waitMs"` // for a replica to reach it
	Fresh   float64 `json:"freshShare"`
	Aged    float64 `json:"agedShare"` // accepted ages: acceptedAges
	Refused int     `json:"refused"`
	Reads   int     `json:"reads"`
	FreshMs Spread  `json:"freshMs"`
	AgedMs  Spread  `json:"agedMs"`
	Broken  string  `json:"violation,omitempty"`
}

// Floors that a fresh read can be given.
const (
	FloorHeld    = "majority-held" // the present one
	FloorPrimary = "primary's end" // the baseline
)

// MeasureReplicaShare runs a fleet of s with replicas that lag.
func MeasureReplicaShare(s Site, lag time.Duration, floor string, wait, spell time.Duration, seed uint64) ReplicaShare {
	w := New(Options{
		Seed: seed, Hosts: s.Hosts, Centres: s.Centres, Between: s.Between, Lag: lag,
		Timing:   group.Timing{ReplicaWait: wait},
		WriteGap: 60 * time.Millisecond, ReadGap: 30 * time.Millisecond,
	})
	if floor == FloorPrimary {
		w.hooks.confirmed = confirmedEnd
	}
	w.Run(time.Second)
	w.oracle.counts, w.oracle.freshTimes, w.oracle.agedTimes = Counts{}, nil, nil
	w.Run(spell)
	c := w.oracle.counts
	return ReplicaShare{
		Site: s.Name, LagMs: float64(lag.Microseconds()) / 1000, Floor: floor, WaitMs: float64(wait.Microseconds()) / 1000,
		Fresh:   float64(c.FreshReplica) / float64(max(c.FreshReads, 1)),
		Aged:    float64(c.AgedReplica) / float64(max(c.AgedReads, 1)),
		Refused: c.RefusedReads, Reads: c.FreshReads + c.AgedReads,
		FreshMs: spread(w.oracle.freshTimes), AgedMs: spread(w.oracle.agedTimes),
		Broken: w.oracle.violation,
	}
}
