// Package policy decides, for one front, when and on which analytic engine
// each query runs. A Gateway is a pure state machine: it reads no clock, does
// no I/O and starts no goroutine. One goroutine at a time may call a Gateway.
//
// This file is the interface; every decision is in policy.go.
package policy

import "time"

// All instants are durations since one arbitrary origin of the caller's
// choosing; the clock given to Handle must never go back.

// Settings is what a gateway knows of its deployment from the start.
type Settings struct {
	Gateways         int            // gateways that share the engines, this one included; at least 1
	Rank             int            // place of this gateway among them, from 1; 0: not told
	Zone             string         // where this gateway runs
	Classes          []Class        // classes of query; at least one
	Kinds            []Kind         // kinds of machine that engines run on
	Tenants          []Tenant       // may be empty
	OverQuotaWeight  float64        // worth of a query beyond its tenant's share, of the usual worth
	ProgressInterval time.Duration  // interval of notes on running attempts; 0: no notes
	HonorsGrants     bool           // engines heed the memory in Grant
	HonorsPriority   bool           // engines heed the priority in Grant
	MaxGrantFraction float64        // share of an engine's memory that one query gets at most
	MemoryShortage   MemoryShortage // what an engine does when the grants pass its memory
	ReportsCost      bool           // answers tell the work and memory that the query needed
	ReportsLoad      bool           // engines report their load, in answers or to probes
	SubscribeToList  bool           // the engine list must be subscribed to (Subscribe)
	CallInterval     time.Duration  // usual spacing of calls
	Rules            Rules
	Limits           Limits
	Objective        Objective
	Penalties        Penalties
}

// MemoryShortage says what happens when the grants pass an engine's memory.
type MemoryShortage uint8

// The three meanings of short memory.
const (
	ShortageQueue MemoryShortage = iota // the query waits in the engine's line
	ShortageTrim                        // it gets what is left, and spills
	ShortageSwap                        // it is let in, and all slow down
)

// Idempotency says how far a query may be repeated.
type Idempotency uint8

// The three kinds of effect. NotIdempotent is the zero value: the most cautious.
const (
	NotIdempotent     Idempotency = iota // may run once at most
	IdempotentWithKey                    // engines of one group drop repeats for a while
	Idempotent                           // may be repeated freely
)

// DedupScope is the set of engines that drop each other's repeats of a keyed query.
type DedupScope uint8

// The three sizes of group. DedupCell is the zero value: the most cautious.
const (
	DedupCell DedupScope = iota
	DedupZone
	DedupAll
)

// Class is one class of query.
type Class struct {
	Name             string
	LatencyObjective time.Duration // an answer within this earns full worth; above 0
	ObjectiveStretch float64       // the aim grows by this times work over threads
	Timeout          time.Duration // a client's whole patience; above 0
	PriorityWeight   float64       // of one answer in time
	LateFraction     float64       // share of the worth that a late answer earns
	Threads          float64       // threads that a query runs on; above 0
	Idempotency      Idempotency
	DedupScope       DedupScope    // for IdempotentWithKey
	DedupWindow      time.Duration // for IdempotentWithKey: how long repeats are dropped
	Streaming        bool          // answers are streamed: StreamStarted tells their start
	Ordered          bool          // queries of one key run one at a time, in turn
	DataLoad         bool          // holds its data set on its engine while it runs
	WaitsForDataLoad bool          // stands still while a load holds its data set
	Zones            []string      // where it may run; empty: anywhere
	Kinds            []string      // on what kinds it may run; empty: on any
}

// Kind is one kind of machine.
type Kind struct {
	Name     string
	Cores    float64 // above 0
	MemoryMB float64
}

// Tenant is one customer.
type Tenant struct {
	Name  string
	Quota float64 // queries a second within its share, over all gateways
	Share float64 // its share of the service
}

