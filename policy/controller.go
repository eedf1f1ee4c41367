package policy

import (
	"math"
	"time"
)

// Parameters of the controllers. The control period and the closed-loop pole are those of the paper. A
// limit binds while it applies in place of its ceiling. Slowdown is the latency of a response over the
// baseline latency of its class.
const (
	controlPeriod = 500 * time.Millisecond
	// ticksPerPeriod is the number of ticks of the gateway's timer in a control period.
	ticksPerPeriod = 5
	tickInterval   = controlPeriod / ticksPerPeriod
	// closedLoopPole sets how fast the limit converges: 0 within one period, 1 never.
	closedLoopPole = 0.3
	// newestPeriodWeight is the weight of the newest period in the moving average alpha.
	newestPeriodWeight = 0.3
	// minAlpha keeps the step of the limit finite.
	minAlpha = 1e-6
	// minLimit is the smallest limit, in threads.
	minLimit = 0.5
	// bindingLatencyRatio is the ratio of mean latency to latency objective above which a limit binds, for
	// bindingTime.
	bindingLatencyRatio = 0.8
	// bindingTime is how long a limit binds after a period of high latency.
	bindingTime = 2 * controlPeriod
	// rejectionBindingTime is how long the limit binds after the engine has rejected an attempt.
	rejectionBindingTime = 4 * controlPeriod
	// ceilingFactor is the multiple of the baseline on which a limit's ceiling is based.
	ceilingFactor = 1.2
	// saturationSlowdown is the slowdown above which the ceiling shrinks.
	saturationSlowdown = 1.6
	// maxSlowdown bounds the slowdown that one response counts for.
	maxSlowdown = 4 * saturationSlowdown
	// slowdownSamples is the number of responses over which the slowdown is averaged.
	slowdownSamples = 20
	// ceilingDeviations is the headroom of the aggregate ceiling for random variation, in standard
	// deviations of the number of threads in flight.
	ceilingDeviations = 2.0
)

// Target load of an engine, and thresholds and initial values of the measured load.
const (
	// baseThreadsPerCore is the target where engines trim grants when memory is short.
	baseThreadsPerCore = 2.0
	// swapThreadsFactor multiplies baseThreadsPerCore where memory is swapped, as a shortage then slows the
	// whole engine down.
	swapThreadsFactor = 0.85
	// queueThreadsFactor multiplies baseThreadsPerCore where queries wait for memory, as the engine then
	// queues the excess by priority.
	queueThreadsFactor = 1.5
	// loadLevelHeadroom is how far the load level must be below 1 for engines to count as having full
	// headroom.
	loadLevelHeadroom = 0.3
	// initialLoadLevel is the load level that is assumed before the first load report.
	initialLoadLevel = 1 - loadLevelHeadroom
	initialSlowdown  = 1.0
)

// controller is the adaptive concurrency limit of the paper. Each engine has one, and there is one for all
// engines together. Limits and backlogs are counted in threads, for this gateway's queries only.
type controller struct {
	// baseline is this gateway's share of the threads that the engine should run. It is also the initial
	// limit.
	baseline float64
	// ceiling is the upper bound of the limit, and applies in its place while the limit does not bind.
	ceiling float64
	limit   float64 // current adaptive limit
	// alpha is the estimated latency ratio (latency over objective) per thread of the limit.
	alpha   float64
	backlog float64 // threads of the attempts in flight
	// loadLevel is the reported load over the target load; at 1 the engines have all the work that they
	// should. Only the aggregate controller uses it.
	loadLevel float64
	// slowdown is the moving average of latency over the baseline latency of the class.
	slowdown float64
	// latencySum is the sum of latency over objective, for the responses of this control period.
	latencySum float64
	responses  int // in this control period
	// bindingUntil is the instant until which the limit binds because of high latency or a rejection.
	bindingUntil time.Duration
}

// recordLatency records one response, by its latency over its objective and its latency over the class's
// baseline.
func (c *controller) recordLatency(ratio, slowdown float64) {
	c.latencySum += ratio
	c.responses++
	c.slowdown += (min(slowdown, maxSlowdown) - c.slowdown) / slowdownSamples
}

// adjust ends a control period and updates the limit. A period without responses leaves it unchanged.
func (c *controller) adjust(now time.Duration) {
	if c.responses == 0 {
		return
	}
	ratio := c.latencySum / float64(c.responses)
	c.latencySum = 0
	c.responses = 0
	c.limit, c.alpha = nextLimit(c.limit, c.alpha, ratio)
	c.limit = min(max(c.limit, minLimit), c.ceiling)
	if ratio > bindingLatencyRatio {
		c.bindingUntil = now + bindingTime
	}
}

