package config

import (
	"encoding/json"
	"fmt"
	"time"

	"gannetspur/policy"
)

// Site is the settings of one deployment: those of the policy, and those that only the gateway needs.
type Site struct {
	Policy           policy.Settings
	Reports          []string      // names of the values in a load report, in order
	Zones            []string      // zone names by index
	Kinds            []string      // engine kinds by index
	MaxStreams       int           // limit on concurrent attempts on one connection
	ConnectTimeout   time.Duration // for connecting to an engine; 0 if not set
	IdleTimeout      time.Duration // idle time after which engines close a connection; 0 if not set
	ProgressInterval time.Duration // between progress reports of an attempt; 0 if engines report none
	PeersAllowed     bool          // front ends may send each other messages
}

// UnmarshalJSON decodes the platform's settings object, which configuration files and the simulator's first message hold.
func (s *Site) UnmarshalJSON(b []byte) error {
	var decoded settingsJSON
	if err := json.Unmarshal(b, &decoded); err != nil {
		return err
	}
	policySettings, err := decoded.policySettings()
	if err != nil {
		return err
	}
	*s = Site{
		Policy:           policySettings,
		Reports:          decoded.Report.Names,
		Zones:            decoded.Zones,
		Kinds:            decoded.Kinds,
		MaxStreams:       decoded.Limits.MaxStreams,
		ConnectTimeout:   FromMS(decoded.Limits.ConnectTimeoutMS),
		IdleTimeout:      FromMS(decoded.Limits.IdleTimeoutMS),
		ProgressInterval: policySettings.ProgressInterval,
		PeersAllowed:     decoded.Limits.PeersAllowed,
	}
	return nil
}

// settingsJSON is the settings object as the platform writes it. Unknown keys are ignored. Some tags differ from the key in
// case: the decoder matches keys without regard to case, and its errors show the name in the tag.
type settingsJSON struct {
	Gateways        int           `json:"Balancers"` // number of gateways that share the engines, including this one; at least 1
	Rank            *int          `json:"Rank"`      // number of this gateway, from 0; nil if not given
	Zone            string        `json:"Zone"`      // zone of this gateway
	Classes         []classJSON   `json:"Classes"`
	Kinds           []string      `json:"Kinds"` // engine kinds by index
	Zones           []string      `json:"Zones"` // zone names by index
	Tenants         []tenantJSON  `json:"Projects"`
	OverQuotaWeight float64       `json:"over-share-worth"` // weight of a query beyond its tenant's quota, relative to one within it
	MembershipMode  string        `json:"membership-mode"`  // how the endpoint list is received; subscribeMode if it must be subscribed to
	CallIntervalMS  float64       `json:"round-ms"`         // usual interval between calls of the policy, in milliseconds
	Objective       objectiveJSON `json:"Goal"`
	Penalties       penaltiesJSON `json:"Costs"`
	Report          reportJSON    `json:"Report"`
	Rules           rulesJSON     `json:"Contract"`
	Limits          limitsJSON    `json:"Limits"`
	Engines         enginesJSON   `json:"Extra"`
}

// classJSON is one class of queries. Fields that end in MS are in milliseconds.
type classJSON struct {
	Name               string   `json:"Name"`
	LatencyObjectiveMS float64  `json:"aim-ms"`        // a response within this time has full value
	ObjectiveStretch   float64  `json:"aim-stretch"`   // the objective grows by this factor times the query's work per thread
	TimeoutMS          float64  `json:"hard-limit-ms"` // maximum time that a client waits
	Idempotency        string   `json:"Effect"`        // a key of idempotencies
	DedupScope         string   `json:"Group"`         // a key of dedupScopes: the engines that drop repeats of an idempotency key
	PriorityWeight     float64  `json:"importance"`    // value of a response in time
	LateValueFraction  float64  `json:"late-share"`    // fraction of this value that a late response has
	Streaming          bool     `json:"streamed"`      // responses are streamed
	DedupWindowMS      float64  `json:"window-ms"`     // time for which engines drop repeats of an idempotency key
	Ordered            bool     `json:"in-order"`      // queries of one key run one at a time, in the order of arrival
	Zones              []string `json:"runs-in"`       // zones where the queries may run; empty for all
	Kinds              []string `json:"kinds-open"`    // engine kinds that the queries may run on; empty for all
}

