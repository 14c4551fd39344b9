// Package waiting delivers decisions to the requests that wait for them.
package waiting

// List holds the requests that wait until a queue or a shared table admits or
// refuses them. It is guarded by its owner's lock.
type List struct {
	lastID  uint64
	pending map[uint64]chan bool
}

// New returns an empty list.
func New() List { return List{pending: map[uint64]chan bool{}} }

// NextID returns an unused request id.
func (w *List) NextID() uint64 {
	w.lastID++
	return w.lastID
}

// Add registers request id as waiting. The returned channel receives true when
// the request is admitted, false when it is refused.
func (w *List) Add(id uint64) <-chan bool {
	decision := make(chan bool, 1)
	w.pending[id] = decision
	return decision
}

// Remove removes request id from the list; its channel then receives nothing.
func (w *List) Remove(id uint64) { delete(w.pending, id) }

// Resolve sends the decision to those of the requests that are waiting and removes
// them from the list.
func (w *List) Resolve(ids []uint64, admitted bool) {
	for _, id := range ids {
		if decision := w.pending[id]; decision != nil {
			delete(w.pending, id)
			decision <- admitted
		}
	}
}
