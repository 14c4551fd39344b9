package evaluation

import (
	"time"

	"github.com/bronzeloft/bronzeloft/internal/matrix"
)

// replicationLags are the replication delays, in addition to that of the network.
var replicationLags = []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond}

// readTasks returns the tasks that measure the share of reads served by replicas,
// for each floor of a fresh read: the position that a majority holds, or the end of
// the primary's log (the baseline). Baseline reads don't wait for a replica: a
// ReplicaWait of 0 would select the default, so it is 1 ns.
func (r *Results) readTasks(size Size) []func() {
	p := r.Plan
	var out []func()
	for _, lag := range replicationLags {
		out = append(out, addTask(&r.Reads, func() matrix.ReplicaShare {
			return matrix.MeasureReplicaShare(size.Site, lag, matrix.FloorMajorityHeld, p.ReplicaWait, p.ReadTime, p.Seed)
		}), addTask(&r.Reads, func() matrix.ReplicaShare {
			return matrix.MeasureReplicaShare(size.Site, lag, matrix.FloorPrimary, time.Nanosecond, p.ReadTime, p.Seed)
		}))
	}
	return out
}

// losses are the kinds of loss of a primary that are measured.
var losses = []matrix.Loss{matrix.Killed, matrix.Frozen, matrix.Cut, matrix.Stalled, matrix.Leaving}

// failoverTasks returns the tasks that measure the failover gap after every kind of
// loss, the gap with fixed timeouts after a kill (the baselines), and promotions
// while no primary is lost.
func (r *Results) failoverTasks(size Size) []func() {
	p := r.Plan
	detectors := matrix.Detectors()
	var out []func()
	addGapTask := func(loss matrix.Loss, platformDown bool, d matrix.Detector) {
		out = append(out, addTask(&r.Failovers, func() matrix.Failover {
			return matrix.MeasureFailover(size.Site, loss, platformDown, d, p.FailoverRuns)
		}))
	}
	for _, loss := range losses {
		addGapTask(loss, false, detectors[0])
		addGapTask(loss, true, detectors[0])
	}
	for _, d := range detectors[1:] {
		addGapTask(matrix.Killed, false, d)
	}
	for _, d := range detectors {
		out = append(out, addTask(&r.Quiet, func() matrix.Stability {
			return matrix.MeasureStability(size.Site, d, p.QuietTime, p.Seed)
		}))
	}
	return out
}
