package matrix

import (
	"time"

	"github.com/bronzeloft/bronzeloft/database/group"
	"github.com/bronzeloft/bronzeloft/database/groupsql"
	"github.com/bronzeloft/bronzeloft/position"
)

// hooks replace or disable single mechanisms of the group protocol. The tests of
// the oracle use them to check that a missing mechanism is detected, and the
// measurements use them for their baselines.
type hooks struct {
	skipPeerQuery  bool                                                          // a host declares a database unavailable without querying its peers
	ignoreFence    bool                                                          // databases report a fence as accepted but do not store it
	noMarker       bool                                                          // a new primary writes no marker, and reported positions carry the accepted term
	editReport     func(r groupsql.Report) groupsql.Report                       // changes a database's report before the host reads it
	ackState       func(h *host, p position.Position) group.AckState             // whether a majority holds a write
	confirmedFloor func(h *host, since time.Time) (position.Position, bool)      // floor of a fresh read
	satisfiesFloor func(at, floor position.Position) bool                        // whether an answer's position reaches the floor
	settled        func(h *host, at position.Position) (settled, truncated bool) // whether the data of a fresh answer can no longer be lost, and whether it may have been truncated
	agedFloor      func(h *host, age time.Duration) (position.Position, bool)    // floor of an aged read
	tokenFloor     func(session position.Position) position.Position             // floor that a session token requires
}

func defaultHooks() hooks {
	return hooks{
		editReport: func(r groupsql.Report) groupsql.Report { return r },
		ackState:   func(h *host, p position.Position) group.AckState { return h.table.Acked(p) },
		confirmedFloor: func(h *host, since time.Time) (position.Position, bool) {
			return h.table.Confirmed(since)
		},
		satisfiesFloor: func(at, floor position.Position) bool { return !at.Before(floor) },
		settled: func(h *host, at position.Position) (settled, truncated bool) {
			state := h.table.Acked(at)
			return state == group.AckYes, state == group.AckNever
		},
		agedFloor: func(h *host, age time.Duration) (position.Position, bool) {
			floor, _, ok := h.table.AgeFloor(h.w.now, age)
			return floor, ok
		},
		tokenFloor: func(session position.Position) position.Position { return session },
	}
}

// confirmedPrimaryPosition returns the position that a primary reported in answer
// to the first operation sent at or after since, once a round of probes sent since
// then is confirmed. Possibly no replica has reached this floor yet.
func confirmedPrimaryPosition(h *host, since time.Time) (position.Position, bool) {
	if _, ok := h.table.Confirmed(since); !ok {
		return position.Position{}, false
	}
	for _, e := range h.primaryPositions {
		if !e.sentAt.Before(since) {
			return e.at, true
		}
	}
	return position.Position{}, false
}
