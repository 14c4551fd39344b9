package objectapi

import (
	"errors"
	"net/http"
)

// Paths of the API over HTTP. Objects are at PathObjects/kind/name and lists at
// PathObjects/kind.
//
//	GET  PathObjects/kind/name              Object
//	GET  PathObjects/kind                   ListAnswer
//	POST PathObjects/kind/name              Object; the body is the value
//	PUT  PathObjects/kind/name?version=N    Object; the body is the value
//	GET  PathWatch/kind?version=N&wait=MS   WatchAnswer
//	GET  PathHosts                          []HostState
const (
	PathObjects = "/v1/objects"
	PathWatch   = "/v1/watch"
	PathHosts   = "/v1/hosts"
)

// Query parameters of the API over HTTP.
const (
	ParamVersion = "version"
	ParamWait    = "wait" // milliseconds
)

// ListAnswer is the answer to a list.
type ListAnswer struct {
	Objects []Object `json:"objects"`
	Version uint64   `json:"version"`
}

// WatchAnswer is the answer to a watch: the events after the requested version
// up to Version.
type WatchAnswer struct {
	Events  []Event `json:"events"`
	Version uint64  `json:"version"`
}

// ErrorAnswer is the body of an answer with an error status.
type ErrorAnswer struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// httpError maps an API error to its HTTP status and code.
type httpError struct {
	err    error
	status int
	code   string
}

var httpErrors = []httpError{
	{ErrNotFound, http.StatusNotFound, "not_found"},
	{ErrConflict, http.StatusConflict, "conflict"},
	{ErrExists, http.StatusConflict, "exists"},
	{ErrCompacted, http.StatusGone, "compacted"},
	{ErrUnavailable, http.StatusServiceUnavailable, "unavailable"},
}

// HTTPError returns the HTTP status and code of err. An error that is not in the
// table is an internal error.
func HTTPError(err error) (status int, code string) {
	for _, row := range httpErrors {
		if errors.Is(err, row.err) {
			return row.status, row.code
		}
	}
	return http.StatusInternalServerError, "internal"
}

// errorOf returns the API error of an HTTP answer, or nil if there is none for it.
// An answer without a code, such as one of an intermediate proxy, is matched by its
// status alone; 429 and all other statuses from 500 mean ErrUnavailable.
func errorOf(status int, code string) error {
	for _, row := range httpErrors {
		if row.status == status && (row.code == code || code == "") {
			return row.err
		}
	}
	if status >= http.StatusInternalServerError || status == http.StatusTooManyRequests {
		return ErrUnavailable
	}
	return nil
}
