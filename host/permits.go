package host

import (
	"context"
	"time"

	"github.com/bronzeloft/bronzeloft/contract"
	"github.com/bronzeloft/bronzeloft/database/budget"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/link/peerpb"
)

// permitHorizon bounds the wait for one slot; the request's own deadline ends
// it earlier.
const permitHorizon = 10 * time.Second

// Timing of slots. A statement that a dead or frozen host left running may
// overlap with another one for a moment, which the server's own queue bears; so
// the terms are shorter than those that connections would need.
const (
	slotLoanTerm = time.Second
	slotClose    = 500 * time.Millisecond
	// slotWarmUp is how long a process leaves its shares unused after its start,
	// since a predecessor may have lent them.
	slotWarmUp = slotLoanTerm + slotLoanTerm/8 + slotClose
)

// permits keeps the statements that the fleet runs on each database at once
// under its number of slots.
type permits struct {
	*sharedTable
	table *budget.Table // guarded by sharedTable.mu
}

func newPermits(cfg budget.Config, now func() time.Time, send func(string, *peerpb.Envelope)) *permits {
	cfg.LoanTerm = slotLoanTerm
	cfg.ServerClose = slotClose
	p := &permits{sharedTable: newSharedTable(now, send), table: budget.New(cfg)}
	p.tick = func(now time.Time) step { return p.wanted(p.table.Tick(now)) }
	p.next = p.table.Next
	return p
}

// wanted returns what out asks for. Slots that have to go back are released when
// their statements end.
func (p *permits) wanted(out budget.Output) step {
	s := step{admitted: out.Admitted, refused: out.Refused}
	for _, m := range out.Send {
		s.messages = append(s.messages, message{m.To, m.Msg})
	}
	return s
}

var permitVerdicts = map[budget.Verdict]verdict{budget.Refused: refused, budget.Admitted: admitted, budget.Waiting: held}

// acquire waits for one slot until ctx ends.
func (p *permits) acquire(ctx context.Context, database string) error {
	ok, err := p.ask(ctx, func(id uint64, now time.Time) (verdict, step) {
		deadline, has := ctx.Deadline()
		if !has {
			deadline = now.Add(permitHorizon)
		}
		v, out := p.table.Acquire(id, database, budget.Slots, deadline, now)
		return permitVerdicts[v], p.wanted(out)
	}, func(id uint64, admitted bool, now time.Time) step {
		if admitted {
			return p.wanted(p.table.Release(database, budget.Slots, now))
		}
		p.table.Cancel(id)
		return step{}
	})
	if err != nil || !ok {
		return errkind.New(errkind.QueueFull, "slots of database %s are in use", database)
	}
	return nil
}

func (p *permits) release(database string) {
	p.do(func(now time.Time) step { return p.wanted(p.table.Release(database, budget.Slots, now)) })
}

// apply takes the numbers of slots of a snapshot.
func (p *permits) apply(snap *contract.Snapshot) {
	var limits []budget.Database
	for _, svc := range snap.Services {
		for _, db := range svc.Databases {
			limits = append(limits, budget.Database{ID: db.ID, Slots: svc.Slots})
		}
	}
	p.do(func(now time.Time) step { return p.wanted(p.table.Apply(snap.Roster, limits, now)) })
}

func (p *permits) handle(from string, env *peerpb.Envelope) {
	p.do(func(now time.Time) step { return p.wanted(p.table.Handle(from, env, now)) })
}

func (p *permits) leave() {
	p.do(func(now time.Time) step { return p.wanted(p.table.Leave(now)) })
}
