package core

import "gannetspur/policy"

// Outcome is how a connection or an attempt ended: every way there is.
type Outcome uint8

// Outcomes. The zero value is the most cautious: the attempt may have run.
const (
	OutcomeUnknown           Outcome = iota
	OutcomeServed                    // the complete response is here
	OutcomeStatementRejected         // the engine found the statement itself at fault; it had no effect
	OutcomeResultTooLarge            // it ran, but its result is larger than can be held here
	OutcomeEngineError               // the engine answered with an error
	OutcomeEngineFull                // the engine rejected it unseen
	OutcomeDeadlinePassed            // the engine found its deadline passed before it ran
	OutcomePagesLost                 // it ran, but some pages of its result can't be fetched any more
	OutcomeTimeout                   // no answer within the attempt's time-out
	OutcomeConnectionRefused         // the engine refused the connection
	OutcomeConnectTimeout            // no connection in time
	OutcomeNoDescriptor              // no file descriptor was free for a connection
	OutcomeNoAddress                 // the endpoint list has no address for the engine
	OutcomeConnectionReset           // the connection broke
	OutcomeUnreadable                // what came on the connection can't be parsed
	OutcomeCancelled                 // cancelled from this side
	OutcomeNotSent                   // ended before any of it was written
	OutcomeNoFreeConnection          // no pooled connection was free in time: it was not sent
	OutcomeIdleClosed                // a connection with nothing open on it was closed
	outcomeCount
)

// outcomeNames are the names in counters.
var outcomeNames = [outcomeCount]string{
	"unknown", "served", "rejected", "too-large", "error", "full", "past", "pages-lost", "timeout", "refused", "connect-timeout",
	"no-descriptor", "no-engine", "reset", "garbage", "cancelled", "not-sent", "crowded", "idle",
}

// String is the outcome's name in counters.
func (o Outcome) String() string {
	if o < outcomeCount {
		return outcomeNames[o]
	}
	return outcomeNames[OutcomeUnknown]
}

// PolicyResult is what an outcome means to the policy. This is the only place that decides which
// outcomes prove that nothing ran; all others may have run.
func (o Outcome) PolicyResult() policy.Result {
	switch o {
	case OutcomeServed, OutcomeResultTooLarge: // the engine did its part
		return policy.ResultSuccess
	case OutcomeEngineError, OutcomePagesLost:
		return policy.ResultError
	case OutcomeEngineFull, OutcomeNoFreeConnection:
		return policy.ResultRejected
	case OutcomeTimeout:
		return policy.ResultTimeout
	case OutcomeConnectionRefused, OutcomeNoAddress:
		return policy.ResultConnectFailed
	case OutcomeConnectTimeout:
		return policy.ResultConnectTimeout
	case OutcomeConnectionReset:
		return policy.ResultConnectionLost
	case OutcomeUnreadable: // an answer may be corrupted on its way: it says nothing of the engine's health
		return policy.ResultUnknown
	case OutcomeCancelled:
		return policy.ResultCancelled
	case OutcomeDeadlinePassed, OutcomeNotSent, OutcomeStatementRejected, OutcomeNoDescriptor: // the last is no fault of the engine's
		return policy.ResultNotSent
	}
	return policy.ResultUnknown
}
