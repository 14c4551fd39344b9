package objectapi

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Pauses between the tries of UpdateOwn.
const (
	ownMinBackoff = 20 * time.Millisecond
	ownMaxBackoff = time.Second
)

// UpdateOwn stores value under a condition although answers may be lost:
// version is the version that it replaces, 0 creates the object. value must
// hold a unique id of the caller's by which isMine recognises it.
//
// When the outcome of a try is unknown it reads the object back. Its own value
// there means success; an unchanged object is written again under the same
// condition, so that at most one of the tries takes effect; a later version by
// another writer is ErrConflict, or ErrExists where the object was to be
// created. In these two cases the own value may have held for a while before
// the other replaced it, if a try's answer was lost.
//
// It goes on until ctx ends and then returns an error that wraps
// ErrUnavailable: the outcome is unknown.
func UpdateOwn(ctx context.Context, api Objects, kind, name string, version uint64, value []byte, isMine func([]byte) bool) (Object, error) {
	o := &ownUpdate{api: api, kind: kind, name: name, version: version, value: value, isMine: isMine}
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = ownMinBackoff, ownMaxBackoff
	for {
		obj, done, err := o.try(ctx)
		if done {
			return obj, err
		}
		if !wait(ctx, pause.NextBackOff()) {
			return Object{}, fmt.Errorf("%w: %s/%s: outcome unknown: %w", ErrUnavailable, kind, name, err)
		}
	}
}

// ownUpdate is one run of UpdateOwn.
type ownUpdate struct {
	api        Objects
	kind, name string
	version    uint64
	value      []byte
	isMine     func([]byte) bool
	unsure     bool // a try may have taken effect without an answer
}

// try writes once and, where the outcome is unknown, reads back. done is false
// when nothing is decided yet.
func (o *ownUpdate) try(ctx context.Context) (obj Object, done bool, err error) {
	obj, err = o.write(ctx)
	switch {
	case err == nil:
		return obj, true, nil
	case errors.Is(err, ErrBudget):
		return Object{}, !o.unsure, err
	case !o.unsure && isRefusal(err):
		return Object{}, true, err
	}
	o.unsure = true
	obj, readErr := o.api.Get(ctx, o.kind, o.name)
	switch {
	case readErr != nil:
		return Object{}, false, errors.Join(err, readErr)
	case o.isMine(obj.Value):
		return obj, true, nil
	case obj.Version > o.version:
		return Object{}, true, o.lost()
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

// lost returns the error of a condition that another writer has broken.
func (o *ownUpdate) lost() error {
	if o.version == 0 {
		return ErrExists
	}
	return ErrConflict
}

// isRefusal reports whether the platform itself said that a write did not
// take effect.
func isRefusal(err error) bool {
	return errors.Is(err, ErrConflict) || errors.Is(err, ErrExists) || errors.Is(err, ErrNotFound)
}

// wait pauses for d and reports false when ctx ended first.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
