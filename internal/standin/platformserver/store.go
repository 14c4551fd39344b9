package platformserver

import (
	"errors"
	"slices"
	"strings"

	"github.com/bronzeloft/bronzeloft/platform"
)

// errTooLarge reports a value beyond platform.MaxValueBytes.
var errTooLarge = errors.New("value too large")

// objectKey names one object.
type objectKey struct{ kind, name string }

// store is the versioned set of objects with its recent events. It has no lock
// of its own: the server's mutex guards it.
type store struct {
	version   uint64 // of the last change
	objects   map[objectKey]platform.Object
	events    []platform.Event // the newest keep events, oldest first
	keep      int
	compacted uint64 // version of the newest dropped event
}

func newStore(keep int) *store {
	return &store{objects: map[objectKey]platform.Object{}, keep: keep}
}

// clone returns a copy that later changes leave alone.
func (st *store) clone() *store {
	c := *st
	c.objects = make(map[objectKey]platform.Object, len(st.objects))
	for k, o := range st.objects {
		c.objects[k] = o
	}
	c.events = slices.Clone(st.events)
	return &c
}

func (st *store) get(kind, name string) (platform.Object, error) {
	o, ok := st.objects[objectKey{kind, name}]
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	return o, nil
}

// list returns the objects of kind by name and the version that they show.
func (st *store) list(kind string) ([]platform.Object, uint64) {
	list := []platform.Object{}
	for k, o := range st.objects {
		if k.kind == kind {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b platform.Object) int { return strings.Compare(a.Name, b.Name) })
	return list, st.version
}

func (st *store) create(kind, name string, value []byte) (platform.Object, error) {
	if _, ok := st.objects[objectKey{kind, name}]; ok {
		return platform.Object{}, platform.ErrExists
	}
	return st.put(kind, name, value)
}

// update replaces the value if the stored version is version.
func (st *store) update(kind, name string, version uint64, value []byte) (platform.Object, error) {
	o, err := st.get(kind, name)
	if err != nil {
		return platform.Object{}, err
	}
	if o.Version != version {
		return platform.Object{}, platform.ErrConflict
	}
	return st.put(kind, name, value)
}

func (st *store) put(kind, name string, value []byte) (platform.Object, error) {
	if len(value) > platform.MaxValueBytes {
		return platform.Object{}, errTooLarge
	}
	st.version++
	o := platform.Object{Kind: kind, Name: name, Version: st.version, Value: value}
	st.objects[objectKey{kind, name}] = o
	st.record(platform.Event{Type: platform.Put, Object: o})
	return o, nil
}

func (st *store) delete(kind, name string) error {
	o, err := st.get(kind, name)
	if err != nil {
		return err
	}
	delete(st.objects, objectKey{kind, name})
	st.version++
	o.Version, o.Value = st.version, nil
	st.record(platform.Event{Type: platform.Delete, Object: o})
	return nil
}

func (st *store) record(e platform.Event) {
	st.events = append(st.events, e)
	if len(st.events) > st.keep {
		st.compact(len(st.events) - st.keep)
	}
}

// compact drops the n oldest events.
func (st *store) compact(n int) {
	if n <= 0 {
		return
	}
	st.compacted = st.events[n-1].Object.Version
	st.events = slices.Clone(st.events[n:])
}

// since returns the events of kind after version.
func (st *store) since(kind string, version uint64) ([]platform.Event, error) {
	if version < st.compacted || version > st.version {
		return nil, platform.ErrCompacted
	}
	list := []platform.Event{}
	for _, e := range st.events {
		if e.Object.Version > version && e.Object.Kind == kind {
			list = append(list, e)
		}
	}
	return list, nil
}
