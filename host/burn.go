package host

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/bronzeloft/bronzeloft/link/peerpb"
	"github.com/bronzeloft/bronzeloft/report"
)

// burnTimeout bounds the wait for the request counts of other hosts.
const burnTimeout = time.Second

// burnReply returns this host's request counts for a host that aggregates them, nil
// if they cannot be encoded.
func (h *Host) burnReply() *peerpb.Envelope {
	counts, err := json.Marshal(h.burn.Counts(h.now()))
	if err != nil {
		h.log.Error("Failed to encode the request counts for a burn reply.", "part", "burn", "error", err)
		return nil
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_BurnReply{BurnReply: &peerpb.BurnReply{
		Address: h.members.self,
		BootId:  h.bootID,
		Counts:  counts,
	}}}
}

// Burn collects the request counts of this host and of the connected hosts in its
// data centre, and returns the burn rates computed from their sum. Connected hosts
// that did not answer are listed in Unreached; hosts that are not connected are left
// out.
func (h *Host) Burn(ctx context.Context) report.Report {
	ctx, cancel := context.WithTimeout(ctx, burnTimeout)
	defer cancel()
	var mu sync.Mutex
	all := []report.Counts{h.burn.Counts(h.now())}
	var unreached []string
	var pending sync.WaitGroup
	for _, p := range h.mesh.Peers() {
		if p.DataCentre != h.set.Host.DataCentre {
			continue
		}
		pending.Add(1)
		go func() {
			defer pending.Done()
			counts, err := h.peerCounts(ctx, p.Address)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unreached = append(unreached, p.Address)
				return
			}
			all = append(all, counts)
		}()
	}
	pending.Wait()
	r := report.Burn(report.Merge(all), report.ObjectivesOf(h.view.Load().snap), h.now())
	r.Unreached = unreached
	return r
}

func (h *Host) peerCounts(ctx context.Context, address string) (report.Counts, error) {
	var counts report.Counts
	env, err := h.mesh.Request(ctx, address, &peerpb.Envelope{Body: &peerpb.Envelope_BurnRequest{BurnRequest: &peerpb.BurnRequest{}}})
	if err != nil {
		return counts, err
	}
	err = json.Unmarshal(env.GetBurnReply().GetCounts(), &counts)
	return counts, err
}

// burnPage serves the burn report of this data centre as an HTML page.
func (a *adminServer) burnPage(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	if err := report.WriteHTML(w, a.host.Burn(req.Context())); err != nil {
		a.host.log.Warn("Failed to write the burn report page.", "part", "burn", "error", err)
	}
}
