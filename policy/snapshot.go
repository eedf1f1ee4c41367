package policy

import (
	"maps"
	"time"
)

// Snapshot is what a gateway has learned of its engines and classes, for another one of the same settings
// that takes its place. It holds no query: those in flight stay with the gateway that admitted them. Both
// must use one clock. The time of the gateway's start is not in it: what the other still has in flight at an
// engine that warms up is unknown here, so that the new one waits as after a restart.
//
// A snapshot is passed on in CBOR, by the names in the tags, or of the fields without one: these must not
// change.
type Snapshot struct {
	Classes              []ClassSnapshot    `cbor:"Classes"`
	Engines              []EngineSnapshot   `cbor:"Engines"`
	Aggregate            ControllerSnapshot `cbor:"Fleet"`
	DataSetCounts        map[int64]float64  `cbor:"Sets"`
	DataSetTotal         float64            `cbor:"SetSum"`
	MeanLogValue         float64            `cbor:"Dear"`
	MeanLoad             float64            `cbor:"Load"`
	MeanOwnInFlight      float64            `cbor:"Mine"`
	MeanReportedInFlight float64            `cbor:"Theirs"`
	ArrivalRate          float64            `cbor:"Rate"`
	MeanThreads          float64            `cbor:"Width"`
	TickCount            int                `cbor:"Ticked"`
}

// ClassSnapshot is what a gateway has learned of a class.
type ClassSnapshot struct {
	Name              string  `cbor:"Name"`
	ResponseCount     int     `cbor:"N"`
	MeanLatencyMS     float64 `cbor:"Latency"`
	BaselineLatencyMS float64 `cbor:"Quick"`
	MeanWorkMS        float64 `cbor:"Work"`
	LatencyDeviation  float64 `cbor:"Spread"`
	MeanEstimateMS    float64 `cbor:"Guess"`
	GrantMultiple     float64 `cbor:"Grant"`
	DefaultGrantMB    float64 `cbor:"Ample"`
}

// ControllerSnapshot is the state of one adaptive limit.
type ControllerSnapshot struct {
	Limit        float64       `cbor:"Bound"`
	Alpha        float64       `cbor:"Alpha"`
	LoadLevel    float64       `cbor:"Level"`
	Slowdown     float64       `cbor:"Slow"`
	BindingUntil time.Duration `cbor:"Pressed"`
}

// EngineSnapshot is what a gateway has learned of an engine of the list.
type EngineSnapshot struct {
	Engine
	Controller         ControllerSnapshot       `cbor:"Loop"`
	LastStart          time.Duration            `cbor:"Begun"`
	WarmUpUntil        time.Duration            `cbor:"ColdUntil"`
	TurnsSince         time.Duration            `cbor:"ColdTold"`
	BudgetSpentUntil   time.Duration            `cbor:"ColdNext"`
	WarmUpUntilBefore  time.Duration            `cbor:"ColdWas"`
	LastHeard          time.Duration            `cbor:"Heard"`
	ReportedAt         time.Duration            `cbor:"ToldAt"`
	ConnectionLostAt   time.Duration            `cbor:"LostAt"`
	NextTrialAt        time.Duration            `cbor:"TrialAt"`
	TurnOffset         float64                  `cbor:"Draw"`
	ReportedLoad       float64                  `cbor:"Load"`
	FaultRate          float64                  `cbor:"Faults"`
	RestartPresumed    bool                     `cbor:"Doubted"`
	EjectedForFaults   bool                     `cbor:"Erring"`
	Ejected            bool                     `cbor:"Suspected"`
	ClassBlockedUntil  map[string]time.Duration `cbor:"Mute"`
	DataSetLockedUntil map[int64]time.Duration  `cbor:"Held"`
	LostResponses      map[string]int           `cbor:"Lost"`
}

// Snapshot returns a copy of what the gateway has learned.
func (g *Gateway) Snapshot() Snapshot {
	s := Snapshot{
		Aggregate:            g.aggregate.snapshot(),
		DataSetCounts:        maps.Clone(g.dataSets.counts),
		DataSetTotal:         g.dataSets.total,
		MeanLogValue:         g.meanLogValue,
		MeanLoad:             g.meanLoad,
		MeanOwnInFlight:      g.traffic.ownInFlight,
		MeanReportedInFlight: g.traffic.reportedInFlight,
		ArrivalRate:          g.traffic.arrivalRate,
		MeanThreads:          g.meanThreads,
		TickCount:            g.ticker.count,
	}
	for _, settings := range g.settings.Classes {
		s.Classes = append(s.Classes, g.classes[settings.Name].snapshot())
	}
	for _, e := range g.engines {
		if e.state != EngineDeparted {
			s.Engines = append(s.Engines, e.snapshot())
		}
	}
	return s
}

