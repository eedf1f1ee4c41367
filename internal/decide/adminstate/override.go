package adminstate

import "time"

// Override is what operators said last of one engine. Processes exchange it, encoded as CBOR.
type Override struct {
	Disabled bool `cbor:"1,keyasint"` // the engine gets nothing new
	// At is when operators said it, on a clock that all processes which exchange overrides share.
	At time.Duration `cbor:"2,keyasint"`
	// DisabledSince is when the engine was disabled that is enabled again now; 0: it never was.
	DisabledSince time.Duration `cbor:"3,keyasint,omitempty"`
}

// Overrides are what operators said, by the engine's id.
type Overrides map[string]Override

// Merge returns the override that holds of two: the later one or, for two at the same time, the one
// that disables, which is the cautious one. It is commutative, associative and idempotent, so
// processes agree in whatever order and however often they merge.
func (o Override) Merge(other Override) Override {
	if o.before(other) {
		return other
	}
	return o
}

func (o Override) before(other Override) bool {
	switch {
	case o.At != other.At:
		return o.At < other.At
	case o.Disabled != other.Disabled:
		return other.Disabled
	}
	return o.DisabledSince < other.DisabledSince
}