// Rules are the figures of the rules that every send and answer keeps.
type Rules struct {
	AnswerSlack       time.Duration // how late a final answer may come
	DrainGrace        time.Duration // sends to a drained engine must stop within this
	WarmUpMinCapacity float64       // least share of capacity that a fresh engine has
	WarmUpPeriod      time.Duration // and it is warm no later than this
	OverloadMultiple  float64       // a cold engine sent more than this multiple of its capacity
	OverloadWindow    time.Duration // for this long falls over
	SettleTime        time.Duration // rest of an order key after an attempt in doubt
	RetryBudgetBase   float64       // further attempts within RetryBudgetWindow whatever the traffic
	RetryBudgetRatio  float64       // plus this share of the queries taken within it
	RetryBudgetWindow time.Duration // 0: further attempts are not rationed
	ResubscribeWithin time.Duration // a lapsed subscription must be renewed within this
}

// Limits say what the deployment permits.
type Limits struct {
	MaxAttempts       int           // attempts for one query at most; 0: one
	AllowHedging      bool          // two attempts at once are permitted
	AllowCancel       bool          // Cancel is permitted
	AllowLoadRequests bool          // RequestLoadReport is permitted
	SendRetryAfter    bool          // clients hear when to come back
	MaxRetryAfter     time.Duration // and honour at most this
	ConnectTimeout    time.Duration // a failed connect shows within this
}

// Objective weighs the parts of the service; Penalties are points of it.
type Objective struct{ Overall, WorstClass, WorstTenant, WorstWindow float64 }

// Penalties are what each unit of a side effect takes off the goal.
type Penalties struct{ CrossZone, WastedWork, LateFailure, LoadRequest float64 }

// Event is what a gateway is told: QueryArrived, AttemptEnded, LoadReportReceived, AttemptProgress,
// StreamStarted, ClientDisconnected, TimerFired or EngineList.
type Event interface{ event() }

// QueryArrived is a new query. One final answer is owed from here on: the AttemptEnded
// with Final set, a Reject or a Fail.
type QueryArrived struct {
	Query    uint64 // never used again, also not by a client's next try
	Class    string
	Tenant   string        // "": none
	Key      string        // order key of its class; "": none
	DataSet  int64         // data set that it reads or writes
	Deadline time.Duration // instant at which the client gives up
	Work     time.Duration // estimate of the work of all its threads; 0: none
	MemoryMB float64       // estimate of its memory; 0: none
	Repeat   bool          // the client marks it as a repeat
}

// Result is how an attempt ended.
type Result uint8

// Results. ResultUnknown, the zero value, is read as one that may have run.
const (
	ResultUnknown        Result = iota
	ResultSuccess               // answered; the first one answers the client
	ResultError                 // the engine returned an error; may have run
	ResultRejected              // turned away; never ran
	ResultTimeout               // no answer in time; may run still
	ResultConnectFailed         // never reached the engine; never ran
	ResultConnectionLost        // the connection broke; may have run
	ResultCancelled             // given up by Cancel; may have run
	ResultNotSent               // not sent at all; never ran
	ResultConnectTimeout        // no word on the connection in time; never ran
)

// NeverRan tells whether a result proves that its attempt never ran.
func (r Result) NeverRan() bool {
	return r == ResultRejected || r == ResultConnectFailed || r == ResultNotSent || r == ResultConnectTimeout
}

// AttemptEnded ends one attempt; each Send gets exactly one.
type AttemptEnded struct {
	Query    uint64
	Attempt  int // counted from 0
	Result   Result
	Elapsed  time.Duration // since the Send
	Final    bool          // the client has its answer: nothing more is owed
	Work     time.Duration // that the query needed, where told; else 0
	MemoryMB float64       // that it needed, where told
	Load     LoadReport
}

