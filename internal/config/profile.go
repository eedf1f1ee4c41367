package config

import (
	"encoding/json"
	"fmt"
	"time"

	"gannetspur/policy"
)

// Site is one deployment's settings: those of the policy, and those that only the gateway around it
// needs.
type Site struct {
	Policy           policy.Settings
	Reports          []string // names of the load report's values, in order
	Zones            []string // names by index
	Kinds            []string // names by index
	MaxStreams       int      // attempts on one connection at once
	ConnectTimeout   time.Duration
	IdleTimeout      time.Duration // after which engines close an idle connection
	ProgressInterval time.Duration // between progress reports of an attempt
	PeersAllowed     bool          // gateways may send each other messages
}

// UnmarshalJSON reads the settings object of the simulator's first message.
func (s *Site) UnmarshalJSON(b []byte) error {
	var p profile
	if err := json.Unmarshal(b, &p); err != nil {
		return err
	}
	set, err := p.settings()
	if err != nil {
		return err
	}
	*s = Site{
		Policy:           set,
		Reports:          p.Report.Names,
		Zones:            p.Zones,
		Kinds:            p.Kinds,
		MaxStreams:       p.Limits.MaxStreams,
		ConnectTimeout:   FromMS(p.Limits.ConnectTimeoutMS),
		IdleTimeout:      FromMS(p.Limits.IdleTimeoutMS),
		ProgressInterval: set.ProgressInterval,
		PeersAllowed:     p.Limits.PeersAllowed,
	}
	return nil
}

// profile is the settings object as the platform writes it; keys that it does not name are skipped.
// A field without a tag has the name of its key, which the errors of the decoder show.
type profile struct {
	Balancers       int              `json:"Balancers"`
	Rank            *int             `json:"Rank"` // of this gateway, from 0
	Zone            string           `json:"Zone"`
	Classes         []profileClass   `json:"Classes"`
	Kinds           []string         `json:"Kinds"`
	Zones           []string         `json:"Zones"`
	Projects        []profileTenant  `json:"Projects"`
	OverQuotaWeight float64          `json:"over-share-worth"`
	MembershipMode  string           `json:"membership-mode"`
	CallIntervalMS  float64          `json:"round-ms"`
	Goal            profileObjective `json:"Goal"`
	Costs           profilePenalties `json:"Costs"`
	Report          profileReport    `json:"Report"`
	Contract        profileRules     `json:"Contract"`
	Limits          profileLimits    `json:"Limits"`
	Extra           profileEngines   `json:"Extra"`
}

type profileClass struct {
	Name               string   `json:"Name"`
	LatencyObjectiveMS float64  `json:"aim-ms"`
	ObjectiveStretch   float64  `json:"aim-stretch"`
	TimeoutMS          float64  `json:"hard-limit-ms"`
	Effect             string   `json:"Effect"`
	Group              string   `json:"Group"`
	PriorityWeight     float64  `json:"importance"`
	LateFraction       float64  `json:"late-share"`
	Streaming          bool     `json:"streamed"`
	DedupWindowMS      float64  `json:"window-ms"`
	Ordered            bool     `json:"in-order"`
	Zones              []string `json:"runs-in"`
	Kinds              []string `json:"kinds-open"`
}

type profileTenant struct {
	Name  string  `json:"Name"`
	Quota float64 `json:"quota-per-s"`
	Share float64 `json:"Share"`
}

type profileObjective struct {
	Whole       float64 `json:"Whole"`
	WorstClass  float64 `json:"worst-class"`
	WorstTenant float64 `json:"worst-tenant"`
	WorstWindow float64 `json:"worst-window"`
}

type profilePenalties struct {
	CrossZone   float64 `json:"cross-zone"`
	Waste       float64 `json:"Waste"`
	LateFailure float64 `json:"late-fail"`
	Probe       float64 `json:"Probe"`
}

type profileReport struct {
	How   string   `json:"How"`
	Names []string `json:"Names"`
}

