package policy

import (
	"math"
	"time"
)

const (
	reportFadeTime       = 2 * controlPeriod // age at which a report counts for a third
	freeThreadsFraction  = 0.5               // of the free threads that an engine reports, for one gateway
	maxInFlightPerCore   = 50.0              // queries that a report is believed to tell at most
	loadLevelReports     = 5                 // reports that the load level is averaged over
	meanLoadReports      = 20                // the same for the mean load
	reportedLoadFraction = 0.25              // of the difference to the mean load, in the choice of an engine
)

// engineReport is the latest load report of an engine.
type engineReport struct {
	load        float64 // threads per core
	freeThreads float64 // 0 where the queries in flight are not reported
	at          time.Duration
}

// fading is the weight of the report: the older, the less.
func (r *engineReport) fading(now time.Duration) float64 {
	return math.Exp(-float64(now-r.at) / float64(reportFadeTime))
}

// recordLoad takes an engine's report. The level at which all engines seem to stand follows from the threads
// that they hold for all gateways, or from their cores in use.
func (g *Gateway) recordLoad(e *engine, report LoadReport) {
	isUsable := max(report.InFlight, report.CPUUtilization) >= 0 // false for NaN
	if !report.Reported || !isUsable {
		return
	}
	r := &e.report
	r.load = g.threadsPerCore * report.CPUUtilization
	r.freeThreads = 0
	if report.InFlight >= 0 { // cores in use say nothing of what waits
		inFlight := min(report.InFlight, maxInFlightPerCore*e.cores)
		g.traffic.recordReport(inFlight)
		r.load = inFlight * g.meanThreads / e.cores
		r.freeThreads = max(g.threadsPerCore-r.load, 0) * e.cores
	}
	r.at = g.now
	r.load = min(r.load, 2*g.threadsPerCore)
	g.aggregate.loadLevel += (r.load/g.threadsPerCore - g.aggregate.loadLevel) / loadLevelReports
	g.meanLoad += (r.load - g.meanLoad) / meanLoadReports
}

// requestLoadReport asks an engine for its load with each query that arrives, less often while all are idle:
// what one gateway sees of an engine in its responses is seconds old.
func (g *Gateway) requestLoadReport() {
	if !g.settings.Limits.AllowLoadRequests || !g.settings.ReportsLoad || len(g.engines) == 0 {
		return
	}
	probability := max(g.aggregate.loadLevel, loadLevelSlack) / (1 - loadLevelSlack)
	if g.random.Float64() > probability {
		return
	}
	e := g.engines[g.random.IntN(len(g.engines))]
	if e.state == EngineLive {
		g.emit(RequestLoadReport{Engine: e.id})
	}
}

// reportedLoadBonus is 0 or less, in threads: an engine whose reported load lies over the mean has less room
// than this gateway's own backlog there shows.
func (g *Gateway) reportedLoadBonus(e *engine) float64 {
	if e.report.at == 0 {
		return 0
	}
	return reportedLoadFraction * min(g.meanLoad-e.report.load, 0) * e.cores * e.report.fading(g.now)
}

// reportedFreeThreads is what this gateway may hold at an engine beyond its own share: of what the engine
// reported as free, less what went there since, and less the older the report and the fuller all engines are.
// Guards against rejections at a gateway with more than its share of the traffic while engines have room.
func (g *Gateway) reportedFreeThreads(e *engine) float64 {
	free := e.report.freeThreads
	for _, a := range e.inFlight {
		if a.sentAt >= e.report.at {
			free -= a.query.threads
		}
	}
	room := min(max((1-g.aggregate.loadLevel)/loadLevelSlack, 0), 1)
	capacity := g.slowStart.capacity(e, g.now)
	return freeThreadsFraction * room * capacity * max(free, 0) * e.report.fading(g.now)
}
