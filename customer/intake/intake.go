// Package intake bounds what callers may hold on one host: sessions, and memory for
// messages and session state.
package intake

import (
	"container/list"
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

// Shares of a host's sessions.
const (
	// loginShare is the share that may be waiting to log in.
	loginShare = 0.5
	// customerShare is the share that one customer may hold of those which the other
	// customers leave free, so that there is room for a further customer at any time.
	customerShare = 0.75
)

// Sessions decides which sessions a host accepts. K identifies a session. It is not safe
// for concurrent use.
type Sessions[K comparable] struct {
	limit     int
	loggingIn *list.List // of K, oldest first
	waiting   map[K]*list.Element
	holder    map[K]string
	held      map[string]int // sessions by customer
}

// NewSessions returns a table for at most limit sessions.
func NewSessions[K comparable](limit int) *Sessions[K] {
	return &Sessions[K]{limit: limit, loggingIn: list.New(), waiting: map[K]*list.Element{}, holder: map[K]string{}, held: map[string]int{}}
}

// Add adds a session that has not logged in. accepted is false if the host is full of
// sessions that have. Otherwise, if closed is not the zero value, that session must be
// closed and has been removed: the oldest that has not logged in, of too many.
func (s *Sessions[K]) Add(k K) (closed K, accepted bool) {
	full := len(s.waiting)+len(s.holder) >= s.limit
	if full && len(s.waiting) == 0 {
		return closed, false
	}
	if full || len(s.waiting) >= max(1, int(loginShare*float64(s.limit))) {
		closed = s.loggingIn.Front().Value.(K)
		s.Remove(closed)
	}
	s.waiting[k] = s.loggingIn.PushBack(k)
	return closed, true
}

// Assign records that a session has logged in as a customer, who may be empty on a route
// that is open to all. It reports false if the customer holds too many sessions already;
// the session must then be closed.
func (s *Sessions[K]) Assign(k K, customer string) bool {
	e := s.waiting[k]
	if e == nil {
		return false
	}
	others := len(s.holder) - s.held[customer]
	if s.held[customer] >= max(1, int(customerShare*float64(s.limit-others))) {
		return false
	}
	s.loggingIn.Remove(e)
	delete(s.waiting, k)
	s.holder[k] = customer
	s.held[customer]++
	return true
}

// Remove removes a session that has ended.
func (s *Sessions[K]) Remove(k K) {
	if e := s.waiting[k]; e != nil {
		s.loggingIn.Remove(e)
		delete(s.waiting, k)
	}
	customer, ok := s.holder[k]
	if !ok {
		return
	}
	delete(s.holder, k)
	if s.held[customer]--; s.held[customer] == 0 {
		delete(s.held, customer)
	}
}

// Sizes of what a connection holds, in bytes.
const (
	// FreeBytes is what every connection may hold of a message, and of session state,
	// without a reservation.
	FreeBytes = 16 << 10
	// middleBytes and maxBytes are the steps in which memory for a message is reserved.
	middleBytes = 128 << 10
	maxBytes    = 1 << 20
	// copies is how often a message is in memory while it is served: as received, as a
	// statement, and as sent to a database or another host.
	copies = 4
	// MinMemory is the least budget, which holds two of the largest messages, or one beside
	// the session state that there may be.
	MinMemory = 2 * copies * maxBytes
	// stateShare is the share of the budget that session state may hold: it is held as long
	// as its sessions last, and without a bound would keep out messages for that long.
	stateShare = 0.25
	// beginShare is the share of the budget for messages that have reserved their first step
	// and may want the second one. The rest is larger than one second step, so that of these
	// messages one at least can go on.
	beginShare = 0.25
)

// reserveWait is how long a connection waits, unread, for memory.
const reserveWait = 2 * time.Second

// ErrNoMemory is the error of a connection that got no memory in time.
var ErrNoMemory = errors.New("intake: callers hold all memory that is set aside for their messages")

// Memory is the budget for what all callers' connections of a host hold. It is safe for
// concurrent use.
type Memory struct {
	budget     *semaphore.Weighted
	begun      *semaphore.Weighted // messages in their first step; acquired before budget
	size       int64
	stateLimit int64 // of the size, for session state
	wait       time.Duration

	mu    sync.Mutex // guards state; a leaf lock
	state int64      // reserved for session state
}

// NewMemory returns a budget of the given number of bytes, at least MinMemory.
func NewMemory(bytes int64) *Memory {
	bytes = max(bytes, MinMemory)
	return &Memory{
		budget: semaphore.NewWeighted(bytes), begun: semaphore.NewWeighted(int64(beginShare*float64(bytes)) / (copies * middleBytes)),
		size: bytes, stateLimit: int64(stateShare * float64(bytes)), wait: reserveWait,
	}
}

// addState counts session state, or less of it, and reports whether there may be so much.
func (m *Memory) addState(bytes int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if bytes > 0 && m.state+bytes > m.stateLimit {
		return false
	}
	m.state += bytes
	return true
}

// acquire waits for a part of a semaphore.
func (m *Memory) acquire(from *semaphore.Weighted, n int64) error {
	if from.TryAcquire(n) {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), m.wait)
	defer cancel()
	if from.Acquire(ctx, n) != nil {
		return ErrNoMemory
	}
	return nil
}

