package config

import (
	"encoding/json"
	"fmt"
	"time"

	"gannetspur/policy"
)

// Site is one deployment's settings: what the module is given, and what only
// its surroundings need.
type Site struct {
	Policy         policy.Settings
	Reports        []string // names of the load report's values, in order
	Zones          []string // names by place
	Kinds          []string
	MaxStreams     int           // attempts on one connection at once
	ConnectTimeout time.Duration // a connection not up by then has failed
	IdleClose      time.Duration // engines close what is idle for this long
	NoteEvery      time.Duration
	MayTell        bool // front ends may send each other words
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
		Policy: set, Reports: p.Report.Names, Zones: p.Zones, Kinds: p.Kinds,
		MaxStreams: p.Limits.Streams, ConnectTimeout: FromMS(p.Limits.Connect),
		IdleClose: FromMS(p.Limits.IdleClose), NoteEvery: set.ProgressInterval, MayTell: p.Limits.Tells,
	}
	return nil
}

// profile is the settings object of INIT; keys that it does not name are skipped.
type profile struct {
	Balancers int
	Rank      *int
	Zone      string
	Classes   []struct {
		Name      string
		Aim       float64 `json:"aim-ms"`
		Stretch   float64 `json:"aim-stretch"`
		Hard      float64 `json:"hard-limit-ms"`
		Effect    string
		Group     string
		Worth     float64  `json:"importance"`
		Late      float64  `json:"late-share"`
		Streamed  bool     `json:"streamed"`
		Window    float64  `json:"window-ms"`
		InOrder   bool     `json:"in-order"`
		RunsIn    []string `json:"runs-in"`
		KindsOpen []string `json:"kinds-open"`
	}
	Kinds    []string
	Zones    []string
	Projects []struct {
		Name  string
		Quota float64 `json:"quota-per-s"`
		Share float64
	}
	OverShare float64 `json:"over-share-worth"`
	Mode      string  `json:"membership-mode"`
	Round     float64 `json:"round-ms"`
	Goal      struct {
		Whole       float64
		WorstClass  float64 `json:"worst-class"`
		WorstTenant float64 `json:"worst-tenant"`
		WorstWindow float64 `json:"worst-window"`
	}
	Costs struct {
		CrossZone float64 `json:"cross-zone"`
		Waste     float64
		LateFail  float64 `json:"late-fail"`
		Probe     float64
	}
	Report struct {
		How   string
		Names []string
	}
	Contract struct {
		Slack      float64 `json:"answer-slack-ms"`
		Ask        float64 `json:"ask-within-ms"`
		Cold       float64 `json:"cold-ms"`
		Fall       float64 `json:"fall-ms"`
		Start      float64 `json:"start-capacity"`
		Stop       float64 `json:"stop-sending-within-ms"`
		Tip        float64 `json:"tip-multiple"`
		Settle     float64 `json:"settle-after-doubt-ms"`
		ExtraFree  float64 `json:"extra-free"`
		ExtraShare float64 `json:"resend-ratio"`
		LookBack   float64 `json:"look-back-ms"`
	}
	Limits struct {
		Cancel    bool
		Probes    bool    `json:"may-probe"`
		Tells     bool    `json:"may-tell"`
		Connect   float64 `json:"connect-timeout-ms"`
		IdleClose float64 `json:"idle-close-ms"`
		Streams   int     `json:"max-streams"`
		Most      float64 `json:"max-retry-after-ms"`
		Tries     int     `json:"most-tries"`
		ComeBack  bool    `json:"retry-after"`
		Copies    bool    `json:"second-copies"`
	}
	Extra struct {
		Cores     []float64 `json:"cores-by-kind"`
		Memory    []float64 `json:"memory-by-kind-mb"`
		GrantCap  float64   `json:"grant-cap"`
		Grants    bool      `json:"grants-count"`
		IsLoad    []bool    `json:"is-load"`
		Threads   []float64 `json:"parallelism"`
		Priority  bool      `json:"takes-priority"`
		TellsCost bool      `json:"tells-cost"`
		Tells     float64   `json:"tells-every-ms"`
		Short     string    `json:"when-short"`
		Yields    []bool    `json:"yields-to-loads"`
	}
}

var effects = map[string]policy.Idempotency{
	"read_like": policy.Idempotent, "idempotency_key": policy.IdempotentWithKey, "non_idempotent": policy.NotIdempotent,
}

var groups = map[string]policy.DedupScope{"all": policy.DedupAll, "zone": policy.DedupZone, "cell": policy.DedupCell, "": policy.DedupCell}

