package policy

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// updateEngines applies an engine list or a change to it. It renews a lost subscription.
func (g *Gateway) updateEngines(ev EngineList) {
	switch ev.Mode {
	case ListFailed:
		g.isListLost = true
		g.presumeUnreportedRestarts(ev.SilentFor)
		if g.settings.SubscribeToList {
			g.emit(Subscribe{})
		}
	case ListChanges, ListFull:
		g.isListLost = false
	case ListCached: // may be stale
	}
	if ev.Mode == ListFull || ev.Mode == ListCached {
		for _, e := range g.engines {
			e.state = EngineDeparted // reset below for the engines in the list
		}
	}
	for _, entry := range ev.Engines {
		g.updateEngine(entry)
	}
	g.updateAggregateBounds()
}

// updateEngine applies one entry of the list and returns its engine. A new start of the engine resets what
// was learned of it, and begins a warm-up.
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
		before := e.warmUp
		e.lastStart = entry.Started
		e.warmUp.restartPresumed = false
		g.chargeRecentWork(e)
		e.warmUp.until = 0 // so that begin restarts the turns, even during an earlier warm-up
		turnsSince := min(cmp.Or(entry.ReportedStart, entry.Started), g.now)
		g.slowStart.begin(e, turnsSince, entry.Started+g.slowStart.period, g.now, g.random.Float64)
		g.reportSlowStart(e, StartReported, &before)
	}
	e.zone = entry.Zone
	e.kind = entry.Kind
	e.cell = entry.Cell
	e.state = entry.State
	return e
}

// resetEngine discards what was learned of an engine before its latest start.
func (g *Gateway) resetEngine(e *engine, kind string) {
	g.resetController(e, kind)
	e.health.ejected = false
	e.health.ejectedForFaults = false
	e.health.faultRate = 0
}

// prune drops expired state, which would otherwise accumulate in a gateway that runs for months.
func (g *Gateway) prune() {
	g.retries.prune(g.now)
	g.orderedKeys.prune(g.now)
	g.engines = slices.DeleteFunc(g.engines, func(e *engine) bool {
		maps.DeleteFunc(e.lockedUntil, func(_ int64, until time.Duration) bool { return g.now >= until })
		isObsolete := e.state == EngineDeparted && len(e.inFlight) == 0 && g.now >= e.warmUp.until
		if isObsolete {
			delete(g.enginesByID, e.id)
		}
		return isObsolete
	})
}
