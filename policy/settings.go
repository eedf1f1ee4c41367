package policy

import "time"

// Settings describes the deployment of a gateway. It does not change while the gateway runs. No decision
// reads OverQuotaWeight, Objective, Penalties, Class.LateValueFraction, Class.Streaming, Tenant.Share,
// Rules.AnswerGracePeriod, Rules.DrainTimeout, Rules.ResubscribeTimeout or Limits.ConnectTimeout.
type Settings struct {
	// Gateways is the number of gateways that share the engines, including this one; at least 1.
	Gateways         int
	Rank             int           // position of this gateway among them, from 1; 0: unknown
	Zone             string        // zone of this gateway
	Classes          []Class       // query classes; at least one
	Kinds            []Kind        // kinds of machines that engines run on
	Tenants          []Tenant      // empty: no quotas
	OverQuotaWeight  float64       // weight of a query beyond its tenant's quota, relative to one within it
	ProgressInterval time.Duration // interval of AttemptProgress events; 0: engines report no progress
	HonorsGrants     bool          // engines honor the memory in Grant
	HonorsPriority   bool          // engines honor the priority in Grant
	// MaxGrantFraction is the largest fraction of an engine's memory that is granted to one query; 0: no
	// limit.
	MaxGrantFraction float64
	MemoryShortage   MemoryShortage // what an engine does when the grants exceed its memory
	ReportsCost      bool           // responses report the work and the memory that the query needed
	ReportsLoad      bool           // engines report their load, with responses or on request
	SubscribeToList  bool           // the gateway must subscribe to the engine list (Subscribe)
	CallInterval     time.Duration  // usual interval between calls of Handle
	Rules            Rules
	Limits           Limits
	Objective        Objective
	Penalties        Penalties
}

// MemoryShortage is what an engine does when the grants exceed its memory.
type MemoryShortage uint8

// The kinds of MemoryShortage.
const (
	ShortageQueue MemoryShortage = iota // the query waits in the engine's queue
	ShortageTrim                        // the query gets the memory that is left, and spills to disk
	ShortageSwap                        // the query starts, and all queries on the engine slow down
)

// Idempotency is whether a query may be executed more than once.
type Idempotency uint8

// The kinds of Idempotency. NotIdempotent is the zero value because it is the safest.
const (
	NotIdempotent     Idempotency = iota // may be executed at most once
	IdempotentWithKey                    // engines of its DedupScope drop repeats for its DedupWindow
	Idempotent                           // may be executed any number of times
)

// DedupScope is the set of engines that drop each other's repeats of a query with an idempotency key.
type DedupScope uint8

// The deduplication scopes. DedupCell is the zero value because it is the safest.
const (
	DedupCell DedupScope = iota // engines of one cell
	DedupZone                   // engines of one zone
	DedupAll                    // all engines
)

// Class is one class of queries. Its name is what QueryArrived refers to.
type Class struct {
	Name             string
	LatencyObjective time.Duration // a response within this time has its full value; above 0
	// ObjectiveStretch extends the latency objective by this many times the query's work per thread.
	ObjectiveStretch  float64
	Timeout           time.Duration // longest time that a client waits; above 0
	PriorityWeight    float64       // value of a response that meets the objective
	LateValueFraction float64       // fraction of that value which a late response has
	Threads           float64       // threads that run one query; 0 counts as 1
	Idempotency       Idempotency
	DedupScope        DedupScope    // for IdempotentWithKey
	DedupWindow       time.Duration // for IdempotentWithKey: how long engines remember a key
	Streaming         bool          // responses are streamed, and StreamStarted reports their start
	Ordered           bool          // queries of one ordering key run one at a time, in the order of arrival
	DataLoad          bool          // a query locks its data set on its engine while it runs
	WaitsForDataLoad  bool          // a query waits while a data load locks its data set
	Zones             []string      // zones where its queries may run; empty: any
	Kinds             []string      // machine kinds on which its queries may run; empty: any
}

// Kind is one kind of machine.
type Kind struct {
	Name     string
	Cores    float64 // above 0
	MemoryMB float64 // 0: grants are not limited
}

// Tenant is one customer and its quota.
type Tenant struct {
	Name  string
	Quota float64 // queries per second, summed over all gateways
	Share float64 // fraction of the service; no decision reads it
}

// Rules holds the parameters of the rules that every attempt and every final answer must obey.
type Rules struct {
	// AnswerGracePeriod is how long after its deadline a query may still get its final answer.
	AnswerGracePeriod time.Duration
	// DrainTimeout is the time within which the attempts at a draining engine must end.
	DrainTimeout time.Duration
	// WarmUpMinCapacity is the smallest fraction of its capacity that an engine has after a start.
	WarmUpMinCapacity float64
	// WarmUpPeriod is the time after a start by which an engine is warm.
	WarmUpPeriod time.Duration
	// An engine that is warming up fails if it is sent OverloadMultiple times its capacity for
	// OverloadWindow. A window of 0 means that it does not fail.
	OverloadMultiple float64
	OverloadWindow   time.Duration
	// SettleTime is the pause of an ordering key after an attempt that may still be running.
	SettleTime time.Duration
	// RetryBudgetBase is the number of retries that are permitted within RetryBudgetWindow regardless of
	// the traffic.
	RetryBudgetBase float64
	// RetryBudgetRatio is the number of further retries for each query that arrived within the window.
	RetryBudgetRatio  float64
	RetryBudgetWindow time.Duration // 0: retries are not limited
	// ResubscribeTimeout is the time within which a lost subscription must be renewed.
	ResubscribeTimeout time.Duration
}

// Limits holds what the deployment permits.
type Limits struct {
	MaxAttempts       int           // largest number of attempts of one query; 0 counts as 1
	AllowHedging      bool          // permits two attempts of one query at a time
	AllowCancel       bool          // permits Cancel
	AllowLoadRequests bool          // permits RequestLoadReport
	SendRetryAfter    bool          // rejections tell clients when to retry
	MaxRetryAfter     time.Duration // longest time before a retry that clients honor
	ConnectTimeout    time.Duration // a failed connection attempt is detected within this time
}

// Objective holds the weights of the components of the operators' objective.
type Objective struct{ Overall, WorstClass, WorstTenant, WorstWindow float64 }

// Penalties holds what one unit of each side effect subtracts from the objective.
type Penalties struct{ CrossZone, WastedWork, LateFailure, LoadRequest float64 }
