package policy

import (
	"maps"
	"time"
)

// Snapshot is what a gateway has learned of its engines and classes. It is passed to a gateway with the
// same settings that takes the first one's place. Both must use the same clock. A snapshot contains no
// queries: those in flight stay with the gateway that admitted them. Nor does it contain the time of the
// gateway's start: the new gateway does not know what the other one still has in flight at a warming
// engine, so it waits as after a restart.
//
// A snapshot is encoded in CBOR, under the names in the tags, or under the field name where there is no
// tag. These names must not change.
type Snapshot struct {
	Classes       []ClassSnapshot    `cbor:"Classes"`
	Engines       []EngineSnapshot   `cbor:"Engines"`
	Aggregate     ControllerSnapshot `cbor:"Fleet"`  // limit over all engines together
	DataSetCounts map[int64]float64  `cbor:"Sets"`   // recent queries of each data set
	DataSetTotal  float64            `cbor:"SetSum"` // sum of DataSetCounts
	// MeanLogValue is the moving average of the binary logarithm of priority weight over expected work.
	MeanLogValue float64 `cbor:"Dear"`
	// MeanLoad is the moving average of the engines' reported load, in threads per core.
	MeanLoad float64 `cbor:"Load"`
	// MeanOwnInFlight and MeanReportedInFlight are the mean numbers of queries in flight per engine, from
	// this gateway and, as reported, from all gateways. 0 reported means that engines do not report it.
	MeanOwnInFlight      float64 `cbor:"Mine"`
	MeanReportedInFlight float64 `cbor:"Theirs"`
	// ArrivalRate is in queries per second.
	ArrivalRate float64 `cbor:"Rate"`
	// MeanThreads is the moving average of the threads of the attempts sent.
	MeanThreads float64 `cbor:"Width"`
	// TickCount is the number of ticks of the periodic timer.
	TickCount int `cbor:"Ticked"`
}

// ClassSnapshot is what a gateway has learned of a class; latencies and work are in milliseconds.
type ClassSnapshot struct {
	Name              string  `cbor:"Name"`
	ResponseCount     int     `cbor:"N"`
	MeanLatencyMS     float64 `cbor:"Latency"`
	BaselineLatencyMS float64 `cbor:"Quick"`
	MeanWorkMS        float64 `cbor:"Work"`
	LatencyDeviation  float64 `cbor:"Spread"` // mean, as a fraction of the expected latency
	MeanEstimateMS    float64 `cbor:"Guess"`  // 0: no estimate so far
	GrantMultiple     float64 `cbor:"Grant"`  // memory granted, as a multiple of the estimate
	DefaultGrantMB    float64 `cbor:"Ample"`  // without an estimate; 0: the engine chooses
	// ServedTimeMS and UnservedTimeMS are the recent time of attempts at engines, by how they ended.
	ServedTimeMS   float64 `cbor:"ServedTime,omitempty"`
	UnservedTimeMS float64 `cbor:"UnservedTime,omitempty"`
}

// ControllerSnapshot is the state of one adaptive concurrency limit.
type ControllerSnapshot struct {
	Limit        float64       `cbor:"Bound"`   // in threads
	Alpha        float64       `cbor:"Alpha"`   // estimated latency ratio per thread
	LoadLevel    float64       `cbor:"Level"`   // reported load over the target load
	Slowdown     float64       `cbor:"Slow"`    // latency over the baseline latency of the class
	BindingUntil time.Duration `cbor:"Pressed"` // instant until which the limit binds
}

