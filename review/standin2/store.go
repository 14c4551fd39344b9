package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is one object of the store, in the store's form.
type object struct {
	Meta   objectMeta      `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type objectMeta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// change is one event of a watch.
type change struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
}

// store is the platform's metadata store, which also takes the promotion calls.
type store struct {
	promote func(service, id string, fence uint64) int // returns the HTTP status
	server  *http.Server
	address string

	mu       sync.Mutex // guards the fields below
	revision uint64
	objects  map[string]map[string]object // by kind and name
	changes  []change
	changed  chan struct{} // closed and replaced with each change
}

// Times and bounds of the store, as in the sheets of small sites.
const (
	storeDelay   = 4 * time.Millisecond
	pageItems    = 500
	pageBytes    = 1 << 20
	maxWatchWait = 30 * time.Second
)

func newStore(promote func(service, id string, fence uint64) int) (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{promote: promote, address: l.Addr().String(), revision: 100, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/objects/{kind}", s.serveKind)
	mux.HandleFunc("GET /-/objects/{kind}/{name}", s.serveGet)
	mux.HandleFunc("POST /-/objects/{kind}/{name}", s.serveWrite)
	mux.HandleFunc("POST /-/objects/{kind}", s.serveWrite)
	mux.HandleFunc("PUT /-/objects/{kind}/{name}", s.serveWrite)
	mux.HandleFunc("DELETE /-/objects/{kind}/{name}", s.serveDelete)
	mux.HandleFunc("POST /promotion", s.servePromotion)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(l) }() // ends with stop
	return s, nil
}

func (s *store) stop() { _ = s.server.Close() }

// put writes an object as the operator or a database does.
func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // the play's own values can be encoded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	if exists && string(old.Spec) == string(raw) {
		return
	}
	old.Meta.Name = name
	s.replace(kind, object{Meta: old.Meta, Spec: raw, Status: old.Status})
}

// remove deletes an object as the platform does.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(kind, name)
}

// delete removes an object and reports whether there was one. mu is held.
func (s *store) delete(kind, name string) bool {
	o, ok := s.objects[kind][name]
	if !ok {
		return false
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Meta.Revision = s.revision
	s.record(change{Object: o, Deleted: true, kind: kind})
	return true
}

// replace stores an object under the next revision. mu is held.
func (s *store) replace(kind string, o object) object {
	s.revision++
	o.Meta.Revision = s.revision
	if o.Meta.Created == 0 {
		o.Meta.Created = s.revision
	}
	if o.Meta.Finalizers == nil {
		o.Meta.Finalizers = []string{}
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][o.Meta.Name] = o
	s.record(change{Object: o, kind: kind})
	return o
}

func (s *store) record(c change) {
	s.changes = append(s.changes, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	s.mu.Lock()
	o, ok := s.objects[r.PathValue("kind")][r.PathValue("name")]
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	answer(w, http.StatusOK, o)
}

func (s *store) serveKind(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	query := r.URL.Query()
	if query.Has("watch") {
		s.serveWatch(w, r)
		return
	}
	after := query.Get("after")
	s.mu.Lock()
	items := []object{}
	for name, o := range s.objects[r.PathValue("kind")] {
		if name > after {
			items = append(items, o)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	n, size := 0, 0
	for n < min(len(items), pageItems) {
		if size += len(items[n].Spec); n > 0 && size > pageBytes {
			break
		}
		n++
	}
	answer(w, http.StatusOK, map[string]any{"items": items[:n], "hasMore": n < len(items), "currentRev": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("watch"), 10, 64)
	if err != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	wait, err := strconv.Atoi(query.Get("waitMs"))
	if err != nil {
		wait = 0
	}
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWatchWait))
	defer timer.Stop()
	for ended := false; ; {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.changes {
			if c.kind == r.PathValue("kind") && c.Object.Meta.Revision > from {
				events = append(events, c)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ended {
			answer(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	raw, err := io.ReadAll(r.Body)
	var in object
	if err != nil || json.Unmarshal(raw, &in) != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	kind, name := r.PathValue("kind"), r.PathValue("name")
	if name == "" {
		name = in.Meta.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	create := r.Method == http.MethodPost
	switch {
	case create && exists, exists && in.Meta.Revision != 0 && in.Meta.Revision != old.Meta.Revision:
		answer(w, http.StatusConflict, old)
	case !create && !exists:
		answer(w, http.StatusNotFound, struct{}{})
	case exists && string(old.Spec) == string(in.Spec):
		answer(w, http.StatusOK, old)
	default:
		old.Meta.Name = name
		answer(w, http.StatusOK, s.replace(kind, object{Meta: old.Meta, Spec: in.Spec, Status: old.Status}))
	}
}

func (s *store) serveDelete(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.delete(r.PathValue("kind"), r.PathValue("name")) {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	answer(w, http.StatusOK, struct{}{})
}

func (s *store) servePromotion(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	var call struct{ Service, ID string }
	fence, err := strconv.ParseUint(r.Header.Get("Bronzeloft-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&call) != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	answer(w, s.promote(call.Service, call.ID, fence), struct{}{})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have gone
}
