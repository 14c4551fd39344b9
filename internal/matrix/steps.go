package matrix

import "github.com/bronzeloft/bronzeloft/database/groupsql"

// Step is a named point of an operation at which a fault can be injected.
type Step struct {
	Name      string
	Promotion bool // part of a promotion; a case forces one so that the step is reached
	Once      bool // may be reached only once in a promotion, so the fault is injected at the first occurrence
}

// steps lists all steps. Every step added by register becomes part of the matrix.
var steps []*Step

func register(s Step) *Step {
	steps = append(steps, &s)
	return &s
}

// Steps returns all steps of the matrix.
func Steps() []*Step { return steps }

// Steps of writes, reads and probes.
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

// Steps of a promotion.
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

// armedFault is a fault that is injected when a step is reached.
type armedFault struct {
	step   *Step
	skip   int // occurrences of the step to pass over
	fault  *Fault
	fired  bool
	target target
}

// target is the host and the database at which a step is reached and a fault is
// injected.
type target struct {
	host *host
	db   *database // nil if the step concerns no database
}

// reachStep reports that h has reached step s, concerning d (nil for none), and
// injects the armed fault if it waits for this occurrence.
func (w *World) reachStep(s *Step, h *host, d *database) {
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
	a.target = target{h, d}
	w.logf("step %s at %s/%s: %s", s.Name, h.name, d.name, a.fault.Name)
	a.fault.inject(w, a.target)
}

// primary returns the database promoted in the highest term, or the first
// database if none has been promoted.
func (w *World) primary() *database {
	d, top := w.dbs[0], uint64(0)
	for term, id := range w.oracle.primaries {
		if term > top {
			d, top = w.db(id), term
		}
	}
	return d
}
