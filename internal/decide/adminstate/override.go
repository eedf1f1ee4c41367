package adminstate

import "time"

// Override is the latest decision of an operator on one engine. Processes exchange it, encoded as CBOR.
type Override struct {
	Disabled bool `cbor:"1,keyasint"` // the engine gets no new queries
	// At is the time of the decision, on a clock shared by all processes that exchange overrides.
	At time.Duration `cbor:"2,keyasint"`
	// DisabledSince is, for an engine that is enabled again, when it was disabled; 0 means never.
	DisabledSince time.Duration `cbor:"3,keyasint,omitempty"`
}

// Overrides are the operators' overrides by the id of the engine.
type Overrides map[string]Override

// Merge returns which of two overrides for an engine takes effect: the later one. Of two with the same
// time it is the one that disables, as that is the cautious choice, and if both or neither disable, the
// one with the later DisabledSince. Merge is commutative, associative and idempotent, so processes agree
// in whatever order and however often they merge.
func (o Override) Merge(other Override) Override {
	if o.before(other) {
		return other
	}
	return o
}

// before reports whether other takes effect rather than o.
func (o Override) before(other Override) bool {
	switch {
	case o.At != other.At:
		return o.At < other.At
	case o.Disabled != other.Disabled:
		return other.Disabled
	}
	return o.DisabledSince < other.DisabledSince
}
