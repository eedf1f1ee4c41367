package policy

import (
	"slices"
	"time"
)

// query is a query from its arrival until it has its final answer and all of its attempts have ended.
type query struct {
	id       uint64
	class    *class
	key      string // ordering key; empty: none
	dataSet  int64
	memoryMB float64       // estimated memory; 0: no estimate
	deadline time.Duration // instant at which the client stops waiting
	workMS   float64       // expected work of all its threads
	threads  float64       // its weight in a backlog
	// budgetCost is valid during one choice of an engine; the zero value is not computed yet.
	budgetCost budgetCost
	// logValue is the binary logarithm of priority weight over expected work, minus the mean over recent
	// arrivals. 0 is average.
	logValue      float64
	limitFraction float64 // fraction of each limit that the query may use
	attempts      []*attempt
	priorAttempts []PriorAttempt
	answered      bool // has its final answer, or its client has disconnected
}

// attempt is one execution of a query at an engine.
type attempt struct {
	query        *query
	number       int // counted from 0
	engine       *engine
	placement    Placement // of the engine when the attempt was sent
	sentAt       time.Duration
	lastHeard    time.Duration // time of the latest progress, or of the send
	ended        bool
	mayHaveRun   bool    // may have been executed, as far as known
	cancelled    bool    // a Cancel was emitted
	streaming    bool    // its response is being streamed to the client
	spilled      bool    // counted as having spilled to disk
	waiting      bool    // waits for memory or a data load, by its latest progress
	failed       bool    // ended with ResultError
	lostResponse bool    // its response is considered lost
	grantMB      float64 // memory granted; 0: the engine chooses
}

func newAttempt(q *query, e *engine, now time.Duration) *attempt {
	return &attempt{
		query: q, number: len(q.attempts), engine: e, placement: e.placement(),
		sentAt: now, lastHeard: now, mayHaveRun: true,
	}
}

// errorCount returns the number of attempts that ended with ResultError.
func (q *query) errorCount() (count int) {
	for _, a := range q.attempts {
		if a.failed {
			count++
		}
	}
	return count
}

func (q *query) hasAttemptInFlight() bool {
	return slices.ContainsFunc(q.attempts, func(a *attempt) bool { return !a.ended })
}

func (q *query) hasStreamInFlight() bool {
	return slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.streaming && !a.ended })
}

func (q *query) mayHaveRun() bool {
	return q.mayHaveRunElsewhere() ||
		slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.mayHaveRun })
}

func (q *query) wasSentTo(e *engine) bool {
	return slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.engine == e })
}

// expectedLatency returns the usual latency of the class, scaled by the query's expected work, in
// milliseconds.
func (q *query) expectedLatency() float64 {
	return q.class.latencyMS * q.workMS / q.class.workMS
}

// latencyObjective returns the latency objective of the class, extended in proportion to the query's
// expected work and at most the class's timeout, in milliseconds.
func (q *query) latencyObjective() float64 {
	c := q.class
	stretch := c.ObjectiveStretch * q.workMS / c.Threads
	return min(milliseconds(c.LatencyObjective)+stretch, milliseconds(c.Timeout))
}

// attempt returns an attempt of a query by its number, or nil if there is none.
func (g *Gateway) attempt(id uint64, number int) *attempt {
	q := g.queries[id]
	if q == nil || number < 0 || number >= len(q.attempts) {
		return nil
	}
	return q.attempts[number]
}