// tenantJSON is one tenant.
type tenantJSON struct {
	Name  string  `json:"Name"`
	Quota float64 `json:"quota-per-s"` // queries per second, over all gateways
	Share float64 `json:"Share"`       // fraction of the service
}

// objectiveJSON holds the weights of the parts of the policy's objective.
type objectiveJSON struct {
	Overall     float64 `json:"Whole"`        // weight of the result of all queries together
	WorstClass  float64 `json:"worst-class"`  // weight of the worst result of a class
	WorstTenant float64 `json:"worst-tenant"` // weight of the worst result of a tenant
	WorstWindow float64 `json:"worst-window"` // weight of the worst result of a time window
}

// penaltiesJSON holds what one unit of each side effect subtracts from the objective.
type penaltiesJSON struct {
	CrossZone   float64 `json:"cross-zone"`
	WastedWork  float64 `json:"Waste"`
	LateFailure float64 `json:"late-fail"`
	LoadRequest float64 `json:"Probe"`
}

// reportJSON describes the engines' load reports.
type reportJSON struct {
	Method string   `json:"How"`   // method of reporting; noReportsMethod for none
	Names  []string `json:"Names"` // names of the reported values, in order
}

// rulesJSON holds the platform's rules on warm-up, draining, overload and retries. Fields that end in MS are in milliseconds.
type rulesJSON struct {
	AnswerGracePeriodMS  float64 `json:"answer-slack-ms"`        // how late a final response may be
	ResubscribeTimeoutMS float64 `json:"ask-within-ms"`          // a lost subscription must be renewed within this time
	WarmUpPeriodMS       float64 `json:"cold-ms"`                // an engine is warm at the latest after this time from its start
	OverloadWindowMS     float64 `json:"fall-ms"`                // an engine that warms up fails if it is overloaded for this long; 0 if it does not fail
	WarmUpMinCapacity    float64 `json:"start-capacity"`         // lowest fraction of its capacity that an engine has after its start
	DrainTimeoutMS       float64 `json:"stop-sending-within-ms"` // attempts at a draining engine must stop within this time
	OverloadMultiple     float64 `json:"tip-multiple"`           // multiple of its capacity at which an engine that warms up is overloaded
	SettleTimeMS         float64 `json:"settle-after-doubt-ms"`  // pause of an ordering key after an attempt that may still run
	RetryBudgetBase      float64 `json:"extra-free"`             // retries within the window regardless of the traffic
	RetryBudgetRatio     float64 `json:"resend-ratio"`           // additional retries for each query that arrived within the window
	RetryBudgetWindowMS  float64 `json:"look-back-ms"`           // length of the window of the retry budget; 0 for unlimited retries
}

// limitsJSON says what the gateway may do, and how often. Fields that end in MS are in milliseconds.
type limitsJSON struct {
	AllowCancel       bool    `json:"Cancel"`             // attempts may be cancelled
	AllowLoadRequests bool    `json:"may-probe"`          // load reports may be requested from engines
	PeersAllowed      bool    `json:"may-tell"`           // front ends may send each other messages
	ConnectTimeoutMS  float64 `json:"connect-timeout-ms"` // for connecting to an engine
	IdleTimeoutMS     float64 `json:"idle-close-ms"`      // idle time after which engines close a connection
	MaxStreams        int     `json:"max-streams"`        // concurrent attempts on one connection
	MaxRetryAfterMS   float64 `json:"max-retry-after-ms"` // longest wait before a retry that clients honor
	MaxAttempts       int     `json:"most-tries"`         // attempts for one query; 0 for 1
	SendRetryAfter    bool    `json:"retry-after"`        // clients are told when to retry
	AllowHedging      bool    `json:"second-copies"`      // two attempts of one query may run at a time
}

