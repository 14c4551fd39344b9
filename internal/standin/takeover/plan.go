package main

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// plans are the plans of faults by name.
var plans = map[string]struct {
	length time.Duration
	of     func(seed uint64, l layout) []step
}{
	"faults": {faultsFor, faultsOf},
	"record": {recordFor, recordOf},
	"again":  {againFor, againOf},
	"away":   {awayFor, awayOf},
}

// Times for which faults come.
const (
	faultsFor = 26 * time.Second
	recordFor = 42 * time.Second
	againFor  = 42 * time.Second
)

// step is one fault of the plan. Who is the primary is found when it begins.
type step struct {
	at, length time.Duration
	kind       string
	group      int      // the service, by index
	share      float64  // of the hosts or connections
	zone       int      // zone, host or database, by index
	primary    bool     // it is the primary's zone
	platform   bool     // the platform is cut off too
	order      []int    // of the hosts, the first share of which is hit
	names      []string // of routes or services
	rank       int      // of a database: its place behind the primary
	absence    absence  // of its address
	handover   bool     // its log is handed over to a new database at its address
	gone       bool     // it does not return
}

func (s step) String() string {
	return fmt.Sprintf("%s for %d ms (service %d, share %.2f, of the primary %v, index %d, with the platform %v, rank %d, %v, handed over %v, gone %v)", s.kind, s.length.Milliseconds(), s.group, s.share, s.primary, s.zone, s.platform, s.rank, s.absence, s.handover, s.gone)
}

// faultsOf returns the faults of a seed: series that follow each other and overlap.
func faultsOf(seed uint64, l layout) []step {
	r := rand.New(rand.NewPCG(seed, streamPlan))
	between := millisecondsOf(r)
	var plan []step
	add := func(s step) {
		s.order = r.Perm(len(l.hosts))
		if s.at+s.length < faultsFor {
			plan = append(plan, s)
		}
	}
	for at := time.Second; at < faultsFor; at += between(3000, 5000) {
		if r.Float64() < 0.5 {
			add(step{at: at, length: between(1200, 2800), kind: "zone cut", group: r.IntN(len(l.services)), zone: r.IntN(len(l.zones)), primary: r.Float64() < 0.7, platform: r.Float64() < 0.7})
		}
		for g := range l.services {
			if r.Float64() < 0.7 {
				add(step{at: at + between(300, 2000), length: between(2000, 4500), kind: "primary cut", group: g, share: []float64{0.55, 0.7, 0.85, 1}[r.IntN(4)], primary: r.Float64() < 0.3})
			}
			if r.Float64() < 0.15 {
				add(step{at: at + between(0, 2000), length: between(400, 2500), kind: "crash of the primary", group: g})
			}
			if r.Float64() < 0.3 {
				add(step{at: at + between(0, 2000), length: between(500, 2500), kind: "replica receives nothing", group: g, zone: r.IntN(len(l.databases))})
			}
		}
		if r.Float64() < 0.5 {
			add(step{at: at + between(1000, 2500), kind: "reset", share: 0.5})
		}
		if r.Float64() < 0.3 {
			add(step{at: at + between(0, 2500), length: between(1000, 5000), kind: "stop", zone: r.IntN(len(l.hosts))})
		}
		if r.Float64() < 0.2 {
			add(step{at: at + between(0, 2500), length: between(200, 1000), kind: "kill", zone: r.IntN(len(l.hosts))})
		}
		if r.Float64() < 0.2 {
			add(step{at: at + between(0, 2500), length: between(500, 2500), kind: "store cut", share: []float64{0.2, 0.5}[r.IntN(2)]})
		}
	}
	plan = append(plan, variantSteps(r, l, faultsFor)...)
	sort.SliceStable(plan, func(i, j int) bool { return plan[i].at < plan[j].at })
	return plan
}

// Intervals of the day of issue 33.
const (
	routesToSilence = 7400 * time.Millisecond // from the removal of routes to the silence of the primaries
	silenceToLogins = 1700 * time.Millisecond // and from there to the logins to removed routes
	recordEvery     = 13500 * time.Millisecond
)

// recordOf plays the day of issue 33 three times: a configuration takes routes away, the
// primaries of two services fall silent within 100 ms, and clients log in to the routes
// that are gone. What makes the primaries silent varies.
func recordOf(seed uint64, l layout) []step {
	r := rand.New(rand.NewPCG(seed, streamPlan))
	between := millisecondsOf(r)
	var plan []step
	add := func(s step) {
		s.order = r.Perm(len(l.hosts))
		plan = append(plan, s)
	}
	for at := time.Second; at+recordEvery < recordFor; at += recordEvery {
		silent := at + routesToSilence
		names := spareRoutes[:2]
		add(step{at: at, length: recordEvery, kind: "routes removed", names: names})
		add(step{at: silent + silenceToLogins, kind: "logins", names: names})
		way, length, share := r.IntN(7), between(1500, 5000), []float64{0.55, 0.7, 0.85, 1}[r.IntN(4)]
		for i, g := range r.Perm(len(l.services))[:2] {
			begin := silent + time.Duration(i)*between(0, 100)
			if r.Float64() < 0.6 {
				add(step{at: begin - between(0, 1000), length: between(800, 4000), kind: "replica receives nothing", group: g, zone: r.IntN(len(l.databases))})
			}
			silence := step{at: begin, length: length + between(0, 100), kind: "freeze of the primary", group: g, share: share}
			switch way {
			case 1:
				silence.kind = "crash of the primary"
			case 2, 3:
				silence.kind, silence.primary, silence.platform = "zone cut", true, way == 3
			case 4, 5:
				silence.kind, silence.primary = "primary cut", way == 5
			case 6:
				silence.kind, silence.platform = "primary cut", true
			}
			add(silence)
			for _, s := range serviceSteps(r, l, g, begin) {
				add(s)
			}
		}
	}
	return withHostSteps(r, l, plan, recordFor)
}

