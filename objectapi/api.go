// Package objectapi is the client of the platform's object API, the only place
// where the system keeps anything.
package objectapi

import (
	"context"
	"errors"
)

// Object is one stored value. Version is set by the platform and rises with
// every change of any object.
type Object struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"` // at most MaxValueBytes
}

// MaxValueBytes bounds an object's value.
const MaxValueBytes = 1 << 20

// EventType says what happened to an object.
type EventType string

// The event types.
const (
	Put    EventType = "put"
	Delete EventType = "delete"
)

// Event is one change that a watch reports.
type Event struct {
	Type   EventType `json:"type"`
	Object Object    `json:"object"`
}

// Errors of the API. Any other error means that the call's effect is unknown.
var (
	ErrNotFound    = errors.New("platform: not found")
	ErrConflict    = errors.New("platform: version conflict")
	ErrExists      = errors.New("platform: already exists")
	ErrCompacted   = errors.New("platform: watch version compacted")
	ErrUnavailable = errors.New("platform: unavailable")
	ErrBudget      = errors.New("platform: call budget spent")
)

// HostState is one line of the platform's list of hosts. The list lags.
type HostState struct {
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	Leaving    bool   `json:"leaving"`
}

// API is the platform as the system uses it. Every call is bounded by ctx.
type API interface {
	Objects
	// Hosts returns the list of live and leaving hosts.
	Hosts(ctx context.Context) ([]HostState, error)
}

// Objects is the object store. Every call is bounded by ctx.
type Objects interface {
	// Get returns one object, or ErrNotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns all objects of a kind and the version that the list shows.
	List(ctx context.Context, kind string) ([]Object, uint64, error)
	// Create stores a new object, or returns ErrExists.
	Create(ctx context.Context, kind, name string, value []byte) (Object, error)
	// Update replaces the value if the stored version still is version, or
	// returns ErrConflict.
	Update(ctx context.Context, kind, name string, version uint64, value []byte) (Object, error)
	// Watch returns the changes of a kind after version, waiting until there is
	// one or the server's wait ends (no events). It returns ErrCompacted when
	// the version is too old: list again.
	Watch(ctx context.Context, kind string, version uint64) ([]Event, uint64, error)
}

// Kinds of objects that the system stores.
const (
	KindHead  = "config-head"  // one object, HeadName: the current snapshot's chunks
	KindChunk = "config-chunk" // named by content hash
	KindGroup = "group"        // published GroupState, one per database group
	HeadName  = "current"
)

// GroupState is the platform's record of a database group: publication of a
// promotion, not its authority.
type GroupState struct {
	Group   string `json:"group"`
	Term    uint64 `json:"term"`
	Primary string `json:"primary"` // database id
	Claim   string `json:"claim"`   // unique id of the claim that wrote the record
}
