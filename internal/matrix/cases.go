package matrix

import (
	"fmt"
	"strings"
	"time"
)

// Phases of a case.
const (
	warmUp    = 450 * time.Millisecond  // the first primary is promoted
	faultTime = 1000 * time.Millisecond // from the fault to its end
	recovery  = 1400 * time.Millisecond // within which service must be back
	lastSpell = 400 * time.Millisecond  // reads and writes must succeed in it
)

// Case is one cell of the fault matrix.
type Case struct {
	Step  *Step
	Fault *Fault
	Seed  uint64
	Opt   Options
}

// Cases returns every fault at every step.
func Cases(seed uint64) []Case {
	var all []Case
	for _, s := range Steps() {
		for _, f := range Faults() {
			all = append(all, Case{Step: s, Fault: f, Seed: seed + uint64(len(all))})
		}
	}
	return all
}

// Name returns "fault at step".
func (c Case) Name() string { return c.Fault.Name + " at " + c.Step.Name }

// Failure is a run that broke a promise.
type Failure struct {
	Name   string
	Seed   uint64
	What   string
	Broken bool     // a caller was told something untrue; else service did not return
	Trace  []string // last lines of what happened
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s, seed %d: %s\n%s", f.Name, f.Seed, f.What, strings.Join(f.Trace, "\n"))
}

// Run runs the case and returns a *Failure or nil.
func (c Case) Run() error { return c.run(defaultHooks()) }

func (c Case) run(h hooks) error {
	opt := c.Opt
	opt.Seed = c.Seed
	w := New(opt)
	w.hooks = h
	w.Run(warmUp)
	w.armed = &armed{step: c.Step, skip: w.rand.IntN(4), fault: c.Fault}
	if c.Step.Promotion {
		w.armed.skip = w.rand.IntN(2)
		if c.Step.Once {
			w.armed.skip = 0
		}
		w.provoke()
	}
	w.Run(faultTime)
	fired := w.armed.fired
	w.Heal()
	return w.verdict(c.Name(), fired)
}

// provoke makes a promotion necessary.
func (w *World) provoke() {
	d := w.primary()
	switch w.rand.IntN(3) {
	case 0:
		w.kill(&d.node)
	case 1:
		w.freeze(&d.node)
	default:
		w.isolate(&d.node)
	}
}

// verdict lets the world recover and says what was broken.
func (w *World) verdict(name string, fired bool) error {
	w.Run(recovery)
	o := w.oracle
	what := o.violation
	switch {
	case what != "":
	case !fired:
		what = "the step was not reached"
	case w.now.Sub(o.lastWrite) > lastSpell:
		what = fmt.Sprintf("no write acknowledged for %s after the fault ended", w.now.Sub(o.lastWrite))
	case w.now.Sub(o.lastRead) > lastSpell:
		what = fmt.Sprintf("no fresh read answered for %s after the fault ended", w.now.Sub(o.lastRead))
	}
	if what == "" {
		return nil
	}
	return &Failure{Name: name, Seed: w.opt.Seed, What: what, Broken: o.violation != "", Trace: w.trace}
}