// nextLimit performs one step of equations 14 (limit) and 13 (alpha) of the paper, with the latency
// expressed as a ratio to its set-point.
func nextLimit(limit, alpha, latencyRatio float64) (newLimit, newAlpha float64) {
	deviation := 1 - latencyRatio
	newAlpha = max(newestPeriodWeight*(latencyRatio/limit)+(1-newestPeriodWeight)*alpha, minAlpha)
	return limit + (1-closedLoopPole)/newAlpha*deviation, newAlpha
}

// currentLimit returns the adaptive limit where it binds: after a period of high latency or a rejection,
// and while it is below the baseline. Otherwise it returns the ceiling.
func (c *controller) currentLimit(now time.Duration) float64 {
	if now < c.bindingUntil || c.limit < c.baseline {
		return c.limit
	}
	return c.ceiling
}

// recordResponse records the latency of a response in the controller of the engine and in the aggregate
// one.
func (g *Gateway) recordResponse(a *attempt, latencyMS float64) {
	ratio := latencyMS / a.query.latencyObjective()
	slowdown := latencyMS / a.query.class.baselineMS
	a.engine.recordLatency(ratio, slowdown)
	g.aggregate.recordLatency(ratio, slowdown)
}

// recordTimeout records an attempt that timed out in both controllers. Its latency is only a lower bound,
// so it does not change the slowdown.
func (g *Gateway) recordTimeout(a *attempt, elapsedMS float64) {
	ratio := elapsedMS / a.query.latencyObjective()
	a.engine.recordLatency(ratio, a.engine.slowdown)
	g.aggregate.recordLatency(ratio, g.aggregate.slowdown)
}

// engineThreadsPerCore returns the target threads per core of an engine, given what the engine does when
// memory is short.
func engineThreadsPerCore(shortage MemoryShortage) float64 {
	threads := baseThreadsPerCore
	switch shortage {
	case ShortageSwap:
		threads *= swapThreadsFactor
	case ShortageQueue:
		threads *= queueThreadsFactor
	case ShortageTrim:
	}
	return threads
}

// runControllers ends a control period: it updates the bounds and the limits of all controllers and drops
// obsolete state.
func (g *Gateway) runControllers() {
	for _, e := range g.engines {
		g.updateBounds(e)
		e.adjust(g.now)
	}
	g.prune()
	g.updateAggregateBounds()
	g.aggregate.adjust(g.now)
}

// updateBounds recomputes an engine's baseline and ceiling from this gateway's share of the traffic, and
// lets the engine's fault rate decay.
func (g *Gateway) updateBounds(e *engine) {
	share := g.traffic.share()
	e.health.decayFaultRate()
	e.baseline = g.targetThreadsPerCore * e.cores * share
	saturationFactor := min(1, saturationSlowdown/max(e.slowdown, 1))
	e.ceiling = (ceilingFactor*e.baseline + g.maxThreads*(1-share)) *
		saturationFactor * g.slowStart.capacityFraction(e, g.now)
}

// updateAggregateBounds recomputes the baseline and the ceiling of the aggregate controller. The ceiling
// has headroom for random variation, as the queries of one gateway are few. The headroom is larger while
// the engines report little load, since the other gateways then leave capacity unused.
func (g *Gateway) updateAggregateBounds() {
	all := &g.aggregate
	isFirstUpdate := all.baseline == 0
	all.baseline = 0
	for _, e := range g.engines {
		if e.isInService() {
			all.baseline += e.baseline * g.slowStart.capacityFraction(e, g.now)
		}
	}
	if isFirstUpdate {
		all.limit = all.baseline
		all.alpha = 1 / max(all.baseline, minLimit)
		all.slowdown = initialSlowdown
		all.loadLevel = initialLoadLevel
	}
	headroom := g.maxThreads + ceilingDeviations*math.Sqrt(all.baseline*g.maxThreads)
	headroom *= max((1-all.loadLevel)/loadLevelHeadroom, 0)
	overload := max(all.slowdown/saturationSlowdown, all.loadLevel, 1)
	all.ceiling = (ceilingFactor*all.baseline + headroom/overload) / overload
}

// resetController sets an engine's controller to its initial values, for a machine kind.
func (g *Gateway) resetController(e *engine, kind string) {
	e.cores = max(g.kinds[kind].Cores, 1) // an unknown kind counts as the smallest
	g.updateBounds(e)
	e.limit = e.baseline
	e.alpha = 1 / e.baseline
	e.slowdown = initialSlowdown
	e.latencySum = 0
	e.responses = 0
}