// againEvery is the mean time between two rounds of the plan again.
const againEvery = 4200 * time.Millisecond

// againOf promotes every service again within seconds: in each round its primary is cut
// off from hosts, from its replicas or from both, and at times a replica receives nothing.
func againOf(seed uint64, l layout) []step {
	r := rand.New(rand.NewPCG(seed, streamPlan))
	between := millisecondsOf(r)
	var plan []step
	add := func(s step) {
		s.order = r.Perm(len(l.hosts))
		if s.at >= 0 && s.at+s.length < againFor {
			plan = append(plan, s)
		}
	}
	for at := time.Second; at < againFor; at += againEvery {
		for g := range l.services {
			begin := at + between(0, 600)
			cut := step{at: begin, length: between(1500, 3000), kind: "primary cut", group: g}
			way := r.IntN(3)
			if way != 1 {
				cut.share = []float64{0.55, 0.7, 0.85, 1}[r.IntN(4)]
			}
			cut.primary = way != 0
			add(cut)
			if r.Float64() < 0.4 {
				add(step{at: begin - between(0, 1000), length: between(800, 3000), kind: "replica receives nothing", group: g, zone: r.IntN(len(l.databases))})
			}
			for _, s := range serviceSteps(r, l, g, begin) {
				add(s)
			}
		}
	}
	return withHostSteps(r, l, plan, againFor)
}

// millisecondsOf returns a function that draws a time from least to below most, in milliseconds.
func millisecondsOf(r *rand.Rand) func(least, most int) time.Duration {
	return func(least, most int) time.Duration {
		return time.Duration(least+r.IntN(most-least)) * time.Millisecond
	}
}

// withHostSteps adds the faults of hosts to a plan, unless the play is calm, and sorts it.
func withHostSteps(r *rand.Rand, l layout, plan []step, until time.Duration) []step {
	if !l.with.calm {
		plan = append(plan, hostSteps(r, l, until)...)
	}
	sort.SliceStable(plan, func(i, j int) bool { return plan[i].at < plan[j].at })
	return plan
}

// hostSteps returns faults of hosts and of their paths to the store.
func hostSteps(r *rand.Rand, l layout, until time.Duration) []step {
	var out []step
	for at := 2 * time.Second; at+5*time.Second < until; at += time.Second + time.Duration(r.Int64N(int64(4*time.Second))) {
		s := step{at: at, kind: []string{"stop", "kill", "reset", "store cut", "host cut"}[r.IntN(5)], share: 0.4, zone: r.IntN(len(l.hosts)), order: r.Perm(len(l.hosts))}
		if s.length = 300*time.Millisecond + time.Duration(r.Int64N(int64(3*time.Second))); s.kind == "reset" {
			s.length = 0
		}
		out = append(out, s)
	}
	return out
}

// variantSteps returns the faults that the variants add to the plan of faults.
func variantSteps(r *rand.Rand, l layout, until time.Duration) []step {
	var out []step
	for at := 2 * time.Second; at+5*time.Second < until; at += 4 * time.Second {
		for _, s := range serviceSteps(r, l, r.IntN(len(l.services)), at) {
			s.order = r.Perm(len(l.hosts))
			out = append(out, s)
		}
	}
	return out
}

// gapBefore is the mean time from the beginning of a gap in a replica's log to the faults
// around it, in which entries behind the gap arrive.
const gapBefore = 3 * time.Second

// serviceSteps returns the faults of a service that the variants add around a moment.
func serviceSteps(r *rand.Rand, l layout, g int, around time.Duration) []step {
	var out []step
	service := l.services[g]
	after := func() time.Duration { return around - time.Second + time.Duration(r.Int64N(int64(2*time.Second))) }
	length := time.Second + time.Duration(r.Int64N(int64(3*time.Second)))
	if l.with.noRoutes {
		names := []string{routeOf(kindPrimary, service), routeOf(kindOwn, service), routeOf(kindBounded, service)}
		out = append(out, step{at: after(), length: length, kind: "routes removed", group: g, names: names})
	}
	if l.with.noService {
		out = append(out, step{at: after(), length: length, kind: "service removed", group: g, names: []string{service}})
	}
	if l.with.restarts {
		out = append(out, step{at: after(), length: 200 * time.Millisecond, kind: "restart of a replica", group: g, zone: r.IntN(len(l.databases))})
	}
	if l.with.gaps {
		out = append(out, step{at: after() - gapBefore, length: length, kind: "replica receives nothing", group: g, zone: r.IntN(len(l.databases))})
	}
	if l.with.lapsingEntries {
		out = append(out, step{at: after(), length: length, kind: "lapse of a replica's entry", group: g, zone: r.IntN(len(l.databases))})
	}
	return out
}
