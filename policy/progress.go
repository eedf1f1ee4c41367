package policy

const (
	badPlanRatio          = 5.0   // over its expected latency from which an attempt counts as badly planned
	earlyEndRatio         = 0.7   // of the time left; an attempt that needs more is ended early
	moveTimeRatio         = 1.5   // expected latencies that must be left for a move
	slowMoveSamples       = 10    // weight of an attempt moved as slow in its engine's slowdown
	minProgressFraction   = 0.001 // keeps the projection finite
	dataLoadLockIntervals = 2     // progress intervals that a data set counts as locked after each report
)

// recordProgress takes progress of a running attempt, and moves the query or ends it where that helps.
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

// moveWaiting moves an attempt that is stalled: elsewhere it would run. A retry budget is kept for failures.
// Where memory is short on two engines, or all are full, the query would only lose its place in the queue.
func (g *Gateway) moveWaiting(a *attempt, kind ProgressKind) {
	q := a.query
	hasRoomElsewhere := len(q.attempts) == 1 && g.aggregate.loadLevel <= initialLoadLevel
	if kind != ProgressWaitingForDataLoad && !hasRoomElsewhere {
		return
	}
	meetsObjective := milliseconds(g.now-a.sentAt)+q.expectedLatency() < q.latencyObjective()
	if !g.retries.isLimited() && q.class.Idempotency == Idempotent && meetsObjective {
		g.moveAttempt(a)
	}
}

// projectEnd moves or ends an attempt by its projected end. Guards against bad plans and slow engines.
func (g *Gateway) projectEnd(a *attempt, fraction float64) {
	q := a.query
	expected := q.expectedLatency()
	elapsed := milliseconds(g.now - a.sentAt)
	untilDeadline := milliseconds(q.deadline - g.now)
	done := min(max(fraction, minProgressFraction), 1)
	left := elapsed * (1 - done) / done
	isLate := left > untilDeadline
	// A new attempt that would miss the objective too is not worth it.
	isSlow := left > badPlanRatio*expected && elapsed+expected < q.latencyObjective()
	// A second attempt as slow as the first shows that the query itself is heavy.
	mayMove := len(q.attempts) == 1 && (isSlow || isLate) && expected*moveTimeRatio < untilDeadline
	if mayMove && g.moveAttempt(a) {
		e := a.engine
		e.slowdown += (maxSlowdown - e.slowdown) / slowMoveSamples // the engine may be the cause
		return
	}
	if left > earlyEndRatio*untilDeadline && g.mayReject(q) { // it would hold its place until the deadline
		g.answerWithoutResult(q)
	}
}
