package core

import (
	"time"

	"gannetspur/internal/decide/sentkeys"
	"gannetspur/policy"
)

// AttemptRecord is a policy.PriorAttempt, encoded as CBOR for other processes of the same machine.
type AttemptRecord struct {
	SentAt    time.Duration `cbor:"1,keyasint"`
	Engine    string        `cbor:"2,keyasint,omitempty"` // empty: unknown
	Zone      string        `cbor:"3,keyasint,omitempty"`
	Cell      int64         `cbor:"4,keyasint,omitempty"`
	Scope     uint8         `cbor:"5,keyasint,omitempty"` // one of the scope constants
	Window    time.Duration `cbor:"6,keyasint,omitempty"`
	OtherSite bool          `cbor:"7,keyasint,omitempty"`
	// EarlierRequest has the meaning of the field of the same name in policy.PriorAttempt.
	EarlierRequest bool `cbor:"8,keyasint,omitempty"`
}

// The values of AttemptRecord.Scope.
const (
	scopeCell uint8 = iota
	scopeZone
	scopeAll
)

// NewAttemptRecord encodes an attempt.
func NewAttemptRecord(a policy.PriorAttempt) AttemptRecord {
	return AttemptRecord{
		SentAt: a.SentAt, Engine: a.Placement.Engine, Zone: a.Placement.Zone, Cell: a.Placement.Cell,
		Scope: encodeScope(a.Scope), Window: a.Window, OtherSite: a.OtherSite, EarlierRequest: a.EarlierRequest,
	}
}

func encodeScope(scope policy.DedupScope) uint8 {
	switch scope {
	case policy.DedupAll:
		return scopeAll
	case policy.DedupZone:
		return scopeZone
	default:
		return scopeCell
	}
}

// PriorAttempt decodes the record. The group is unknown if this version does not know the scope.
func (r AttemptRecord) PriorAttempt() policy.PriorAttempt {
	a := policy.PriorAttempt{
		SentAt: r.SentAt, Placement: policy.Placement{Engine: r.Engine, Zone: r.Zone, Cell: r.Cell}, Window: r.Window, OtherSite: r.OtherSite, EarlierRequest: r.EarlierRequest,
	}
	switch r.Scope {
	case scopeAll:
		a.Scope = policy.DedupAll
	case scopeZone:
		a.Scope = policy.DedupZone
	case scopeCell:
		a.Scope = policy.DedupCell
	default:
		a.Placement = policy.Placement{}
	}
	return a
}

// SentKey is a sentkeys.Change, encoded as CBOR for other processes of the same machine.
type SentKey struct {
	Class    string        `cbor:"1,keyasint"`
	Token    string        `cbor:"2,keyasint"`
	Attempt  AttemptRecord `cbor:"3,keyasint"`
	NeverRan bool          `cbor:"4,keyasint,omitempty"`
}

// NewSentKey encodes a change.
func NewSentKey(change sentkeys.Change) SentKey {
	return SentKey{
		Class: change.Key.Class, Token: change.Key.Token, Attempt: NewAttemptRecord(change.Attempt), NeverRan: change.NeverRan,
	}
}

// Change decodes the change.
func (k SentKey) Change() sentkeys.Change {
	return sentkeys.Change{
		Key: sentkeys.Key{Class: k.Class, Token: k.Token}, Attempt: k.Attempt.PriorAttempt(), NeverRan: k.NeverRan,
	}
}
