package costmodel

// heavyHitters keeps the most frequent values, and how their cost differs, in bounded memory:
// Space-Saving (Metwally, Agrawal, El Abbadi, "Efficient Computation of Frequent and Top-k
// Elements in Data Streams", 2005), in small sets so that a new value costs bounded time. Keys
// are seeded hashes: an outsider can't choose which values share a set.
type heavyHitters struct {
	Sets [heavyHitterSets][heavyHitterWays]heavyHitter `cbor:"Sets"`
}

const (
	heavyHitterSets = 64
	heavyHitterWays = 8
	// minHeavySamples is how often a value must have come before estimates are corrected by it.
	minHeavySamples = 6
	// minHeavyOffset is by how much, log2, its cost must differ from the usual one.
	minHeavyOffset = 0.6
	// maxHeavyCount bounds the count of a value.
	maxHeavyCount = 1 << 31
)

// heavyHitter is one frequent value, or one kind of similar values.
type heavyHitter struct {
	Key   uint64 `cbor:"Key"`
	Count uint32 `cbor:"Count"`
	// Offset is the cost relative to the estimate; of similar values, relative to what their
	// shapes usually cost.
	Offset LogTracker `cbor:"Offset"`
	// PriorError and HintError are the errors made on similar values.
	PriorError LogTracker `cbor:"Prior"`
	HintError  LogTracker `cbor:"Hint"`
}

// significant tells whether enough is known of the value to correct estimates by it.
func (h *heavyHitter) significant() bool {
	return h.Offset.Samples >= minHeavySamples && (h.Offset.Center > minHeavyOffset || h.Offset.Center < -minHeavyOffset)
}

// find returns the value of a key, or nil. No value has key 0.
func (h *heavyHitters) find(key uint64) *heavyHitter {
	if key == 0 {
		return nil
	}
	set := &h.Sets[key%heavyHitterSets]
	for i := range set {
		if set[i].Key == key {
			return &set[i]
		}
	}
	return nil
}

// count counts a value. A new one replaces the least frequent of its set.
func (h *heavyHitters) count(key uint64) *heavyHitter {
	hitter := h.find(key)
	if hitter == nil {
		set := &h.Sets[key%heavyHitterSets]
		hitter = &set[0]
		for i := range set {
			if set[i].Count < hitter.Count {
				hitter = &set[i]
			}
		}
		// It may have come as often as the value that it replaces.
		*hitter = heavyHitter{Key: key, Count: hitter.Count}
	}
	if hitter.Count < maxHeavyCount {
		hitter.Count++
	}
	return hitter
}

// similarityKey identifies values that look alike, whatever the shape, by their bucket and the
// column of their longest list or widest range: all districts in an array mean the same to every
// statement that takes one. It mixes the bits as the finalizer of SplitMix64 does, in part.
func similarityKey(bucket, column uint32) uint64 {
	h := uint64(bucket)<<32 | uint64(column)
	h = (h ^ h>>31) * 0x9e3779b97f4a7c15
	h ^= h >> 29
	if h == 0 {
		return 1 // 0 is no key
	}
	return h
}
