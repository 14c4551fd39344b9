package contract

import (
	"context"
	"encoding/json"
	"errors"
	"sync"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/bronzeloft/bronzeloft/objectapi"
)

// fetchesAtOnce bounds the chunk reads that one Fetcher has in flight.
const fetchesAtOnce = 8

// Fetcher reads published snapshots and keeps the chunks of the last one, so
// that a change costs only the chunks that changed. It is safe for concurrent
// use. It keeps at most the chunks of one snapshot.
type Fetcher struct {
	api objectapi.API

	mu    sync.Mutex        // guards known
	known map[string]*chunk // by hash; never changed once stored
}

// NewFetcher returns a fetcher that knows no chunk.
func NewFetcher(api objectapi.API) *Fetcher {
	return &Fetcher{api: api, known: map[string]*chunk{}}
}

// Fetch reads the snapshot in force and verifies every chunk against the hash
// that the head names. It returns ErrNotPublished, ErrChunkMissing, ErrCorrupt,
// or the platform's error.
func Fetch(ctx context.Context, api objectapi.API) (*Snapshot, error) {
	return NewFetcher(api).Fetch(ctx)
}

// Fetch is the function Fetch with the chunks that f knows.
func (f *Fetcher) Fetch(ctx context.Context) (*Snapshot, error) {
	head, _, err := ReadHead(ctx, f.api)
	if err != nil {
		return nil, err
	}
	return f.FetchHead(ctx, head)
}

// FetchHead reads the snapshot of a head that is at hand already, such as one
// that a watch delivered.
func (f *Fetcher) FetchHead(ctx context.Context, head *Head) (*Snapshot, error) {
	s, err := f.fetchParts(ctx, head.Version, head.Parts)
	if err != nil {
		return nil, err
	}
	f.keepOnly(head.Parts)
	return s, nil
}

// FetchVersion reads an earlier snapshot by the head that remembers it, or
// returns ErrTooOld.
func (f *Fetcher) FetchVersion(ctx context.Context, head *Head, version uint64) (*Snapshot, error) {
	pub := head.recent(func(p Publication) bool { return p.Version == version })
	if pub == nil {
		return nil, eris.Wrapf(ErrTooOld, "version %d", version)
	}
	list, err := f.read(ctx, Part{Name: "manifest", Hash: pub.Manifest})
	if err != nil {
		return nil, err
	}
	return f.fetchParts(ctx, version, list.Manifest)
}

// ReadHead reads the head object and the object's version, which a conditional
// update of it must name.
func ReadHead(ctx context.Context, api objectapi.API) (*Head, uint64, error) {
	obj, err := api.Get(ctx, objectapi.KindHead, objectapi.HeadName)
	if errors.Is(err, objectapi.ErrNotFound) {
		return nil, 0, ErrNotPublished
	}
	if err != nil {
		return nil, 0, eris.Wrap(err, "contract: read head")
	}
	head, err := DecodeHead(obj.Value)
	return head, obj.Version, err
}

func (f *Fetcher) fetchParts(ctx context.Context, version uint64, parts []Part) (*Snapshot, error) {
	chunks := make([]*chunk, len(parts))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(fetchesAtOnce)
	for i, part := range parts {
		group.Go(func() error {
			c, err := f.read(ctx, part)
			chunks[i] = c
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return assemble(version, chunks), nil
}

// read returns one chunk, from memory where it is known.
func (f *Fetcher) read(ctx context.Context, part Part) (*chunk, error) {
	if c := f.lookup(part.Hash); c != nil {
		return c, nil
	}
	obj, err := f.api.Get(ctx, objectapi.KindChunk, part.Hash)
	if errors.Is(err, objectapi.ErrNotFound) {
		return nil, eris.Wrapf(ErrChunkMissing, "%s %s", part.Name, part.Hash)
	}
	if err != nil {
		return nil, eris.Wrapf(err, "contract: read chunk %s", part.Name)
	}
	if hashOf(obj.Value) != part.Hash {
		return nil, eris.Wrapf(ErrCorrupt, "chunk %s does not hash to %s", part.Name, part.Hash)
	}
	c := &chunk{}
	if err := json.Unmarshal(obj.Value, c); err != nil {
		return nil, eris.Wrapf(ErrCorrupt, "chunk %s: %v", part.Name, err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.known[part.Hash] = c
	return c, nil
}

func (f *Fetcher) lookup(hash string) *chunk {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known[hash]
}

// keepOnly forgets every chunk that parts do not name.
func (f *Fetcher) keepOnly(parts []Part) {
	f.mu.Lock()
	defer f.mu.Unlock()
	kept := make(map[string]*chunk, len(parts))
	for _, p := range parts {
		if c := f.known[p.Hash]; c != nil {
			kept[p.Hash] = c
		}
	}
	f.known = kept
}

// Unreferenced lists the chunks that neither the head nor the versions that it
// remembers name. The platform has no call to delete an object, so this only
// names what its operators may remove. A chunk that is newer than the head may
// belong to a publishing under way and is not listed; remove a chunk only when
// it is listed twice, an hour apart.
func Unreferenced(ctx context.Context, api objectapi.API) ([]string, error) {
	head, headVersion, err := ReadHead(ctx, api)
	if err != nil {
		return nil, err
	}
	used, err := referenced(ctx, api, head)
	if err != nil {
		return nil, err
	}
	objects, _, err := api.List(ctx, objectapi.KindChunk)
	if err != nil {
		return nil, eris.Wrap(err, "contract: list chunks")
	}
	var free []string
	for _, o := range objects {
		if !used[o.Name] && o.Version < headVersion {
			free = append(free, o.Name)
		}
	}
	return free, nil
}

// referenced returns the hashes that head and its memory name.
func referenced(ctx context.Context, api objectapi.API, head *Head) (map[string]bool, error) {
	used := map[string]bool{}
	for _, p := range head.Parts {
		used[p.Hash] = true
	}
	f := NewFetcher(api)
	for _, pub := range head.Recent {
		used[pub.Manifest] = true
		list, err := f.read(ctx, Part{Name: "manifest", Hash: pub.Manifest})
		if err != nil {
			return nil, err
		}
		for _, p := range list.Manifest {
			used[p.Hash] = true
		}
	}
	return used, nil
}