// Restore takes what another gateway has learned, before the first event. It skips what these settings have
// no class or machine kind for.
func (g *Gateway) Restore(now time.Duration, s Snapshot) {
	g.now = max(g.now, now)
	g.ticker.count = s.TickCount
	for _, classSnapshot := range s.Classes {
		if c := g.classes[classSnapshot.Name]; c != nil {
			c.restore(classSnapshot)
		}
	}
	for i := range s.Engines {
		e := g.updateEngine(s.Engines[i].Engine)
		e.restore(&s.Engines[i], g.classes)
	}
	// The first call of resizeAggregate initializes the aggregate controller: it must precede its restore.
	g.resizeAggregate()
	for i := range s.Engines {
		e := g.enginesByID[s.Engines[i].ID]
		g.resize(e)
		e.controller.restore(s.Engines[i].Controller)
		e.health.faultRate = s.Engines[i].FaultRate // which resize lets fade
	}
	g.aggregate.restore(s.Aggregate)
	maps.Copy(g.dataSets.counts, s.DataSetCounts)
	g.dataSets.total = s.DataSetTotal
	g.meanLogValue = s.MeanLogValue
	g.meanLoad = s.MeanLoad
	g.traffic.ownInFlight = s.MeanOwnInFlight
	g.traffic.reportedInFlight = s.MeanReportedInFlight
	g.traffic.arrivalRate = s.ArrivalRate
	g.meanThreads = s.MeanThreads
}

// IsEjected tells whether the gateway sends an engine nothing but trials, as it seems hung or failing.
func (g *Gateway) IsEjected(id string) bool {
	e := g.enginesByID[id]
	return e != nil && e.health.ejected
}

func (c *controller) snapshot() ControllerSnapshot {
	return ControllerSnapshot{
		Limit:        c.limit,
		Alpha:        c.alpha,
		LoadLevel:    c.loadLevel,
		Slowdown:     c.slowdown,
		BindingUntil: c.bindingUntil,
	}
}

func (c *controller) restore(s ControllerSnapshot) {
	c.limit = s.Limit
	c.alpha = s.Alpha
	c.loadLevel = s.LoadLevel
	c.slowdown = s.Slowdown
	c.bindingUntil = s.BindingUntil
}

func (c *class) snapshot() ClassSnapshot {
	return ClassSnapshot{
		Name:              c.Name,
		ResponseCount:     c.responses,
		MeanLatencyMS:     c.latencyMS,
		BaselineLatencyMS: c.baselineMS,
		MeanWorkMS:        c.workMS,
		LatencyDeviation:  c.latencyDeviation,
		MeanEstimateMS:    c.estimateMS,
		GrantMultiple:     c.grantMultiple,
		DefaultGrantMB:    c.defaultGrantMB,
	}
}

func (c *class) restore(s ClassSnapshot) {
	c.responses = s.ResponseCount
	c.latencyMS = s.MeanLatencyMS
	c.baselineMS = s.BaselineLatencyMS
	c.workMS = s.MeanWorkMS
	c.latencyDeviation = s.LatencyDeviation
	c.estimateMS = s.MeanEstimateMS
	c.grantMultiple = s.GrantMultiple
	c.defaultGrantMB = s.DefaultGrantMB
}

func (e *engine) snapshot() EngineSnapshot {
	s := EngineSnapshot{
		Engine:             Engine{ID: e.id, Zone: e.zone, Kind: e.kind, Cell: e.cell, State: e.state},
		Controller:         e.controller.snapshot(),
		LastStart:          e.lastStart,
		WarmUpUntil:        e.warmUp.until,
		TurnsSince:         e.warmUp.turnsSince,
		BudgetSpentUntil:   e.warmUp.budgetSpentUntil,
		WarmUpUntilBefore:  e.warmUp.untilBefore,
		LastHeard:          e.health.lastHeard,
		ReportedAt:         e.report.at,
		ConnectionLostAt:   e.health.connectionLostAt,
		NextTrialAt:        e.health.nextTrialAt,
		TurnOffset:         e.warmUp.turnOffset,
		ReportedLoad:       e.report.load,
		FaultRate:          e.health.faultRate,
		RestartPresumed:    e.warmUp.restartPresumed,
		EjectedForFaults:   e.health.ejectedForFaults,
		Ejected:            e.health.ejected,
		ClassBlockedUntil:  map[string]time.Duration{},
		DataSetLockedUntil: maps.Clone(e.lockedUntil),
		LostResponses:      map[string]int{},
	}
	for c, until := range e.health.blockedUntil {
		s.ClassBlockedUntil[c.Name] = until
	}
	for c, count := range e.health.lostResponses {
		s.LostResponses[c.Name] = count
	}
	return s
}

// restore takes all but the controller, which follows once all engines are known.
func (e *engine) restore(s *EngineSnapshot, classes map[string]*class) {
	e.lastStart = s.LastStart
	e.warmUp = warmUp{
		until: s.WarmUpUntil, turnsSince: s.TurnsSince, budgetSpentUntil: s.BudgetSpentUntil,
		turnOffset: s.TurnOffset, restartPresumed: s.RestartPresumed, untilBefore: s.WarmUpUntilBefore,
	}
	e.report.at = s.ReportedAt
	e.report.load = s.ReportedLoad
	e.health.lastHeard = s.LastHeard
	e.health.connectionLostAt = s.ConnectionLostAt
	e.health.nextTrialAt = s.NextTrialAt
	e.health.faultRate = s.FaultRate
	e.health.ejected = s.Ejected
	e.health.ejectedForFaults = s.EjectedForFaults
	for name, until := range s.ClassBlockedUntil {
		if c := classes[name]; c != nil {
			e.health.blockedUntil[c] = until
		}
	}
	for name, count := range s.LostResponses {
		if c := classes[name]; c != nil {
			e.health.lostResponses[c] = count
		}
	}
	maps.Copy(e.lockedUntil, s.DataSetLockedUntil)
}
