// Package waiting keeps the requests that wait for a table's later answer.
package waiting

// List holds the requests that wait for a table's later answer. The owner's
// lock guards it.
type List struct {
	last    uint64
	answers map[uint64]chan bool
}

// New returns an empty list.
func New() List { return List{answers: map[uint64]chan bool{}} }

// ID returns the id of a new request.
func (w *List) ID() uint64 {
	w.last++
	return w.last
}

// Add lets request id wait; the channel gets true when it may go on.
func (w *List) Add(id uint64) <-chan bool {
	answer := make(chan bool, 1)
	w.answers[id] = answer
	return answer
}

// Remove forgets request id.
func (w *List) Remove(id uint64) { delete(w.answers, id) }

// Answer tells the named requests whether they may go on.
func (w *List) Answer(ids []uint64, ok bool) {
	for _, id := range ids {
		if a := w.answers[id]; a != nil {
			delete(w.answers, id)
			a <- ok
		}
	}
}
