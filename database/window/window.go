// Package window adapts how many statements a host runs on a database at once.
//
// Hosts share a database's slots without talking about them. Each begins with
// its even part, gives up part of it when the database says that it is
// overloaded, and grows slowly while it does not. Answers to load: a burst
// waits in the hosts, where it is queued fairly and refused early, and not in
// the database, whose short queue turns work away without looking.
package window

import "time"

const (
	// decrease is the part of the window that is kept after a refusal.
	decrease = 0.6
	// decreaseEvery is the least time between two decreases: the statements
	// that were under way with the refused one are refused for the same reason.
	decreaseEvery = 100 * time.Millisecond
	// increase is the statements that one full window of answers adds.
	increase = 0.5
)

// Window is the statements allowed at once. It is not safe for concurrent use.
type Window struct {
	size      float64
	most      float64
	decreased time.Time
}

// New returns a window for a database with slots that so many hosts share.
func New(slots, hosts int) Window {
	even := float64(slots)/float64(max(1, hosts)) + 1
	return Window{size: min(even, float64(slots)), most: float64(max(1, slots))}
}

// Size returns the statements allowed at once, at least one.
func (w *Window) Size() int { return max(1, int(w.size)) }

// Answered records that the database ran a statement.
func (w *Window) Answered() { w.size = min(w.most, w.size+increase/max(1, w.size)) }

// Refused records that the database turned a statement away.
func (w *Window) Refused(now time.Time) {
	if now.Sub(w.decreased) < decreaseEvery {
		return
	}
	w.decreased = now
	w.size = max(1, w.size*decrease)
}