// Account is what one connection holds of a Memory. It is safe for concurrent use, but one
// goroutine at a time reserves more.
type Account struct {
	memory *Memory

	mu      sync.Mutex // guards the fields below
	message int64      // reserved for the message that is read or served
	state   int64      // reserved for the session's state
	begun   bool       // the message is in its first step
	closed  bool
}

// Account returns an account that holds nothing.
func (m *Memory) Account() *Account { return &Account{memory: m} }

// reservation returns what a message of the given size reserves.
func reservation(bytes int) int64 {
	switch {
	case bytes <= FreeBytes:
		return 0
	case bytes <= middleBytes:
		return copies * middleBytes
	}
	steps := (bytes + maxBytes - 1) / maxBytes
	return copies * maxBytes * int64(steps)
}

// HoldMessage reserves memory for a message of which the given number of bytes is known,
// and waits for it. 0 ends the reservation. After an error, ErrNoMemory, what was held is
// still held.
func (a *Account) HoldMessage(bytes int) error {
	want := reservation(bytes)
	if want == copies*middleBytes {
		if err := a.begin(); err != nil {
			return err
		}
	}
	err := a.hold(&a.message, want)
	if err == nil && want != copies*middleBytes {
		a.endBegin()
	}
	return err
}

// begin waits until the message may reserve its first step. It returns at once for an answer
// that needs less than the message did.
func (a *Account) begin() error {
	a.mu.Lock()
	reserved := a.begun || a.message >= copies*middleBytes
	a.mu.Unlock()
	if reserved {
		return nil
	}
	if err := a.memory.acquire(a.memory.begun, 1); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || a.begun {
		a.memory.begun.Release(1)
	}
	if a.closed {
		return ErrNoMemory
	}
	a.begun = true
	return nil
}

func (a *Account) endBegin() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.begun {
		a.begun = false
		a.memory.begun.Release(1)
	}
}

// HoldState reserves memory for session state of the given number of bytes. It is not
// called beside Close.
func (a *Account) HoldState(bytes int) error {
	if bytes <= FreeBytes {
		bytes = 0
	}
	more := int64(bytes) - a.state
	if !a.memory.addState(more) {
		return ErrNoMemory
	}
	err := a.hold(&a.state, int64(bytes))
	if err != nil {
		a.memory.addState(-more)
	}
	return err
}

func (a *Account) hold(held *int64, want int64) error {
	m := a.memory
	want = min(want, m.size)
	a.mu.Lock()
	more := want - *held
	if more <= 0 {
		*held = want
		a.mu.Unlock()
		m.budget.Release(-more)
		return nil
	}
	a.mu.Unlock()
	if err := m.acquire(m.budget, more); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		m.budget.Release(more)
		return ErrNoMemory
	}
	*held += more
	return nil
}

// Close ends all reservations, also one that is still waited for.
func (a *Account) Close() {
	a.mu.Lock()
	message, state := a.message, a.state
	a.message, a.state, a.closed = 0, 0, true
	a.mu.Unlock()
	a.endBegin()
	a.memory.addState(-state)
	a.memory.budget.Release(message + state)
}
