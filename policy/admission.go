package policy

import "math"

const (
	valueSamples      = 50   // queries that the usual value over work is averaged over
	minPriorityWeight = 1e-9 // keeps the logarithm finite
	minThreadsRatio   = 0.25 // of its class's threads that a query counts for
	maxThreadsRatio   = 2
	logValueDivisor   = 4 // a doubled value over work opens 1/4 more of a limit
)

// arrive admits a query or rejects it at once.
func (g *Gateway) arrive(ev QueryArrived) {
	if g.queries[ev.Query] != nil {
		return
	}
	if !ev.Repeat {
		g.traffic.arrivals++
	}
	g.retries.recordArrival(g.now)
	c := g.classes[ev.Class]
	if c == nil { // an unknown class: nothing was sent, so that a retry is harmless
		g.emit(Reject{Query: ev.Query, RetryAfter: g.retryAfter()})
		return
	}
	q := g.newQuery(c, ev)
	g.queries[q.id] = q
	g.dataSets.record(q.dataSet)
	g.requestLoadReport()
	untilDeadline := max(0, q.deadline-g.now-g.settings.CallInterval)
	g.emit(SetTimer{After: untilDeadline, Token: queryToken(q.id)})
	g.orderedKeys.add(q)
	if g.orderedKeys.isTurn(q, g.now) {
		g.admit(q)
	} else {
		g.orderedKeys.wait(q)
	}
}

// newQuery weighs a query by its class and its estimate.
func (g *Gateway) newQuery(c *class, ev QueryArrived) *query {
	q := &query{
		id: ev.Query, class: c, key: ev.Key, dataSet: ev.DataSet, deadline: ev.Deadline,
		workMS: c.workMS, memoryMB: ev.MemoryMB, threads: c.Threads, limitFraction: 1,
	}
	if estimateMS := milliseconds(ev.Work); estimateMS > 0 {
		ratio := c.estimateRatio(estimateMS)
		q.workMS = c.workMS * ratio
		q.threads = c.Threads * min(max(ratio, minThreadsRatio), maxThreadsRatio)
	}
	logValue := math.Log2(max(c.PriorityWeight, minPriorityWeight) / q.workMS)
	if g.meanLogValue == 0 {
		g.meanLogValue = logValue
	}
	g.meanLogValue += (logValue - g.meanLogValue) / valueSamples
	q.logValue = logValue - g.meanLogValue
	if ev.Work > 0 { // without estimates, all queries of a class would be shed together
		q.limitFraction = min(max(1+q.logValue/logValueDivisor, overQuotaFraction), 2-overQuotaFraction)
	}
	if g.tenants.isOverQuota(ev.Tenant, g.traffic.share(), g.now) {
		q.limitFraction *= overQuotaFraction
	}
	return q
}

// admit sends the query to an engine where it fits, or rejects it at once.
func (g *Gateway) admit(q *query) {
	e := g.chooseEngine(q)
	if e == nil {
		g.answerWithoutResult(q)
		return
	}
	g.send(q, e)
}

// queryLimit is the fraction of a limit that the query may use, in threads.
func (g *Gateway) queryLimit(q *query, c *controller) float64 {
	return c.currentLimit(g.now) * q.limitFraction
}

// fits is the paper's test. A query with more threads than the limit is admitted by chance where this gateway
// has nothing in flight.
func (g *Gateway) fits(q *query, c *controller, limit float64) bool {
	if c.backlog == 0 && q.threads > limit {
		return g.random.Float64() < limit/q.threads
	}
	return c.backlog+q.threads <= limit
}

// fitsAggregate applies the same test to all engines together. Guards against an overload that this gateway
// sees at no single engine. What hangs at an ejected engine takes no room of the others.
func (g *Gateway) fitsAggregate(q *query) bool {
	g.aggregate.backlog = 0
	for _, e := range g.engines {
		if e.isInService() {
			g.aggregate.backlog += e.backlog
		}
	}
	return g.fits(q, &g.aggregate, g.queryLimit(q, &g.aggregate))
}
