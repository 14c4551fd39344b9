// Package site has stand-ins for what surrounds a host of a platform site: the
// object store, the promotion call, and databases that speak the line protocol and
// replicate to each other.
package site

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const objectsPrefix = "/-/objects/"

// Store is a stand-in for the platform's object store. It is safe for concurrent
// use.
type Store struct {
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex // guards the fields below
	revision uint64
	objects  map[string]map[string]object // by kind and name
	history  []change
	changed  chan struct{} // closed and replaced with each change
	down     bool
	lists    int
}

type object struct {
	name     string
	revision uint64
	spec     string // as written, not necessarily valid JSON
}

type change struct {
	kind    string
	object  object
	deleted bool
}

// Limits of one page of a list, which holds at least one object.
const (
	pageItems = 500
	pageBytes = 1 << 20
)

// StartStore starts a store on a free port of the loopback interface.
func StartStore() (*Store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{listener: l, revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+objectsPrefix+"{kind}", s.list)
	mux.HandleFunc("GET "+objectsPrefix+"{kind}/{name}", s.get)
	mux.HandleFunc("POST "+objectsPrefix+"{kind}/{name}", s.write)
	mux.HandleFunc("PUT "+objectsPrefix+"{kind}/{name}", s.write)
	mux.HandleFunc("DELETE "+objectsPrefix+"{kind}/{name}", s.remove)
	s.server = &http.Server{Handler: s.unlessDown(mux), ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(l) }() // ends with Close
	return s, nil
}

// URL returns the base URL of the store.
func (s *Store) URL() string { return "http://" + s.listener.Addr().String() }

// Close stops the store.
func (s *Store) Close() { _ = s.server.Close() }

// SetDown with true makes the store answer every new call with status 503.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Lists returns the number of pages of lists that the store has served.
func (s *Store) Lists() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists
}

// Compact drops the history of changes.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.notify()
}

// Put stores a value under a kind and name, whatever it contains.
func (s *Store) Put(kind, name, spec string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, spec)
}

// remove handles a DELETE call.
func (s *Store) remove(w http.ResponseWriter, r *http.Request) {
	if !s.Delete(r.PathValue("kind"), r.PathValue("name")) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, "{}")
}

// Delete removes an object. It returns false if there is none.
func (s *Store) Delete(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return false
	}
	delete(s.objects[kind], name)
	s.revision++
	o.revision = s.revision
	s.record(change{kind: kind, object: o, deleted: true})
	return true
}

// put stores an object and returns it. mu is held.
func (s *Store) put(kind, name, spec string) object {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o := object{name: name, revision: s.revision, spec: spec}
	s.objects[kind][name] = o
	s.record(change{kind: kind, object: o})
	return o
}

func (s *Store) record(c change) {
	s.history = append(s.history, c)
	s.notify()
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) unlessDown(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down := s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (o object) json() string {
	name, _ := json.Marshal(o.name) // a string is always encoded
	return fmt.Sprintf(`{"meta":{"name":%s,"revision":%d},"spec":%s,"status":null}`, name, o.revision, o.spec)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	o, ok := s.objects[r.PathValue("kind")][r.PathValue("name")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, o.json())
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if query.Has("watch") {
		s.watch(w, r)
		return
	}
	items, more, revision := s.page(r.PathValue("kind"), query.Get("after"))
	reply(w, fmt.Sprintf(`{"items":[%s],"hasMore":%t,"currentRev":%d}`, strings.Join(items, ","), more, revision))
}

// page returns the objects of a kind that one page after a name holds, whether there
// are more, and the store's revision.
func (s *Store) page(kind, after string) (items []string, more bool, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	size := 0
	for _, name := range names {
		item := s.objects[kind][name].json()
		if size += len(item); len(items) == pageItems || len(items) > 0 && size > pageBytes {
			return items, true, s.revision
		}
		items = append(items, item)
	}
	return items, false, s.revision
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for done := false; ; {
		s.mu.Lock()
		events, compacted := s.eventsAfter(r.PathValue("kind"), from)
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		switch {
		case compacted:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || done:
			reply(w, fmt.Sprintf(`{"events":[%s],"currentRev":%d}`, strings.Join(events, ","), revision))
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			done = true
		case <-r.Context().Done():
			return
		}
	}
}

// eventsAfter returns the changes of a kind after a revision, and true if the
// history no longer has all of them. mu is held.
func (s *Store) eventsAfter(kind string, from uint64) (events []string, compacted bool) {
	if from < s.revision && (len(s.history) == 0 || s.history[0].object.revision > from+1) {
		return nil, true
	}
	for _, c := range s.history {
		if c.kind == kind && c.object.revision > from {
			events = append(events, fmt.Sprintf(`{"deleted":%t,"object":%s}`, c.deleted, c.object.json()))
		}
	}
	return events, false
}

func (s *Store) write(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Meta struct {
			Revision uint64 `json:"revision"`
		} `json:"meta"`
		Spec json.RawMessage `json:"spec"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o, ok := s.putIf(r.PathValue("kind"), r.PathValue("name"), string(in.Spec), in.Meta.Revision, r.Method == http.MethodPost)
	if !ok {
		w.WriteHeader(http.StatusConflict)
		return
	}
	reply(w, o.json())
}

// putIf stores an object and returns true, unless it exists and create is set, or
// revision is neither 0 nor the stored one.
func (s *Store) putIf(kind, name, spec string, revision uint64, create bool) (object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	if exists && create || revision != 0 && revision != old.revision {
		return object{}, false
	}
	return s.put(kind, name, spec), true
}

func reply(w http.ResponseWriter, body string) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(body)) // the caller may have gone
}
