package costmodel

// maxBuckets bounds the profiles of values that one shape keeps apart.
const maxBuckets = 8

// ShapeRecord is the cost history of one shape. Its size does not depend on the shape. It is
// stored in snapshots under the names of its tags.
type ShapeRecord struct {
	Executions      uint32             `cbor:"Seen"`   // saturating
	Work            LogTracker         `cbor:"All"`    // whatever the values
	PriorError      LogTracker         `cbor:"Offset"` // work relative to the prior's prediction
	PriorPrediction LogTracker         `cbor:"Usual"`
	HintError       LogTracker         `cbor:"Hint"`   // work relative to the hint
	MemoryHintError LogTracker         `cbor:"Memory"` // memory relative to its hint
	Buckets         [maxBuckets]Bucket `cbor:"Buckets"`
}

// Bucket is the cost history of the executions of one shape whose values have similar profiles.
type Bucket struct {
	Key       uint32     `cbor:"Key"`
	LastUsed  uint32     `cbor:"Used"` // ShapeRecord.Executions at the last use
	Work      LogTracker `cbor:"Work"`
	Memory    LogTracker `cbor:"Memory"`
	HeldClass uint8      `cbor:"Class"` // index of the class last decided, plus 1; 0: none yet
}

func (b *Bucket) empty() bool { return b.Work.Samples == 0 }

// findBucket returns the bucket of a profile, or nil.
func (r *ShapeRecord) findBucket(key uint32) *Bucket {
	for i := range r.Buckets {
		b := &r.Buckets[i]
		if !b.empty() && b.Key == key {
			return b
		}
	}
	return nil
}

// bucketFor returns the bucket of a profile. Where there is none, an empty bucket or the least
// recently used one is reset and becomes it.
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
