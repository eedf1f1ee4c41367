package costmodel

// heavyHitters tracks the most frequent values, and how their cost differs, in bounded memory. It is the
// Space-Saving algorithm (Metwally, Agrawal, El Abbadi, "Efficient Computation of Frequent and Top-k
// Elements in Data Streams", 2005), divided into small sets so that adding a value takes bounded time.
// The keys of frequent values are seeded hashes, so that clients can't choose which values share a set.
type heavyHitters struct {
	Sets [heavyHitterSets][heavyHitterWays]heavyHitter `cbor:"Sets"`
}

const (
	heavyHitterSets = 64 // number of sets
	heavyHitterWays = 8  // number of values in each set
	// minHeavySamples is the number of executions with a value needed to correct estimates by it.
	minHeavySamples = 6
	// minHeavyOffset is the difference between the cost of a value and the usual cost, log2, from which
	// estimates are corrected by it.
	minHeavyOffset = 0.6
	// maxHeavyCount bounds the count of a value.
	maxHeavyCount = 1 << 31
)

// heavyHitter is a frequent value or a group of similar values. Its trackers are of log2 values.
type heavyHitter struct {
	Key   uint64 `cbor:"Key"`   // 0 means that the entry is empty
	Count uint32 `cbor:"Count"` // upper bound on the number of occurrences, up to maxHeavyCount
	// Offset is the work relative to the estimate for a frequent value, and relative to the usual work
	// of the shape for similar values.
	Offset LogTracker `cbor:"Offset"`
	// PriorError and HintError are the errors of the corrected prior and hint on similar values. They
	// are empty for a frequent value.
	PriorError LogTracker `cbor:"Prior"`
	HintError  LogTracker `cbor:"Hint"`
}

// significant reports whether estimates should be corrected by the value's offset: it is known well
// enough and large enough.
func (h *heavyHitter) significant() bool {
	return h.Offset.Samples >= minHeavySamples && (h.Offset.Center > minHeavyOffset || h.Offset.Center < -minHeavyOffset)
}

// find returns the entry with a key, or nil if there is none. No value has key 0.
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

// count counts an occurrence of a value and returns its entry. A new value replaces the least frequent
// one of its set.
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
		// The new value inherits the count, as it may have occurred up to that often before.
		*hitter = heavyHitter{Key: key, Count: hitter.Count}
	}
	if hitter.Count < maxHeavyCount {
		hitter.Count++
	}
	return hitter
}

// similarityKey returns the key of a group of values that are similar over all shapes: those with the
// same bucket key and the same column of their longest list or widest range. An array of all districts,
// for instance, has a similar effect in each statement that takes it. The bits are mixed by a part of
// the SplitMix64 finalizer.
func similarityKey(bucket, column uint32) uint64 {
	h := uint64(bucket)<<32 | uint64(column)
	h = (h ^ h>>31) * 0x9e3779b97f4a7c15
	h ^= h >> 29
	if h == 0 {
		return 1 // 0 is reserved for empty entries
	}
	return h
}
