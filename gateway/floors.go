package gateway

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/objectapi"
	"github.com/bronzeloft/bronzeloft/position"
)

// kindFloors is the object kind with one succession.KeptFloor for each service: what its
// lease names too, for a holder that follows a host of older rules, which rewrites the
// lease without it.
const kindFloors = succession.KindFloors

// readFloor raises the term and the floor of a lease that a host of older rules has written
// to those that are kept beside it.
func (a *replacement) readFloor(ctx context.Context) error {
	object, err := a.s.g.platform.Objects().Get(ctx, kindFloors, a.s.name)
	if errors.Is(err, objectapi.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	var kept succession.KeptFloor
	if err := json.Unmarshal(object.Value, &kept); err != nil {
		a.log.Warn("Cannot decode the floor.", "error", err)
		return nil
	}
	a.leaseTerm, a.floor = max(a.leaseTerm, kept.Term), position.Max(a.floor, kept.Floor)
	return nil
}

// lastFloor returns what is kept beside the lease.
func (a *replacement) lastFloor() succession.KeptFloor {
	return succession.KeptFloor{Term: max(a.leaseTerm, a.newestTerm()), Floor: a.floor}
}

// keepFloor raises what is kept beside the lease, while the order that was given under it is
// under way.
func (a *replacement) keepFloor(last succession.KeptFloor) {
	if _, err := a.s.raiseFloor(last); err != nil {
		a.log.Warn("Floor not kept.", "floor", last.Floor.String(), "error", err)
	}
}

// raiseFloor raises what is kept beside the lease to the given values, and reports whether they were higher.
func (s *service) raiseFloor(last succession.KeptFloor) (raised bool, err error) {
	ctx, cancel := context.WithTimeout(s.g.ctx, controlTimeout)
	defer cancel()
	store := s.g.platform.Objects()
	object, err := store.Get(ctx, kindFloors, s.name)
	if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
		return false, err
	}
	var kept succession.KeptFloor
	if err == nil && json.Unmarshal(object.Value, &kept) != nil {
		kept = succession.KeptFloor{}
	}
	next := succession.KeptFloor{Term: max(kept.Term, last.Term), Floor: position.Max(kept.Floor, last.Floor)}
	if next == kept {
		return false, nil
	}
	value, err := json.Marshal(next)
	if err == nil && object.Version == 0 {
		_, err = store.Create(ctx, kindFloors, s.name, value)
	} else if err == nil {
		_, err = store.Update(ctx, kindFloors, s.name, object.Version, value)
	}
	return err == nil, err
}