var shorts = map[string]policy.MemoryShortage{
	"queue": policy.ShortageQueue, "trim": policy.ShortageTrim, "swap": policy.ShortageSwap, "": policy.ShortageQueue,
}

// settings translates the wire's settings into the module's.
func (p *profile) settings() (policy.Settings, error) {
	short, ok := shorts[p.Extra.Short]
	if !ok {
		return policy.Settings{}, fmt.Errorf("extra.when-short: unknown value %q", p.Extra.Short)
	}
	s := policy.Settings{
		Gateways: p.Balancers, Zone: p.Zone, OverQuotaWeight: p.OverShare,
		ProgressInterval: FromMS(p.Extra.Tells), HonorsGrants: p.Extra.Grants, HonorsPriority: p.Extra.Priority,
		MaxGrantFraction: p.Extra.GrantCap, MemoryShortage: short, ReportsCost: p.Extra.TellsCost,
		ReportsLoad:     len(p.Report.Names) > 0 && p.Report.How != "silent",
		SubscribeToList: p.Mode == "on_request", CallInterval: FromMS(p.Round),
		Rules: policy.Rules{
			AnswerSlack: FromMS(p.Contract.Slack), DrainGrace: FromMS(p.Contract.Stop),
			WarmUpMinCapacity: p.Contract.Start, WarmUpPeriod: FromMS(p.Contract.Cold),
			OverloadMultiple: p.Contract.Tip, OverloadWindow: FromMS(p.Contract.Fall),
			SettleTime: FromMS(p.Contract.Settle), RetryBudgetBase: p.Contract.ExtraFree,
			RetryBudgetRatio: p.Contract.ExtraShare, RetryBudgetWindow: FromMS(p.Contract.LookBack),
			ResubscribeWithin: FromMS(p.Contract.Ask),
		},
		Limits: policy.Limits{
			MaxAttempts: p.Limits.Tries, AllowHedging: p.Limits.Copies, AllowCancel: p.Limits.Cancel,
			AllowLoadRequests: p.Limits.Probes,
			SendRetryAfter:    p.Limits.ComeBack, MaxRetryAfter: FromMS(p.Limits.Most),
			ConnectTimeout: FromMS(p.Limits.Connect),
		},
		Objective: policy.Objective{Overall: p.Goal.Whole, WorstClass: p.Goal.WorstClass,
			WorstTenant: p.Goal.WorstTenant, WorstWindow: p.Goal.WorstWindow},
		Penalties: policy.Penalties{CrossZone: p.Costs.CrossZone, WastedWork: p.Costs.Waste, LateFailure: p.Costs.LateFail,
			LoadRequest: p.Costs.Probe},
	}
	if p.Rank != nil {
		s.Rank = *p.Rank + 1 // from 0 in the settings
	}
	for i, name := range p.Kinds {
		s.Kinds = append(s.Kinds, policy.Kind{Name: name, Cores: at(p.Extra.Cores, i), MemoryMB: at(p.Extra.Memory, i)})
	}
	for _, t := range p.Projects {
		s.Tenants = append(s.Tenants, policy.Tenant{Name: t.Name, Quota: t.Quota, Share: t.Share})
	}
	return s, p.classes(&s)
}

func (p *profile) classes(s *policy.Settings) error {
	for i, c := range p.Classes {
		effect, ok := effects[c.Effect]
		if !ok {
			return fmt.Errorf("classes[%d].effect: unknown value %q", i, c.Effect)
		}
		group, ok := groups[c.Group]
		if !ok {
			return fmt.Errorf("classes[%d].group: unknown value %q", i, c.Group)
		}
		s.Classes = append(s.Classes, policy.Class{
			Name: c.Name, LatencyObjective: FromMS(c.Aim), ObjectiveStretch: c.Stretch, Timeout: FromMS(c.Hard), PriorityWeight: c.Worth,
			LateFraction: c.Late, Threads: at(p.Extra.Threads, i), Idempotency: effect, DedupScope: group,
			DedupWindow: FromMS(c.Window), Streaming: c.Streamed, Ordered: c.InOrder, DataLoad: at(p.Extra.IsLoad, i),
			WaitsForDataLoad: at(p.Extra.Yields, i), Zones: c.RunsIn, Kinds: c.KindsOpen,
		})
	}
	return nil
}

// at reads a list that a deployment may leave out or keep short.
func at[T any](list []T, i int) (v T) {
	if i < len(list) {
		return list[i]
	}
	return v
}
