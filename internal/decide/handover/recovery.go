package handover

import "time"

// Idempotency says how far a request may be repeated, as in policy.
type Idempotency uint8

// The zero value is the most cautious.
const (
	NotIdempotent Idempotency = iota
	IdempotentWithKey
	Idempotent
)

// Request is the target's record of a request that it took. The target sends it before the
// next step: before the request goes to an engine, and before its answer is written.
type Request struct {
	InFlight         bool
	Idempotency      Idempotency
	Sent             bool          // it goes to an engine: it may have run
	FirstSend        time.Duration // by any process, on the clock that both processes share
	KeyWindow        time.Duration // for which engines drop a repeat, if IdempotentWithKey
	Deadline         time.Duration // when its client gives up
	ResponseLength   int           // bytes of the answer that is being written; 0: none yet
	ResponseRecorded bool          // the record holds that answer
}

// Recovery is what becomes of a request whose process died.
type Recovery uint8

// Recoveries.
const (
	NothingToRecover       Recovery = iota // no request, or it is answered
	Resend                                 // send it to an engine (again), with its key and the time of its first send
	ReportInDoubt                          // it may have run and may not be repeated: tell its client at once
	ReportDeadlineExceeded                 // its deadline has passed
	CloseConnection                        // part of its answer was written: close, so that its client can tell
	WriteRemainder                         // its answer is known: write what was not written of it
)

// keyWindowMargin is kept to the end of a key's window, for the way to the engine.
const keyWindowMargin = 50 * time.Millisecond

// Recover decides what becomes of a request of a process that died. written is how many bytes
// of the answer the kernel took on this connection since the record, whoever wrote them (tcp(7),
// TCP_INFO).
func Recover(r Request, written int, now time.Duration) Recovery {
	switch {
	case !r.InFlight:
		return NothingToRecover
	case r.ResponseLength > 0 && written >= r.ResponseLength:
		return NothingToRecover
	case r.ResponseLength > 0 && r.ResponseRecorded:
		return WriteRemainder
	case written > 0:
		return CloseConnection
	case now >= r.Deadline:
		return ReportDeadlineExceeded
	case !r.Sent || r.Idempotency == Idempotent:
		return Resend
	case r.Idempotency == IdempotentWithKey && now < r.FirstSend+r.KeyWindow-keyWindowMargin:
		return Resend
	}
	return ReportInDoubt
}
