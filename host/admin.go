package host

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bronzeloft/bronzeloft/database/group"
	"github.com/bronzeloft/bronzeloft/link/peer"
)

// Status is what GET /status returns.
type Status struct {
	Host          string         `json:"host"`
	DataCentre    string         `json:"dataCentre"`
	Address       string         `json:"address"` // of the peer listener
	BootID        string         `json:"bootId"`
	Ready         bool           `json:"ready"`
	Leaving       bool           `json:"leaving"`
	ConfigVersion uint64         `json:"configVersion"`
	ConfigAge     string         `json:"configAge"` // since the platform last confirmed it
	Callers       int            `json:"callers"`
	Watcher       bool           `json:"watcher"` // watches the platform for its data centre
	Peers         []peer.Info    `json:"peers"`   // connected hosts
	Groups        []group.Status `json:"groups"`  // groups that the host runs
}

// adminServer is the operators' HTTP listener: /healthz, /readyz, /metrics,
// /status, /burn (this host's request counts), /burn.html (the burn rates of its
// data centre) and POST /drain.
type adminServer struct {
	host     *Host
	listener net.Listener
	server   *http.Server
}

func startAdmin(h *Host) (*adminServer, error) {
	l, err := net.Listen("tcp", h.set.Admin.Listen)
	if err != nil {
		return nil, eris.Wrap(err, "listen for operators")
	}
	a := &adminServer{host: h, listener: l}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", a.ready)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { h.metrics.write(w) })
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.Status()) })
	mux.HandleFunc("GET /burn", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.burn.Counts(h.now())) })
	mux.HandleFunc("GET /burn.html", a.burnPage)
	mux.HandleFunc("POST /drain", a.drain)
	a.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	h.startWorker(func() { a.server.Serve(l) })
	return a, nil
}

func (a *adminServer) addr() string { return a.listener.Addr().String() }

func (a *adminServer) close() { a.server.Close() }

// ready answers 200 while the host is ready for callers, else 503.
func (a *adminServer) ready(w http.ResponseWriter, _ *http.Request) {
	if !a.host.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.Write([]byte("ready\n"))
}

// drain starts a graceful shutdown and answers at once; the host stops when the
// shutdown is complete, at the latest after the grace period.
func (a *adminServer) drain(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusAccepted)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), a.host.set.Shutdown.Grace)
		defer cancel()
		a.host.Drain(ctx)
		a.host.stop()
	}()
}

// Done returns a channel that is closed when the host stops.
func (h *Host) Done() <-chan struct{} { return h.ctx.Done() }

// Status returns the host's state for operators.
func (h *Host) Status() Status {
	s := Status{
		Host:          h.set.Host.ID,
		DataCentre:    h.set.Host.DataCentre,
		Address:       h.members.self,
		BootID:        h.bootID,
		Ready:         h.Ready(),
		Leaving:       h.leaving(),
		ConfigVersion: h.view.Load().snap.Version,
		ConfigAge:     h.members.inForce.ConfirmedAge(h.now()).String(),
		Callers:       h.callers.openConnections(),
		Watcher:       h.members.isWatcher(),
		Peers:         h.mesh.Peers(),
	}
	for _, g := range h.groupRunners() {
		s.Groups = append(s.Groups, g.status())
	}
	return s
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	enc.Encode(v)
}
