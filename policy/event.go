package policy

import "time"

// Event is an input of a gateway: QueryArrived, AttemptEnded, LoadReportReceived, AttemptProgress,
// StreamStarted, ClientDisconnected, TimerFired or EngineList.
type Event interface{ event() }

// QueryArrived is a new query. One final answer is owed from here on: the AttemptEnded with Final set, a
// Reject or a Fail.
type QueryArrived struct {
	Query    uint64 // unique, also among a client's retries
	Class    string
	Tenant   string        // empty: none
	Key      string        // ordering key of its class; empty: none
	DataSet  int64         // data set that it reads or writes
	Deadline time.Duration // instant at which the client stops waiting
	Work     time.Duration // estimated work of all its threads; 0: no estimate
	MemoryMB float64       // estimated memory; 0: no estimate
	Repeat   bool          // the client marks it as a retry of its own
}

// Result is how an attempt ended.
type Result uint8

// The results of an attempt. ResultUnknown, the zero value, is taken as one that may have been executed.
const (
	ResultUnknown        Result = iota
	ResultSuccess               // complete response; the first one goes to the client
	ResultError                 // the engine returned an error; may have been executed
	ResultRejected              // rejected by the engine; not executed
	ResultTimeout               // no response in time; may still be executed
	ResultConnectFailed         // the engine was not reached; not executed
	ResultConnectionLost        // the connection broke; may have been executed
	ResultCancelled             // cancelled by Cancel; may have been executed
	ResultNotSent               // not sent; not executed
	ResultConnectTimeout        // the connection was not up in time; not executed
)

// NeverRan tells whether the result proves that the attempt was not executed.
func (r Result) NeverRan() bool {
	switch r {
	case ResultRejected, ResultConnectFailed, ResultNotSent, ResultConnectTimeout:
		return true
	default:
		return false
	}
}

// AttemptEnded ends one attempt. Each Send gets exactly one.
type AttemptEnded struct {
	Query    uint64
	Attempt  int // counted from 0
	Result   Result
	Elapsed  time.Duration // since the Send
	Final    bool          // the client has its answer: nothing more is owed
	Work     time.Duration // that the query needed, where reported; else 0
	MemoryMB float64       // that it needed, where reported; else 0
	Load     LoadReport
}

// LoadReport is an engine's report of its load, late and noisy. Reported is false where there was none; a
// field that the deployment does not report is -1.
type LoadReport struct {
	Reported          bool
	CPUUtilization    float64 // fraction of its cores in use
	InFlight          float64 // queries on the engine, of all gateways
	WaitingForMemory  float64 // queries that wait for memory
	MemoryUtilization float64 // fraction of its memory granted
	DiskUtilization   float64 // fraction of its disks' time in use
}

// LoadReportReceived ends a RequestLoadReport, with a report or without.
type LoadReportReceived struct {
	Engine string
	Result Result // ResultSuccess where the engine answered
	Load   LoadReport
}

// ProgressKind is what an AttemptProgress tells.
type ProgressKind uint8

// The kinds of progress.
const (
	ProgressFraction           ProgressKind = iota + 1 // Value: part done, roughly
	ProgressSpilled                                    // Value: MB of memory missing
	ProgressWaitingForMemory                           // Value is not used
	ProgressWaitingForDataLoad                         // Value is not used
)

// AttemptProgress is an engine's report on a running attempt.
type AttemptProgress struct {
	Query   uint64
	Attempt int
	Kind    ProgressKind
	Value   float64
}

// StreamStarted says that a streamed response has started: its deadline no longer applies.
type StreamStarted struct {
	Query   uint64
	Attempt int
}

// ClientDisconnected says that the client has left: nothing more is owed.
type ClientDisconnected struct{ Query uint64 }

// TimerFired is a SetTimer that is due.
type TimerFired struct{ Token uint64 }

// ListMode says how the entries of an EngineList are to be read.
type ListMode uint8

// The modes of an EngineList.
const (
	ListFailed  ListMode = iota // the poll failed or the subscription broke: no entries
	ListChanges                 // changed entries only
	ListFull                    // all engines: others have departed
	ListCached                  // all engines as last known, possibly stale
)

// EngineList is the list of engines, or a change to it.
type EngineList struct {
	Mode    ListMode
	Engines []Engine
}

// EngineState is the state of an engine in the list.
type EngineState uint8

// The states of an engine. EngineDeparted is the zero value, as it is the most cautious.
const (
	EngineDeparted EngineState = iota
	EngineDraining
	EngineLive
)

// Engine is one entry of the list. It is stored by the names of its fields: tags keep those of renamed ones.
type Engine struct {
	ID         string        `cbor:"ID" json:"ID"`
	Zone       string        `cbor:"Zone" json:"Zone"`
	Kind       string        `cbor:"Kind" json:"Kind"`
	Cell       int64         `cbor:"Cell" json:"Cell"`
	State      EngineState   `cbor:"State" json:"State"`
	Started    time.Duration `cbor:"Started" json:"Started"` // instant of its latest start
	StartKnown bool          `cbor:"Fresh" json:"Fresh"`     // Started is set; false: it started long ago
}

func (QueryArrived) event()       {}
func (AttemptEnded) event()       {}
func (LoadReportReceived) event() {}
func (AttemptProgress) event()    {}
func (StreamStarted) event()      {}
func (ClientDisconnected) event() {}
func (TimerFired) event()         {}
func (EngineList) event()         {}
