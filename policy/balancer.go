package policy

import (
	"math"
	"slices"
)

// Weights in the score of an engine, in multiples of the query's threads.
const (
	warmUpBonus            = 2 // added for an engine that started within the last warm-up period
	randomAdmissionPenalty = 3 // subtracted if the query fits only by random admission
)

// chooseEngine returns the engine with the highest score among those where the query fits, or nil if there
// is none. An ejected engine that is due for a trial is chosen at once.
func (g *Gateway) chooseEngine(q *query) *engine {
	if !g.fitsAggregate(q) {
		return nil
	}
	q.budgetCost = budgetCost{}
	var best *engine
	bestScore := math.Inf(-1)
	minAffinity := g.minNearAffinity(q.dataSet)
	for _, e := range g.engines {
		limit := g.queryLimit(q, &e.controller) + g.reportedFreeThreads(e)
		if e.health.ejected {
			if g.startTrial(q, e) {
				return e
			}
			continue
		}
		if g.isBlocked(e, q.class) || !g.fits(q, &e.controller, limit) || !g.maySend(q, e) {
			continue
		}
		if score := g.score(q, e, limit, minAffinity); score > bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// score is the capacity, in threads, that is left for the query at an engine, adjusted by bonuses and
// penalties.
func (g *Gateway) score(q *query, e *engine, limit float64, minAffinity uint64) float64 {
	score := limit - e.backlog + g.localityBonus(q, e, minAffinity)
	score += math.Log1p(-g.random.Float64()) * q.threads / e.cores // breaks ties at random, weighted by cores
	score += g.reportedLoadBonus(e) - e.health.faultRate*e.ceiling
	if g.slowStart.isNearStart(e, g.now) { // the warm-up budget limits its load, and unused budget is lost
		score += warmUpBonus * q.threads
	}
	if q.wasSentTo(e) {
		score -= e.ceiling
	}
	if q.threads > limit { // random admission: any engine where the query fits is better
		score -= randomAdmissionPenalty * q.threads
	}
	return score
}

// localityBonus breaks near-ties. It prefers engines in the gateway's own zone, and among these the ones
// that all gateways of the zone choose for the data set, so that each engine reads few data sets. It also
// keeps data loads and the queries that wait for them away from an engine where a data load locks the data
// set.
func (g *Gateway) localityBonus(q *query, e *engine, minAffinity uint64) float64 {
	bonus := 0.0
	isNear := affinity(e.hash, q.dataSet) >= minAffinity
	if e.zone == g.settings.Zone {
		bonus += q.threads
		if isNear && q.class.DataLoad {
			bonus -= q.threads // a data load would block the readers of the data set
		} else if isNear {
			bonus += q.threads
		}
	}
	conflictsWithLoad := q.class.DataLoad || q.class.WaitsForDataLoad
	if conflictsWithLoad && e.hasDataLoad(q.dataSet, g.now) {
		bonus -= e.baseline
	}
	return bonus
}

// minNearAffinity returns the lowest affinity to the data set at which an engine of the gateway's zone
// counts as near. At least two engines are near, and more as the data set's fraction of the traffic grows,
// so that a hot data set does not overload the same few engines. With fewer engines, all are near.
func (g *Gateway) minNearAffinity(dataSet int64) uint64 {
	g.affinities = g.affinities[:0]
	for _, e := range g.engines {
		if e.zone == g.settings.Zone && e.isInService() {
			g.affinities = append(g.affinities, affinity(e.hash, dataSet))
		}
	}
	engines := len(g.affinities)
	near := 1 + int(math.Ceil(nearEngineFactor*g.dataSets.fraction(dataSet)*float64(engines)))
	if near > engines {
		return 0
	}
	slices.Sort(g.affinities)
	return g.affinities[engines-near]
}

// maySend reports whether the rules permit an attempt of the query at the engine now: deadline, retries,
// placement, hedging, ordering and slow start.
func (g *Gateway) maySend(q *query, e *engine) bool {
	return g.now < q.deadline && g.mayRetry(q) && g.isSuitable(q, e) &&
		(g.settings.Limits.AllowHedging || !q.hasAttemptInFlight()) &&
		g.orderedKeys.isTurn(q, g.now) && g.isWithinBudget(q, e)
}

// isSuitable reports whether the query may be placed on the engine: the engine must be live and in a zone
// and of a machine kind that the class allows. After an attempt that may have run, a query with an
// idempotency key may only go where its repeat is deduplicated. Without hedging, a query does not return to
// an engine where it was cancelled, as the cancel request may arrive there later than the new attempt.
func (g *Gateway) isSuitable(q *query, e *engine) bool {
	c := q.class
	if e.state != EngineLive || !isAllowed(c.Zones, e.zone) || !isAllowed(c.Kinds, e.kind) {
		return false
	}
	if !q.priorAttemptsPermit(e) {
		return false
	}
	return !slices.ContainsFunc(q.attempts, func(a *attempt) bool {
		isCancelledThere := a.cancelled && a.engine == e && !g.settings.Limits.AllowHedging
		inDedupScope := c.Idempotency != IdempotentWithKey || a.dropsRepeatAt(e)
		return isCancelledThere || a.mayHaveRun && !inDedupScope
	})
}

// isAllowed reports whether the name of a zone or machine kind is in the list. An empty list allows all.
func isAllowed(allowed []string, name string) bool {
	return len(allowed) == 0 || slices.Contains(allowed, name)
}
