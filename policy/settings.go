package policy

import "time"

// Settings is what a gateway knows of its deployment from the start.
type Settings struct {
	Gateways         int            // gateways that share the engines, this one included; at least 1
	Rank             int            // place of this gateway among them, from 1; 0: unknown
	Zone             string         // where this gateway runs
	Classes          []Class        // query classes; at least one
	Kinds            []Kind         // machine kinds that engines run on
	Tenants          []Tenant       // may be empty
	OverQuotaWeight  float64        // weight of a query beyond its tenant's quota, relative to one within it
	ProgressInterval time.Duration  // interval of AttemptProgress; 0: engines report no progress
	HonorsGrants     bool           // engines honor the memory in Grant
	HonorsPriority   bool           // engines honor the priority in Grant
	MaxGrantFraction float64        // largest fraction of an engine's memory that one query gets
	MemoryShortage   MemoryShortage // what an engine does when the grants exceed its memory
	ReportsCost      bool           // responses report the work and memory that the query needed
	ReportsLoad      bool           // engines report their load, in responses or on request
	SubscribeToList  bool           // the engine list must be subscribed to (Subscribe)
	CallInterval     time.Duration  // usual interval between calls of Handle
	Rules            Rules
	Limits           Limits
	Objective        Objective
	Penalties        Penalties
}

// MemoryShortage says what an engine does when the grants exceed its memory.
type MemoryShortage uint8

// The kinds of MemoryShortage.
const (
	ShortageQueue MemoryShortage = iota // the query waits in the engine's queue
	ShortageTrim                        // the query gets what is left, and spills
	ShortageSwap                        // the query starts, and everything on the engine slows down
)

// Idempotency says whether a query may be executed more than once.
type Idempotency uint8

// The kinds of Idempotency. NotIdempotent is the zero value, as it is the most cautious.
const (
	NotIdempotent     Idempotency = iota // may be executed once at most
	IdempotentWithKey                    // engines of its DedupScope drop repeats for its DedupWindow
	Idempotent                           // may be repeated freely
)

// DedupScope is the set of engines that drop each other's repeats of a query with an idempotency key.
type DedupScope uint8

// The scopes of deduplication. DedupCell is the zero value, as it is the most cautious.
const (
	DedupCell DedupScope = iota
	DedupZone
	DedupAll
)

// Class is one class of queries.
type Class struct {
	Name             string
	LatencyObjective time.Duration // a response within this has full value; above 0
	ObjectiveStretch float64       // the objective grows by this, times the query's work over its threads
	Timeout          time.Duration // how long a client waits at most; above 0
	PriorityWeight   float64       // value of one response in time
	LateFraction     float64       // fraction of the value that a late response has
	Threads          float64       // threads that a query runs on; 0 is taken as 1
	Idempotency      Idempotency
	DedupScope       DedupScope    // for IdempotentWithKey
	DedupWindow      time.Duration // for IdempotentWithKey: how long engines drop repeats
	Streaming        bool          // responses are streamed, and StreamStarted reports their start
	Ordered          bool          // queries of one key run one at a time, in the order of arrival
	DataLoad         bool          // locks its data set on its engine while it runs
	WaitsForDataLoad bool          // waits while a data load locks its data set
	Zones            []string      // zones where it may run; empty: any
	Kinds            []string      // machine kinds where it may run; empty: any
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
	Quota float64 // queries per second, over all gateways
	Share float64 // its fraction of the service
}

// Rules are the figures of the rules that every attempt and every final answer must keep.
type Rules struct {
	AnswerSlack       time.Duration // how late a final answer may be
	DrainGrace        time.Duration // attempts at a draining engine must stop within this
	WarmUpMinCapacity float64       // smallest fraction of its capacity that an engine has after a start
	WarmUpPeriod      time.Duration // an engine is warm no later than this after a start
	OverloadMultiple  float64       // an engine that warms up fails when sent this multiple of its capacity
	OverloadWindow    time.Duration // for this long; 0: it does not fail
	SettleTime        time.Duration // pause of an ordering key after an attempt that may still run
	RetryBudgetBase   float64       // retries within RetryBudgetWindow whatever the traffic
	RetryBudgetRatio  float64       // plus this many for each query that arrived within it
	RetryBudgetWindow time.Duration // 0: retries are not limited
	ResubscribeWithin time.Duration // a lost subscription must be renewed within this
}

// Limits say what the deployment permits.
type Limits struct {
	MaxAttempts       int           // attempts for one query; 0 is taken as 1
	AllowHedging      bool          // two attempts of one query at a time are permitted
	AllowCancel       bool          // Cancel is permitted
	AllowLoadRequests bool          // RequestLoadReport is permitted
	SendRetryAfter    bool          // clients are told when to retry
	MaxRetryAfter     time.Duration // and honor this at most
	ConnectTimeout    time.Duration // a failed connect shows within this
}

// Objective is the weights of the parts that the operators' objective is made of.
type Objective struct{ Overall, WorstClass, WorstTenant, WorstWindow float64 }

// Penalties are what one unit of each side effect takes off the objective.
type Penalties struct{ CrossZone, WastedWork, LateFailure, LoadRequest float64 }