// LoadReport is an engine's report of its load, late and noisy. Reported is false
// where there was none; a field that the deployment does not report is -1.
type LoadReport struct {
	Reported          bool
	CPUUtilization    float64 // share of its cores in use
	InFlight          float64 // queries in hand
	WaitingForMemory  float64 // queries waiting for memory
	MemoryUtilization float64 // share of memory granted
	DiskUtilization   float64 // share of disks busy
}

// LoadReportReceived is the answer to a RequestLoadReport, or word that none came.
type LoadReportReceived struct {
	Engine string
	Result Result // Served where the engine answered
	Load   LoadReport
}

// ProgressKind is what a note says.
type ProgressKind uint8

// Kinds of note.
const (
	ProgressFraction ProgressKind = iota + 1 // Value: share done, rough
	ProgressSpilled                          // Value: MB missing
	ProgressWaitingForMemory
	ProgressWaitingForDataLoad
)

// AttemptProgress is word of an attempt that is out.
type AttemptProgress struct {
	Query   uint64
	Attempt int
	Kind    ProgressKind
	Value   float64
}

// StreamStarted says that a streamed answer has started; its deadline no longer runs.
type StreamStarted struct {
	Query   uint64
	Attempt int
}

// ClientDisconnected says that the client has left: nothing more is owed.
type ClientDisconnected struct{ Query uint64 }

// TimerFired is a SetTimer that is due.
type TimerFired struct{ Token uint64 }

// ListMode says how an engine list is to be read.
type ListMode uint8

// Modes of list.
const (
	ListFailed  ListMode = iota // asking failed or the subscription broke: no entries
	ListChanges                 // changed entries only
	ListFull                    // all engines; others are gone
	ListCached                  // all engines as last held, maybe stale
)

// EngineList is the engine list, or a change to it.
type EngineList struct {
	Mode    ListMode
	Engines []Engine
}

// EngineState is what the list says of an engine.
type EngineState uint8

// States of an engine. EngineDeparted is the zero value: the most cautious.
const (
	EngineDeparted EngineState = iota
	EngineDraining
	EngineLive
)

// Engine is one entry of the list.
type Engine struct {
	ID         string
	Zone       string
	Kind       string
	Cell       int64
	State      EngineState
	Started    time.Duration // instant of its latest start
	StartKnown bool          `cbor:"Fresh" json:"Fresh"` // Started is known; false: long ago
}

func (QueryArrived) event()       {}
func (AttemptEnded) event()       {}
func (LoadReportReceived) event() {}
func (AttemptProgress) event()    {}
func (StreamStarted) event()      {}
func (ClientDisconnected) event() {}
func (TimerFired) event()         {}
func (EngineList) event()         {}

// Action is what the caller must do, in the order given: Send, Grant, Cancel,
// RequestLoadReport, Reject, Fail, SetTimer, Subscribe or Log.
type Action interface{ action() }

// Send hands a query to an engine as its next attempt.
type Send struct {
	Query   uint64
	Engine  string
	Timeout time.Duration // the attempt's time-out; above 0
}

// Grant sets memory and priority of a query's sends from here on, and the
// priority of attempts that are out.
type Grant struct {
	Query    uint64
	MemoryMB float64 // 0: the engine chooses
	Priority int     // 0 to 3; 1 is usual
}

// Cancel gives up one attempt; its AttemptEnded follows.
type Cancel struct {
	Query   uint64
	Attempt int
}

// RequestLoadReport asks an engine for its load; LoadReportReceived follows.
type RequestLoadReport struct{ Engine string }

// Reject is a final answer: trying again is harmless.
type Reject struct {
	Query      uint64
	RetryAfter time.Duration // not before this long from now; 0: unsaid
}

// Fail is a final answer that promises nothing.
type Fail struct{ Query uint64 }

// SetTimer asks for a TimerFired with the same token.
type SetTimer struct {
	After time.Duration
	Token uint64
}

// Subscribe asks for the engine list and its changes.
type Subscribe struct{}

// Log is a line for the people on call.
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
