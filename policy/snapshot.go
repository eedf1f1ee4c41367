package policy

import "time"

// Learned is what a gateway has learned of its engines and classes, to be handed to another
// of the same settings that takes its place. It holds no query: those
// that are open stay with the gateway that took them. Instants are on the clock of Handle,
// which both must share. When the gateway began is not handed on: what the other still has
// out at a cold engine is not known here, so it waits as after a restart.
type Learned struct {
	Classes []LearnedClass
	Engines []LearnedEngine
	Fleet   LearnedLoop
	Sets    map[int64]float64
	SetSum  float64
	Dear    float64
	Load    float64
	Mine    float64
	Theirs  float64
	Rate    float64
	Width   float64
	Ticked  int
}

// LearnedClass is what is known of a class.
type LearnedClass struct {
	Name                                              string
	N                                                 int
	Latency, Quick, Work, Spread, Guess, Grant, Ample float64
}

// LearnedLoop is the state of one control loop.
type LearnedLoop struct {
	Bound, Alpha, Level, Slow float64
	Pressed                   time.Duration
}

// LearnedEngine is what is known of an engine that the list names.
type LearnedEngine struct {
	Engine
	Loop                                    LearnedLoop
	Begun, ColdUntil, ColdTold, ColdNext    time.Duration
	ColdWas, Heard, ToldAt, LostAt, TrialAt time.Duration
	Draw, Load, Faults                      float64
	Doubted, Erring, Suspected              bool
	Mute                                    map[string]time.Duration
	Held                                    map[int64]time.Duration
	Lost                                    map[string]int
}

func (l *loop) learned() LearnedLoop {
	return LearnedLoop{l.bound, l.alpha, l.level, l.slow, l.pressed}
}

func (l *loop) take(k LearnedLoop) {
	l.bound, l.alpha, l.level, l.slow, l.pressed = k.Bound, k.Alpha, k.Level, k.Slow, k.Pressed
}

// Learned is a copy of what the gateway has learned.
func (g *Gateway) Learned() Learned {
	l := Learned{
		Fleet: g.fleet.learned(), Sets: map[int64]float64{}, SetSum: g.setSum, Dear: g.dear, Load: g.load,
		Mine: g.mine, Theirs: g.theirs, Rate: g.rate, Width: g.width, Ticked: g.ticked,
	}
	for set, n := range g.sets {
		l.Sets[set] = n
	}
	for _, c := range g.set.Classes {
		k := g.classes[c.Name]
		l.Classes = append(l.Classes, LearnedClass{Name: k.Name, N: k.n, Latency: k.latency, Quick: k.quick, Work: k.work, Spread: k.spread, Guess: k.guess, Grant: k.grant, Ample: k.ample})
	}
	for _, e := range g.engines {
		if e.state == EngineGone {
			continue
		}
		k := LearnedEngine{
			Engine: Engine{ID: e.id, Zone: e.zone, Kind: e.kind, Cell: e.cell, State: e.state}, Loop: e.loop.learned(),
			Begun: e.begun, ColdUntil: e.coldUntil, ColdTold: e.coldTold, ColdNext: e.coldNext, ColdWas: e.coldWas,
			Heard: e.heard, ToldAt: e.toldAt, LostAt: e.lostAt, TrialAt: e.trialAt, Draw: e.draw, Load: e.load, Faults: e.faults,
			Doubted: e.doubted, Erring: e.erring, Suspected: e.suspected, Mute: map[string]time.Duration{}, Held: map[int64]time.Duration{}, Lost: map[string]int{},
		}
		for c, until := range e.muteTill {
			k.Mute[c.Name] = until
		}
		for c, n := range e.lost {
			k.Lost[c.Name] = n
		}
		for set, until := range e.heldSets {
			k.Held[set] = until
		}
		l.Engines = append(l.Engines, k)
	}
	return l
}

// Learn takes what another gateway has learned, before the first event. What the settings
// here have no class or kind for is passed by.
func (g *Gateway) Learn(now time.Duration, l Learned) {
	g.now = max(g.now, now)
	g.ticked = l.Ticked
	for _, k := range l.Classes {
		if c := g.classes[k.Name]; c != nil {
			c.n, c.latency, c.quick, c.work, c.spread, c.guess, c.grant, c.ample = k.N, k.Latency, k.Quick, k.Work, k.Spread, k.Guess, k.Grant, k.Ample
		}
	}
	for _, k := range l.Engines {
		g.entry(k.Engine)
		e := g.byID[k.ID]
		e.begun, e.coldUntil, e.coldTold, e.coldNext, e.coldWas = k.Begun, k.ColdUntil, k.ColdTold, k.ColdNext, k.ColdWas
		e.heard, e.toldAt, e.lostAt, e.trialAt, e.draw, e.load, e.faults = k.Heard, k.ToldAt, k.LostAt, k.TrialAt, k.Draw, k.Load, k.Faults
		e.doubted, e.erring, e.suspected = k.Doubted, k.Erring, k.Suspected
		for name, until := range k.Mute {
			if c := g.classes[name]; c != nil {
				e.muteTill[c] = until
			}
		}
		for name, n := range k.Lost {
			if c := g.classes[name]; c != nil {
				e.lost[c] = n
			}
		}
		for set, until := range k.Held {
			e.heldSets[set] = until
		}
	}
	g.scaleAll()
	for _, k := range l.Engines {
		e := g.byID[k.ID]
		g.scale(e)
		e.loop.take(k.Loop)
		e.faults = k.Faults // which scale lets fade
	}
	g.fleet.take(l.Fleet)
	for set, n := range l.Sets {
		g.sets[set] = n
	}
	g.setSum, g.dear, g.load, g.mine, g.theirs, g.rate, g.width = l.SetSum, l.Dear, l.Load, l.Mine, l.Theirs, l.Rate, l.Width
}

// Avoids tells whether the gateway sends an engine nothing but trials, as it seems hung or failing.
func (g *Gateway) Avoids(id string) bool {
	e := g.byID[id]
	return e != nil && e.suspected
}
