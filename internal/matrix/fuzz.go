package matrix

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Bounds of a random schedule. A value named OneIn is the inverse of the
// probability of the event in its comment.
const (
	maxFaults        = 8                      // in one schedule
	maxFaultInterval = 500 * time.Millisecond // between two faults
	healOneIn        = 3                      // all faults are healed before the next one
	armedOneIn       = 2                      // a fault waits for a step instead of starting at once
	minInterval      = 4 * time.Millisecond   // shortest mean interval between the writes, or the reads, of one host
	intervalSpread   = 20 * time.Millisecond  // upper bound of the random time added to minInterval
)

// lags are the replication lags that a schedule may have.
var lags = []time.Duration{0, 5 * time.Millisecond, 40 * time.Millisecond}

// Fuzz runs the random schedule of faults that the seed determines. The error,
// if any, is a *Failure.
func Fuzz(seed uint64) error { return fuzz(seed, defaultHooks()) }

func fuzz(seed uint64, h hooks) error {
	r := rand.New(rand.NewPCG(seed, 0xd1342543de82ef95))
	w := New(randomOptions(r, seed))
	w.hooks = h
	w.Run(warmUp)
	for range 1 + r.IntN(maxFaults) {
		w.injectRandom(r)
		w.Run(time.Duration(r.Int64N(int64(maxFaultInterval))))
		if r.IntN(healOneIn) == 0 {
			w.Heal()
		}
		if w.oracle.violation != "" {
			break
		}
	}
	w.armed = nil
	w.Heal()
	return w.recoverAndCheck(fmt.Sprintf("fuzz of %d databases, %d hosts", len(w.dbs), len(w.hosts)), true)
}

func randomOptions(r *rand.Rand, seed uint64) Options {
	return Options{
		Seed:           seed,
		Databases:      3 + r.IntN(3),
		Hosts:          2 + r.IntN(3),
		OneWayDelay:    time.Duration(500+r.IntN(1000)) * time.Microsecond,
		Jitter:         time.Duration(50+r.IntN(3000)) * time.Microsecond,
		WriteInterval:  minInterval + time.Duration(r.Int64N(int64(intervalSpread))),
		ReadInterval:   minInterval + time.Duration(r.Int64N(int64(intervalSpread))),
		ReplicationLag: lags[r.IntN(len(lags))],
		SameRank:       r.IntN(3) == 0,
	}
}

// injectRandom injects a random fault, at once or at an upcoming occurrence of a
// random step. The target is the primary more often than any other database.
func (w *World) injectRandom(r *rand.Rand) {
	f := faults[r.IntN(len(faults))]
	t := target{w.hosts[r.IntN(len(w.hosts))], w.dbs[r.IntN(len(w.dbs))]}
	if r.IntN(2) == 0 {
		t.db = w.primary()
	}
	if r.IntN(armedOneIn) == 0 {
		w.armed = &armedFault{step: steps[r.IntN(len(steps))], skip: r.IntN(3), fault: f}
		return
	}
	w.logf("inject at %s/%s: %s", t.host.name, t.db.name, f.Name)
	f.inject(w, t)
}
