package core

import "gannetspur/policy"

// Outcome is the way in which an attempt or a connection ended.
type Outcome uint8

// Outcomes of attempts and connections. The zero value is the most cautious one: the attempt may
// have run.
const (
	OutcomeUnknown           Outcome = iota // nothing is known: the attempt may have run
	OutcomeServed                           // the complete response was received
	OutcomeStatementRejected                // the engine rejected the statement as invalid; it had no effect
	OutcomeResultTooLarge                   // it ran, but the result is too large for the gateway to hold
	OutcomeEngineError                      // the engine answered with an error
	OutcomeEngineFull                       // the engine rejected it for lack of capacity, without running it
	OutcomeDeadlinePassed                   // the engine did not run it because its deadline had passed
	OutcomePagesLost                        // it ran, but pages of its result can't be fetched any more
	OutcomeTimeout                          // no answer within the attempt's timeout
	OutcomeConnectionRefused                // the engine refused the connection
	OutcomeConnectTimeout                   // the connection was not established in time
	OutcomeNoDescriptor                     // the gateway had no free file descriptor for a connection
	OutcomeNoAddress                        // the endpoint list has no address for the engine
	OutcomeConnectionReset                  // the connection broke
	OutcomeUnreadable                       // the received data can't be parsed
	OutcomeCancelled                        // the gateway cancelled it
	OutcomeNotSent                          // it ended before it was completely written
	OutcomeNoFreeConnection                 // no pooled connection became free in time; it was not sent
	OutcomeIdleClosed                       // a connection without open attempts was closed
	outcomeCount
)

// outcomeNames are the names of outcomes in counters.
var outcomeNames = [outcomeCount]string{
	"unknown", "served", "rejected", "too-large", "error", "full", "past", "pages-lost", "timeout", "refused", "connect-timeout",
	"no-descriptor", "no-engine", "reset", "garbage", "cancelled", "not-sent", "crowded", "idle",
}

// String returns the outcome's name in counters.
func (o Outcome) String() string {
	if o < outcomeCount {
		return outcomeNames[o]
	}
	return outcomeNames[OutcomeUnknown]
}

// PolicyResult returns the policy's result for an outcome. This mapping alone decides which
// outcomes prove that the attempt never ran (policy.Result.NeverRan); after any other it may have run.
func (o Outcome) PolicyResult() policy.Result {
	switch o {
	case OutcomeServed, OutcomeResultTooLarge: // the engine ran the attempt without error
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
	case OutcomeUnreadable: // the network may have corrupted the data, so it does not count against the engine
		return policy.ResultUnknown
	case OutcomeCancelled:
		return policy.ResultCancelled
	case OutcomeDeadlinePassed, OutcomeNotSent, OutcomeStatementRejected, OutcomeNoDescriptor: // a lack of descriptors is the gateway's fault, not the engine's
		return policy.ResultNotSent
	}
	return policy.ResultUnknown
}
