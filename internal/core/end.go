package core

import "gannetspur/policy"

// Outcome is how a connection or an attempt ended: every way there is.
type Outcome uint8

// Ends. The zero value is the most cautious: the attempt may have run.
const (
	OutcomeUnknown           Outcome = iota
	OutcomeServed                    // the whole answer is here
	OutcomeStatementRejected         // the engine found the statement itself at fault; it had no effect
	OutcomeResultTooLarge            // it ran, but its answer is larger than can be held here
	OutcomeEngineError               // the engine answered with an error
	OutcomeEngineFull                // the engine turned it away unseen
	OutcomeDeadlinePassed            // the engine found its time over before it ran
	OutcomePagesLost                 // it ran, but some of its pages can't be had any more
	OutcomeTimeout                   // no answer within the attempt's time
	OutcomeConnectionRefused         // the engine refused the connection
	OutcomeConnectTimeout            // no connection in time
	OutcomeNoDescriptor              // no descriptor was free for a connection
	OutcomeNoAddress                 // the roster has no address for the engine
	OutcomeConnectionReset           // the connection broke
	OutcomeUnreadable                // what came on the connection can't be read
	OutcomeCancelled                 // given up from this side
	OutcomeNotSent                   // ended before any of it was written
	OutcomeNoFreeConnection          // no connection is free in its time: it was not sent
	OutcomeIdleClosed                // a connection that nothing was open on
	outcomeCount
)

var outcomeNames = [outcomeCount]string{
	"unknown", "served", "rejected", "too-large", "error", "full", "past", "pages-lost", "timeout", "refused", "connect-timeout",
	"no-descriptor", "no-engine", "reset", "garbage", "cancelled", "not-sent", "crowded", "idle",
}

func (e Outcome) String() string {
	if e < outcomeCount {
		return outcomeNames[e]
	}
	return outcomeNames[OutcomeUnknown]
}

// PolicyResult is what an end means to the decisions, and the only place that says so.
// What proves that nothing ran is named; all else may have run.
func (e Outcome) PolicyResult() policy.Result {
	switch e {
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
	case OutcomeUnreadable: // any engine's answer may be spoilt on its way; it says nothing of its health
		return policy.ResultUnknown
	case OutcomeCancelled:
		return policy.ResultCancelled
	case OutcomeDeadlinePassed, OutcomeNotSent, OutcomeStatementRejected, OutcomeNoDescriptor: // the last is no fault of the engine's
		return policy.ResultNotSent
	}
	return policy.ResultUnknown
}
