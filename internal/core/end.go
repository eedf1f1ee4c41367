package core

import "gannetspur/policy"

// End is how a connection or an attempt ended: every way there is.
type End uint8

// Ends. The zero value is the most cautious: the attempt may have run.
const (
	EndUnknown        End = iota
	EndServed             // the whole answer is here
	EndRejected           // the engine found the statement itself at fault; it had no effect
	EndTooLarge           // it ran, but its answer is larger than can be held here
	EndError              // the engine answered with an error
	EndFull               // the engine turned it away unseen
	EndPast               // the engine found its time over before it ran
	EndPagesLost          // it ran, but some of its pages can't be had any more
	EndTimeout            // no answer within the attempt's time
	EndRefused            // the engine refused the connection
	EndConnectTimeout     // no connection in time
	EndNoDescriptor       // no descriptor was free for a connection
	EndNoEngine           // the roster has no address for the engine
	EndReset              // the connection broke
	EndGarbage            // what came on the connection can't be read
	EndCancelled          // given up from this side
	EndNotSent            // ended before any of it was written
	EndCrowded            // no connection is free in its time: it was not sent
	EndIdle               // a connection that nothing was open on
	endCount
)

var endNames = [endCount]string{
	"unknown", "served", "rejected", "too-large", "error", "full", "past", "pages-lost", "timeout", "refused", "connect-timeout",
	"no-descriptor", "no-engine", "reset", "garbage", "cancelled", "not-sent", "crowded", "idle",
}

func (e End) String() string {
	if e < endCount {
		return endNames[e]
	}
	return endNames[EndUnknown]
}

// Result is what an end means to the decisions, and the only place that says so.
// What proves that nothing ran is named; all else may have run.
func (e End) Result() policy.Result {
	switch e {
	case EndServed, EndTooLarge: // the engine did its part
		return policy.ResultSuccess
	case EndError, EndPagesLost:
		return policy.ResultError
	case EndFull, EndCrowded:
		return policy.ResultRejected
	case EndTimeout:
		return policy.ResultTimeout
	case EndRefused, EndNoEngine:
		return policy.ResultConnectFailed
	case EndConnectTimeout:
		return policy.ResultConnectTimeout
	case EndReset:
		return policy.ResultConnectionLost
	case EndGarbage: // any engine's answer may be spoilt on its way; it says nothing of its health
		return policy.ResultUnknown
	case EndCancelled:
		return policy.ResultCancelled
	case EndPast, EndNotSent, EndRejected, EndNoDescriptor: // the last is no fault of the engine's
		return policy.ResultNotSent
	}
	return policy.ResultUnknown
}
