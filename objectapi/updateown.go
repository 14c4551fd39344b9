package objectapi

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Backoff between the attempts of UpdateOwn.
const (
	ownMinBackoff = 20 * time.Millisecond
	ownMaxBackoff = time.Second
)

// UpdateOwn stores value if the stored version is still version, or creates the
// object if version is 0. It determines the outcome even if answers are lost.
// value must contain an id that no other write uses; isOwn reports whether a
// stored value has this id.
//
// When the outcome of an attempt is unknown, UpdateOwn reads the object back. If
// the object has its own value, the write succeeded. If the object is unchanged,
// it writes again with the same version, so that at most one attempt takes
// effect. If another writer has stored a later version, it returns ErrConflict,
// or ErrExists if the object was to be created. In these two cases, if an answer
// was lost, its own value may have been stored for a while before the other
// writer replaced it.
//
// It returns ErrBudget or ErrNotFound at once if the first attempt fails with it.
// Otherwise it retries until ctx ends and then returns an error that wraps
// ErrUnavailable: the outcome is unknown.
func UpdateOwn(ctx context.Context, api Objects, kind, name string, version uint64, value []byte, isOwn func([]byte) bool) (Object, error) {
	o := &ownUpdate{api: api, kind: kind, name: name, version: version, value: value, isOwn: isOwn}
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = ownMinBackoff, ownMaxBackoff
	for {
		obj, done, err := o.attempt(ctx)
		if done {
			return obj, err
		}
		if !sleep(ctx, pause.NextBackOff()) {
			return Object{}, fmt.Errorf("%w: %s/%s: outcome unknown: %w", ErrUnavailable, kind, name, err)
		}
	}
}

// ownUpdate is the state of one call of UpdateOwn.
type ownUpdate struct {
	api            Objects
	kind, name     string
	version        uint64
	value          []byte
	isOwn          func([]byte) bool
	outcomeUnknown bool // an attempt without an answer may have taken effect
}

// attempt writes once and reads the object back if the outcome is unknown. done
// is false if another attempt is needed.
func (o *ownUpdate) attempt(ctx context.Context) (obj Object, done bool, err error) {
	obj, err = o.write(ctx)
	switch {
	case err == nil:
		return obj, true, nil
	case errors.Is(err, ErrBudget):
		return Object{}, !o.outcomeUnknown, err
	case !o.outcomeUnknown && isRefusal(err):
		return Object{}, true, err
	}
	o.outcomeUnknown = true
	obj, readErr := o.api.Get(ctx, o.kind, o.name)
	switch {
	case readErr != nil:
		return Object{}, false, errors.Join(err, readErr)
	case o.isOwn(obj.Value):
		return obj, true, nil
	case obj.Version > o.version:
		return Object{}, true, o.conflictError()
	default:
		return Object{}, false, err
	}
}

func (o *ownUpdate) write(ctx context.Context) (Object, error) {
	if o.version == 0 {
		return o.api.Create(ctx, o.kind, o.name, o.value)
	}
	return o.api.Update(ctx, o.kind, o.name, o.version, o.value)
}

// conflictError returns the error for an object that another writer has changed
// or created first.
func (o *ownUpdate) conflictError() error {
	if o.version == 0 {
		return ErrExists
	}
	return ErrConflict
}

// isRefusal reports whether err is the platform's answer that a write did not
// take effect.
func isRefusal(err error) bool {
	return errors.Is(err, ErrConflict) || errors.Is(err, ErrExists) || errors.Is(err, ErrNotFound)
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
