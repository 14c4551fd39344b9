package matrix

import (
	"time"

	"github.com/bronzeloft/bronzeloft/database/group"
	"github.com/bronzeloft/bronzeloft/database/groupsql"
	"github.com/bronzeloft/bronzeloft/position"
)

// hooks are the places where a run can depart from the mechanisms, so that a
// check of the oracle can do without one of them.
type hooks struct {
	asksNobody   bool                                                       // a host takes its own word that a database is gone
	ignoresFence bool                                                       // databases promise and forget
	noMarker     bool                                                       // a new primary writes no marker, and copies count as of its term
	report       func(r groupsql.Report) groupsql.Report                    // what a host reads in a report
	acked        func(h *host, p position.Position) group.AckState          // whether a write is acknowledged
	confirmed    func(h *host, since time.Time) (position.Position, bool)   // the floor of a fresh read
	reaches      func(at, floor position.Position) bool                     // whether an answer satisfies its floor
	settled      func(h *host, at position.Position) (settled, cut bool)    // whether a fresh answer can no longer be lost
	aged         func(h *host, age time.Duration) (position.Position, bool) // the floor of an aged read
	tokenFloor   func(session position.Position) position.Position          // the floor that a token gives
}

func defaultHooks() hooks {
	return hooks{
		report: func(r groupsql.Report) groupsql.Report { return r },
		acked:  func(h *host, p position.Position) group.AckState { return h.table.Acked(p) },
		confirmed: func(h *host, since time.Time) (position.Position, bool) {
			return h.table.Confirmed(since)
		},
		reaches: func(at, floor position.Position) bool { return !at.Before(floor) },
		settled: func(h *host, at position.Position) (settled, cut bool) {
			state := h.table.Acked(at)
			return state == group.AckYes, state == group.AckNever
		},
		aged: func(h *host, age time.Duration) (position.Position, bool) {
			floor, _, ok := h.table.AgeFloor(h.w.now, age)
			return floor, ok
		},
		tokenFloor: func(session position.Position) position.Position { return session },
	}
}

// confirmedEnd is the position that the primary reported in a confirmed round:
// a floor that no replica may have reached yet.
func confirmedEnd(h *host, since time.Time) (position.Position, bool) {
	if _, ok := h.table.Confirmed(since); !ok {
		return position.Position{}, false
	}
	for _, e := range h.ends {
		if !e.sentAt.Before(since) {
			return e.at, true
		}
	}
	return position.Position{}, false
}
