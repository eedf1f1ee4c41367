package handover

import (
	"slices"
	"time"

	"gannetspur/policy"
)

// Idempotency is whether a request may be sent to an engine again. It has the same values as the
// policy package's type.
type Idempotency uint8

// Levels of idempotency. The zero value is the most cautious one.
const (
	NotIdempotent     Idempotency = iota // must not run twice
	IdempotentWithKey                    // engines drop a repeat with the same idempotency key, see policy.PriorAttempt
	Idempotent                           // may run any number of times
)

// Request is the target's record of the request on a connection. The zero value means that there is
// none. The target sends a record to the source before it takes the step that the record describes:
// before it sends the request to an engine, and before it writes the response.
type Request struct {
	InFlight         bool
	Idempotency      Idempotency
	Sent             bool                  // the request is sent to an engine after this record, so it may have run
	Attempts         []policy.PriorAttempt // if Sent: the sends of all processes, on the clock that both processes share
	Deadline         time.Duration         // when the client gives up, on the same clock
	ResponseLength   int                   // bytes of the response that is being written; 0: none yet
	ResponseRecorded bool                  // the record includes those bytes, so that the source can write them itself
}

// Recovery is what happens to a request that was in flight in a process that died.
type Recovery uint8

// Values of Recovery.
const (
	NothingToRecover       Recovery = iota // there is no request, or its response was written completely
	Resend                                 // send it to an engine, for the first time or again, with its key and Attempts
	ReportInDoubt                          // it may have run and must not be repeated: tell the client so at once
	ReportDeadlineExceeded                 // tell the client that the deadline has passed
	CloseConnection                        // part of a lost response was written: close, so that the client notices
	WriteRemainder                         // the response is recorded: write the part that was not written
)

// keyWindowMargin is how long before the end of its key's window a request is not sent again any
// more, as a resend needs time to reach the engine.
const keyWindowMargin = 50 * time.Millisecond

// Recover decides what happens to a request of a process that died. written is the number of bytes
// that the kernel accepted on the connection since the record, by whichever process wrote them
// (tcp(7), TCP_INFO).
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
	case r.Idempotency == IdempotentWithKey && r.mayRepeatKey(now):
		return Resend
	}
	return ReportInDoubt
}

// mayRepeatKey reports whether it is known of every attempt which engines drop a repeat of it, and they still do so.
// The process that sends the repeat chooses one of these engines.
func (r Request) mayRepeatKey(now time.Duration) bool {
	return len(r.Attempts) > 0 && !slices.ContainsFunc(r.Attempts, func(a policy.PriorAttempt) bool {
		return !a.GroupKnown() || now >= a.WindowEnd(a.Window)-keyWindowMargin
	})
}