// enginesJSON describes the engines. Cores and MemoryMB have one value for each kind of engine; DataLoad, Threads and
// WaitsForDataLoad have one for each class of queries. A list may be left out or be too short.
type enginesJSON struct {
	Cores              []float64 `json:"cores-by-kind"`     // number of cores, by kind
	MemoryMB           []float64 `json:"memory-by-kind-mb"` // memory in MB, by kind
	MaxGrantFraction   float64   `json:"grant-cap"`         // largest fraction of an engine's memory that one query gets
	HonorsGrants       bool      `json:"grants-count"`      // engines honor memory grants
	DataLoad           []bool    `json:"is-load"`           // by class: queries lock their data set on the engine while they run
	Threads            []float64 `json:"parallelism"`       // by class: threads that a query runs on; 0 for 1
	HonorsPriority     bool      `json:"takes-priority"`    // engines honor priorities
	ReportsCost        bool      `json:"tells-cost"`        // responses report the work and memory that the query needed
	ProgressIntervalMS float64   `json:"tells-every-ms"`    // interval between progress reports in milliseconds; 0 if engines report none
	MemoryShortage     string    `json:"when-short"`        // a key of memoryShortages: what an engine does when grants exceed its memory
	WaitsForDataLoad   []bool    `json:"yields-to-loads"`   // by class: queries wait while a data load locks their data set
}

// The values that the settings keys effect, group and when-short may have.
var (
	idempotencies = map[string]policy.Idempotency{
		"read_like": policy.Idempotent, "idempotency_key": policy.IdempotentWithKey, "non_idempotent": policy.NotIdempotent,
	}
	dedupScopes = map[string]policy.DedupScope{
		"all": policy.DedupAll, "zone": policy.DedupZone, "cell": policy.DedupCell, "": policy.DedupCell,
	}
	memoryShortages = map[string]policy.MemoryShortage{
		"queue": policy.ShortageQueue, "trim": policy.ShortageTrim, "swap": policy.ShortageSwap, "": policy.ShortageQueue,
	}
)

const (
	subscribeMode   = "on_request" // value of the key membership-mode: only subscribers receive the endpoint list
	noReportsMethod = "silent"     // value of the key report.how: engines report no load
)

// policySettings converts the platform's settings to the policy's.
func (p *settingsJSON) policySettings() (policy.Settings, error) {
	shortage, ok := memoryShortages[p.Engines.MemoryShortage]
	if !ok {
		return policy.Settings{}, fmt.Errorf("extra.when-short: unknown value %q", p.Engines.MemoryShortage)
	}
	classes, err := p.policyClasses()
	if err != nil {
		return policy.Settings{}, err
	}
	s := policy.Settings{
		Gateways:         p.Gateways,
		Zone:             p.Zone,
		Classes:          classes,
		OverQuotaWeight:  p.OverQuotaWeight,
		ProgressInterval: FromMS(p.Engines.ProgressIntervalMS),
		HonorsGrants:     p.Engines.HonorsGrants,
		HonorsPriority:   p.Engines.HonorsPriority,
		MaxGrantFraction: p.Engines.MaxGrantFraction,
		MemoryShortage:   shortage,
		ReportsCost:      p.Engines.ReportsCost,
		ReportsLoad:      len(p.Report.Names) > 0 && p.Report.Method != noReportsMethod,
		SubscribeToList:  p.MembershipMode == subscribeMode,
		CallInterval:     FromMS(p.CallIntervalMS),
		Rules:            p.Rules.policyRules(),
		Limits:           p.Limits.policyLimits(),
		Objective: policy.Objective{
			Overall: p.Objective.Overall, WorstClass: p.Objective.WorstClass, WorstTenant: p.Objective.WorstTenant, WorstWindow: p.Objective.WorstWindow,
		},
		Penalties: policy.Penalties{
			CrossZone: p.Penalties.CrossZone, WastedWork: p.Penalties.WastedWork, LateFailure: p.Penalties.LateFailure, LoadRequest: p.Penalties.LoadRequest,
		},
	}
	if p.Rank != nil {
		s.Rank = *p.Rank + 1 // the policy counts from 1
	}
	for i, name := range p.Kinds {
		s.Kinds = append(s.Kinds, policy.Kind{Name: name, Cores: at(p.Engines.Cores, i), MemoryMB: at(p.Engines.MemoryMB, i)})
	}
	for _, t := range p.Tenants {
		s.Tenants = append(s.Tenants, policy.Tenant{Name: t.Name, Quota: t.Quota, Share: t.Share})
	}
	return s, nil
}

