package policy

import "time"

// answerWithoutResult is the only place where a query gets its final answer from the gateway: a rejection
// where a retry is harmless, else a failure.
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

// mayReject tells whether a retry by the client is harmless.
func (g *Gateway) mayReject(q *query) bool {
	c := q.class
	isRepeatable := c.Idempotency == Idempotent ||
		c.Idempotency == IdempotentWithKey && c.DedupScope == DedupAll
	return isRepeatable || !q.mayHaveRun()
}

// retryAfter spreads the retries of rejected clients over the time that they honor.
func (g *Gateway) retryAfter() time.Duration {
	half := g.settings.Limits.MaxRetryAfter / 2
	if !g.settings.Limits.SendRetryAfter || half <= 0 {
		return 0
	}
	return half + time.Duration(g.random.Int64N(int64(half)))
}

// endQuery ends a query for its client. It is kept while attempts are in flight, for the backlog and the
// order.
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
