package matrix

import (
	"slices"
	"time"

	"github.com/bronzeloft/bronzeloft/database/group"
)

// Site describes the fleet of one site to measure.
type Site struct {
	Name        string        `json:"name"`
	Hosts       int           `json:"hosts"`
	Centres     int           `json:"dataCentres"`
	OneWayDelay time.Duration `json:"oneWay"`
}

// Sites are the sites in operation.
var Sites = []Site{
	{Name: "Pluta", Hosts: 15, Centres: 4, OneWayDelay: time.Millisecond},
	{Name: "Trust", Hosts: 14, Centres: 3, OneWayDelay: 500 * time.Microsecond},
}

// Loss is a way in which a primary becomes unavailable.
type Loss string

// Kinds of loss.
const (
	Killed  Loss = "killed"         // the process is gone; its machine refuses connections
	Frozen  Loss = "frozen"         // the process is paused; connections stay open and are silent
	Cut     Loss = "cut"            // disconnected from every host and database
	Stalled Loss = "cut from peers" // disconnected from its replicas, but not from hosts
	Leaving Loss = "leaving"        // a planned switchover
)

// Distribution summarizes durations, in milliseconds.
type Distribution struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

func distribution(all []time.Duration) Distribution {
	if len(all) == 0 {
		return Distribution{}
	}
	slices.Sort(all)
	at := func(q float64) float64 {
		return float64(all[int(q*float64(len(all)-1)+0.5)].Microseconds()) / 1000
	}
	return Distribution{P50: at(0.50), P99: at(0.99), Max: at(1)}
}

// Failover is the measured failover gap for one kind of loss, in total and by
// phase. The gap is the time from the loss of a primary until a host routes to the
// next one.
type Failover struct {
	Site         string       `json:"site"`
	Loss         Loss         `json:"loss"`
	PlatformDown bool         `json:"platformDown"`
	Detector     string       `json:"detector"`
	Runs         int          `json:"runs"`
	Unfinished   int          `json:"unfinished"` // runs in which not every host routed to a new primary within failoverBound, or no claim was confirmed
	Detection    Distribution `json:"detectionMs"`
	Claim        Distribution `json:"claimMs"` // querying peers, the delay by rank, failed claims
	Fence        Distribution `json:"fenceMs"`
	Promote      Distribution `json:"promoteMs"`
	Marker       Distribution `json:"markerMs"`
	Reroute      Distribution `json:"rerouteMs"` // until each host routes to the new primary
	Total        Distribution `json:"totalMs"`   // from the loss until a host routes, over hosts and runs
}

// Times of a run.
const (
	failoverBound  = 8 * time.Second        // maximum wait for the failover
	lossTimeSpread = 200 * time.Millisecond // range in which the time of the loss is random
)

// Detector is a rule by which a host decides that a primary is unavailable.
type Detector struct {
	Name          string
	Timing        group.Timing
	SkipPeerQuery bool // decides without querying peers
}

// Detectors returns the detector in use, then the baselines: fixed timeouts
// without a query of peers.
func Detectors() []Detector {
	fixed := func(name string, after time.Duration) Detector {
		return Detector{Name: name, SkipPeerQuery: true, Timing: group.Timing{SuspectAfter: after, RefusedAfter: after, AskWindow: time.Nanosecond}}
	}
	return []Detector{
		{Name: "ask peers"},
		fixed("fixed 100 ms", 100*time.Millisecond),
		fixed("fixed 1 s", time.Second),
		fixed("fixed 3 s", 3*time.Second),
	}
}

func (d Detector) world(s Site, seed uint64, requestInterval time.Duration) *World {
	w := New(Options{
		Seed: seed, Hosts: s.Hosts, Centres: s.Centres, OneWayDelay: s.OneWayDelay,
		WriteInterval: requestInterval, ReadInterval: requestInterval, Timing: d.Timing,
	})
	w.hooks.skipPeerQuery = d.SkipPeerQuery
	return w
}

