package shape

// heavy keeps the values that are asked for most, and how their cost differs, in
// bounded memory: Space-Saving (Metwally, Agrawal, El Abbadi, "Efficient Computation of
// Frequent and Top-k Elements in Data Streams", 2005), in sets of a few places so that a
// value that is new costs a bounded time. Keys are seeded hashes: an outsider can't
// choose which values meet in a set.
type heavy struct {
	sets [heavySets][heavyWays]heavyKey
}

const (
	heavySets  = 64
	heavyWays  = 8
	heavyLeast = 6   // times before a value has a say
	heavyShift = 0.6 // and by how many powers of two it must differ
)

type heavyKey struct {
	key    uint64
	count  uint32
	offset Track
}

// telling tells whether enough is known of the value to correct by it.
func (h *heavyKey) telling() bool {
	return h.offset.N >= heavyLeast && (h.offset.Mid > heavyShift || h.offset.Mid < -heavyShift)
}

func (h *heavy) find(key uint64) *heavyKey {
	if key == 0 {
		return nil
	}
	set := &h.sets[key%heavySets]
	for i := range set {
		if set[i].key == key {
			return &set[i]
		}
	}
	return nil
}

func (h *heavy) add(key uint64, offset float64, forget bool) {
	k := h.find(key)
	if k == nil {
		set := &h.sets[key%heavySets]
		k = &set[0]
		for i := range set {
			if set[i].count < k.count {
				k = &set[i]
			}
		}
		*k = heavyKey{key: key, count: k.count} // it may have come as often as the one it replaces
	}
	if k.count < 1<<31 {
		k.count++
	}
	k.offset.Add(offset, forget)
}
