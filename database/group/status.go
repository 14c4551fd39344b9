package group

import (
	"time"
)

// Status is a summary of a table's state for operators.
type Status struct {
	Group       string         `json:"group"`
	State       State          `json:"state"`
	Cause       Cause          `json:"cause,omitempty"`
	Primary     string         `json:"primary"`
	Term        uint64         `json:"term"`
	Marker      uint64         `json:"marker"`
	Established bool           `json:"established"`
	HighestTerm uint64         `json:"highestTerm"`
	PeersTerm   uint64         `json:"peersTerm"`
	Rank        int            `json:"rank"`
	Confirmed   string         `json:"confirmed"` // position of the latest confirmation
	Samples     int            `json:"samples"`
	LastClaim   ClaimTimes     `json:"lastClaim"`
	Members     []MemberStatus `json:"members"`
}

// MemberStatus is the state of one database as this host knows it.
type MemberStatus struct {
	ID         string    `json:"id"`
	Leaving    bool      `json:"leaving"`
	Known      bool      `json:"known"` // it has answered this host
	Role       string    `json:"role"`
	Position   string    `json:"position"`
	Accepted   uint64    `json:"accepted"`
	AnsweredAt time.Time `json:"heardAt"`
	Silent     bool      `json:"silent"` // a probe is not answered yet, however short the time
	Lagging    bool      `json:"lagging"`
	BootID     string    `json:"bootId"`
}

// State returns the state of the failure detection and claim.
func (t *Table) State() State {
	switch {
	case t.claim.active():
		return t.claim.state
	case t.det.cause == CauseNone:
		return Watching
	case !t.det.askedAt.IsZero():
		return AskingPeers
	default:
		return Suspecting
	}
}

// LastClaim returns the times of the steps of this host's latest claim, active or
// ended; all are zero before the first.
func (t *Table) LastClaim() ClaimTimes { return t.lastClaim }

// Status returns a summary of the table's state for operators.
func (t *Table) Status() Status {
	s := Status{
		Group: t.cfg.Group, State: t.State(), Cause: t.det.cause,
		Primary: t.view.Primary, Term: t.view.Term, Marker: t.view.Marker, Established: t.established,
		HighestTerm: t.highest, PeersTerm: t.peersTerm, Rank: t.rank,
		Confirmed: t.latest.pos.String(), Samples: len(t.samples), LastClaim: t.lastClaim,
	}
	if t.claim.active() {
		s.Cause = t.claim.cause
	}
	for _, m := range t.members {
		s.Members = append(s.Members, MemberStatus{
			ID: m.ID, Leaving: m.Leaving, Known: m.hasReport, Role: string(m.report.Role),
			Position: m.report.Position.String(), Accepted: m.report.Accepted,
			AnsweredAt: m.answeredAt, Silent: !m.unansweredSince.IsZero(), Lagging: m.lagging, BootID: m.report.BootID,
		})
	}
	return s
}
