// Package window adapts how many statements a host runs on a database at once.
//
// Hosts share a database's slots without coordination, by additive increase and
// multiplicative decrease. Each host starts with an even share of the slots plus
// one, shrinks its window when the database reports that it is overloaded, and
// grows it slowly otherwise. Under load a burst therefore waits in the hosts, where
// it is queued fairly and refused early, and not in the database, whose short queue
// refuses work indiscriminately.
package window

import "time"

const (
	// decreaseFactor is the fraction of the window that is kept after a refusal.
	decreaseFactor = 0.6
	// minDecreaseInterval is the least time between two decreases: statements in
	// flight together with the refused one are refused for the same reason.
	minDecreaseInterval = 100 * time.Millisecond
	// windowIncrease is how many statements one full window of answers adds to the
	// window.
	windowIncrease = 0.5
)

// Window is the number of statements that one host may have in flight on a
// database. It is not safe for concurrent use.
type Window struct {
	size        float64   // fractional, so that small increases add up
	limit       float64   // the database's slots
	decreasedAt time.Time // last decrease
}

// New returns a window for a database whose slots are shared by the given number
// of hosts. Its size is the even share plus one, but at most the number of slots.
func New(slots, hosts int) Window {
	initial := float64(slots)/float64(max(1, hosts)) + 1
	return Window{size: min(initial, float64(slots)), limit: float64(max(1, slots))}
}

// Size returns how many statements are allowed at once, at least one.
func (w *Window) Size() int { return max(1, int(w.size)) }

// RecordAnswer records that the database ran a statement.
func (w *Window) RecordAnswer() { w.size = min(w.limit, w.size+windowIncrease/max(1, w.size)) }

// RecordRefusal records that the database refused a statement because it is
// overloaded.
func (w *Window) RecordRefusal(now time.Time) {
	if now.Sub(w.decreasedAt) < minDecreaseInterval {
		return
	}
	w.decreasedAt = now
	w.size = max(1, w.size*decreaseFactor)
}
