package policy

import "time"

// answerWithoutResult gives a query its final answer from the gateway: a rejection if the client can safely
// retry, otherwise a failure. No other function answers an admitted query.
func (g *Gateway) answerWithoutResult(q *query) {
	if q.answered {
		return
	}
	if g.mayReject(q) {
		g.emit(Reject{Query: q.id, RetryAfter: g.retryAfter()})
	} else {
		g.emit(Fail{Query: q.id})
	}
	g.endQuery(q)
}

// mayReject reports whether the client can safely retry the query: either a repeat does no harm, or no
// attempt has run.
func (g *Gateway) mayReject(q *query) bool {
	c := q.class
	isRepeatable := c.Idempotency == Idempotent ||
		c.Idempotency == IdempotentWithKey && q.isRepeatDroppedEverywhere(g.now)
	return isRepeatable || !q.mayHaveRun()
}

// retryAfter returns a random time after which the client should retry. It spreads the retries of rejected
// clients over the upper half of the time that clients honor. It returns 0 where rejections do not tell
// clients when to retry.
func (g *Gateway) retryAfter() time.Duration {
	minimum := g.settings.Limits.MaxRetryAfter / 2
	if !g.settings.Limits.SendRetryAfter || minimum <= 0 {
		return 0
	}
	return minimum + time.Duration(g.random.Int64N(int64(minimum)))
}

// endQuery ends a query for its client and cancels its attempts. The query is kept until the attempts in
// flight have ended, as they count for the backlog and for the order of its key.
func (g *Gateway) endQuery(q *query) {
	q.answered = true
	for _, a := range q.attempts {
		g.cancel(a)
	}
	if q.hasAttemptInFlight() {
		return
	}
	delete(g.queries, q.id)
	g.orderedKeys.remove(q)
}
