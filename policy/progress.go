package policy

const (
	// badPlanRatio is the ratio of the projected remaining time to the expected latency above which the
	// plan of an attempt counts as bad.
	badPlanRatio = 5.0
	// earlyEndRatio is the fraction of the time until the deadline above which the projected remaining time
	// of an attempt ends its query early.
	earlyEndRatio = 0.7
	// moveTimeRatio is the time that must remain until the deadline for a move, in multiples of the
	// expected latency.
	moveTimeRatio = 1.5
	// An attempt that is moved as slow has the weight 1/slowMoveSamples in the moving average of its
	// engine's slowdown.
	slowMoveSamples     = 10
	minProgressFraction = 0.001 // keeps the projected remaining time finite
	// dataLoadLockIntervals is the number of progress intervals for which a data set counts as locked after
	// each report that a query waits for its data load.
	dataLoadLockIntervals = 2
)

// recordProgress processes a progress report of a running attempt. It moves the query to another engine, or
// ends it, if that helps.
func (g *Gateway) recordProgress(ev AttemptProgress) {
	a := g.attempt(ev.Query, ev.Attempt)
	if a == nil || a.ended {
		return
	}
	a.lastHeard = g.now
	a.engine.health.lastHeard = g.now
	a.waiting = ev.Kind == ProgressWaitingForMemory || ev.Kind == ProgressWaitingForDataLoad
	g.recordContact(a)
	switch ev.Kind {
	case ProgressWaitingForDataLoad:
		a.engine.lockedUntil[a.query.dataSet] = g.now + dataLoadLockIntervals*g.settings.ProgressInterval
	case ProgressSpilled:
		g.recordSpill(a, ev.Value)
	default:
	}
	if a.cancelled || a.query.answered || !g.settings.Limits.AllowCancel {
		return
	}
	switch ev.Kind {
	case ProgressSpilled:
	case ProgressFraction:
		g.projectEnd(a, ev.Value)
	default:
		g.moveWaiting(a, ev.Kind)
	}
}

// moveWaiting moves an attempt that waits for memory or a data load, as it may run at once on another
// engine. With a retry budget nothing is moved, so that the budget remains for failures. A query that waits
// for memory is moved only once and only while the engines have headroom: if memory is short on two
// engines, or all are full, it would only lose its place in the queue. Only an idempotent query that can
// still meet its latency objective is moved.
func (g *Gateway) moveWaiting(a *attempt, kind ProgressKind) {
	q := a.query
	hasHeadroomElsewhere := len(q.attempts) == 1 && g.aggregate.loadLevel <= initialLoadLevel
	if kind != ProgressWaitingForDataLoad && !hasHeadroomElsewhere {
		return
	}
	meetsObjective := milliseconds(g.now-a.sentAt)+q.expectedLatency() < q.latencyObjective()
	if !g.retries.isLimited() && q.class.Idempotency == Idempotent && meetsObjective {
		g.moveAttempt(a)
	}
}

// projectEnd moves an attempt to another engine, or ends its query early, by the projected remaining time.
// It detects bad plans and slow engines.
func (g *Gateway) projectEnd(a *attempt, fraction float64) {
	q := a.query
	expected := q.expectedLatency()
	elapsed := milliseconds(g.now - a.sentAt)
	untilDeadline := milliseconds(q.deadline - g.now)
	completed := min(max(fraction, minProgressFraction), 1)
	remaining := elapsed * (1 - completed) / completed
	isLate := remaining > untilDeadline
	// An attempt is not moved for slowness if a new one would miss the latency objective, too.
	isSlow := remaining > badPlanRatio*expected && elapsed+expected < q.latencyObjective()
	// Only a first attempt is moved: if a second one is as slow, the query itself is expensive.
	mayMove := len(q.attempts) == 1 && (isSlow || isLate) && expected*moveTimeRatio < untilDeadline
	if mayMove && g.moveAttempt(a) {
		e := a.engine
		e.slowdown += (maxSlowdown - e.slowdown) / slowMoveSamples // the engine may be slow
		return
	}
	// The attempt would use the engine until the deadline without a result.
	if remaining > earlyEndRatio*untilDeadline && g.mayReject(q) {
		g.answerWithoutResult(q)
	}
}
