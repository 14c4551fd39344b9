package matrix

import (
	"fmt"
	"strings"
	"time"
)

// Durations of the phases of a case.
const (
	warmUp        = 450 * time.Millisecond  // in which the first primary is promoted
	faultDuration = 1000 * time.Millisecond // until every fault is healed
	recoveryTime  = 1400 * time.Millisecond // within which service must be restored
	finalWindow   = 400 * time.Millisecond  // at the end of the recovery; a write and a fresh read must succeed in it
)

// Case is one cell of the fault matrix.
type Case struct {
	Step  *Step
	Fault *Fault
	Seed  uint64
	Opt   Options // its seed is replaced by Seed
}

// Cases returns one case for every fault at every step. Their seeds count up
// from seed.
func Cases(seed uint64) []Case {
	var all []Case
	for _, s := range Steps() {
		for _, f := range Faults() {
			all = append(all, Case{Step: s, Fault: f, Seed: seed + uint64(len(all))})
		}
	}
	return all
}

// Name returns the name of the case, such as "kill host at write.send".
func (c Case) Name() string { return c.Fault.Name + " at " + c.Step.Name }

// Failure describes a run in which a guarantee was violated, service did not
// recover or the fault was never injected.
type Failure struct {
	Name              string
	Seed              uint64
	Reason            string
	GuaranteeViolated bool     // the oracle found a violation, which Reason states
	Trace             []string // last lines of the simulation's log
}

func (f *Failure) Error() string {
	return fmt.Sprintf("%s, seed %d: %s\n%s", f.Name, f.Seed, f.Reason, strings.Join(f.Trace, "\n"))
}

// Run runs the case. The error, if any, is a *Failure.
func (c Case) Run() error { return c.run(defaultHooks()) }

func (c Case) run(h hooks) error {
	opt := c.Opt
	opt.Seed = c.Seed
	w := New(opt)
	w.hooks = h
	w.Run(warmUp)
	w.armed = &armedFault{step: c.Step, skip: w.rand.IntN(4), fault: c.Fault}
	if c.Step.Promotion {
		w.armed.skip = w.rand.IntN(2)
		if c.Step.Once {
			w.armed.skip = 0
		}
		w.forcePromotion()
	}
	w.Run(faultDuration)
	fired := w.armed.fired
	w.Heal()
	return w.recoverAndCheck(c.Name(), fired)
}

// forcePromotion makes the primary unavailable so that another database must be
// promoted.
func (w *World) forcePromotion() {
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

// recoverAndCheck runs the recovery phase and returns a *Failure if the oracle
// found a violation, the fault was never injected, or service did not recover.
func (w *World) recoverAndCheck(name string, fired bool) error {
	w.Run(recoveryTime)
	o := w.oracle
	reason := o.violation
	switch {
	case reason != "":
	case !fired:
		reason = "the step was not reached, so the fault was not injected"
	case w.now.Sub(o.lastWrite) > finalWindow:
		reason = fmt.Sprintf("no write acknowledged in the last %s of the run", w.now.Sub(o.lastWrite))
	case w.now.Sub(o.lastRead) > finalWindow:
		reason = fmt.Sprintf("no fresh read answered in the last %s of the run", w.now.Sub(o.lastRead))
	}
	if reason == "" {
		return nil
	}
	return &Failure{Name: name, Seed: w.opt.Seed, Reason: reason, GuaranteeViolated: o.violation != "", Trace: w.trace}
}
