package policy

import (
	"math"
	"slices"
	"time"
)

// engine is what a gateway knows of one engine.
type engine struct {
	id, zone, kind string
	cell           int64
	hash           uint64 // of its id, for affinity
	cores          float64
	state          EngineState
	lastStart      time.Duration // where known, else math.MinInt64
	inFlight       []*attempt
	// lockedUntil has the data sets that were seen to be locked by a data load.
	lockedUntil map[int64]time.Duration
	controller
	health health
	warmUp warmUp
	report engineReport
}

func newEngine(id string) *engine {
	return &engine{
		id: id, hash: hashEngineID(id), lastStart: math.MinInt64, lockedUntil: map[int64]time.Duration{},
		health: health{lostResponses: map[*class]int{}, blockedUntil: map[*class]time.Duration{}},
	}
}

// isInService tells whether the engine is among those that the aggregate controller is made of.
func (e *engine) isInService() bool { return e.state == EngineLive && !e.health.ejected }

func (e *engine) addAttempt(a *attempt) {
	e.inFlight = append(e.inFlight, a)
	e.backlog += a.query.threads
}

func (e *engine) removeAttempt(a *attempt) {
	e.inFlight = slices.DeleteFunc(e.inFlight, func(other *attempt) bool { return other == a })
	e.backlog -= a.query.threads
	if len(e.inFlight) == 0 {
		e.backlog = 0 // floating-point sums drift
	}
}

// hasDataLoad tells whether a data load locks the data set there, one of this gateway or one that was seen to
// be waited for.
func (e *engine) hasDataLoad(dataSet int64, now time.Duration) bool {
	return now < e.lockedUntil[dataSet] || slices.ContainsFunc(e.inFlight, func(a *attempt) bool {
		return a.query.class.DataLoad && a.query.dataSet == dataSet
	})
}
