package policy

import (
	"math"
	"slices"
)

// Weights of an engine's score, in multiples of the query's threads.
const (
	warmUpPreference = 2 // for an engine that warms up
	chancePenalty    = 3 // for one where the query fits by chance alone
)

// chooseEngine returns the engine with the most room where the query fits, or nil.
func (g *Gateway) chooseEngine(q *query) *engine {
	if !g.fitsAggregate(q) {
		return nil
	}
	var best *engine
	bestScore := math.Inf(-1)
	nearest := g.minNearAffinity(q.dataSet)
	for _, e := range g.engines {
		limit := g.queryLimit(q, &e.controller) + g.reportedFreeThreads(e)
		if e.health.ejected {
			if g.takeTrial(q, e) {
				return e
			}
			continue
		}
		if g.isBlocked(e, q.class) || !g.fits(q, &e.controller, limit) || !g.maySend(q, e) {
			continue
		}
		if score := g.score(q, e, limit, nearest); score > bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// score is the room that the query finds at an engine, in threads, with what else speaks for it and against
// it.
func (g *Gateway) score(q *query, e *engine, limit float64, nearest uint64) float64 {
	score := limit - e.backlog + g.localityBonus(q, e, nearest)
	score += math.Log(1-g.random.Float64()) * q.threads / e.cores // breaks ties at random, by cores
	score += g.reportedLoadBonus(e) - e.health.faultRate*e.ceiling
	if g.slowStart.isNearStart(e, g.now) { // its budget limits it, and is lost if it is not used
		score += warmUpPreference * q.threads
	}
	if q.wasSentTo(e) {
		score -= e.ceiling
	}
	if q.threads > limit { // admitted by chance: any engine where it fits is better
		score -= chancePenalty * q.threads
	}
	return score
}

// localityBonus breaks near-ties: it prefers engines of the gateway's own zone, and among these the ones that
// all its gateways choose for the data set, so that each engine reads few data sets.
func (g *Gateway) localityBonus(q *query, e *engine, nearest uint64) float64 {
	bonus := 0.0
	isNear := affinity(e.hash, q.dataSet) >= nearest
	if e.zone == g.settings.Zone {
		bonus += q.threads
		if isNear && q.class.DataLoad {
			bonus -= q.threads // it would hold the readers up
		} else if isNear {
			bonus += q.threads
		}
	}
	isHeldUp := q.class.DataLoad || q.class.WaitsForDataLoad
	if isHeldUp && e.hasDataLoad(q.dataSet, g.now) {
		bonus -= e.baseline
	}
	return bonus
}

// minNearAffinity is the least affinity to the data set with which an engine of the zone counts as near: one
// engine does, and more as the data set's fraction of the traffic grows. Guards against a hot data set
// crowding the same few engines.
func (g *Gateway) minNearAffinity(dataSet int64) uint64 {
	g.affinities = g.affinities[:0]
	for _, e := range g.engines {
		if e.zone == g.settings.Zone && e.isInService() {
			g.affinities = append(g.affinities, affinity(e.hash, dataSet))
		}
	}
	engines := len(g.affinities)
	near := 1 + int(math.Ceil(hotDataSetSpread*g.dataSets.fraction(dataSet)*float64(engines)))
	if near > engines {
		return 0
	}
	slices.Sort(g.affinities)
	return g.affinities[engines-near]
}

// maySend holds the rules on attempts: deadline, retries, placement, hedging, order and slow start.
func (g *Gateway) maySend(q *query, e *engine) bool {
	return g.now < q.deadline && g.mayRetry(q) && g.isSuitable(q, e) &&
		(g.settings.Limits.AllowHedging || !q.hasAttemptInFlight()) &&
		g.orderedKeys.isTurn(q, g.now) && g.slowStart.allows(q, e, g.now)
}

// isSuitable holds the rules on where a query may go: to a live engine in the places of its class, and after
// an attempt that may have run, only where its repeat is dropped. Where hedging is not allowed it also goes
// nowhere that it was cancelled, as the cancel may arrive there later.
func (g *Gateway) isSuitable(q *query, e *engine) bool {
	c := q.class
	if e.state != EngineLive || !isAllowed(c.Zones, e.zone) || !isAllowed(c.Kinds, e.kind) {
		return false
	}
	return !slices.ContainsFunc(q.attempts, func(a *attempt) bool {
		isCancelledThere := a.cancelled && a.engine == e && !g.settings.Limits.AllowHedging
		isDedupedThere := c.Idempotency != IdempotentWithKey || sharesDedup(c.DedupScope, a.engine, e)
		return isCancelledThere || a.mayHaveRun && !isDedupedThere
	})
}

// sharesDedup tells whether two engines drop each other's repeats.
func sharesDedup(scope DedupScope, a, b *engine) bool {
	switch {
	case a == b || scope == DedupAll:
		return true
	case scope == DedupZone:
		return a.zone == b.zone
	default:
		return scope == DedupCell && a.cell == b.cell
	}
}

// isAllowed tells whether a place is in the list; an empty list allows all.
func isAllowed(list []string, place string) bool {
	return len(list) == 0 || slices.Contains(list, place)
}
