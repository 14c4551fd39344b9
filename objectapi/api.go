// Package objectapi is the client of the platform's object API, the system's
// only persistent storage.
package objectapi

import (
	"context"
	"errors"
)

// Object is one stored value. Version is set by the platform and increases
// with every change of any object.
type Object struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"` // at most MaxValueBytes
	Created string `json:"-"`     // when it was created, as the platform states it; empty if it does not
}

// MaxValueBytes limits the size of an object's value.
const MaxValueBytes = 1 << 20

// EventType is the kind of change that an Event reports.
type EventType string

// Put reports an object that was created or updated, Delete one that was
// deleted.
const (
	Put    EventType = "put"
	Delete EventType = "delete"
)

// Event is one change that a watch reports.
type Event struct {
	Type   EventType `json:"type"`
	Object Object    `json:"object"`
}

// Errors of the API. After ErrUnavailable, or an error that is not listed here, a
// write may or may not have taken effect.
var (
	ErrNotFound    = errors.New("platform: not found")
	ErrConflict    = errors.New("platform: version conflict")
	ErrExists      = errors.New("platform: already exists")
	ErrCompacted   = errors.New("platform: watch version compacted")
	ErrUnavailable = errors.New("platform: unavailable")
	ErrBudget      = errors.New("platform: call budget exhausted")
)

// HostState is one entry of the platform's list of hosts. The list may be out
// of date.
type HostState struct {
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	Leaving    bool   `json:"leaving"`
}

// API is the part of the platform's API that the system uses. Every call is
// bounded by ctx.
type API interface {
	Objects
	// Hosts returns the list of live and leaving hosts.
	Hosts(ctx context.Context) ([]HostState, error)
}

// Objects is the object store. Every call is bounded by ctx.
type Objects interface {
	// Get returns one object, or ErrNotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns all objects of a kind and the store version that the
	// list reflects.
	List(ctx context.Context, kind string) ([]Object, uint64, error)
	// Create stores a new object, or returns ErrExists and, if the platform sent it,
	// the object that exists; its Version is 0 otherwise.
	Create(ctx context.Context, kind, name string, value []byte) (Object, error)
	// Update replaces the value if the stored version is still version;
	// otherwise it returns ErrConflict.
	Update(ctx context.Context, kind, name string, version uint64, value []byte) (Object, error)
	// Watch returns the changes of a kind after version, and the version from
	// which the next watch continues. It waits until there is a change or the
	// server's wait time ends; in the latter case it returns no events. It returns
	// ErrCompacted when version is too old: the caller then has to list again.
	Watch(ctx context.Context, kind string, version uint64) ([]Event, uint64, error)
	// Changes returns what Watch does, without waiting for a change.
	Changes(ctx context.Context, kind string, version uint64) ([]Event, uint64, error)
}

// Kinds of objects that the system stores.
const (
	KindHead  = "config-head"  // one object, HeadName: lists the chunks of the current snapshot
	KindChunk = "config-chunk" // named by content hash
	KindGroup = "group"        // published GroupState, one per database group
	HeadName  = "current"
)

// GroupState is the platform's record of a database group. It publishes the
// result of a promotion; it is not the authority on which database is primary.
type GroupState struct {
	Group   string `json:"group"`
	Term    uint64 `json:"term"`
	Primary string `json:"primary"` // database id
	Claim   string `json:"claim"`   // unique id of the claim that wrote the record
}
