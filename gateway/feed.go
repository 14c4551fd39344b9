package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Every call to the store is billed, so only a few hosts of a data centre watch
// it. The others see from these hosts' messages that a newer version exists, and
// fetch it from them.

// storeWatchers is the number of hosts in each data centre that watch the store.
// With two, one may be refused by the store, or fail, and the others still
// receive changes through the second.
const storeWatchers = 2

// storeWatcherTTL is how long this host waits for a message of a host that watches
// the store before it watches the store itself. Any message counts, also one that
// reports no change.
const storeWatcherTTL = reportTTL

// Paths under which a host serves what it has read from the store to other hosts.
const (
	configurationPath = "/configuration"
	databasesPath     = "/databases"
)

const (
	fetchTimeout = time.Second
	// maxFetchBytes bounds the size of a fetched configuration, which is at most
	// 1 MB, and of a fetched list of databases.
	maxFetchBytes = 8 << 20
)

// databaseList is the store's list of databases as exchanged between hosts.
type databaseList struct {
	Version uint64                     `json:"version"` // the store's version
	Entries map[string]json.RawMessage `json:"entries"`
}

// shouldWatchStore reports whether this host should watch the store: a serving host
// if fewer than storeWatchers serving hosts of the data centre that rank before it
// get answers from the store, another host if none of them does.
func (p *peers) shouldWatchStore() bool {
	now := p.g.now()
	own := rendezvousScore(storeWatchKey, p.g.opt.Name)
	serving := p.servingHosts(now)
	serves := slices.Contains(serving, p.g.opt.Name)
	p.mu.Lock()
	defer p.mu.Unlock()
	before := 0
	for _, name := range serving {
		h := p.hostsByName[name]
		if h == nil || !h.storeAnswers || h.leaving || now.Sub(h.lastSeen) >= storeWatcherTTL {
			continue
		}
		if !serves {
			return false
		}
		if rendezvousScore(storeWatchKey, name) > own {
			before++
		}
	}
	return before < storeWatchers
}

// storeWatchKey is the rendezvous key that ranks hosts for watching the store.
const storeWatchKey = "store"

// fetchNewer takes the versions that another host has and fetches from it, in the
// background, what is newer than this host's own. One fetch runs at a time.
func (p *peers) fetchNewer(address string, configuration, databases, evacuations uint64) {
	wantEvacuations := p.g.evacuations != nil && evacuations > p.g.evacuations.version()
	p.mu.Lock()
	wantConfiguration := configuration > p.g.config.Load().Version
	wantDatabases := databases > p.g.listVersion.Load()
	if p.fetching || !wantConfiguration && !wantDatabases && !wantEvacuations {
		p.mu.Unlock()
		return
	}
	p.fetching = true
	p.mu.Unlock()
	go func() {
		if wantEvacuations {
			p.fetchEvacuations(address)
		}
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
		p.g.log.Warn("Fetching the configuration from another host failed.", "part", "peers", "address", address, "error", err)
		return
	}
	p.g.applyConfiguration(raw, "host")
}

func (p *peers) fetchDatabases(address string) {
	raw, err := fetch(p.g.ctx, "http://"+address+databasesPath)
	var list databaseList
	if err == nil {
		err = json.Unmarshal(raw, &list)
	}
	if err != nil {
		p.g.log.Warn("Fetching the list of databases from another host failed.", "part", "peers", "address", address, "error", err)
		return
	}
	p.g.applyDatabaseList(list)
}

// fetch returns the body of a page of another host, cut off after maxFetchBytes.
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
		return nil, eris.Errorf("unexpected HTTP status %d", res.StatusCode)
	}
	return io.ReadAll(io.LimitReader(res.Body, maxFetchBytes))
}

func (p *peers) serveConfiguration(w http.ResponseWriter, _ *http.Request) {
	config := p.g.config.Load()
	if config.Version == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	p.writeBody(w, config.raw)
}

func (p *peers) serveDatabases(w http.ResponseWriter, _ *http.Request) {
	list := p.g.databaseList()
	raw, err := json.Marshal(list)
	if err != nil || list.Version == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	p.writeBody(w, raw)
}

func (p *peers) writeBody(w http.ResponseWriter, raw []byte) {
	if _, err := w.Write(raw); err != nil {
		p.g.log.Debug("Writing an HTTP response to another host failed.", "part", "peers", "error", err)
	}
}
