package policy

import "time"

// Event is an input of a Gateway: QueryArrived, AttemptEnded, LoadReportReceived, AttemptProgress,
// StreamStarted, StreamContinued, ClientDisconnected, TimerFired or EngineList.
type Event interface{ event() }

// QueryArrived reports a new query. The client must then get exactly one final answer: a response
// (AttemptEnded with Final set), a Reject or a Fail.
type QueryArrived struct {
	Query       uint64 // ID; a client's retry has a new one
	Class       string
	Tenant      string        // empty: none
	Key         string        // ordering key within the class; empty: none
	DataSet     int64         // data set that the query reads or writes
	Deadline    time.Duration // instant at which the client stops waiting
	Work        time.Duration // estimated work, summed over its threads; 0: no estimate
	MemoryMB    float64       // estimated memory; 0: no estimate
	ClientRetry bool          // the client marks the query as its own retry
	// PriorAttempts are the sends by other gateways that may have been executed.
	PriorAttempts []PriorAttempt
}

// Result is the outcome of an attempt.
type Result uint8

// The results of an attempt. ResultUnknown, the zero value, is treated as an attempt that may have been
// executed.
const (
	ResultUnknown        Result = iota
	ResultSuccess               // complete response; the first one goes to the client
	ResultError                 // the engine returned an error; may have been executed
	ResultRejected              // rejected by the engine; not executed
	ResultTimeout               // no response in time; may still be running
	ResultConnectFailed         // the engine could not be reached; not executed
	ResultConnectionLost        // the connection broke; may have been executed
	ResultCancelled             // cancelled by Cancel; may have been executed
	ResultNotSent               // not sent; not executed
	ResultConnectTimeout        // no connection was established in time; not executed
)

// NeverRan reports whether the result proves that the attempt was not executed.
func (r Result) NeverRan() bool {
	switch r {
	case ResultRejected, ResultConnectFailed, ResultNotSent, ResultConnectTimeout:
		return true
	default:
		return false
	}
}

// isCutOff reports whether the result ended an attempt that may have run for a while.
func (r Result) isCutOff() bool {
	return r == ResultTimeout || r == ResultCancelled || r == ResultConnectionLost
}

// AttemptEnded reports the end of an attempt. Each Send is followed by exactly one.
type AttemptEnded struct {
	Query    uint64
	Attempt  int // number of the attempt, counted from 0
	Result   Result
	Elapsed  time.Duration // since the Send
	Final    bool          // the client has its final answer
	Work     time.Duration // work that the query needed, summed over its threads; 0: not reported
	MemoryMB float64       // memory that the query needed; 0: not reported
	Load     LoadReport    // load report that came with the response
}

// LoadReport is an engine's report of its own load, which is delayed and noisy. A figure that the
// deployment does not report is -1. No decision reads the last three figures.
type LoadReport struct {
	Reported          bool    // false: there is no report, and the other fields are meaningless
	CPUUtilization    float64 // fraction of its cores in use
	InFlight          float64 // queries on the engine, from all gateways
	WaitingForMemory  float64 // queries that wait for memory
	MemoryUtilization float64 // fraction of its memory granted
	DiskUtilization   float64 // fraction of time in which its disks are busy
}

// LoadReportReceived is the outcome of a RequestLoadReport.
type LoadReportReceived struct {
	Engine string
	Result Result // ResultSuccess if the engine responded
	Load   LoadReport
}

// ProgressKind is the kind of an AttemptProgress.
type ProgressKind uint8

// The kinds of progress, with the meaning of AttemptProgress.Value.
const (
	ProgressFraction           ProgressKind = iota + 1 // Value is the approximate fraction of work done
	ProgressSpilled                                    // spilled to disk; Value is the missing memory in MB
	ProgressWaitingForMemory                           // waits for memory; Value has no meaning
	ProgressWaitingForDataLoad                         // a data load locks its data set; no Value
)

// AttemptProgress is an engine's progress report on a running attempt.
type AttemptProgress struct {
	Query   uint64
	Attempt int
	Kind    ProgressKind
	Value   float64 // its meaning depends on Kind
}

// StreamStarted reports that a streamed response has started. The query's deadline no longer applies.
type StreamStarted struct {
	Query   uint64
	Attempt int
}

// StreamContinued reports that a further statement is sent in a streamed attempt, which it belongs to.
type StreamContinued struct {
	Query   uint64
	Attempt int
}

// ClientDisconnected reports that the client has disconnected. It needs no final answer.
type ClientDisconnected struct{ Query uint64 }

// TimerFired reports that the timer of a SetTimer is due.
type TimerFired struct{ Token uint64 }

// ListMode is how the entries of an EngineList are to be applied.
type ListMode uint8

// The modes of an EngineList.
const (
	ListFailed  ListMode = iota // the poll failed or the subscription broke; there are no entries
	ListChanges                 // changed entries only
	ListFull                    // all engines; any other engine has departed
	ListCached                  // all engines as last known, possibly stale
)

// EngineList is the list of engines, or a change to it.
type EngineList struct {
	Mode    ListMode
	Engines []Engine
	// SilentFor is, for ListFailed, the time since the list was last known to be current.
	SilentFor time.Duration
}

// EngineState is the state of an engine according to the engine list.
type EngineState uint8

// The states of an engine. EngineDeparted is the zero value because it is the safest: the engine gets no
// attempts.
const (
	EngineDeparted EngineState = iota // gone, or left out of a full list
	EngineDraining                    // gets no new attempts
	EngineLive                        // gets attempts
)

// String returns the name of the state, for logs.
func (s EngineState) String() string {
	switch s {
	case EngineLive:
		return "live"
	case EngineDraining:
		return "draining"
	default:
		return "departed"
	}
}

// Engine is one entry of the engine list. It is encoded, in CBOR and JSON, under the names in the tags,
// which must not change.
type Engine struct {
	ID         string        `cbor:"ID" json:"ID"`
	Zone       string        `cbor:"Zone" json:"Zone"`
	Kind       string        `cbor:"Kind" json:"Kind"` // name of its machine kind
	Cell       int64         `cbor:"Cell" json:"Cell"` // engines of one cell deduplicate together (DedupCell)
	State      EngineState   `cbor:"State" json:"State"`
	Started    time.Duration `cbor:"Started" json:"Started"` // instant of its latest start, if known
	StartKnown bool          `cbor:"Fresh" json:"Fresh"`     // Started is known; false: long ago
	// ReportedStart is the latest start by the engine's own clock, which is the same at all gateways. It may
	// differ from Started by any amount; 0: the same.
	ReportedStart time.Duration `cbor:"-" json:"-"`
}

func (QueryArrived) event()       {}
func (AttemptEnded) event()       {}
func (LoadReportReceived) event() {}
func (AttemptProgress) event()    {}
func (StreamStarted) event()      {}
func (StreamContinued) event()    {}
func (ClientDisconnected) event() {}
func (TimerFired) event()         {}
func (EngineList) event()         {}
