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
	policySettings, err := decoded.settings()
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
	Gateways        int           `json:"Balancers"`
	Rank            *int          `json:"Rank"` // number of this gateway, from 0; nil if not given
	Zone            string        `json:"Zone"`
	Classes         []classJSON   `json:"Classes"`
	Kinds           []string      `json:"Kinds"`
	Zones           []string      `json:"Zones"`
	Tenants         []tenantJSON  `json:"Projects"`
	OverQuotaWeight float64       `json:"over-share-worth"`
	MembershipMode  string        `json:"membership-mode"`
	CallIntervalMS  float64       `json:"round-ms"`
	Objective       objectiveJSON `json:"Goal"`
	Penalties       penaltiesJSON `json:"Costs"`
	Report          reportJSON    `json:"Report"`
	Rules           rulesJSON     `json:"Contract"`
	Limits          limitsJSON    `json:"Limits"`
	Engines         enginesJSON   `json:"Extra"`
}

// classJSON is one class of queries. Times are in milliseconds.
type classJSON struct {
	Name               string   `json:"Name"`
	LatencyObjectiveMS float64  `json:"aim-ms"`
	ObjectiveStretch   float64  `json:"aim-stretch"`
	TimeoutMS          float64  `json:"hard-limit-ms"`
	Idempotency        string   `json:"Effect"`
	DedupScope         string   `json:"Group"`
	PriorityWeight     float64  `json:"importance"`
	LateFraction       float64  `json:"late-share"`
	Streaming          bool     `json:"streamed"`
	DedupWindowMS      float64  `json:"window-ms"`
	Ordered            bool     `json:"in-order"`
	Zones              []string `json:"runs-in"`
	Kinds              []string `json:"kinds-open"`
}

// tenantJSON is one tenant.
type tenantJSON struct {
	Name  string  `json:"Name"`
	Quota float64 `json:"quota-per-s"` // queries per second
	Share float64 `json:"Share"`
}

// objectiveJSON holds the weights of the parts of the policy's objective.
type objectiveJSON struct {
	Overall     float64 `json:"Whole"`
	WorstClass  float64 `json:"worst-class"`
	WorstTenant float64 `json:"worst-tenant"`
	WorstWindow float64 `json:"worst-window"`
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

// rulesJSON holds the platform's rules on warm-up, draining, overload and retries. Times are in milliseconds.
type rulesJSON struct {
	AnswerSlackMS       float64 `json:"answer-slack-ms"`
	ResubscribeWithinMS float64 `json:"ask-within-ms"`
	WarmUpPeriodMS      float64 `json:"cold-ms"`
	OverloadWindowMS    float64 `json:"fall-ms"`
	WarmUpMinCapacity   float64 `json:"start-capacity"`
	DrainGraceMS        float64 `json:"stop-sending-within-ms"`
	OverloadMultiple    float64 `json:"tip-multiple"`
	SettleTimeMS        float64 `json:"settle-after-doubt-ms"`
	RetryBudgetBase     float64 `json:"extra-free"`
	RetryBudgetRatio    float64 `json:"resend-ratio"`
	RetryBudgetWindowMS float64 `json:"look-back-ms"`
}

// limitsJSON says what the gateway may do, and how often. Times are in milliseconds.
type limitsJSON struct {
	AllowCancel       bool    `json:"Cancel"`
	AllowLoadRequests bool    `json:"may-probe"`
	PeersAllowed      bool    `json:"may-tell"`
	ConnectTimeoutMS  float64 `json:"connect-timeout-ms"`
	IdleTimeoutMS     float64 `json:"idle-close-ms"`
	MaxStreams        int     `json:"max-streams"`
	MaxRetryAfterMS   float64 `json:"max-retry-after-ms"`
	MaxAttempts       int     `json:"most-tries"`
	SendRetryAfter    bool    `json:"retry-after"`
	AllowHedging      bool    `json:"second-copies"`
}

// enginesJSON describes the engines. Cores and MemoryMB have one value for each kind; DataLoad, Threads and WaitsForDataLoad
// have one for each class.
type enginesJSON struct {
	Cores              []float64 `json:"cores-by-kind"`
	MemoryMB           []float64 `json:"memory-by-kind-mb"`
	MaxGrantFraction   float64   `json:"grant-cap"`
	HonorsGrants       bool      `json:"grants-count"`
	DataLoad           []bool    `json:"is-load"`
	Threads            []float64 `json:"parallelism"`
	HonorsPriority     bool      `json:"takes-priority"`
	ReportsCost        bool      `json:"tells-cost"`
	ProgressIntervalMS float64   `json:"tells-every-ms"`
	MemoryShortage     string    `json:"when-short"`
	WaitsForDataLoad   []bool    `json:"yields-to-loads"`
}

// Values that the settings may have for effect, group and when-short.
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
	subscribeMode   = "on_request" // value of membership-mode: only subscribers receive the endpoint list
	noReportsMethod = "silent"     // value of report.how: engines report no load
)

// settings converts the platform's settings to the policy's.
func (p *settingsJSON) settings() (policy.Settings, error) {
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
		Rules:            p.Rules.rules(),
		Limits:           p.Limits.limits(),
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

// rules converts the rules to those of the policy.
func (r *rulesJSON) rules() policy.Rules {
	return policy.Rules{
		AnswerSlack:       FromMS(r.AnswerSlackMS),
		DrainGrace:        FromMS(r.DrainGraceMS),
		WarmUpMinCapacity: r.WarmUpMinCapacity,
		WarmUpPeriod:      FromMS(r.WarmUpPeriodMS),
		OverloadMultiple:  r.OverloadMultiple,
		OverloadWindow:    FromMS(r.OverloadWindowMS),
		SettleTime:        FromMS(r.SettleTimeMS),
		RetryBudgetBase:   r.RetryBudgetBase,
		RetryBudgetRatio:  r.RetryBudgetRatio,
		RetryBudgetWindow: FromMS(r.RetryBudgetWindowMS),
		ResubscribeWithin: FromMS(r.ResubscribeWithinMS),
	}
}

// limits converts the limits to those of the policy.
func (l *limitsJSON) limits() policy.Limits {
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
			Name:             c.Name,
			LatencyObjective: FromMS(c.LatencyObjectiveMS),
			ObjectiveStretch: c.ObjectiveStretch,
			Timeout:          FromMS(c.TimeoutMS),
			PriorityWeight:   c.PriorityWeight,
			LateFraction:     c.LateFraction,
			Threads:          at(p.Engines.Threads, i),
			Idempotency:      idempotency,
			DedupScope:       scope,
			DedupWindow:      FromMS(c.DedupWindowMS),
			Streaming:        c.Streaming,
			Ordered:          c.Ordered,
			DataLoad:         at(p.Engines.DataLoad, i),
			WaitsForDataLoad: at(p.Engines.WaitsForDataLoad, i),
			Zones:            c.Zones,
			Kinds:            c.Kinds,
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
