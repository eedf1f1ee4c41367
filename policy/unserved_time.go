package policy

import "time"

const (
	// unservedTimeSamples is the number of responses after which the weight of an attempt has dropped to
	// 1/e.
	unservedTimeSamples = 200
	// maxUnservedFactor bounds the correction of the usual work.
	maxUnservedFactor = 3.0
)

// unservedTime is the time that attempts of one class ran at engines, in milliseconds, by whether they
// were served. Both sums decay with each response. Long queries are served late or never, so the mean
// over the served ones alone is below that of all queries that are sent.
type unservedTime struct {
	served   float64
	unserved float64 // of attempts that timed out, were cancelled, or broke
}

// recordServed adds a response with its latency.
func (u *unservedTime) recordServed(latencyMS float64) {
	u.served += latencyMS - u.served/unservedTimeSamples
	u.unserved -= u.unserved / unservedTimeSamples
}

// factor returns the mean work of all queries over that of the served ones, given the time that attempts
// in flight have run so far. It is the maximum-likelihood estimate for exponentially distributed
// work where some observations are cut off: the time of all attempts over the number of responses.
func (u *unservedTime) factor(inFlightMS float64) float64 {
	if u.served <= 0 {
		return 1
	}
	return min(1+(u.unserved+inFlightMS)/u.served, maxUnservedFactor)
}

// recordUnserved adds an attempt that ended without a response, if its engine has sent a message since
// the attempt was sent. The time at a silent engine says nothing of the work.
func (g *Gateway) recordUnserved(a *attempt, elapsed time.Duration) {
	if a.engine.health.lastHeard > a.sentAt {
		a.query.class.unserved.unserved += milliseconds(elapsed)
	}
}

// sentWorkMS returns the expected work of a query that is sent, given that not all queries of its class
// are served. While there are few responses, the attempts in flight count too: the first responses are
// those of short queries.
func (g *Gateway) sentWorkMS(q *query) float64 {
	c := q.class
	inFlightMS := 0.0
	if c.responses < maxClassSamples {
		inFlightMS = g.inFlightMS(c)
	}
	return q.workMS * c.unserved.factor(inFlightMS)
}

// inFlightMS returns the time, in milliseconds, that the attempts in flight of the class have run at
// engines that have sent a message since.
func (g *Gateway) inFlightMS(c *class) (total float64) {
	for _, e := range g.engines {
		for _, a := range e.inFlight {
			if a.query.class == c && !a.streaming && e.health.lastHeard > a.sentAt {
				total += milliseconds(g.now - a.sentAt)
			}
		}
	}
	return total
}
