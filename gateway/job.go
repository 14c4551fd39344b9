package gateway

import (
	"time"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/database/sessionstate"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/link/accesspb"
	"github.com/bronzeloft/bronzeloft/position"
	"github.com/bronzeloft/bronzeloft/statement"
)

// job encodes the operation for another host. Times are sent as durations, so
// that the hosts' clocks are never compared. The network delay between the hosts
// makes a statement look younger than it is, so the home host may require fresher
// data than needed. transaction is the number of the operation's transaction on the
// stream that carries the Job.
func (op *operation) job(now time.Time, transaction uint64) *accesspb.Job {
	j := &accesspb.Job{
		Id: op.ID, Kind: uint32(op.Kind), Text: op.Text, Name: op.Name, Args: op.Args,
		Values: op.state.Values, Service: op.svc.name, Customer: op.customer,
		Freshness: uint32(op.route.Freshness), MaxAgeUs: micros(op.route.MaxAge), ObjectiveUs: micros(op.route.Objective),
		Urgency: uint32(max(0, op.route.Urgency)), OwnTerm: op.lastCommit.Term, OwnIndex: op.lastCommit.Index,
		ElapsedUs: micros(now.Sub(op.arrived)), LeftUs: micros(op.deadline.Sub(now)),
		InTransaction: op.inTransaction, ReadOnly: op.readOnly,
	}
	if op.inTransaction {
		j.Transaction, j.BeganUs = transaction, micros(now.Sub(op.began))
	}
	if op.Kind == statement.Execute {
		form := op.state.Prepared[op.Name]
		j.FormWrites, j.FormShape = form.Writes, form.Shape
	}
	return j
}

// ageJob makes a Job by the given time older, during which it waited here.
func ageJob(j *accesspb.Job, by time.Duration) {
	j.ElapsedUs += micros(by)
	j.LeftUs -= min(j.LeftUs, micros(by))
	if j.InTransaction {
		j.BeganUs += micros(by)
	}
}

func micros(d time.Duration) uint64 { return uint64(max(0, d.Microseconds())) }

func duration(micros uint64) time.Duration { return time.Duration(micros) * time.Microsecond }

// newJobOperation decodes the operation that a Job describes. With an error it
// still returns an operation, for the Job's result.
func (g *Gateway) newJobOperation(j *accesspb.Job) (*operation, error) {
	now := g.now()
	op := &operation{
		Request: statement.Request{ID: j.Id, Statement: statement.Statement{
			Kind: statement.Kind(j.Kind), Text: j.Text, Name: j.Name, Args: j.Args}},
		route: routes.Route{Service: j.Service, Freshness: routes.Freshness(j.Freshness), MaxAge: duration(j.MaxAgeUs),
			Objective: duration(j.ObjectiveUs), Urgency: int(j.Urgency)},
		svc: g.service(j.Service), customer: j.Customer,
		arrived: now.Add(-duration(j.ElapsedUs)), deadline: now.Add(duration(j.LeftUs)),
		state: sessionstate.Session{Values: j.Values}, lastCommit: position.Position{Term: j.OwnTerm, Index: j.OwnIndex},
		inTransaction: j.InTransaction, readOnly: j.ReadOnly, began: now.Add(-duration(j.BeganUs)),
	}
	if op.Kind == statement.Execute {
		op.state.Prepared = map[string]sessionstate.Form{j.Name: {Writes: j.FormWrites, Shape: j.FormShape}}
	}
	if op.svc == nil {
		return op, errkind.New(errkind.DatabaseUnavailable, "service %s has no databases", j.Service)
	}
	return op, nil
}

// result encodes an operation's outcome for the host that sent it.
func (op *operation) result(a statement.Answer, err error) *accesspb.Result {
	r := &accesspb.Result{
		Rows: a.Rows, Signature: a.Signature, PositionTerm: a.Position.Term, PositionIndex: a.Position.Index,
		Database: op.database, Tries: uint32(op.attempts), FloorTerm: op.floor.Term, FloorIndex: op.floor.Index,
	}
	if err != nil {
		r.Rows, r.Signature = nil, ""
		r.Failed, r.ErrorKind, r.Detail = true, uint32(errkind.Of(err)), err.Error()
	}
	return r
}

// applyResult decodes the outcome of an operation that ran on another host, and
// records the database, the number of attempts and the floor that it used there.
func (op *operation) applyResult(r *accesspb.Result) (statement.Answer, error) {
	op.database, op.attempts = r.Database, int(r.Tries)
	op.floor = position.Position{Term: r.FloorTerm, Index: r.FloorIndex}
	if r.Failed {
		return statement.Answer{}, &errkind.Error{Kind: errkind.Kind(r.ErrorKind), Detail: r.Detail}
	}
	return statement.Answer{
		Rows: r.Rows, Signature: r.Signature,
		Position: position.Position{Term: r.PositionTerm, Index: r.PositionIndex},
	}, nil
}
