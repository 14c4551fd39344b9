package matrix

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Bounds of a random schedule.
const (
	maxStrikes  = 8
	strikeSpan  = 500 * time.Millisecond // longest time between strikes
	healOneIn   = 3                      // a strike is followed by healing this often
	armedOneIn  = 2                      // a strike waits for a step this often
	leastGap    = 4 * time.Millisecond   // between writes or reads of one host
	spreadOfGap = 20 * time.Millisecond
)

// lags are the extra delays of replication.
var lags = []time.Duration{0, 5 * time.Millisecond, 40 * time.Millisecond}

// Fuzz runs one random schedule of faults, a function of its seed, and returns
// a *Failure or nil.
func Fuzz(seed uint64) error { return fuzz(seed, defaultHooks()) }

func fuzz(seed uint64, h hooks) error {
	r := rand.New(rand.NewPCG(seed, 0xd1342543de82ef95))
	w := New(randomOptions(r, seed))
	w.hooks = h
	w.Run(warmUp)
	for range 1 + r.IntN(maxStrikes) {
		w.strike(r)
		w.Run(time.Duration(r.Int64N(int64(strikeSpan))))
		if r.IntN(healOneIn) == 0 {
			w.Heal()
		}
		if w.oracle.violation != "" {
			break
		}
	}
	w.armed = nil
	w.Heal()
	return w.verdict(fmt.Sprintf("fuzz of %d databases, %d hosts", len(w.dbs), len(w.hosts)), true)
}

func randomOptions(r *rand.Rand, seed uint64) Options {
	return Options{
		Seed:      seed,
		Databases: 3 + r.IntN(3),
		Hosts:     2 + r.IntN(3),
		Between:   time.Duration(500+r.IntN(1000)) * time.Microsecond,
		Jitter:    time.Duration(50+r.IntN(3000)) * time.Microsecond,
		WriteGap:  leastGap + time.Duration(r.Int64N(int64(spreadOfGap))),
		ReadGap:   leastGap + time.Duration(r.Int64N(int64(spreadOfGap))),
		Lag:       lags[r.IntN(len(lags))],
		SameRank:  r.IntN(3) == 0,
	}
}

// strike lets a random fault strike now or at the next occurrence of a step.
// The primary is the place more often than any other database.
func (w *World) strike(r *rand.Rand) {
	f := faults[r.IntN(len(faults))]
	p := place{w.hosts[r.IntN(len(w.hosts))], w.dbs[r.IntN(len(w.dbs))]}
	if r.IntN(2) == 0 {
		p.db = w.primary()
	}
	if r.IntN(armedOneIn) == 0 {
		w.armed = &armed{step: steps[r.IntN(len(steps))], skip: r.IntN(3), fault: f}
		return
	}
	w.logf("strike at %s/%s: %s", p.host.name, p.db.name, f.Name)
	f.strike(w, p)
}
