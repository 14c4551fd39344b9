package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Every call of the store is paid for, so few hosts of a data centre watch it.
// The others learn from their messages that there is something newer, and ask
// them for it.

// storeReaders is the hosts of each data centre that watch the store: one may
// be turned away by it, or die, while the others learn of it.
const storeReaders = 2

// feedLostAfter is how long this host waits for a reader's message before it
// watches the store itself. It is checked against messages, not changes.
const feedLostAfter = heardWithin

// Paths under which a host gives to others what it has from the store.
const (
	configurationPath = "/configuration"
	databasesPath     = "/databases"
)

const (
	fetchTimeout = time.Second
	// maxFetchBytes bounds a configuration, 1 MB at most, and a list of
	// databases.
	maxFetchBytes = 8 << 20
)

// databaseList is the store's list of databases as hosts pass it on.
type databaseList struct {
	Version uint64                     `json:"version"` // of the store
	Entries map[string]json.RawMessage `json:"entries"`
}

// readsStore reports whether this host watches the store: unless enough hosts
// of the data centre that come before it do and are answered.
func (p *peers) readsStore() bool {
	now := p.g.now()
	own := dutyScore(storeDuty, p.g.opt.Name)
	p.mu.Lock()
	defer p.mu.Unlock()
	before := 0
	for name, h := range p.known {
		if h.dataCentre == p.g.opt.DataCentre && h.storeAnswers && !h.leaving && now.Sub(h.heard) < feedLostAfter && dutyScore(storeDuty, name) > own {
			before++
		}
	}
	return before < storeReaders
}

// storeDuty ranks hosts for watching the store.
const storeDuty = "store"

// newer is called with what another host has; it fetches what is newer.
func (p *peers) newer(address string, configuration, databases uint64) {
	p.mu.Lock()
	wantConfiguration := configuration > p.g.config.Load().Version
	wantDatabases := databases > p.g.listVersion.Load()
	if p.fetching || !wantConfiguration && !wantDatabases {
		p.mu.Unlock()
		return
	}
	p.fetching = true
	p.mu.Unlock()
	go func() {
		if wantConfiguration {
			p.fetchConfiguration(address)
		}
		if wantDatabases {
			p.fetchDatabases(address)
		}
		p.mu.Lock()
		p.fetching = false
		p.mu.Unlock()
	}()
}

func (p *peers) fetchConfiguration(address string) {
	raw, err := fetch(p.g.ctx, "http://"+address+configurationPath)
	if err != nil {
		p.g.log.Warn("Host did not give its configuration.", "part", "peers", "address", address, "error", err)
		return
	}
	p.g.offer(raw, "host")
}

func (p *peers) fetchDatabases(address string) {
	raw, err := fetch(p.g.ctx, "http://"+address+databasesPath)
	var list databaseList
	if err == nil {
		err = json.Unmarshal(raw, &list)
	}
	if err != nil {
		p.g.log.Warn("Host did not give its databases.", "part", "peers", "address", address, "error", err)
		return
	}
	p.g.offerDatabases(list)
}

func fetch(ctx context.Context, url string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	req.Close = true
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, eris.Errorf("status %d", res.StatusCode)
	}
	return io.ReadAll(io.LimitReader(res.Body, maxFetchBytes))
}

func (p *peers) serveConfiguration(w http.ResponseWriter, _ *http.Request) {
	config := p.g.config.Load()
	if config.Version == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	p.give(w, config.raw)
}

func (p *peers) serveDatabases(w http.ResponseWriter, _ *http.Request) {
	list := p.g.databaseList()
	raw, err := json.Marshal(list)
	if err != nil || list.Version == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	p.give(w, raw)
}

func (p *peers) give(w http.ResponseWriter, raw []byte) {
	if _, err := w.Write(raw); err != nil {
		p.g.log.Debug("Host left while it was answered.", "part", "peers", "error", err)
	}
}
