package policy

import "time"

// Action is what the caller must do, in the order given: Send, Grant, Cancel, RequestLoadReport, Reject,
// Fail, SetTimer, Subscribe or Log.
type Action interface{ action() }

// Send starts the next attempt of a query at an engine.
type Send struct {
	Query   uint64
	Engine  string
	Timeout time.Duration // of the attempt; above 0
}

// Grant sets the memory and the priority of a query's later attempts, and the priority of those in flight.
type Grant struct {
	Query    uint64
	MemoryMB float64 // 0: the engine chooses
	Priority int     // 0 to 3; 1 is usual
}

// Cancel cancels one attempt. Its AttemptEnded follows.
type Cancel struct {
	Query   uint64
	Attempt int
}

// RequestLoadReport asks an engine for its load. A LoadReportReceived follows.
type RequestLoadReport struct{ Engine string }

// Reject is a final answer which says that a retry is harmless.
type Reject struct {
	Query      uint64
	RetryAfter time.Duration // from now; 0: not given
}

// Fail is a final answer that promises nothing: the query may have been executed.
type Fail struct{ Query uint64 }

// SetTimer asks for a TimerFired with the same token.
type SetTimer struct {
	After time.Duration
	Token uint64
}

// Subscribe asks for the engine list and its changes.
type Subscribe struct{}

// Log is a message for the log.
type Log struct{ Text string }

func (Send) action()              {}
func (Grant) action()             {}
func (Cancel) action()            {}
func (RequestLoadReport) action() {}
func (Reject) action()            {}
func (Fail) action()              {}
func (SetTimer) action()          {}
func (Subscribe) action()         {}
func (Log) action()               {}
