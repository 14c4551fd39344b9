package platformserver

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/bronzeloft/bronzeloft/objectapi"
)

// handler returns the HTTP handler of the API.
func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	object := objectapi.PathObjects + "/{kind}/{name}"
	mux.HandleFunc("GET "+object, s.counted(&s.calls.Reads, s.get))
	mux.HandleFunc("GET "+objectapi.PathObjects+"/{kind}", s.counted(&s.calls.Reads, s.list))
	mux.HandleFunc("POST "+object, s.counted(&s.calls.Writes, s.create))
	mux.HandleFunc("PUT "+object, s.counted(&s.calls.Writes, s.update))
	mux.HandleFunc("GET "+objectapi.PathWatch+"/{kind}", s.counted(&s.calls.Watches, s.watch))
	mux.HandleFunc("GET "+objectapi.PathHosts, s.counted(&s.calls.Reads, s.listHosts))
	return mux
}

// counted returns a handler that increments counter, applies the injected delay
// or outage and then calls next. The server's mutex guards counter.
func (s *Server) counted(counter *int, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		*counter++
		s.mu.Unlock()
		if !s.waitAdmitted(r.Context()) {
			abortConnection()
		}
		s.nameEra(w)
		next(w, r)
	}
}

// nameEra sets the header with the era in which an answer begins to be made.
func (s *Server) nameEra(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.era > 0 {
		w.Header().Set(objectapi.HeaderEra, strconv.FormatUint(s.era, 10))
	}
}

// abortConnection closes the connection without an answer.
func abortConnection() { panic(http.ErrAbortHandler) }

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	o, err := s.readStore().get(r.PathValue("kind"), r.PathValue("name"))
	s.mu.Unlock()
	writeAnswer(w, o, err)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	objects, version := s.readStore().list(r.PathValue("kind"))
	s.mu.Unlock()
	writeAnswer(w, objectapi.ListAnswer{Objects: objects, Version: version}, nil)
}

func (s *Server) listHosts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	hosts := s.visibleHosts(time.Now())
	s.mu.Unlock()
	writeAnswer(w, hosts, nil)
}

func (s *Server) create(w http.ResponseWriter, r *http.Request) {
	s.write(w, r, func(value []byte) (objectapi.Object, error) {
		return s.store.create(r.PathValue("kind"), r.PathValue("name"), value)
	})
}

func (s *Server) update(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseUint(r.URL.Query().Get(objectapi.ParamVersion), 10, 64)
	if err != nil {
		badRequest(w, "query parameter version is missing or not a number")
		return
	}
	s.write(w, r, func(value []byte) (objectapi.Object, error) {
		return s.store.update(r.PathValue("kind"), r.PathValue("name"), version, value)
	})
}

// write calls change with the request body, holding mu. It closes the connection
// instead of answering if DropAnswers is in effect.
func (s *Server) write(w http.ResponseWriter, r *http.Request, change func([]byte) (objectapi.Object, error)) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, objectapi.MaxValueBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeAnswer(w, nil, errTooLarge)
		return
	}
	if err != nil {
		abortConnection()
	}
	s.mu.Lock()
	o, err := change(value)
	dropAnswer := s.faults.consumeDrop()
	s.notify()
	s.mu.Unlock()
	if dropAnswer {
		abortConnection()
	}
	writeAnswer(w, o, err)
}

// watch answers with the events after the requested version. If there is none, it
// waits for the first one, for the requested time and at most for MaxWait.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	version, err := strconv.ParseUint(query.Get(objectapi.ParamVersion), 10, 64)
	if err != nil {
		badRequest(w, "query parameter version is missing or not a number")
		return
	}
	wait, _ := strconv.Atoi(query.Get(objectapi.ParamWait))
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, s.cfg.MaxWait))
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		events, err := s.store.eventsAfter(r.PathValue("kind"), version)
		current, changed, goingDown := s.store.version, s.changed, s.faults.goingDown
		s.mu.Unlock()
		if err != nil || len(events) > 0 || expired {
			writeAnswer(w, objectapi.WatchAnswer{Events: events, Version: current}, err)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-goingDown:
			abortConnection()
		case <-r.Context().Done():
			return
		case <-s.ctx.Done():
			return
		}
	}
}

// writeAnswer writes v as JSON, or an error answer if err is set.
func writeAnswer(w http.ResponseWriter, v any, err error) {
	status := http.StatusOK
	switch {
	case errors.Is(err, errTooLarge):
		status, v = http.StatusRequestEntityTooLarge, objectapi.ErrorAnswer{Code: "too_large", Message: err.Error()}
	case err != nil:
		code := ""
		status, code = objectapi.HTTPError(err)
		v = objectapi.ErrorAnswer{Code: code, Message: err.Error()}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func badRequest(w http.ResponseWriter, message string) {
	w.WriteHeader(http.StatusBadRequest)
	_ = json.NewEncoder(w).Encode(objectapi.ErrorAnswer{Code: "bad_request", Message: message})
}
