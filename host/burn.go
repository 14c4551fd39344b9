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

// burnLimit bounds the wait for the counts of other hosts.
const burnLimit = time.Second

// burnReply answers another host that gathers counts.
func (h *Host) burnReply() *peerpb.Envelope {
	counts, err := json.Marshal(h.burn.Counts(h.now()))
	if err != nil {
		h.log.Error("Counts could not be encoded.", "part", "burn", "error", err)
		return nil
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_BurnReply{BurnReply: &peerpb.BurnReply{
		Address: h.members.self,
		BootId:  h.bootID,
		Counts:  counts,
	}}}
}

// Burn gathers the counts of this data centre's hosts and returns their
// service-level burn. A host that does not answer is named in it.
func (h *Host) Burn(ctx context.Context) report.Report {
	ctx, cancel := context.WithTimeout(ctx, burnLimit)
	defer cancel()
	var mu sync.Mutex
	all := []report.Counts{h.burn.Counts(h.now())}
	var silent []string
	var asked sync.WaitGroup
	for _, p := range h.mesh.Peers() {
		if p.DataCentre != h.set.Host.DataCentre {
			continue
		}
		asked.Add(1)
		go func() {
			defer asked.Done()
			counts, err := h.peerCounts(ctx, p.Address)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				silent = append(silent, p.Address)
				return
			}
			all = append(all, counts)
		}()
	}
	asked.Wait()
	r := report.Burn(report.Merge(all), report.ObjectivesOf(h.view.Load().snap), h.now())
	r.Unreached = silent
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

// burnPage serves the burn of this data centre as a page.
func (a *adminServer) burnPage(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	if err := report.WriteHTML(w, a.host.Burn(req.Context())); err != nil {
		a.host.log.Warn("Burn page was cut off.", "part", "burn", "error", err)
	}
}
