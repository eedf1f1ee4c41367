package policy

import (
	"maps"
	"slices"
	"time"
)

// updateEngines takes the engine list or a change to it.
func (g *Gateway) updateEngines(ev EngineList) {
	if ev.Mode == ListFailed && g.settings.SubscribeToList {
		g.emit(Subscribe{})
	}
	if ev.Mode == ListFull || ev.Mode == ListCached {
		for _, e := range g.engines {
			e.state = EngineDeparted // unless the list has it, below
		}
	}
	for _, entry := range ev.Engines {
		g.updateEngine(entry)
	}
	g.resizeAggregate()
}

// updateEngine takes one entry of the list, and returns its engine.
func (g *Gateway) updateEngine(entry Engine) *engine {
	e := g.enginesByID[entry.ID]
	if e == nil {
		e = newEngine(entry.ID)
		g.enginesByID[entry.ID] = e
		g.engines = append(g.engines, e)
		g.resetEngine(e, entry.Kind)
	}
	if entry.StartKnown && entry.Started > e.lastStart {
		g.resetEngine(e, entry.Kind)
		e.lastStart = entry.Started
		e.warmUp.restartPresumed = false
		e.warmUp.until = 0 // a new warm-up: the turns of an earlier one have passed
		g.slowStart.begin(e, entry.Started, entry.Started+g.slowStart.period, g.now, g.random.Float64)
	}
	e.zone = entry.Zone
	e.kind = entry.Kind
	e.cell = entry.Cell
	e.state = entry.State
	return e
}

// resetEngine forgets what was learned of an engine before its start.
func (g *Gateway) resetEngine(e *engine, kind string) {
	g.restartController(e, kind)
	e.health.ejected = false
	e.health.ejectedForFaults = false
	e.health.faultRate = 0
}

// prune drops what a gateway that runs for months would else keep for ever.
func (g *Gateway) prune() {
	g.retries.prune(g.now)
	g.orderedKeys.prune(g.now)
	g.engines = slices.DeleteFunc(g.engines, func(e *engine) bool {
		maps.DeleteFunc(e.lockedUntil, func(_ int64, until time.Duration) bool { return g.now >= until })
		isOver := e.state == EngineDeparted && len(e.inFlight) == 0 && g.now >= e.warmUp.until
		if isOver {
			delete(g.enginesByID, e.id)
		}
		return isOver
	})
}