type profileRules struct {
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

type profileLimits struct {
	Cancel            bool    `json:"Cancel"`
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

// profileEngines describes the engines, by kind, and their classes' statements, by class.
type profileEngines struct {
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

// Values of settings.
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
	subscribeMode   = "on_request" // of membership-mode: the endpoint list comes to those who subscribe
	noReportsMethod = "silent"     // of report.how: engines report no load
)

// settings maps the platform's settings to the policy's.
func (p *profile) settings() (policy.Settings, error) {
	shortage, ok := memoryShortages[p.Extra.MemoryShortage]
	if !ok {
		return policy.Settings{}, fmt.Errorf("extra.when-short: unknown value %q", p.Extra.MemoryShortage)
	}
	classes, err := p.policyClasses()
	if err != nil {
		return policy.Settings{}, err
	}
	s := policy.Settings{
		Gateways:         p.Balancers,
		Zone:             p.Zone,
		Classes:          classes,
		OverQuotaWeight:  p.OverQuotaWeight,
		ProgressInterval: FromMS(p.Extra.ProgressIntervalMS),
		HonorsGrants:     p.Extra.HonorsGrants,
		HonorsPriority:   p.Extra.HonorsPriority,
		MaxGrantFraction: p.Extra.MaxGrantFraction,
		MemoryShortage:   shortage,
		ReportsCost:      p.Extra.ReportsCost,
		ReportsLoad:      len(p.Report.Names) > 0 && p.Report.How != noReportsMethod,
		SubscribeToList:  p.MembershipMode == subscribeMode,
		CallInterval:     FromMS(p.CallIntervalMS),
		Rules:            p.Contract.rules(),
		Limits:           p.Limits.limits(),
		Objective: policy.Objective{
			Overall: p.Goal.Whole, WorstClass: p.Goal.WorstClass, WorstTenant: p.Goal.WorstTenant, WorstWindow: p.Goal.WorstWindow,
		},
		Penalties: policy.Penalties{
			CrossZone: p.Costs.CrossZone, WastedWork: p.Costs.Waste, LateFailure: p.Costs.LateFailure, LoadRequest: p.Costs.Probe,
		},
	}
	if p.Rank != nil {
		s.Rank = *p.Rank + 1 // the policy counts from 1
	}
	for i, name := range p.Kinds {
		s.Kinds = append(s.Kinds, policy.Kind{Name: name, Cores: at(p.Extra.Cores, i), MemoryMB: at(p.Extra.MemoryMB, i)})
	}
	for _, t := range p.Projects {
		s.Tenants = append(s.Tenants, policy.Tenant{Name: t.Name, Quota: t.Quota, Share: t.Share})
	}
	return s, nil
}

func (r *profileRules) rules() policy.Rules {
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

func (l *profileLimits) limits() policy.Limits {
	return policy.Limits{
		MaxAttempts:       l.MaxAttempts,
		AllowHedging:      l.AllowHedging,
		AllowCancel:       l.Cancel,
		AllowLoadRequests: l.AllowLoadRequests,
		SendRetryAfter:    l.SendRetryAfter,
		MaxRetryAfter:     FromMS(l.MaxRetryAfterMS),
		ConnectTimeout:    FromMS(l.ConnectTimeoutMS),
	}
}

func (p *profile) policyClasses() ([]policy.Class, error) {
	var classes []policy.Class
	for i, c := range p.Classes {
		idempotency, ok := idempotencies[c.Effect]
		if !ok {
			return nil, fmt.Errorf("classes[%d].effect: unknown value %q", i, c.Effect)
		}
		scope, ok := dedupScopes[c.Group]
		if !ok {
			return nil, fmt.Errorf("classes[%d].group: unknown value %q", i, c.Group)
		}
		classes = append(classes, policy.Class{
			Name:             c.Name,
			LatencyObjective: FromMS(c.LatencyObjectiveMS),
			ObjectiveStretch: c.ObjectiveStretch,
			Timeout:          FromMS(c.TimeoutMS),
			PriorityWeight:   c.PriorityWeight,
			LateFraction:     c.LateFraction,
			Threads:          at(p.Extra.Threads, i),
			Idempotency:      idempotency,
			DedupScope:       scope,
			DedupWindow:      FromMS(c.DedupWindowMS),
			Streaming:        c.Streaming,
			Ordered:          c.Ordered,
			DataLoad:         at(p.Extra.DataLoad, i),
			WaitsForDataLoad: at(p.Extra.WaitsForDataLoad, i),
			Zones:            c.Zones,
			Kinds:            c.Kinds,
		})
	}
	return classes, nil
}

// at returns the value of a list that a deployment may leave out or keep short, or zero.
func at[T any](list []T, i int) (v T) {
	if i < len(list) {
		return list[i]
	}
	return v
}
