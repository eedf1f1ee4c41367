package handover

import (
	"time"

	"gannetspur/internal/core"
	decide "gannetspur/internal/decide/handover"
	"gannetspur/policy"
)

// RequestRecord reports on the request in flight on a connection, whenever the sends after which it may have run
// change: right before the target sends it to an engine or to another site, and once such a send is known to have run
// nothing. It replaces the previous record of the connection. A source that does not know AttemptsKnown reads the
// fields up to Deadline only.
type RequestRecord struct {
	Conn uint32 `cbor:"1,keyasint"`
	// UngroupedIdempotency is a decide.Idempotency that holds wherever the request is sent again.
	UngroupedIdempotency uint8         `cbor:"2,keyasint"`
	FirstSentAt          time.Duration `cbor:"3,keyasint"` // when any process first sent the request
	KeyWindow            time.Duration `cbor:"4,keyasint"` // how long after FirstSentAt engines drop repeats of a request with a key
	Deadline             time.Duration `cbor:"5,keyasint"` // when the client stops waiting
	// AttemptsKnown means that the sender set the fields below.
	AttemptsKnown bool                 `cbor:"6,keyasint,omitempty"`
	Attempts      []core.AttemptRecord `cbor:"7,keyasint,omitempty"` // the sends after which the request may have run
	Idempotency   uint8                `cbor:"8,keyasint,omitempty"` // a decide.Idempotency: that of the request's class
	// Class and Key are set if only some engines drop a repeat of the request's idempotency key.
	Class string `cbor:"9,keyasint,omitempty"`
	Key   string `cbor:"10,keyasint,omitempty"`
}

// newRequestRecord returns the record of a request that is in flight on a connection.
func newRequestRecord(conn uint32, deadline time.Duration, idempotency policy.Idempotency, attempts []policy.PriorAttempt) *RequestRecord {
	m := &RequestRecord{
		Conn: conn, Deadline: deadline, AttemptsKnown: true, Idempotency: uint8(idempotency),
		UngroupedIdempotency: uint8(ungroupedIdempotency(idempotency, attempts)),
	}
	windowEnd := time.Duration(0)
	for i, a := range attempts {
		m.Attempts = append(m.Attempts, core.NewAttemptRecord(a))
		if i == 0 || a.SentAt < m.FirstSentAt {
			m.FirstSentAt = a.SentAt
		}
		if end := a.WindowEnd(a.Window); i == 0 || end < windowEnd {
			windowEnd = end
		}
	}
	m.KeyWindow = max(windowEnd-m.FirstSentAt, 0)
	return m
}

// ungroupedIdempotency returns the idempotency of a request if it is sent again to an engine of any group.
func ungroupedIdempotency(idempotency policy.Idempotency, attempts []policy.PriorAttempt) decide.Idempotency {
	if len(attempts) == 0 || idempotency == policy.Idempotent {
		return decide.Idempotent
	}
	if idempotency == policy.NotIdempotent {
		return decide.NotIdempotent
	}
	for _, a := range attempts {
		if a.Scope != policy.DedupAll {
			return decide.NotIdempotent
		}
	}
	return decide.IdempotentWithKey
}

// priorAttempts returns the sends after which the request may have run. Those of a sender that does not report them
// one by one count as one at an unknown engine.
func (m *RequestRecord) priorAttempts() []policy.PriorAttempt {
	if !m.AttemptsKnown {
		return []policy.PriorAttempt{{SentAt: m.FirstSentAt, Window: m.KeyWindow}}
	}
	var attempts []policy.PriorAttempt
	for _, r := range m.Attempts {
		attempts = append(attempts, r.PriorAttempt())
	}
	return attempts
}

// idempotency returns the idempotency of the request's class in the target's settings. A value that this version does
// not know is read as not idempotent.
func (m *RequestRecord) idempotency() decide.Idempotency {
	idempotency := decide.Idempotency(m.UngroupedIdempotency)
	if m.AttemptsKnown {
		idempotency = decide.Idempotency(m.Idempotency)
	}
	if idempotency > decide.Idempotent {
		return decide.NotIdempotent
	}
	return idempotency
}

// request converts the record to the type that the state machine uses.
func (m *RequestRecord) request() decide.Request {
	attempts := m.priorAttempts()
	return decide.Request{
		InFlight: true, Idempotency: m.idempotency(), Sent: len(attempts) > 0, Attempts: attempts, Deadline: m.Deadline,
	}
}

// recover adds to an orphan what the record tells of its request.
func (m *RequestRecord) recover(orphan *core.Orphan, now time.Duration) {
	request := m.request()
	orphan.Attempts = request.Attempts
	orphan.Idempotency = policy.Idempotency(request.Idempotency)
	orphan.MustFail = decide.Recover(request, 0, now) != decide.Resend
}
