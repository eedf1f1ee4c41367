package policy

import (
	"math"
	"time"
)

// The period and the pole are the paper's.
const (
	controlPeriod       = 500 * time.Millisecond
	ticksPerPeriod      = 5
	tickInterval        = controlPeriod / ticksPerPeriod
	closedLoopPole      = 0.3
	newestPeriodWeight  = 0.3 // in alpha
	minAlpha            = 1e-6
	minLimit            = 0.5 // threads
	bindingLatencyRatio = 0.8 // mean latency over objective from which a limit binds
	bindingTime         = 2 * controlPeriod
	rejectedBindingTime = 4 * controlPeriod // after an engine has rejected an attempt
	ceilingFactor       = 1.2               // a limit stays under this many baselines
	saturationSlowdown  = 1.6               // slowdown from which the ceiling shrinks
	maxSlowdown         = 4 * saturationSlowdown
	slowdownSamples     = 20  // responses
	ceilingDeviations   = 2.0 // of the threads in flight by chance, within the aggregate's ceiling
)

// Threads per core that an engine should hold.
const (
	threadsPerCore     = 2.0
	swapThreadsFactor  = 0.85 // of that, where a shortage of memory slows the whole engine down
	queueThreadsFactor = 1.5  // where the engine's queue for memory holds an excess, by priority
	loadLevelSlack     = 0.3  // load level under 1 at which engines count as having room
	initialLoadLevel   = 1 - loadLevelSlack
	initialSlowdown    = 1.0
)

// controller is the paper's adaptive limit on concurrency: one for each engine, and one for all together.
// Limits and backlogs are counted in threads, this gateway's alone.
type controller struct {
	baseline     float64 // this gateway's share of the threads that should be held; the limit at the start
	ceiling      float64 // of the limit; also the limit that applies while it doesn't bind
	limit        float64
	alpha        float64 // estimated latency ratio per thread of the limit
	backlog      float64 // threads of the attempts in flight
	loadLevel    float64 // reported load; 1: the engines have all that they should
	slowdown     float64 // latencies of late over the baselines of their classes
	latencySum   float64 // latencies over objectives, of this period
	responses    int     // of this period
	bindingUntil time.Duration
}

// recordLatency takes the latency of one response over its objective, and over its class's baseline.
func (c *controller) recordLatency(ratio, slowdown float64) {
	c.latencySum += ratio
	c.responses++
	c.slowdown += (min(slowdown, maxSlowdown) - c.slowdown) / slowdownSamples
}

// adjust ends a control period.
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

// nextLimit is one step of the paper's equations 14 and 13, with the latency as a ratio to its set-point.
func nextLimit(limit, alpha, latencyRatio float64) (newLimit, newAlpha float64) {
	deviation := 1 - latencyRatio
	newAlpha = max(newestPeriodWeight*(latencyRatio/limit)+(1-newestPeriodWeight)*alpha, minAlpha)
	return limit + (1-closedLoopPole)/newAlpha*deviation, newAlpha
}

// currentLimit is the limit where it binds: under pressure, and while it is under its baseline. Else it is
// the ceiling.
func (c *controller) currentLimit(now time.Duration) float64 {
	if now < c.bindingUntil || c.limit < c.baseline {
		return c.limit
	}
	return c.ceiling
}

// recordResponse gives a latency to the controllers of the engine and of all.
func (g *Gateway) recordResponse(a *attempt, latencyMS float64) {
	ratio := latencyMS / a.query.latencyObjective()
	slowdown := latencyMS / a.query.class.baselineMS
	a.engine.recordLatency(ratio, slowdown)
	g.aggregate.recordLatency(ratio, slowdown)
}

// recordTimeout does the same for an attempt that timed out: its latency is a lower bound, so that it says
// nothing of the slowdown.
func (g *Gateway) recordTimeout(a *attempt, elapsedMS float64) {
	ratio := elapsedMS / a.query.latencyObjective()
	a.engine.recordLatency(ratio, a.engine.slowdown)
	g.aggregate.recordLatency(ratio, g.aggregate.slowdown)
}

// engineThreadsPerCore is the threads per core that an engine should hold, by what it does when memory is
// short.
func engineThreadsPerCore(shortage MemoryShortage) float64 {
	threads := threadsPerCore
	switch shortage {
	case ShortageSwap:
		threads *= swapThreadsFactor
	case ShortageQueue:
		threads *= queueThreadsFactor
	case ShortageTrim:
	}
	return threads
}

// runControllers ends a control period for all controllers.
func (g *Gateway) runControllers() {
	for _, e := range g.engines {
		g.resize(e)
		e.adjust(g.now)
	}
	g.prune()
	g.resizeAggregate()
	g.aggregate.adjust(g.now)
}

// resize sets an engine's baseline and ceiling by this gateway's share of the traffic.
func (g *Gateway) resize(e *engine) {
	share := g.traffic.share()
	e.health.fade()
	e.baseline = g.threadsPerCore * e.cores * share
	knee := min(1, saturationSlowdown/max(e.slowdown, 1))
	e.ceiling = (ceilingFactor*e.baseline + g.maxThreads*(1-share)) * knee * g.slowStart.capacity(e, g.now)
}

// resizeAggregate does so for all engines together, with room for the chance in a gateway's few queries: more
// where the engines report little load, as the other gateways leave room.
func (g *Gateway) resizeAggregate() {
	all := &g.aggregate
	isFirst := all.baseline == 0
	all.baseline = 0
	for _, e := range g.engines {
		if e.isInService() {
			all.baseline += e.baseline * g.slowStart.capacity(e, g.now)
		}
	}
	if isFirst {
		all.limit = all.baseline
		all.alpha = 1 / max(all.baseline, minLimit)
		all.slowdown = initialSlowdown
		all.loadLevel = initialLoadLevel
	}
	room := g.maxThreads + ceilingDeviations*math.Sqrt(all.baseline*g.maxThreads)
	room *= max((1-all.loadLevel)/loadLevelSlack, 0)
	overload := max(all.slowdown/saturationSlowdown, all.loadLevel, 1)
	all.ceiling = (ceilingFactor*all.baseline + room/overload) / overload
}

// restartController gives an engine the values that a controller begins with.
func (g *Gateway) restartController(e *engine, kind string) {
	e.cores = max(g.kinds[kind].Cores, 1) // an unknown kind is taken as the smallest
	g.resize(e)
	e.limit = e.baseline
	e.alpha = 1 / e.baseline
	e.slowdown = initialSlowdown
	e.latencySum = 0
	e.responses = 0
}
