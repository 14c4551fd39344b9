package matrix

import "github.com/bronzeloft/bronzeloft/database/groupsql"

// Step is a named point of an operation at which a fault can strike.
type Step struct {
	Name      string
	Promotion bool // reached only while a primary is replaced
	Once      bool // reached once in a promotion that goes well
}

// steps is the table of all steps; a step registered here enters the matrix.
var steps []*Step

func register(s Step) *Step {
	steps = append(steps, &s)
	return &s
}

// Steps returns the table of steps.
func Steps() []*Step { return steps }

// The steps of writes and reads.
var (
	stepWriteRoute  = register(Step{Name: "write.route"})
	stepWriteSend   = register(Step{Name: "write.send"})
	stepWriteCommit = register(Step{Name: "write.commit"})
	stepWriteAcked  = register(Step{Name: "write.acked"})
	stepReadConfirm = register(Step{Name: "read.confirm"})
	stepReadAged    = register(Step{Name: "read.aged"})
	stepReadSend    = register(Step{Name: "read.send"})
	stepReadAnswer  = register(Step{Name: "read.answer"})
	stepProbe       = register(Step{Name: "probe.send"})
	stepProbeDone   = register(Step{Name: "probe.done"})
)

// The steps of a promotion.
var (
	stepAskPeers    = register(Step{Name: "promotion.ask", Promotion: true})
	stepFence       = register(Step{Name: "promotion.fence", Promotion: true})
	stepFenceDone   = register(Step{Name: "promotion.fenced", Promotion: true})
	stepPromote     = register(Step{Name: "promotion.promote", Promotion: true, Once: true})
	stepPromoteDone = register(Step{Name: "promotion.promoted", Promotion: true, Once: true})
	stepFollow      = register(Step{Name: "promotion.follow", Promotion: true, Once: true})
	stepFollowDone  = register(Step{Name: "promotion.followed", Promotion: true, Once: true})
	stepPublish     = register(Step{Name: "promotion.publish", Promotion: true, Once: true})
)

var sendSteps = map[groupsql.OpKind]*Step{
	groupsql.OpPosition: stepProbe,
	groupsql.OpFence:    stepFence,
	groupsql.OpPromote:  stepPromote,
	groupsql.OpFollow:   stepFollow,
}

var doneSteps = map[groupsql.OpKind]*Step{
	groupsql.OpPosition: stepProbeDone,
	groupsql.OpFence:    stepFenceDone,
	groupsql.OpPromote:  stepPromoteDone,
	groupsql.OpFollow:   stepFollowDone,
}

// armed is a fault that waits for a step.
type armed struct {
	step  *Step
	skip  int // occurrences to let pass
	fault *Fault
	fired bool
	place place
}

// place is where a step happened.
type place struct {
	host *host
	db   *database // nil where the step concerns no database
}

// step tells the world that h has reached a step, concerning d.
func (w *World) step(s *Step, h *host, d *database) {
	a := w.armed
	if a == nil || a.fired || a.step != s {
		return
	}
	if a.skip > 0 {
		a.skip--
		return
	}
	a.fired = true
	if d == nil {
		d = w.primary()
	}
	a.place = place{h, d}
	w.logf("step %s at %s/%s: %s", s.Name, h.name, d.name, a.fault.Name)
	a.fault.strike(w, a.place)
}

// primary returns the database promoted in the highest term, or the first one.
func (w *World) primary() *database {
	d, top := w.dbs[0], uint64(0)
	for term, id := range w.oracle.primaries {
		if term > top {
			d, top = w.db(id), term
		}
	}
	return d
}
