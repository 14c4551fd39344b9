package main

import (
	"cmp"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"sort"
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
	Deleted  bool   `json:"deleted"`
	Object   object `json:"object"`
	kind     string
	revision uint64
}

// store is the platform's metadata store together with the promotion calls.
type store struct {
	rec     *record
	promote func(promotionCall) int // returns the HTTP status
	server  *http.Server
	address string

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	changes  []change
	changed  chan struct{}
}

// storeDelay is how long the store takes for an answer.
const storeDelay = 4 * time.Millisecond

func newStore(rec *record, promote func(promotionCall) int) (*store, error) {
	s := &store{rec: rec, promote: promote, revision: 100, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("/-/objects/", s.serveObjects)
	mux.HandleFunc("POST /promotion", s.servePromotion)
	s.server = &http.Server{Handler: mux}
	go func() {
		if err := s.server.Serve(l); err != http.ErrServerClosed {
			rec.logf("store: %v", err)
		}
	}()
	return s, nil
}

func (s *store) servePromotion(w http.ResponseWriter, r *http.Request) {
	var call promotionCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	fence, err := strconv.ParseUint(r.Header.Get("Bronzeloft-Fencing-Token"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(storeDelay)
	call.Fence, call.Host = fence, r.Header.Get("Bronzeloft-Duty-Holder")
	status := s.promote(call)
	s.rec.logf("promotion of %s ordered by %s with fence %d: %d", call.ID, call.Host, fence, status)
	w.WriteHeader(status)
}

// put writes an object as the operator or a database does, and returns its
// revision.
func (s *store) put(kind, name string, spec any) (uint64, error) {
	raw, err := json.Marshal(spec)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.objects[kind][name]
	o := object{Meta: old.Meta, Spec: raw}
	o.Meta.Name = name
	return s.replace(kind, o).Meta.Revision, nil
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
	s.changes = append(s.changes, change{Object: o, kind: kind, revision: s.revision})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// remove deletes an object as the platform does.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Meta.Revision = s.revision
	s.changes = append(s.changes, change{Deleted: true, Object: o, kind: kind, revision: s.revision})
	close(s.changed)
	s.changed = make(chan struct{})
}

// has reports whether an object exists.
func (s *store) has(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.objects[kind][name]
	return ok
}

func (s *store) serveObjects(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/-/objects/"), "/")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(storeDelay)
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Get("watch") != "":
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.serveList(w, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, http.StatusOK, o)
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.serveWrite(w, r.Method == http.MethodPost, kind, name, body)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *store) serveWrite(w http.ResponseWriter, create bool, kind, name string, body []byte) {
	var in object
	if err := json.Unmarshal(body, &in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = in.Meta.Name
	}
	s.mu.Lock()
	old, exists := s.objects[kind][name]
	switch {
	case create && exists, !create && exists && in.Meta.Revision != 0 && in.Meta.Revision != old.Meta.Revision:
		s.mu.Unlock()
		answer(w, http.StatusConflict, old)
		return
	case !create && !exists:
		s.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
		return
	case exists && string(old.Spec) == string(in.Spec):
		s.mu.Unlock()
		answer(w, http.StatusOK, old)
		return
	}
	o := object{Meta: old.Meta, Spec: in.Spec, Status: old.Status}
	o.Meta.Name = name
	o = s.replace(kind, o)
	s.mu.Unlock()
	answer(w, http.StatusOK, o)
}

func (s *store) serveList(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := make([]object, 0, len(s.objects[kind]))
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Meta.Name < items[j].Meta.Name })
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "currentRev": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	from, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil {
		wait = 0
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for ended := false; ; {
		s.mu.Lock()
		events := []change{}
		first, _ := slices.BinarySearchFunc(s.changes, from+1, func(c change, revision uint64) int { return cmp.Compare(c.revision, revision) })
		for _, c := range s.changes[first:] {
			if c.kind == kind {
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

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have gone
}
