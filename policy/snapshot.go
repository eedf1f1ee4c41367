package policy

import "time"

// Snapshot is what a gateway has learned of its engines and classes, to be handed to another
// of the same settings that takes its place. It holds no query: those
// that are open stay with the gateway that took them. Instants are on the clock of Handle,
// which both must share. When the gateway began is not handed on: what the other still has
// out at a cold engine is not known here, so it waits as after a restart.
type Snapshot struct {
	Classes              []ClassSnapshot
	Engines              []EngineSnapshot
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

// ClassSnapshot is what is known of a class.
type ClassSnapshot struct {
	Name              string
	ResponseCount     int     `cbor:"N"`
	MeanLatencyMS     float64 `cbor:"Latency"`
	BaselineLatencyMS float64 `cbor:"Quick"`
	MeanWorkMS        float64 `cbor:"Work"`
	LatencyDeviation  float64 `cbor:"Spread"`
	MeanEstimateMS    float64 `cbor:"Guess"`
	GrantMultiple     float64 `cbor:"Grant"`
	DefaultGrantMB    float64 `cbor:"Ample"`
}

// ControllerSnapshot is the state of one control loop.
type ControllerSnapshot struct {
	Limit        float64 `cbor:"Bound"`
	Alpha        float64
	LoadLevel    float64       `cbor:"Level"`
	Slowdown     float64       `cbor:"Slow"`
	BindingUntil time.Duration `cbor:"Pressed"`
}

// EngineSnapshot is what is known of an engine that the list names.
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

func (l *loop) learned() ControllerSnapshot {
	return ControllerSnapshot{Limit: l.bound, Alpha: l.alpha, LoadLevel: l.level, Slowdown: l.slow, BindingUntil: l.pressed}
}

func (l *loop) take(k ControllerSnapshot) {
	l.bound, l.alpha, l.level, l.slow, l.pressed = k.Limit, k.Alpha, k.LoadLevel, k.Slowdown, k.BindingUntil
}

// Snapshot is a copy of what the gateway has learned.
func (g *Gateway) Snapshot() Snapshot {
	l := Snapshot{
		Aggregate: g.fleet.learned(), DataSetCounts: map[int64]float64{}, DataSetTotal: g.setSum, MeanLogValue: g.dear, MeanLoad: g.load,
		MeanOwnInFlight: g.mine, MeanReportedInFlight: g.theirs, ArrivalRate: g.rate, MeanThreads: g.width, TickCount: g.ticked,
	}
	for set, n := range g.sets {
		l.DataSetCounts[set] = n
	}
	for _, c := range g.set.Classes {
		k := g.classes[c.Name]
		l.Classes = append(l.Classes, ClassSnapshot{Name: k.Name, ResponseCount: k.n, MeanLatencyMS: k.latency, BaselineLatencyMS: k.quick, MeanWorkMS: k.work, LatencyDeviation: k.spread, MeanEstimateMS: k.guess, GrantMultiple: k.grant, DefaultGrantMB: k.ample})
	}
	for _, e := range g.engines {
		if e.state == EngineDeparted {
			continue
		}
		k := EngineSnapshot{
			Engine: Engine{ID: e.id, Zone: e.zone, Kind: e.kind, Cell: e.cell, State: e.state}, Controller: e.loop.learned(),
			LastStart: e.begun, WarmUpUntil: e.coldUntil, TurnsSince: e.coldTold, BudgetSpentUntil: e.coldNext, WarmUpUntilBefore: e.coldWas,
			LastHeard: e.heard, ReportedAt: e.toldAt, ConnectionLostAt: e.lostAt, NextTrialAt: e.trialAt, TurnOffset: e.draw, ReportedLoad: e.load, FaultRate: e.faults,
			RestartPresumed: e.doubted, EjectedForFaults: e.erring, Ejected: e.suspected, ClassBlockedUntil: map[string]time.Duration{}, DataSetLockedUntil: map[int64]time.Duration{}, LostResponses: map[string]int{},
		}
		for c, until := range e.muteTill {
			k.ClassBlockedUntil[c.Name] = until
		}
		for c, n := range e.lost {
			k.LostResponses[c.Name] = n
		}
		for set, until := range e.heldSets {
			k.DataSetLockedUntil[set] = until
		}
		l.Engines = append(l.Engines, k)
	}
	return l
}

// Restore takes what another gateway has learned, before the first event. What the settings
// here have no class or kind for is passed by.
func (g *Gateway) Restore(now time.Duration, l Snapshot) {
	g.now = max(g.now, now)
	g.ticked = l.TickCount
	for _, k := range l.Classes {
		if c := g.classes[k.Name]; c != nil {
			c.n, c.latency, c.quick, c.work, c.spread, c.guess, c.grant, c.ample = k.ResponseCount, k.MeanLatencyMS, k.BaselineLatencyMS, k.MeanWorkMS, k.LatencyDeviation, k.MeanEstimateMS, k.GrantMultiple, k.DefaultGrantMB
		}
	}
	for _, k := range l.Engines {
		g.entry(k.Engine)
		e := g.byID[k.ID]
		e.begun, e.coldUntil, e.coldTold, e.coldNext, e.coldWas = k.LastStart, k.WarmUpUntil, k.TurnsSince, k.BudgetSpentUntil, k.WarmUpUntilBefore
		e.heard, e.toldAt, e.lostAt, e.trialAt, e.draw, e.load, e.faults = k.LastHeard, k.ReportedAt, k.ConnectionLostAt, k.NextTrialAt, k.TurnOffset, k.ReportedLoad, k.FaultRate
		e.doubted, e.erring, e.suspected = k.RestartPresumed, k.EjectedForFaults, k.Ejected
		for name, until := range k.ClassBlockedUntil {
			if c := g.classes[name]; c != nil {
				e.muteTill[c] = until
			}
		}
		for name, n := range k.LostResponses {
			if c := g.classes[name]; c != nil {
				e.lost[c] = n
			}
		}
		for set, until := range k.DataSetLockedUntil {
			e.heldSets[set] = until
		}
	}
	g.scaleAll()
	for _, k := range l.Engines {
		e := g.byID[k.ID]
		g.scale(e)
		e.loop.take(k.Controller)
		e.faults = k.FaultRate // which scale lets fade
	}
	g.fleet.take(l.Aggregate)
	for set, n := range l.DataSetCounts {
		g.sets[set] = n
	}
	g.setSum, g.dear, g.load, g.mine, g.theirs, g.rate, g.width = l.DataSetTotal, l.MeanLogValue, l.MeanLoad, l.MeanOwnInFlight, l.MeanReportedInFlight, l.ArrivalRate, l.MeanThreads
}

// IsEjected tells whether the gateway sends an engine nothing but trials, as it seems hung or failing.
func (g *Gateway) IsEjected(id string) bool {
	e := g.byID[id]
	return e != nil && e.suspected
}
