package succession

import (
	"maps"
	"slices"
)

// Restore returns the roster merged with one that had a version of an earlier era and that the
// copy from which the store returned lacks. The result says no less than either.
func (r Roster) Restore(known Roster, version uint64) Roster {
	out := r
	out.Base = max(r.Base, version)
	if known.Term > r.Term {
		out.Primary, out.Term = known.Primary, known.Term
	}
	out.Databases = maps.Clone(known.Databases)
	if out.Databases == nil {
		out.Databases = map[string]Place{}
	}
	for id, place := range r.Databases {
		if other, ok := out.Databases[id]; ok {
			place = place.restore(other)
		}
		out.Databases[id] = place
	}
	return out
}

// restore merges what two rosters say of a database. The process that started last is the present one.
func (p Place) restore(known Place) Place {
	later, earlier := known, p
	if p.StartMillis > known.StartMillis {
		later, earlier = p, known
	}
	out := later
	starts := slices.Concat(p.FormerStarts, known.FormerStarts)
	if earlier.StartMillis != later.StartMillis {
		starts = append(starts, earlier.StartMillis)
	} else {
		out.Retiring = p.Retiring || known.Retiring
	}
	slices.Sort(starts)
	out.FormerStarts = slices.Compact(starts)
	out.Abandoned = p.Abandoned && known.Abandoned
	return out
}

// Holds reports whether the roster says no less than another one that Restore made of it.
func (r Roster) Holds(merged Roster) bool {
	return r.Term >= merged.Term && maps.EqualFunc(r.Databases, merged.Databases, Place.equal)
}