// policyRules converts the rules to those of the policy.
func (r *rulesJSON) policyRules() policy.Rules {
	return policy.Rules{
		AnswerGracePeriod:  FromMS(r.AnswerGracePeriodMS),
		DrainTimeout:       FromMS(r.DrainTimeoutMS),
		WarmUpMinCapacity:  r.WarmUpMinCapacity,
		WarmUpPeriod:       FromMS(r.WarmUpPeriodMS),
		OverloadMultiple:   r.OverloadMultiple,
		OverloadWindow:     FromMS(r.OverloadWindowMS),
		SettleTime:         FromMS(r.SettleTimeMS),
		RetryBudgetBase:    r.RetryBudgetBase,
		RetryBudgetRatio:   r.RetryBudgetRatio,
		RetryBudgetWindow:  FromMS(r.RetryBudgetWindowMS),
		ResubscribeTimeout: FromMS(r.ResubscribeTimeoutMS),
	}
}

// policyLimits converts the limits to those of the policy.
func (l *limitsJSON) policyLimits() policy.Limits {
	return policy.Limits{
		MaxAttempts:       l.MaxAttempts,
		AllowHedging:      l.AllowHedging,
		AllowCancel:       l.AllowCancel,
		AllowLoadRequests: l.AllowLoadRequests,
		SendRetryAfter:    l.SendRetryAfter,
		MaxRetryAfter:     FromMS(l.MaxRetryAfterMS),
		ConnectTimeout:    FromMS(l.ConnectTimeoutMS),
	}
}

// policyClasses converts the classes to those of the policy.
func (p *settingsJSON) policyClasses() ([]policy.Class, error) {
	var classes []policy.Class
	for i, c := range p.Classes {
		idempotency, ok := idempotencies[c.Idempotency]
		if !ok {
			return nil, fmt.Errorf("classes[%d].effect: unknown value %q", i, c.Idempotency)
		}
		scope, ok := dedupScopes[c.DedupScope]
		if !ok {
			return nil, fmt.Errorf("classes[%d].group: unknown value %q", i, c.DedupScope)
		}
		classes = append(classes, policy.Class{
			Name:              c.Name,
			LatencyObjective:  FromMS(c.LatencyObjectiveMS),
			ObjectiveStretch:  c.ObjectiveStretch,
			Timeout:           FromMS(c.TimeoutMS),
			PriorityWeight:    c.PriorityWeight,
			LateValueFraction: c.LateValueFraction,
			Threads:           at(p.Engines.Threads, i),
			Idempotency:       idempotency,
			DedupScope:        scope,
			DedupWindow:       FromMS(c.DedupWindowMS),
			Streaming:         c.Streaming,
			Ordered:           c.Ordered,
			DataLoad:          at(p.Engines.DataLoad, i),
			WaitsForDataLoad:  at(p.Engines.WaitsForDataLoad, i),
			Zones:             c.Zones,
			Kinds:             c.Kinds,
		})
	}
	return classes, nil
}

// at returns the i-th value of a list, or zero if the list is too short. Deployments may omit such a list or its end.
func at[T any](list []T, i int) (v T) {
	if i < len(list) {
		return list[i]
	}
	return v
}
