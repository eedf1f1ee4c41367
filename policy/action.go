package policy

import "time"

// Action is an instruction to the caller: Send, Grant, Cancel, RequestLoadReport, Reject, Fail, SetTimer,
// Subscribe, Log or SlowStartChanged. The caller must carry out actions in the order in which they are
// returned.
type Action interface{ action() }

// Send starts the next attempt of a query at an engine.
type Send struct {
	Query   uint64
	Engine  string
	Timeout time.Duration // time from now after which the attempt times out; above 0
}

// Grant sets the memory and the priority for the attempts of a query that are sent after it. The priority
// also applies to attempts in flight.
type Grant struct {
	Query    uint64
	MemoryMB float64 // 0: the engine chooses
	Priority int     // 0 to 3 (highest); 1 is the default
}

// Cancel cancels one attempt. An AttemptEnded for the attempt follows.
type Cancel struct {
	Query   uint64
	Attempt int
}

// RequestLoadReport requests a load report from an engine. A LoadReportReceived follows.
type RequestLoadReport struct{ Engine string }

// Reject is a final answer to the client which says that the query may safely be retried.
type Reject struct {
	Query      uint64
	RetryAfter time.Duration // from now; 0: the client is not told when to retry
}

// Fail is a final answer to the client that makes no such promise: the query may have been executed.
type Fail struct{ Query uint64 }

// SetTimer requests a TimerFired event with the same token after the given time.
type SetTimer struct {
	After time.Duration // from now
	Token uint64
}

// Subscribe requests a subscription to the engine list and its changes.
type Subscribe struct{}

// Log is a message for the process log.
type Log struct{ Text string }

// StartEvidence is why an engine's slow start begins, goes on or ends early.
type StartEvidence string

// The kinds of evidence, as they are logged and counted.
const (
	StartReported    StartEvidence = "reported"    // the engine list reports a start
	RestartProven    StartEvidence = "refused"     // a connection was refused
	RestartPresumed  StartEvidence = "presumed"    // a connection broke or timed out
	RestartDisproved StartEvidence = "disproved"   // an answer came too soon after that for a restart
	BrokeInSlowStart StartEvidence = "broke-again" // a connection broke or timed out in slow start
)

// SlowStartChanged is a message for the process log: what the gateway takes an engine's slow start to be
// has changed, or its connection broke in slow start. Nothing needs to be carried out.
type SlowStartChanged struct {
	Engine         string
	Evidence       StartEvidence
	WarmIn         time.Duration // time until the engine counts as warm
	PreviousWarmIn time.Duration // the same before the change
	BudgetSpentFor time.Duration // time until the budget that is spent has accrued again
	Sent           SentWork      // to the engine within the latest overload window
}

// SentWork is what a gateway sent to one engine within a window.
type SentWork struct {
	Statements int
	Retries    int     // of the statements
	WorkMS     float64 // expected work of the statements, in milliseconds summed over their threads
}

func (Send) action()              {}
func (Grant) action()             {}
func (Cancel) action()            {}
func (RequestLoadReport) action() {}
func (Reject) action()            {}
func (Fail) action()              {}
func (SetTimer) action()          {}
func (Subscribe) action()         {}
func (Log) action()               {}
func (SlowStartChanged) action()  {}
