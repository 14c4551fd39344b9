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

// maxConcurrentReads is the maximum number of chunk reads that one fetch of a
// snapshot has in flight.
const maxConcurrentReads = 8

// Fetcher reads published snapshots and caches the chunks of the latest one, so
// that after a change only the changed chunks are read. FetchHead evicts all other
// chunks. A Fetcher is safe for concurrent use.
type Fetcher struct {
	api objectapi.API

	mu    sync.Mutex        // guards cache
	cache map[string]*chunk // by hash; a stored chunk is never modified
}

// NewFetcher returns a fetcher with an empty cache.
func NewFetcher(api objectapi.API) *Fetcher {
	return &Fetcher{api: api, cache: map[string]*chunk{}}
}

// Fetch reads the snapshot in force and verifies every chunk against its hash in
// the head. It returns ErrNotPublished, ErrChunkMissing, ErrCorrupt, or the
// platform's error.
func Fetch(ctx context.Context, api objectapi.API) (*Snapshot, error) {
	return NewFetcher(api).Fetch(ctx)
}

// Fetch is like the function Fetch, but reads only the chunks that are not cached.
func (f *Fetcher) Fetch(ctx context.Context) (*Snapshot, error) {
	head, _, err := ReadHead(ctx, f.api)
	if err != nil {
		return nil, err
	}
	return f.FetchHead(ctx, head)
}

// FetchHead reads the snapshot of a head that the caller already has, such as one
// delivered by a watch.
func (f *Fetcher) FetchHead(ctx context.Context, head *Head) (*Snapshot, error) {
	s, err := f.fetchParts(ctx, head.Version, head.Parts)
	if err != nil {
		return nil, err
	}
	f.evictExcept(head.Parts)
	return s, nil
}

// FetchVersion reads an earlier snapshot that is in the publication history of
// head. It returns ErrTooOld if the version is not in that history.
func (f *Fetcher) FetchVersion(ctx context.Context, head *Head, version uint64) (*Snapshot, error) {
	pub := head.findRecent(func(p Publication) bool { return p.Version == version })
	if pub == nil {
		return nil, eris.Wrapf(ErrTooOld, "version %d", version)
	}
	manifest, err := f.read(ctx, Part{Name: "manifest", Hash: pub.Manifest})
	if err != nil {
		return nil, err
	}
	return f.fetchParts(ctx, version, manifest.Manifest)
}

// ReadHead returns the head and the version of the head object, which a
// conditional update of the object must pass. It returns ErrNotPublished,
// ErrCorrupt or the platform's error.
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
	group.SetLimit(maxConcurrentReads)
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

// read returns one chunk, from the cache if it is there.
func (f *Fetcher) read(ctx context.Context, part Part) (*chunk, error) {
	if c := f.lookup(part.Hash); c != nil {
		return c, nil
	}
	obj, err := f.api.Get(ctx, objectapi.KindChunk, part.Hash)
	if errors.Is(err, objectapi.ErrNotFound) {
		return nil, eris.Wrapf(ErrChunkMissing, "chunk %s with hash %s", part.Name, part.Hash)
	}
	if err != nil {
		return nil, eris.Wrapf(err, "contract: read chunk %s", part.Name)
	}
	if hashOf(obj.Value) != part.Hash {
		return nil, eris.Wrapf(ErrCorrupt, "content of chunk %s does not match hash %s", part.Name, part.Hash)
	}
	c := &chunk{}
	if err := json.Unmarshal(obj.Value, c); err != nil {
		return nil, eris.Wrapf(ErrCorrupt, "decode chunk %s: %v", part.Name, err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cache[part.Hash] = c
	return c, nil
}

func (f *Fetcher) lookup(hash string) *chunk {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cache[hash]
}

// evictExcept removes every chunk from the cache that is not in parts.
func (f *Fetcher) evictExcept(parts []Part) {
	f.mu.Lock()
	defer f.mu.Unlock()
	kept := make(map[string]*chunk, len(parts))
	for _, p := range parts {
		if c := f.cache[p.Hash]; c != nil {
			kept[p.Hash] = c
		}
	}
	f.cache = kept
}

// Unreferenced lists the chunks that are referenced neither by the head nor by a
// version in its publication history. The platform has no call to delete an
// object, so this only lists what the platform's operators may remove. A chunk
// that is newer than the head may belong to a publication in progress and is not
// listed. Remove a chunk only if it is listed twice, an hour apart.
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

// referenced returns the hashes of the chunks that head and its publication
// history refer to.
func referenced(ctx context.Context, api objectapi.API, head *Head) (map[string]bool, error) {
	used := map[string]bool{}
	for _, p := range head.Parts {
		used[p.Hash] = true
	}
	f := NewFetcher(api)
	for _, pub := range head.Recent {
		used[pub.Manifest] = true
		manifest, err := f.read(ctx, Part{Name: "manifest", Hash: pub.Manifest})
		if err != nil {
			return nil, err
		}
		for _, p := range manifest.Manifest {
			used[p.Hash] = true
		}
	}
	return used, nil
}