// gapParts collects the phases of the failover gap over runs.
type gapParts struct {
	detection, claim, fence, promote, marker, reroute, total []time.Duration
}

// MeasureFailover measures the failover gap in simulations of site s with seeds 1
// to runs.
func MeasureFailover(s Site, loss Loss, platformDown bool, d Detector, runs int) Failover {
	out := Failover{Site: s.Name, Loss: loss, PlatformDown: platformDown, Detector: d.Name, Runs: runs}
	var p gapParts
	for i := range runs {
		w := d.world(s, uint64(i+1), 100*time.Millisecond)
		w.waitForPrimary()
		w.record.down = platformDown
		lost := w.now
		old := w.primary()
		w.applyLoss(old, loss)
		for w.now.Sub(lost) < failoverBound && !w.rerouted(old) {
			w.Run(10 * time.Millisecond)
		}
		if !p.addGap(w, old, lost) {
			out.Unfinished++
		}
	}
	out.Detection, out.Claim, out.Fence = distribution(p.detection), distribution(p.claim), distribution(p.fence)
	out.Promote, out.Marker = distribution(p.promote), distribution(p.marker)
	out.Reroute, out.Total = distribution(p.reroute), distribution(p.total)
	return out
}

// waitForPrimary runs until every host routes to the first primary, and then for a
// second and a random part of lossTimeSpread, so that the loss that follows does
// not always fall at the same time.
func (w *World) waitForPrimary() {
	for w.Elapsed() < failoverBound && !w.rerouted(nil) {
		w.Run(10 * time.Millisecond)
	}
	w.Run(time.Second + time.Duration(w.rand.Int64N(int64(lossTimeSpread))))
}

func (w *World) applyLoss(d *database, loss Loss) {
	switch loss {
	case Killed:
		w.kill(&d.node)
	case Frozen:
		w.freeze(&d.node)
	case Cut:
		w.isolate(&d.node)
	case Stalled:
		w.isolateFromDatabases(d)
	case Leaving:
		w.markLeaving(d)
	}
}

// rerouted reports whether every host routes to a database other than old.
func (w *World) rerouted(old *database) bool {
	for _, h := range w.hosts {
		id, _, ok := h.table.Primary()
		if !ok || old != nil && id == old.name {
			return false
		}
	}
	return true
}

// addGap adds the phases of one failover, taken from the claim that succeeded. The
// time spent on failed claims counts towards its claim phase. It returns false if
// the failover did not finish.
func (p *gapParts) addGap(w *World, old *database, lost time.Time) bool {
	newPrimary := w.primary()
	if newPrimary == old || !w.rerouted(old) {
		return false
	}
	term := newPrimary.accepted
	confirmedClaim, detected := group.ClaimTimes{}, time.Time{}
	for _, h := range w.hosts {
		for _, c := range h.claims {
			if c.Claimed.After(lost) && (detected.IsZero() || c.Detected.Before(detected)) {
				detected = c.Detected
			}
			if c.Term == term && !c.Confirmed.IsZero() {
				confirmedClaim = c
			}
		}
	}
	if confirmedClaim.Term == 0 {
		return false
	}
	if confirmedClaim.Promoted.IsZero() { // a probe showed the new primary before the answer to the promotion arrived
		confirmedClaim.Promoted = confirmedClaim.Confirmed
	}
	p.detection = append(p.detection, detected.Sub(lost))
	p.claim = append(p.claim, confirmedClaim.Claimed.Sub(detected))
	p.fence = append(p.fence, confirmedClaim.Fenced.Sub(confirmedClaim.Claimed))
	p.promote = append(p.promote, confirmedClaim.Promoted.Sub(confirmedClaim.Fenced))
	p.marker = append(p.marker, confirmedClaim.Confirmed.Sub(confirmedClaim.Promoted))
	for _, h := range w.hosts {
		p.reroute = append(p.reroute, h.routedAt[term].Sub(confirmedClaim.Confirmed))
		p.total = append(p.total, h.routedAt[term].Sub(lost))
	}
	return true
}
