package platformserver

import (
	"errors"
	"slices"
	"strings"

	"github.com/bronzeloft/bronzeloft/objectapi"
)

// errTooLarge reports a value beyond objectapi.MaxValueBytes.
var errTooLarge = errors.New("value too large")

// objectKey names one object.
type objectKey struct{ kind, name string }

// store is the versioned set of objects with its recent events. It has no lock
// of its own: the server's mutex guards it.
type store struct {
	version   uint64 // of the last change
	objects   map[objectKey]objectapi.Object
	events    []objectapi.Event // the newest keep events, oldest first
	keep      int
	compacted uint64 // version of the newest dropped event
}

func newStore(keep int) *store {
	return &store{objects: map[objectKey]objectapi.Object{}, keep: keep}
}

// clone returns a copy that later changes leave alone.
func (st *store) clone() *store {
	c := *st
	c.objects = make(map[objectKey]objectapi.Object, len(st.objects))
	for k, o := range st.objects {
		c.objects[k] = o
	}
	c.events = slices.Clone(st.events)
	return &c
}

func (st *store) get(kind, name string) (objectapi.Object, error) {
	o, ok := st.objects[objectKey{kind, name}]
	if !ok {
		return objectapi.Object{}, objectapi.ErrNotFound
	}
	return o, nil
}

// list returns the objects of kind by name and the version that they show.
func (st *store) list(kind string) ([]objectapi.Object, uint64) {
	list := []objectapi.Object{}
	for k, o := range st.objects {
		if k.kind == kind {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b objectapi.Object) int { return strings.Compare(a.Name, b.Name) })
	return list, st.version
}

func (st *store) create(kind, name string, value []byte) (objectapi.Object, error) {
	if _, ok := st.objects[objectKey{kind, name}]; ok {
		return objectapi.Object{}, objectapi.ErrExists
	}
	return st.put(kind, name, value)
}

// update replaces the value if the stored version is version.
func (st *store) update(kind, name string, version uint64, value []byte) (objectapi.Object, error) {
	o, err := st.get(kind, name)
	if err != nil {
		return objectapi.Object{}, err
	}
	if o.Version != version {
		return objectapi.Object{}, objectapi.ErrConflict
	}
	return st.put(kind, name, value)
}

func (st *store) put(kind, name string, value []byte) (objectapi.Object, error) {
	if len(value) > objectapi.MaxValueBytes {
		return objectapi.Object{}, errTooLarge
	}
	st.version++
	o := objectapi.Object{Kind: kind, Name: name, Version: st.version, Value: value}
	st.objects[objectKey{kind, name}] = o
	st.record(objectapi.Event{Type: objectapi.Put, Object: o})
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
	st.record(objectapi.Event{Type: objectapi.Delete, Object: o})
	return nil
}

func (st *store) record(e objectapi.Event) {
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
func (st *store) since(kind string, version uint64) ([]objectapi.Event, error) {
	if version < st.compacted || version > st.version {
		return nil, objectapi.ErrCompacted
	}
	list := []objectapi.Event{}
	for _, e := range st.events {
		if e.Object.Version > version && e.Object.Kind == kind {
			list = append(list, e)
		}
	}
	return list, nil
}