// EngineSnapshot is what a gateway has learned of a listed engine. Its times are instants on the gateways'
// common clock.
type EngineSnapshot struct {
	Engine
	Controller ControllerSnapshot `cbor:"Loop"`
	LastStart  time.Duration      `cbor:"Begun"` // latest start; math.MinInt64: unknown
	// WarmUpUntil is the end of the warm-up; in the past, the engine is warm.
	WarmUpUntil time.Duration `cbor:"ColdUntil"`
	// TurnsSince is the instant from which the gateways' turns to send wide queries to the warming engine
	// are counted.
	TurnsSince time.Duration `cbor:"ColdTold"`
	// BudgetSpentUntil is the instant until which the warm-up budget is spent.
	BudgetSpentUntil time.Duration `cbor:"ColdNext"`
	// PreviousWarmUpUntil is the value of WarmUpUntil before a restart was presumed.
	PreviousWarmUpUntil time.Duration `cbor:"ColdWas"`
	LastHeard           time.Duration `cbor:"Heard"`   // latest message from the engine
	ReportedAt          time.Duration `cbor:"ToldAt"`  // latest load report; 0: none
	ConnectionLostAt    time.Duration `cbor:"LostAt"`  // latest failed connection; 0: never
	NextTrialAt         time.Duration `cbor:"TrialAt"` // earliest next trial while it is ejected
	// TurnOffset is the position of the gateway in the cycle of turns, from 0 to 1.
	TurnOffset   float64 `cbor:"Draw"`
	ReportedLoad float64 `cbor:"Load"`   // threads per core
	FaultRate    float64 `cbor:"Faults"` // fraction of recent attempts that failed
	// RestartPresumed is set while a failed connection is the only sign of a restart.
	RestartPresumed bool `cbor:"Doubted"`
	// EjectedForFaults is set if faults, not silence, caused the ejection.
	EjectedForFaults bool `cbor:"Erring"`
	Ejected          bool `cbor:"Suspected"`
	// ClassBlockedUntil holds the earliest time of the next trial of each blocked class, by class name.
	ClassBlockedUntil map[string]time.Duration `cbor:"Mute"`
	// DataSetLockedUntil holds the time until which each data set counts as locked by a data load.
	DataSetLockedUntil map[int64]time.Duration `cbor:"Held"`
	// LostResponses counts recent lost responses by class name.
	LostResponses map[string]int `cbor:"Lost"`
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

// Restore sets what another gateway has learned. It must be called before the first event. Classes that
// these settings do not have are skipped, and an engine of an unknown machine kind counts as one with a
// single core.
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
	// The first call of updateAggregateBounds initializes the aggregate controller, so it must precede the
	// restore of that controller.
	g.updateAggregateBounds()
	for i := range s.Engines {
		e := g.enginesByID[s.Engines[i].ID]
		g.updateBounds(e)
		e.controller.restore(s.Engines[i].Controller)
		e.health.faultRate = s.Engines[i].FaultRate // updateBounds has lowered it
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

// IsEjected reports whether the gateway has ejected the engine because it seems hung or failing. An ejected
// engine receives only trial queries.
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
		ServedTimeMS:      c.unserved.served,
		UnservedTimeMS:    c.unserved.unserved,
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
	c.unserved = unservedTime{served: s.ServedTimeMS, unserved: s.UnservedTimeMS}
}

func (e *engine) snapshot() EngineSnapshot {
	s := EngineSnapshot{
		Engine:              Engine{ID: e.id, Zone: e.zone, Kind: e.kind, Cell: e.cell, State: e.state},
		Controller:          e.controller.snapshot(),
		LastStart:           e.lastStart,
		WarmUpUntil:         e.warmUp.until,
		TurnsSince:          e.warmUp.turnsSince,
		BudgetSpentUntil:    e.warmUp.budgetSpentUntil,
		PreviousWarmUpUntil: e.warmUp.previousUntil,
		LastHeard:           e.health.lastHeard,
		ReportedAt:          e.report.at,
		ConnectionLostAt:    e.health.connectionLostAt,
		NextTrialAt:         e.health.nextTrialAt,
		TurnOffset:          e.warmUp.turnOffset,
		ReportedLoad:        e.report.load,
		FaultRate:           e.health.faultRate,
		RestartPresumed:     e.warmUp.restartPresumed,
		EjectedForFaults:    e.health.ejectedForFaults,
		Ejected:             e.health.ejected,
		ClassBlockedUntil:   map[string]time.Duration{},
		DataSetLockedUntil:  maps.Clone(e.lockedUntil),
		LostResponses:       map[string]int{},
	}
	for c, until := range e.health.blockedUntil {
		s.ClassBlockedUntil[c.Name] = until
	}
	for c, count := range e.health.lostResponses {
		s.LostResponses[c.Name] = count
	}
	return s
}

// restore sets all state but the controller, which is restored once all engines are known.
func (e *engine) restore(s *EngineSnapshot, classes map[string]*class) {
	e.lastStart = s.LastStart
	e.warmUp = warmUp{
		until: s.WarmUpUntil, turnsSince: s.TurnsSince, budgetSpentUntil: s.BudgetSpentUntil,
		turnOffset: s.TurnOffset, restartPresumed: s.RestartPresumed, previousUntil: s.PreviousWarmUpUntil,
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
