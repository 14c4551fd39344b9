package takeovermodel

// visited is a hash table of states by their hash, with how each was reached first. Most
// look-ups are of states that are in it; each reads one cache line.
type visited struct {
	hashes  []uint64 // a power of two of them; 0 is a free place
	parents []parent
	used    int
}

// parent is how a state was reached first.
type parent struct {
	hash   uint64
	action Action
}

const firstPlaces = 1 << 10

// place returns the place of a hash, or the free one that it would take.
func (v *visited) place(hash uint64) int {
	mask := len(v.hashes) - 1
	i := int(hash>>8) & mask // the low bits choose the shard
	for v.hashes[i] != 0 && v.hashes[i] != hash {
		i = (i + 1) & mask
	}
	return i
}

func (v *visited) has(hash uint64) bool {
	return v.used != 0 && v.hashes[v.place(hash)] == hash
}

// add adds a state unless it is there, and reports whether it was not.
func (v *visited) add(hash uint64, from parent) bool {
	if 2*v.used >= len(v.hashes) {
		v.grow()
	}
	i := v.place(hash)
	if v.hashes[i] == hash {
		return false
	}
	v.hashes[i], v.parents[i] = hash, from
	v.used++
	return true
}

func (v *visited) grow() {
	former := *v
	size := max(firstPlaces, 2*len(former.hashes))
	*v = visited{hashes: make([]uint64, size), parents: make([]parent, size)}
	for i, h := range former.hashes {
		if h != 0 {
			v.add(h, former.parents[i])
		}
	}
}

// parent returns how a state that is there was reached.
func (v *visited) parent(hash uint64) parent { return v.parents[v.place(hash)] }
