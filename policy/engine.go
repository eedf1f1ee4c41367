package policy

import (
	"math"
	"slices"
	"time"
)

// engine is the state that a gateway keeps of one engine. The embedded controller is the engine's own
// concurrency limit.
type engine struct {
	id, zone, kind string
	cell           int64  // engines of one cell deduplicate together (DedupCell)
	hash           uint64 // hash of the ID, for affinity
	cores          float64
	state          EngineState
	lastStart      time.Duration // latest start, as listed; math.MinInt64: unknown
	inFlight       []*attempt    // in the order of sending
	// lockedUntil holds the data sets that queries reported as locked by a data load, each with the time
	// until which it counts as locked.
	lockedUntil map[int64]time.Duration
	controller
	health health
	warmUp warmUp
	report engineReport
	// recentWork is what was sent within the latest overload window.
	recentWork recentWork
}

func newEngine(id string) *engine {
	return &engine{
		id: id, hash: hashEngineID(id), lastStart: math.MinInt64, lockedUntil: map[int64]time.Duration{},
		health: health{lostResponses: map[*class]int{}, blockedUntil: map[*class]time.Duration{}},
	}
}

// isInService reports whether the engine is live and not ejected. Only such engines count for the aggregate
// controller.
func (e *engine) isInService() bool { return e.state == EngineLive && !e.health.ejected }

func (e *engine) addAttempt(a *attempt) {
	e.inFlight = append(e.inFlight, a)
	e.backlog += a.query.threads
}

func (e *engine) removeAttempt(a *attempt) {
	e.inFlight = slices.DeleteFunc(e.inFlight, func(other *attempt) bool { return other == a })
	e.backlog -= a.query.threads
	if len(e.inFlight) == 0 {
		e.backlog = 0 // discards the accumulated floating-point error
	}
}

// hasDataLoad reports whether a data load locks the data set on the engine: either one that this gateway
// has in flight there, or one that a query there was recently reported to wait for.
func (e *engine) hasDataLoad(dataSet int64, now time.Duration) bool {
	return now < e.lockedUntil[dataSet] || slices.ContainsFunc(e.inFlight, func(a *attempt) bool {
		return a.query.class.DataLoad && a.query.dataSet == dataSet
	})
}
