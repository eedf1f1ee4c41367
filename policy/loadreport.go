package policy

import "time"

const (
	// reportDecayTime is the age at which the weight of a report has dropped to 1/e, about a third.
	reportDecayTime = 2 * controlPeriod
	// freeThreadsFraction is the fraction of the free threads reported by an engine that one gateway may
	// use.
	freeThreadsFraction = 0.5
	// maxInFlightPerCore bounds the number of queries in flight per core that is believed in a report.
	maxInFlightPerCore = 50.0
	// loadLevelReports is the number of reports over which the load level is averaged.
	loadLevelReports = 5
	// meanLoadReports is the number of reports over which the mean load is averaged.
	meanLoadReports = 20
	// reportedLoadFraction is the fraction of an engine's load above the mean that counts against it in the
	// choice of an engine.
	reportedLoadFraction = 0.25
)

// engineReport holds the figures of an engine's latest load report.
type engineReport struct {
	load        float64       // threads per core
	freeThreads float64       // threads below the target load; 0 if the queries in flight are not reported
	at          time.Duration // time of receipt; 0: there is no report
}

// weight returns the weight of the report, from 1 when it is new down to 0 as it ages.
func (r *engineReport) weight(now time.Duration) float64 {
	age := float64(now-r.at) / float64(reportDecayTime)
	return exp(-age)
}

// recordLoad records an engine's load report. It estimates the load of the engine, and from it the load
// level of all engines, by the threads in flight from all gateways, or by the utilization of the cores
// where the queries in flight are not reported.
func (g *Gateway) recordLoad(e *engine, report LoadReport) {
	isUsable := max(report.InFlight, report.CPUUtilization) >= 0 // false for NaN
	if !report.Reported || !isUsable {
		return
	}
	r := &e.report
	r.load = g.targetThreadsPerCore * report.CPUUtilization
	r.freeThreads = 0
	if report.InFlight >= 0 { // preferred, as the CPU utilization does not include waiting queries
		inFlight := min(report.InFlight, maxInFlightPerCore*e.cores)
		g.traffic.recordReport(inFlight)
		r.load = inFlight * g.meanThreads / e.cores
		r.freeThreads = max(g.targetThreadsPerCore-r.load, 0) * e.cores
	}
	r.at = g.now
	r.load = min(r.load, 2*g.targetThreadsPerCore)
	g.aggregate.loadLevel += (r.load/g.targetThreadsPerCore - g.aggregate.loadLevel) / loadLevelReports
	g.meanLoad += (r.load - g.meanLoad) / meanLoadReports
}

// requestLoadReport requests a load report from a random engine when a query arrives, less often while the
// engines are idle. Without requests, the load that a gateway knows from responses would be seconds old.
func (g *Gateway) requestLoadReport() {
	if !g.settings.Limits.AllowLoadRequests || !g.settings.ReportsLoad || len(g.engines) == 0 {
		return
	}
	probability := max(g.aggregate.loadLevel, loadLevelHeadroom) / (1 - loadLevelHeadroom)
	if g.random.Float64() > probability {
		return
	}
	e := g.engines[g.random.IntN(len(g.engines))]
	if e.state == EngineLive {
		g.emit(RequestLoadReport{Engine: e.id})
	}
}

// reportedLoadBonus returns a term of an engine's score, in threads, of 0 or less. An engine whose reported
// load is above the mean has less free capacity than this gateway's own backlog there suggests.
func (g *Gateway) reportedLoadBonus(e *engine) float64 {
	if e.report.at == 0 {
		return 0
	}
	return reportedLoadFraction * min(g.meanLoad-e.report.load, 0) * e.cores * e.report.weight(g.now)
}

// reportedFreeThreads returns the threads that this gateway may use at an engine beyond its own share.
// These are a fraction of the threads that the engine reported as free, minus those sent there since. The
// number shrinks with the age of the report, with the load of all engines and during a warm-up. It prevents
// rejections at a gateway that receives more than its share of the traffic while engines have free
// capacity.
func (g *Gateway) reportedFreeThreads(e *engine) float64 {
	free := e.report.freeThreads
	for _, a := range e.inFlight {
		if a.sentAt >= e.report.at {
			free -= a.query.threads
		}
	}
	loadHeadroom := min(max((1-g.aggregate.loadLevel)/loadLevelHeadroom, 0), 1)
	capacity := g.slowStart.capacityFraction(e, g.now)
	return freeThreadsFraction * loadHeadroom * capacity * max(free, 0) * e.report.weight(g.now)
}
