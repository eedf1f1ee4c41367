package policy

// Parameters of admission. The value of a query is the priority weight of its class.
const (
	valueSamples      = 50   // arrivals over which the logarithm of value over work is averaged
	minPriorityWeight = 1e-9 // keeps the logarithm finite
	minThreadsRatio   = 0.25 // least weight of a query in a backlog, over the threads of its class
	maxThreadsRatio   = 2    // largest weight of a query in a backlog, over the threads of its class
	logValueDivisor   = 4    // doubling value over work adds 1/4 to the usable fraction of a limit
)

// handleArrival admits a new query, rejects it, or queues it until its turn among the queries of its
// ordering key.
func (g *Gateway) handleArrival(ev QueryArrived) {
	if g.queries[ev.Query] != nil {
		return
	}
	if !ev.ClientRetry {
		g.traffic.arrivals++
	}
	g.retries.recordArrival(g.now)
	c := g.classes[ev.Class]
	if c == nil { // unknown class: nothing was sent, so a retry by the client is safe
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
		g.orderedKeys.addWaiting(q)
	}
}

// newQuery computes the expected work, the threads and the usable fraction of the limits for a query, from
// its class, its estimate and its tenant's quota.
func (g *Gateway) newQuery(c *class, ev QueryArrived) *query {
	q := &query{
		id: ev.Query, class: c, key: ev.Key, dataSet: ev.DataSet, deadline: ev.Deadline,
		workMS: c.workMS, memoryMB: ev.MemoryMB, threads: c.Threads, limitFraction: 1,
		priorAttempts: ev.PriorAttempts,
	}
	if estimateMS := milliseconds(ev.Work); estimateMS > 0 {
		ratio := c.estimateRatio(estimateMS)
		q.workMS = c.workMS * ratio
		q.threads = c.Threads * min(max(ratio, minThreadsRatio), maxThreadsRatio)
	}
	logValue := log2(max(c.PriorityWeight, minPriorityWeight) / q.workMS)
	if g.meanLogValue == 0 {
		g.meanLogValue = logValue
	}
	g.meanLogValue += (logValue - g.meanLogValue) / valueSamples
	q.logValue = logValue - g.meanLogValue
	if ev.Work > 0 { // without estimates all queries of a class rank alike and would be shed together
		q.limitFraction = min(max(1+q.logValue/logValueDivisor, overQuotaFraction), 2-overQuotaFraction)
	}
	if g.tenants.isOverQuota(ev.Tenant, g.traffic.share(), g.now) {
		q.limitFraction *= overQuotaFraction
	}
	return q
}

// admit sends the query to an engine where it fits. If there is none, it ends the query without a result.
func (g *Gateway) admit(q *query) {
	e := g.chooseEngine(q)
	if e == nil {
		g.answerWithoutResult(q)
		return
	}
	g.send(q, e)
}

// queryLimit returns the part of a controller's limit that the query may use, in threads.
func (g *Gateway) queryLimit(q *query, c *controller) float64 {
	return c.currentLimit(g.now) * q.limitFraction
}

// fits is the admission test of the paper: the backlog and the query together must not exceed the limit. A
// query that has more threads than the limit would never pass, so with an empty backlog it is admitted at
// random, with probability limit/threads.
func (g *Gateway) fits(q *query, c *controller, limit float64) bool {
	if c.backlog == 0 && q.threads > limit {
		return g.random.Float64() < limit/q.threads
	}
	return c.backlog+q.threads <= limit
}

// fitsAggregate applies the same test to all engines in service together. It prevents an overload that the
// backlogs of single engines at this gateway do not show. Attempts that hang at an ejected engine do not
// reduce the capacity of the others.
func (g *Gateway) fitsAggregate(q *query) bool {
	g.aggregate.backlog = 0
	for _, e := range g.engines {
		if e.isInService() {
			g.aggregate.backlog += e.backlog
		}
	}
	return g.fits(q, &g.aggregate, g.queryLimit(q, &g.aggregate))
}
