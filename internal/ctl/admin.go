package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/bronzeloft/bronzeloft/report"
)

// maxConcurrentHosts bounds the hosts that are queried at the same time.
const maxConcurrentHosts = 16

// maxAnswerBytes bounds a host's answer.
const maxAnswerBytes = 64 << 20

// Paths of a host's admin listener.
const (
	pathStatus = "/status" // GET: JSON of hostStatus
	pathBurn   = "/burn"   // GET: JSON of report.Counts
	pathDrain  = "/drain"  // POST: begins a graceful shutdown
)

// errHost marks a failed operation on a host: it could not be reached, answered
// with an error or an invalid answer, or did not stop in time.
var errHost = errors.New("host operation failed")

// hostStatus is the part of a host's status that the commands use.
type hostStatus struct {
	Host          string `json:"host"`
	DataCentre    string `json:"dataCentre"`
	Address       string `json:"address"`
	BootID        string `json:"bootId"`
	Ready         bool   `json:"ready"`
	Leaving       bool   `json:"leaving"`
	ConfigVersion uint64 `json:"configVersion"`
	ConfigAge     string `json:"configAge"` // time since the platform confirmed ConfigVersion
	Callers       int    `json:"callers"`
	Watcher       bool   `json:"watcher"`
}

// state returns the host's state as one word.
func (s hostStatus) state() string {
	switch {
	case s.Leaving:
		return "leaving"
	case s.Ready:
		return "ready"
	default:
		return "starting"
	}
}

// call makes one call to a host and decodes the answer into out, unless out is
// nil. A status of 400 or above is an error.
func (a *app) call(ctx context.Context, method, host, path string, out any) error {
	if !strings.Contains(host, "://") {
		host = "http://" + host
	}
	req, err := http.NewRequestWithContext(ctx, method, host+path, nil)
	if err != nil {
		return usageError{err.Error()}
	}
	resp, err := a.env.HTTP.Do(req)
	if err != nil {
		return eris.Wrapf(errHost, "%s: %v", host, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return eris.Wrapf(errHost, "%s: %s %s: %s", host, method, path, resp.Status)
	}
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(out); err != nil {
		return eris.Wrapf(errHost, "%s: decode answer to %s: %v", host, path, err)
	}
	return nil
}

// answer is one host's answer, or the error that prevented it.
type answer[T any] struct {
	host  string
	value T
	err   error
}

// queryAll gets path from every host, at most maxConcurrentHosts at a time, and
// returns the answers in the order of hosts.
func queryAll[T any](a *app, hosts []string, path string) []answer[T] {
	answers := make([]answer[T], len(hosts))
	slots := make(chan struct{}, maxConcurrentHosts)
	var wg sync.WaitGroup
	for i, host := range hosts {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			answers[i].host = host
			answers[i].err = a.call(a.ctx, http.MethodGet, host, path, &answers[i].value)
		})
	}
	wg.Wait()
	return answers
}

// fetchCounts returns the counts of hosts and the addresses of those that gave no
// counts, whose errors it prints.
func (a *app) fetchCounts(hosts []string) (all []report.Counts, unreached []string) {
	for _, ans := range queryAll[report.Counts](a, hosts, pathBurn) {
		if ans.err != nil {
			fmt.Fprintln(a.env.Err, "bronzeloftctl:", ans.err)
			unreached = append(unreached, ans.host)
			continue
		}
		all = append(all, ans.value)
	}
	return all, unreached
}

// hasStopped reports whether a host's admin listener accepts no more connections.
// It returns false if ctx has ended.
func (a *app) hasStopped(host string) bool {
	err := a.call(a.ctx, http.MethodGet, host, pathStatus, nil)
	if err == nil || a.ctx.Err() != nil {
		return false
	}
	var d net.Dialer
	conn, err := d.DialContext(a.ctx, "tcp", strings.TrimPrefix(host, "http://"))
	if err == nil {
		conn.Close()
	}
	return err != nil && a.ctx.Err() == nil
}
