package costmodel

// heavy keeps the values that are asked for most, and how their cost differs, in
// bounded memory: Space-Saving (Metwally, Agrawal, El Abbadi, "Efficient Computation of
// Frequent and Top-k Elements in Data Streams", 2005), in sets of a few places so that a
// value that is new costs a bounded time. Keys are seeded hashes: an outsider can't
// choose which values meet in a set.
type heavyHitters struct {
	Sets [heavySets][heavyWays]heavyHitter `cbor:"Sets"`
}

const (
	heavySets       = 64
	heavyWays       = 8
	minHeavySamples = 6   // times before a value has a say
	minHeavyOffset  = 0.6 // and by how many powers of two it must differ
)

type heavyHitter struct {
	Key    uint64     `cbor:"Key"`
	Count  uint32     `cbor:"Count"`
	Offset LogTracker `cbor:"Offset"` // of the cost: from the estimate, or, of values that look alike, from what the shape usually costs
	// Of values that look alike: the errors that these two voices made on them.
	PriorError LogTracker `cbor:"Prior"`
	HintError  LogTracker `cbor:"Hint"`
}

// telling tells whether enough is known of the value to correct by it.
func (h *heavyHitter) significant() bool {
	return h.Offset.Samples >= minHeavySamples && (h.Offset.Center > minHeavyOffset || h.Offset.Center < -minHeavyOffset)
}

func (h *heavyHitters) find(key uint64) *heavyHitter {
	if key == 0 {
		return nil
	}
	set := &h.Sets[key%heavySets]
	for i := range set {
		if set[i].Key == key {
			return &set[i]
		}
	}
	return nil
}

// add counts a value, in the place of the one that came least where it is new.
func (h *heavyHitters) count(key uint64) *heavyHitter {
	k := h.find(key)
	if k == nil {
		set := &h.Sets[key%heavySets]
		k = &set[0]
		for i := range set {
			if set[i].Count < k.Count {
				k = &set[i]
			}
		}
		*k = heavyHitter{Key: key, Count: k.Count} // it may have come as often as the one it replaces
	}
	if k.Count < 1<<31 {
		k.Count++
	}
	return k
}

// likeKey names values that look alike, whatever the shape: their bucket and the column
// that the longest list or widest range of them is of. All districts in an array mean
// the same to every statement that takes one.
func similarityKey(bucket, column uint32) uint64 {
	h := uint64(bucket)<<32 | uint64(column)
	h = (h ^ h>>31) * 0x9e3779b97f4a7c15
	if h ^= h >> 29; h == 0 {
		h = 1
	}
	return h
}
