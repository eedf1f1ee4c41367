package costmodel

// maxBuckets is the number of groups of value profiles that one shape distinguishes.
const maxBuckets = 8

// ShapeRecord is the cost history of one shape. All records have the same size. Snapshots store its
// fields under the names in their tags. All trackers are of log2 values.
type ShapeRecord struct {
	Executions      uint32             `cbor:"Seen"`    // number of executions; saturates at the maximum
	Work            LogTracker         `cbor:"All"`     // work, over all values
	PriorError      LogTracker         `cbor:"Offset"`  // work relative to the prior's prediction
	PriorPrediction LogTracker         `cbor:"Usual"`   // the prior's predictions
	HintError       LogTracker         `cbor:"Hint"`    // work relative to the hint
	MemoryHintError LogTracker         `cbor:"Memory"`  // memory relative to its hint
	Buckets         [maxBuckets]Bucket `cbor:"Buckets"` // cost by profile of values
}

// Bucket is the cost history of the executions of one shape whose values have similar profiles. A bucket
// without work samples is empty.
type Bucket struct {
	Key       uint32     `cbor:"Key"`    // identifies the profiles
	LastUsed  uint32     `cbor:"Used"`   // value of ShapeRecord.Executions at the last use
	Work      LogTracker `cbor:"Work"`   // work, log2 of ms
	Memory    LogTracker `cbor:"Memory"` // memory, log2 of MB
	HeldClass uint8      `cbor:"Class"`  // index of the current class plus 1; 0 means none yet
}

// empty reports whether the bucket is unused.
func (b *Bucket) empty() bool { return b.Work.Samples == 0 }

// findBucket returns the bucket with a key, or nil if there is none.
func (r *ShapeRecord) findBucket(key uint32) *Bucket {
	for i := range r.Buckets {
		b := &r.Buckets[i]
		if !b.empty() && b.Key == key {
			return b
		}
	}
	return nil
}

// bucketFor returns the bucket with a key. If there is none, it resets an empty bucket, or else the
// least recently used one, and gives it the key.
func (r *ShapeRecord) bucketFor(key uint32) *Bucket {
	if b := r.findBucket(key); b != nil {
		return b
	}
	replaced := &r.Buckets[0]
	for i := range r.Buckets {
		b := &r.Buckets[i]
		if b.empty() {
			replaced = b
			break
		}
		if b.LastUsed < replaced.LastUsed {
			replaced = b
		}
	}
	*replaced = Bucket{Key: key}
	return replaced
}
