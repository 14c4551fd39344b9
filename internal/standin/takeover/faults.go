package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// platformEnd names the store and the promotion calls as an end of a path.
const platformEnd = "platform"

// Bounds of the faults of single calls.
const (
	lateLeast    = time.Second // an unanswered order is carried out between these times
	lateMost     = 6 * time.Second
	darkLimit    = 3 * time.Second  // a connection whose far end is dark is dropped
	silentAtMost = 10 * time.Second // a call without an answer is held open
)

// path is a pair of ends: hosts, databases by id, and platformEnd.
type path struct{ a, b string }

func pathOf(a, b string) path {
	if a > b {
		a, b = b, a
	}
	return path{a, b}
}

// faults are the disruptions of paths, orders and calls. A nil *faults disrupts nothing.
type faults struct {
	*senders
	rec  *record
	seed uint64

	mu         sync.Mutex
	onTakeover func(host string)     // called when a host acts on a takeover
	onOrder    func(database string) // called when a promotion is ordered
	cuts       map[path]int          // by the number of cuts in force
	changed    chan struct{}
	choices    *rand.Rand
	details    *rand.Rand // of the variants
	on         bool       // orders and calls are disrupted
	pending    sync.WaitGroup
}

func newFaults(rec *record, seed uint64) *faults {
	return &faults{rec: rec, seed: seed, senders: newSenders(rec), cuts: map[path]int{}, changed: make(chan struct{}), choices: rand.New(rand.NewPCG(seed, streamCalls)), details: newDetails(seed)}
}

func (f *faults) cut(paths []path) { f.change(paths, 1) }

func (f *faults) heal(paths []path) { f.change(paths, -1) }

