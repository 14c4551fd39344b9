package contract_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/bronzeloft/bronzeloft/objectapi"
)

var errAnswerLost = errors.New("answer lost")

// fakeAPI is an in-memory platform. Its hooks inject failures.
type fakeAPI struct {
	mu      sync.Mutex
	objects map[string]objectapi.Object // by kind and name
	version uint64
	calls   map[string]int // by operation and kind

	// before runs before each call, without the lock. If it returns an error, the
	// call returns that error and has no effect.
	before func(op, kind, name string) error
	// after runs after a call has taken effect. If it returns an error, the call
	// returns that error.
	after func(op, kind, name string) error
}

func newFakeAPI() *fakeAPI {
	return &fakeAPI{objects: map[string]objectapi.Object{}, calls: map[string]int{}}
}

// do runs body as one call, between the hooks.
func (f *fakeAPI) do(ctx context.Context, op, kind, name string, body func() error) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if f.before != nil {
		if err := f.before(op, kind, name); err != nil {
			return err
		}
	}
	f.mu.Lock()
	f.calls[op+" "+kind]++
	err := body()
	f.mu.Unlock()
	if err == nil && f.after != nil {
		return f.after(op, kind, name)
	}
	return err
}

func (f *fakeAPI) put(kind, name string, value []byte) objectapi.Object {
	f.version++
	o := objectapi.Object{Kind: kind, Name: name, Version: f.version, Value: slices.Clone(value)}
	f.objects[kind+"/"+name] = o
	return o
}

func (f *fakeAPI) Get(ctx context.Context, kind, name string) (o objectapi.Object, err error) {
	err = f.do(ctx, "get", kind, name, func() error {
		var ok bool
		if o, ok = f.objects[kind+"/"+name]; !ok {
			return objectapi.ErrNotFound
		}
		return nil
	})
	return o, err
}

func (f *fakeAPI) List(ctx context.Context, kind string) (all []objectapi.Object, version uint64, err error) {
	err = f.do(ctx, "list", kind, "", func() error {
		for _, o := range f.objects {
			if o.Kind == kind {
				all = append(all, o)
			}
		}
		version = f.version
		return nil
	})
	return all, version, err
}

func (f *fakeAPI) Create(ctx context.Context, kind, name string, value []byte) (o objectapi.Object, err error) {
	err = f.do(ctx, "create", kind, name, func() error {
		if _, ok := f.objects[kind+"/"+name]; ok {
			return objectapi.ErrExists
		}
		o = f.put(kind, name, value)
		return nil
	})
	return o, err
}

func (f *fakeAPI) Update(ctx context.Context, kind, name string, version uint64, value []byte) (o objectapi.Object, err error) {
	err = f.do(ctx, "update", kind, name, func() error {
		old, ok := f.objects[kind+"/"+name]
		if !ok {
			return objectapi.ErrNotFound
		}
		if old.Version != version {
			return objectapi.ErrConflict
		}
		o = f.put(kind, name, value)
		return nil
	})
	return o, err
}

func (f *fakeAPI) Watch(context.Context, string, uint64) ([]objectapi.Event, uint64, error) {
	return nil, 0, objectapi.ErrUnavailable
}

func (f *fakeAPI) Changes(context.Context, string, uint64) ([]objectapi.Event, uint64, error) {
	return nil, 0, objectapi.ErrUnavailable
}

func (f *fakeAPI) Hosts(context.Context) ([]objectapi.HostState, error) {
	return nil, objectapi.ErrUnavailable
}

// onFirstCall returns a hook that runs fn at the first call of op on kind only, so
// calls made by fn do not run it again.
func onFirstCall(op, kind string, fn func() error) func(string, string, string) error {
	var fired atomic.Bool
	return func(o, k, _ string) error {
		if o == op && k == kind && fired.CompareAndSwap(false, true) {
			return fn()
		}
		return nil
	}
}
