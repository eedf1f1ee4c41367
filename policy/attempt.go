package policy

import "slices"

const (
	// maxErrors is the number of errors after which a query is not retried: the query itself is then
	// taken to be the cause.
	maxErrors = 2
	// meanThreadsSamples is the number of attempts over which Gateway.meanThreads is averaged.
	meanThreadsSamples = 20
	// minRetryTimeRatio is the fraction of the class's usual latency that must remain until the deadline
	// for a retry.
	minRetryTimeRatio = 1.0 / 4
)

// send starts an attempt of the query at the engine. No other function starts attempts.
func (g *Gateway) send(q *query, e *engine) {
	if !g.maySend(q, e) {
		g.answerWithoutResult(q)
		return
	}
	a := newAttempt(q, e, g.now)
	if a.number > 0 {
		g.retries.recordRetry(g.now)
	}
	q.attempts = append(q.attempts, a)
	e.addAttempt(a)
	g.meanThreads += (q.threads - g.meanThreads) / meanThreadsSamples
	g.recordSentWork(a)
	g.grantResources(a)
	g.emit(Send{Query: q.id, Engine: e.id, Timeout: q.deadline - g.now})
}

// endAttempt processes the end of an attempt and, if the client is still waiting, decides on a retry.
func (g *Gateway) endAttempt(ev AttemptEnded) {
	a := g.attempt(ev.Query, ev.Attempt)
	if a == nil || a.ended {
		return
	}
	q := a.query
	a.ended = true
	a.mayHaveRun = a.streaming || !ev.Result.NeverRan()
	a.engine.removeAttempt(a)
	g.recordResult(a, ev)
	g.recordLoad(a.engine, ev.Load)
	switch ev.Result {
	case ResultTimeout, ResultConnectionLost, ResultCancelled, ResultUnknown: // may still be running
		g.orderedKeys.pause(q, g.now+g.settings.Rules.SettleTime+g.settings.CallInterval)
	default:
	}
	isTooLate := milliseconds(q.deadline-g.now) <= q.class.latencyMS*minRetryTimeRatio
	switch {
	case ev.Final || q.answered:
		g.endQuery(q)
	case q.hasAttemptInFlight(): // decided when that attempt ends
	case isTooLate, q.errorCount() >= maxErrors:
		g.answerWithoutResult(q)
	default:
		g.admit(q)
	}
}

// recordResult updates the engine's limit and health from the result of an attempt.
func (g *Gateway) recordResult(a *attempt, ev AttemptEnded) {
	e := a.engine
	if ev.Result.isCutOff() && !a.streaming {
		g.recordUnserved(a, ev.Elapsed)
	}
	switch ev.Result {
	case ResultSuccess:
		g.recordSuccess(a, ev)
	case ResultTimeout:
		g.recordTimeout(a, milliseconds(ev.Elapsed))
	case ResultRejected:
		e.bindingUntil = g.now + rejectionBindingTime
		e.health.lastHeard = g.now
	case ResultConnectFailed, ResultConnectTimeout, ResultConnectionLost:
		g.recordConnectionFailure(e, ev.Result)
	case ResultError:
		e.health.lastHeard = g.now
		a.failed = true
	case ResultUnknown, ResultCancelled, ResultNotSent:
	}
}

// recordSuccess updates the statistics of the class and the engine from a complete response.
func (g *Gateway) recordSuccess(a *attempt, ev AttemptEnded) {
	e := a.engine
	latencyMS := milliseconds(ev.Elapsed)
	a.query.class.recordLatency(latencyMS, a.query.workMS)
	a.query.class.unserved.recordServed(latencyMS)
	g.recordResponse(a, latencyMS)
	g.recordCost(a, ev)
	e.health.faultRate -= e.health.faultRate * failedConnectionWeight / 2
	e.health.lastHeard = g.now
	e.health.ejectedForFaults = false
	g.recordContact(a)
	// An error may be caused by the query itself. It counts against an engine only once another engine has
	// served the same query.
	for _, other := range a.query.attempts {
		if other.failed && other.engine != e {
			g.recordFault(other.engine, errorWeight, ejectedForErrors)
		}
	}
}

// mayRetry reports whether the rules permit another attempt of the query once its attempts in flight have
// ended.
func (g *Gateway) mayRetry(q *query) bool {
	if q.answered || len(q.attempts) >= max(g.settings.Limits.MaxAttempts, 1) {
		return false
	}
	if q.priorAttemptsForbidRetry(g.now) {
		return false
	}
	if len(q.attempts) > 0 && !g.retries.allows(g.now) {
		return false
	}
	return !slices.ContainsFunc(q.attempts, func(a *attempt) bool { return g.forbidsRetry(a) })
}

// forbidsRetry reports whether the query may not be executed again after this attempt: the client has
// received a part of its response, or the idempotency of the class forbids it.
func (g *Gateway) forbidsRetry(a *attempt) bool {
	if a.streaming {
		return true
	}
	switch a.query.class.Idempotency {
	case NotIdempotent:
		return a.mayHaveRun
	case IdempotentWithKey:
		return a.mayHaveRun && g.now-a.sentAt >= a.query.class.DedupWindow
	case Idempotent:
	}
	return false
}

// retryElsewhere cancels an attempt if the rules permit the query another one, and reports whether it did.
// The retry follows when the cancelled attempt ends.
func (g *Gateway) retryElsewhere(a *attempt) bool { return g.mayRetry(a.query) && g.cancel(a) }

// moveAttempt is retryElsewhere for an attempt that may yet succeed. It cancels only if another engine is
// suitable for the query, or the same engine with hedging, so that a query is not rejected just before its
// only engine responds.
func (g *Gateway) moveAttempt(a *attempt) bool {
	hasTarget := slices.ContainsFunc(g.engines, func(e *engine) bool {
		return (e != a.engine || g.settings.Limits.AllowHedging) && g.isSuitable(a.query, e)
	})
	return hasTarget && g.retryElsewhere(a)
}

// cancel requests the cancellation of an attempt and reports whether it did.
func (g *Gateway) cancel(a *attempt) bool {
	if a.cancelled || a.ended || a.streaming || !g.settings.Limits.AllowCancel {
		return false
	}
	a.cancelled = true
	g.emit(Cancel{Query: a.query.id, Attempt: a.number})
	return true
}