func (f *faults) change(paths []path, by int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range paths {
		f.cuts[p] += by
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

// isCut reports whether the path between two ends is cut.
func (f *faults) isCut(a, b string) bool {
	if f == nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cuts[pathOf(a, b)] > 0
}

// await waits until the path between two ends is whole. It reports false if gone is
// closed before, or if the path stays cut for darkLimit. What is sent over a path that
// is cut is held up.
func (f *faults) await(gone <-chan struct{}, a, b string) bool {
	if f == nil || !f.isCut(a, b) {
		return true
	}
	limit := time.NewTimer(darkLimit)
	defer limit.Stop()
	for {
		f.mu.Lock()
		whole, changed := f.cuts[pathOf(a, b)] == 0, f.changed
		f.mu.Unlock()
		if whole {
			select {
			case <-gone:
				return false
			default:
				return true
			}
		}
		select {
		case <-changed:
		case <-gone:
			return false
		case <-limit.C:
			return false
		}
	}
}

// disrupt turns the faults of orders and calls on or off.
func (f *faults) disrupt(on bool) {
	f.mu.Lock()
	f.on = on
	f.mu.Unlock()
}

// takeover is called when a host acts on a takeover.
func (f *faults) takeover(host string) {
	if f == nil {
		return
	}
	f.mu.Lock()
	do := f.onTakeover
	f.mu.Unlock()
	if do != nil {
		do(host)
	}
}

// ordered is called with the body of a promotion call.
func (f *faults) ordered(body string) {
	var call struct{ ID string }
	f.mu.Lock()
	do := f.onOrder
	f.mu.Unlock()
	if do != nil && json.Unmarshal([]byte(body), &call) == nil {
		do(call.ID)
	}
}

// later carries out what a host ordered after a time. wait waits for it.
func (f *faults) later(after time.Duration, do func()) {
	f.pending.Add(1)
	time.AfterFunc(after, func() {
		do()
		f.pending.Done()
	})
}

// fate is what becomes of an order or a call.
type fate struct {
	unanswered bool
	after      time.Duration // when an unanswered one is carried out
	never      bool          // or that it is not
}

// Shares of the fates.
const (
	orderUnanswered = 0.5  // of the orders to databases and of the promotion calls
	writeUnanswered = 0.15 // of the writes to the store
	readUnanswered  = 0.03 // of the reads
	onlyAnswerLost  = 0.25 // of what is not answered
	writeNever      = 0.25
)

func (f *faults) draw(share, never float64) fate {
	if f == nil {
		return fate{}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.on || f.choices.Float64() >= share {
		return fate{}
	}
	out := fate{unanswered: true}
	switch x := f.choices.Float64(); {
	case x < onlyAnswerLost:
	case x < onlyAnswerLost+never:
		out.never = true
	default:
		out.after = lateLeast + time.Duration(f.choices.Int64N(int64(lateMost-lateLeast)))
	}
	return out
}

// order draws what becomes of an order to a database, or of a promotion call.
func (f *faults) order() fate { return f.draw(orderUnanswered, 0) }

// call draws what becomes of a call of the store.
func (f *faults) call(r *http.Request) fate {
	switch {
	case r.URL.Path == promotionPath:
		return f.order()
	case r.Method != http.MethodGet:
		return f.draw(writeUnanswered, writeNever)
	case r.URL.Query().Get("watch") == "":
		return f.draw(readUnanswered, 1-onlyAnswerLost)
	}
	return fate{}
}

// Paths of the platform's calls.
const (
	promotionPath = "/promotion"
	leasesPath    = "/-/objects/bronzeloft-leases"
)

// entrance returns the address at which a host reaches the platform. With faults each
// host has one of its own.
func (s *site) entrance(host string) (string, error) {
	if s.layout.faults == nil {
		return s.store.address, nil
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	e := &entrance{host: host, faults: s.layout.faults, rec: s.rec, inner: s.store.server.Handler, crossings: s.crossings}
	go func() {
		if err := http.Serve(l, e); err != nil {
			s.rec.logf("entrance of %s: %v", host, err)
		}
	}()
	return l.Addr().String(), nil
}

// entrance serves the platform's calls of one host.
type entrance struct {
	host      string
	faults    *faults
	rec       *record
	inner     http.Handler
	crossings *crossings
}

// ServeHTTP implements http.Handler.
func (e *entrance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil || !e.faults.await(r.Context().Done(), e.host, platformEnd) {
		panic(http.ErrAbortHandler)
	}
	text := string(raw)
	sent := time.Now()
	run := func(r *http.Request) *held {
		r.Body = io.NopCloser(strings.NewReader(text))
		out := &held{header: http.Header{}, status: http.StatusOK}
		e.inner.ServeHTTP(out, r)
		if isHostsCall(r.URL.Path) {
			out.body = *bytes.NewBuffer(e.crossings.translateEntries(e.host, out.body.Bytes()))
		}
		return out
	}
	isOrder := r.URL.Path == promotionPath
	isLease := r.Method != http.MethodGet && strings.HasPrefix(r.URL.Path, leasesPath)
	if isOrder || isLease {
		e.faults.takeover(e.host)
	}
	if isOrder {
		e.faults.ordered(text)
	}
	what := ""
	switch {
	case isOrder:
		what = "promotion call of " + e.host + " with fence " + r.Header.Get("Bronzeloft-Fencing-Token") + " for " + text
	case isLease:
		what = "lease written by " + e.host + ": " + text
	}
	fate := e.faults.call(r)
	switch {
	case !fate.unanswered:
		out := run(r)
		if what != "" {
			e.rec.notef("%s: answered with %d", what, out.status)
		}
		if !e.faults.await(r.Context().Done(), e.host, platformEnd) {
			panic(http.ErrAbortHandler)
		}
		out.copyTo(w)
		return
	case fate.never:
		if what != "" {
			e.rec.notef("%s: no answer, never carried out", what)
		}
	default:
		if what != "" {
			e.rec.notef("%s: no answer, carried out after %d ms", what, fate.after.Milliseconds())
		}
		late := r.Clone(context.WithoutCancel(r.Context()))
		e.faults.later(fate.after, func() {
			out := run(late)
			if what != "" {
				e.rec.notef("%s (sent at %.3f s): carried out with %d", what, e.rec.seconds(sent), out.status)
			}
		})
	}
	select {
	case <-r.Context().Done():
	case <-time.After(silentAtMost):
	}
	panic(http.ErrAbortHandler)
}

// held is an answer that is not sent yet.
type held struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (h *held) Header() http.Header { return h.header }

// WriteHeader implements http.ResponseWriter.
func (h *held) WriteHeader(status int) { h.status = status }

// Write implements http.ResponseWriter.
func (h *held) Write(b []byte) (int, error) { return h.body.Write(b) }

func (h *held) copyTo(w http.ResponseWriter) {
	for name, values := range h.header {
		w.Header()[name] = values
	}
	w.WriteHeader(h.status)
	_, _ = w.Write(h.body.Bytes()) // the host may have gone
}
