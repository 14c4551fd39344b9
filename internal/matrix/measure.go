package matrix

import (
	"slices"
	"time"

	"github.com/bronzeloft/bronzeloft/database/group"
)

// Site is the shape of a fleet to measure.
type Site struct {
	Name    string        `json:"name"`
	Hosts   int           `json:"hosts"`
	Centres int           `json:"dataCentres"`
	Between time.Duration `json:"oneWay"`
}

// Sites are the fleets of today.
var Sites = []Site{
	{Name: "Pluta", Hosts: 15, Centres: 4, Between: time.Millisecond},
	{Name: "Trust", Hosts: 14, Centres: 3, Between: 500 * time.Microsecond},
}

// Loss is a way to lose a primary.
type Loss string

// The losses.
const (
	Killed  Loss = "killed"         // its machine refuses connections
	Frozen  Loss = "frozen"         // connections stay and are silent
	Cut     Loss = "cut"            // from everything
	Stalled Loss = "cut from peers" // from its replicas, not from hosts
	Leaves  Loss = "leaving"        // a planned switchover
)

// Spread is the distribution of a duration, in milliseconds.
type Spread struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

func spread(all []time.Duration) Spread {
	if len(all) == 0 {
		return Spread{}
	}
	slices.Sort(all)
	at := func(q float64) float64 {
		return float64(all[int(q*float64(len(all)-1)+0.5)].Microseconds()) / 1000
	}
	return Spread{P50: at(0.50), P99: at(0.99), Max: at(1)}
}

// Failover is the measured gap of one kind of loss, by part.
type Failover struct {
	Site         string `json:"site"`
	Loss         Loss   `json:"loss"`
	PlatformDown bool   `json:"platformDown"`
	Detector     string `json:"detector"`
	Runs         int    `json:"runs"`
	Unfinished   int    `json:"unfinished"` // no new primary within failoverBound
	Detection    Spread `json:"detectionMs"`
	Claim        Spread `json:"claimMs"` // peers asked, ranks waited for, lost claims
	Fence        Spread `json:"fenceMs"`
	Promote      Spread `json:"promoteMs"`
	Marker       Spread `json:"markerMs"`
	Reroute      Spread `json:"rerouteMs"` // until each host routes to it
	Total        Spread `json:"totalMs"`   // loss to routing, over hosts and runs
}

// Durations of a run.
const (
	failoverBound = 8 * time.Second        // longest gap that it waits for
	settleSpread  = 200 * time.Millisecond // spread of the moment of the loss
)

// Detector is a way to decide that a primary is gone.
type Detector struct {
	Name   string
	Timing group.Timing
	Alone  bool // asks no peers
}

// Detectors are the present one and the baselines.
func Detectors() []Detector {
	fixed := func(name string, after time.Duration) Detector {
		return Detector{Name: name, Alone: true, Timing: group.Timing{SuspectAfter: after, RefusedAfter: after, AskWindow: time.Nanosecond}}
	}
	return []Detector{
		{Name: "ask peers"},
		fixed("fixed 100 ms", 100*time.Millisecond),
		fixed("fixed 1 s", time.Second),
		fixed("fixed 3 s", 3*time.Second),
	}
}

func (d Detector) world(s Site, seed uint64, gap time.Duration) *World {
	w := New(Options{
		Seed: seed, Hosts: s.Hosts, Centres: s.Centres, Between: s.Between,
		WriteGap: gap, ReadGap: gap, Timing: d.Timing,
	})
	w.hooks.asksNobody = d.Alone
	return w
}

// parts collects the parts of gaps over runs.
type parts struct {
	detection, claim, fence, promote, marker, reroute, total []time.Duration
}

// MeasureFailover loses a primary in runs worlds of site s.
func MeasureFailover(s Site, loss Loss, platformDown bool, d Detector, runs int) Failover {
	out := Failover{Site: s.Name, Loss: loss, PlatformDown: platformDown, Detector: d.Name, Runs: runs}
	var p parts
	for i := range runs {
		w := d.world(s, uint64(i+1), 100*time.Millisecond)
		w.settle()
		w.record.down = platformDown
		lost := w.now
		old := w.primary()
		w.lose(old, loss)
		for w.now.Sub(lost) < failoverBound && !w.rerouted(old) {
			w.Run(10 * time.Millisecond)
		}
		if !p.add(w, old, lost) {
			out.Unfinished++
		}
	}
	out.Detection, out.Claim, out.Fence = spread(p.detection), spread(p.claim), spread(p.fence)
	out.Promote, out.Marker = spread(p.promote), spread(p.marker)
	out.Reroute, out.Total = spread(p.reroute), spread(p.total)
	return out
}

// settle runs until every host routes to the first primary, and a random while.
func (w *World) settle() {
	for w.Elapsed() < failoverBound && !w.rerouted(nil) {
		w.Run(10 * time.Millisecond)
	}
	w.Run(time.Second + time.Duration(w.rand.Int64N(int64(settleSpread))))
}

func (w *World) lose(d *database, loss Loss) {
	switch loss {
	case Killed:
		w.kill(&d.node)
	case Frozen:
		w.freeze(&d.node)
	case Cut:
		w.isolate(&d.node)
	case Stalled:
		w.isolateFromDatabases(d)
	case Leaves:
		w.leave(d)
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

// add takes the parts of one gap: those of the claim that succeeded, with the
// lost ones counted as its claim time.
func (p *parts) add(w *World, old *database, lost time.Time) bool {
	top := w.primary()
	if top == old || !w.rerouted(old) {
		return false
	}
	term := top.accepted
	won, detected := group.ClaimTimes{}, time.Time{}
	for _, h := range w.hosts {
		for _, c := range h.claims {
			if c.Claimed.After(lost) && (detected.IsZero() || c.Detected.Before(detected)) {
				detected = c.Detected
			}
			if c.Term == term && !c.Confirmed.IsZero() {
				won = c
			}
		}
	}
	if won.Term == 0 {
		return false
	}
	if won.Promoted.IsZero() { // a probe told of the promotion before its answer
		won.Promoted = won.Confirmed
	}
	p.detection = append(p.detection, detected.Sub(lost))
	p.claim = append(p.claim, won.Claimed.Sub(detected))
	p.fence = append(p.fence, won.Fenced.Sub(won.Claimed))
	p.promote = append(p.promote, won.Promoted.Sub(won.Fenced))
	p.marker = append(p.marker, won.Confirmed.Sub(won.Promoted))
	for _, h := range w.hosts {
		p.reroute = append(p.reroute, h.views[term].Sub(won.Confirmed))
		p.total = append(p.total, h.views[term].Sub(lost))
	}
	return true
}
