package objectapi

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
)

// HeaderEra is the header in which the store names its era. The era rises by one each time the
// store returns from an older copy of itself: revisions that it gave out since that copy
// are then given out again.
const HeaderEra = "Store-Era"

// revisionBits is the number of bits of a version that hold the revision; those above hold the era.
// With maxEra, versions stay below 2^53.
const (
	revisionBits = 40
	maxRevision  = 1<<revisionBits - 1
	maxEra       = 1<<13 - 1
)

// EraOf returns the era that an answer names. It is 0, the era of a store that names none, if the
// header is missing or not a number in the range of eras.
func EraOf(h http.Header) uint64 {
	era, err := strconv.ParseUint(h.Get(HeaderEra), 10, 64)
	if err != nil || era > maxEra {
		return 0
	}
	return era
}

// VersionIn returns the version of a revision that was given out in an era. Versions of a later
// era are higher than those of an earlier one. In era 0 the version is the revision. A
// revision of 0 has no version: none was read.
func VersionIn(era, revision uint64) uint64 {
	if era == 0 || revision == 0 {
		return revision
	}
	return era<<revisionBits | min(revision, maxRevision)
}

// Era returns the era of a version, and Revision its revision.
func Era(version uint64) uint64 {
	if era := version >> revisionBits; era <= maxEra {
		return era
	}
	return 0
}

// Revision returns the revision of a version. See Era.
func Revision(version uint64) uint64 {
	if Era(version) == 0 {
		return version
	}
	return version & maxRevision
}

// FromStore names the store as the one that told of an era.
const FromStore = "store"

// Eras is what one host knows of the store's eras. The zero value knows none. It is safe
// for concurrent use.
type Eras struct {
	mu     sync.Mutex
	newest uint64
	risen  chan struct{} // closed at the next rise; nil if nobody waits for it
	onRise func(era, former uint64, from string)
}

// OnRise makes f be called, in the goroutine that learned of it, after each rise.
// from names who named the era.
func (e *Eras) OnRise(f func(era, former uint64, from string)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onRise = f
}

// Newest returns the newest era known.
func (e *Eras) Newest() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest
}

// Risen returns a channel that is closed once an era after the given one is known.
func (e *Eras) Risen(era uint64) <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.risen == nil {
		e.risen = make(chan struct{})
	}
	if e.newest > era {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	return e.risen
}

// Learn records an era that an answer or another host named.
func (e *Eras) Learn(era uint64, from string) {
	e.mu.Lock()
	former, rises := e.newest, era > e.newest && era <= maxEra
	if !rises {
		e.mu.Unlock()
		return
	}
	e.newest = era
	if e.risen != nil {
		close(e.risen)
		e.risen = nil
	}
	onRise := e.onRise
	e.mu.Unlock()
	if onRise != nil {
		onRise(era, former, from)
	}
}

// Admit records the era of an answer. An answer of an earlier era than the newest known
// is none: it fails with ErrUnavailable.
func (e *Eras) Admit(era uint64) error {
	e.Learn(era, FromStore)
	if newest := e.Newest(); era < newest {
		return fmt.Errorf("%w: answer of era %d of the store, which is in era %d", ErrUnavailable, era, newest)
	}
	return nil
}

// Of returns the era of a version. While no era is known each version is a plain revision, however high.
// Version 0, that of a store without any writes, is of the newest era known.
func (e *Eras) Of(version uint64) uint64 {
	if newest := e.Newest(); newest == 0 || version == 0 {
		return newest
	}
	return Era(version)
}

// Revision returns the revision of a version. See Of.
func (e *Eras) Revision(version uint64) uint64 {
	if e.Newest() == 0 {
		return version
	}
	return Revision(version)
}

// Outdated reports whether a version is of an earlier era than the newest known.
func (e *Eras) Outdated(version uint64) bool { return version != 0 && Era(version) < e.Newest() }

// WithinEra returns a context that ends once an era after the given one is known.
func (e *Eras) WithinEra(ctx context.Context, era uint64) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	risen := e.Risen(era)
	go func() {
		select {
		case <-risen:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// WrittenAcross is the error of a conditional write that succeeded in a later era than that of
// its version, which another object may have had there.
func WrittenAcross(kind, name string, version, era uint64) error {
	return fmt.Errorf("%w: %s/%s, read in era %d of the store, was written in era %d: outcome unknown", ErrUnavailable, kind, name, Era(version), era)
}

// WatchedBefore is the error of a watch from a version of an earlier era.
func WatchedBefore(kind string, version uint64) error {
	return fmt.Errorf("%w: %s was followed in era %d of the store", ErrCompacted, kind, Era(version))
}

// setEra turns the revisions in an answer into versions of an era.
func setEra(answer any, era uint64) {
	switch a := answer.(type) {
	case *Object:
		a.Version = VersionIn(era, a.Version)
	case *ListAnswer:
		a.Version = VersionIn(era, a.Version)
		for i := range a.Objects {
			a.Objects[i].Version = VersionIn(era, a.Objects[i].Version)
		}
	case *WatchAnswer:
		a.Version = VersionIn(era, a.Version)
		for i := range a.Events {
			a.Events[i].Object.Version = VersionIn(era, a.Events[i].Object.Version)
		}
	}
}
