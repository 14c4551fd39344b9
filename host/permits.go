package host

import (
	"context"
	"time"

	"github.com/bronzeloft/bronzeloft/contract"
	"github.com/bronzeloft/bronzeloft/database/budget"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/link/peerpb"
)

// maxPermitWait bounds the wait for one slot where the context has no deadline.
const maxPermitWait = 10 * time.Second

// Timing of slots. A statement that a dead or frozen host left running may overlap
// for a moment with the next statement in its slot. The server's own queue absorbs
// that, so the loan terms are shorter than connections would need.
const (
	slotLoanTerm = time.Second
	// slotClose is added to the time for which a lender counts a loan as outstanding;
	// see budget.Config.ServerClose.
	slotClose = 500 * time.Millisecond
	// slotWarmUp is how long a new process does not use its shares, since its
	// predecessor may have lent them.
	slotWarmUp = slotLoanTerm + slotLoanTerm/8 + slotClose
)

// permits limits the statements that the fleet runs at once on each database to
// the database's number of slots.
type permits struct {
	*sharedTable
	table *budget.Table // guarded by sharedTable.mu
}

func newPermits(cfg budget.Config, now func() time.Time, send func(string, *peerpb.Envelope)) *permits {
	cfg.LoanTerm = slotLoanTerm
	cfg.ServerClose = slotClose
	p := &permits{sharedTable: newSharedTable(now, send), table: budget.New(cfg)}
	p.tick = func(now time.Time) step { return p.toStep(p.table.Tick(now)) }
	p.next = p.table.Next
	return p
}

// toStep converts the output of the table. It leaves out the instructions to close
// sessions, since slots to be returned are released when their statements end.
func (p *permits) toStep(out budget.Output) step {
	s := step{admitted: out.Admitted, refused: out.Refused}
	for _, m := range out.Send {
		s.messages = append(s.messages, message{m.To, m.Msg})
	}
	return s
}

var permitVerdicts = map[budget.Verdict]verdict{budget.Refused: refused, budget.Admitted: admitted, budget.Waiting: undecided}

// acquire waits for one slot until ctx ends. It returns QueueFull if it gets none.
func (p *permits) acquire(ctx context.Context, database string) error {
	ok, err := p.submit(ctx, func(id uint64, now time.Time) (verdict, step) {
		deadline, has := ctx.Deadline()
		if !has {
			deadline = now.Add(maxPermitWait)
		}
		v, out := p.table.Acquire(id, database, budget.Slots, deadline, now)
		return permitVerdicts[v], p.toStep(out)
	}, func(id uint64, admitted bool, now time.Time) step {
		if admitted {
			return p.toStep(p.table.Release(database, budget.Slots, now))
		}
		p.table.Cancel(id)
		return step{}
	})
	if err != nil || !ok {
		return errkind.New(errkind.QueueFull, "all slots of database %s are in use", database)
	}
	return nil
}

func (p *permits) release(database string) {
	p.update(func(now time.Time) step { return p.toStep(p.table.Release(database, budget.Slots, now)) })
}

// apply sets the databases' numbers of slots from a snapshot.
func (p *permits) apply(snap *contract.Snapshot) {
	var limits []budget.Database
	for _, svc := range snap.Services {
		for _, db := range svc.Databases {
			limits = append(limits, budget.Database{ID: db.ID, Slots: svc.Slots})
		}
	}
	p.update(func(now time.Time) step { return p.toStep(p.table.Apply(snap.Roster, limits, now)) })
}

func (p *permits) handle(from string, env *peerpb.Envelope) {
	p.update(func(now time.Time) step { return p.toStep(p.table.Handle(from, env, now)) })
}

func (p *permits) leave() {
	p.update(func(now time.Time) step { return p.toStep(p.table.Leave(now)) })
}
