package platformserver

import (
	"errors"
	"slices"
	"strings"

	"github.com/bronzeloft/bronzeloft/objectapi"
)

// errTooLarge is returned for a value of more than objectapi.MaxValueBytes.
var errTooLarge = errors.New("value too large")

// objectKey identifies one object.
type objectKey struct{ kind, name string }

// store is the versioned set of objects with its recent events. The server's
// mutex guards it.
type store struct {
	version   uint64 // version of the last change
	objects   map[objectKey]objectapi.Object
	events    []objectapi.Event // the newest events, at most maxEvents, oldest first
	maxEvents int
	compacted uint64 // version of the newest discarded event
}

func newStore(maxEvents int) *store {
	return &store{objects: map[objectKey]objectapi.Object{}, maxEvents: maxEvents}
}

// clone returns a copy that later changes to st do not affect.
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

// list returns the objects of kind sorted by name, and the version of the store.
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

// update replaces the object's value if its current version equals version. It
// returns objectapi.ErrConflict if not, and ErrNotFound if there is no object.
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
	if len(st.events) > st.maxEvents {
		st.compact(len(st.events) - st.maxEvents)
	}
}

// compact discards the n oldest events.
func (st *store) compact(n int) {
	if n <= 0 {
		return
	}
	st.compacted = st.events[n-1].Object.Version
	st.events = slices.Clone(st.events[n:])
}

// eventsAfter returns the events of kind after version. It returns
// objectapi.ErrCompacted if some of them may have been discarded, or if the store
// has not reached version.
func (st *store) eventsAfter(kind string, version uint64) ([]objectapi.Event, error) {
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
