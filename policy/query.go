package policy

import (
	"slices"
	"time"
)

// query is a query from its arrival until its final answer is given and all of its attempts have ended.
type query struct {
	id       uint64
	class    *class
	key      string // ordering key
	dataSet  int64
	memoryMB float64 // estimate; 0: none
	deadline time.Duration
	workMS   float64 // expected work of all its threads
	threads  float64 // what it counts for in a backlog
	// logValue is the binary logarithm of its priority weight over its expected work, less the usual one.
	logValue      float64
	limitFraction float64 // of each limit, that the query may use
	attempts      []*attempt
	answered      bool // it has its final answer, or its client has left
}

// attempt is one execution of a query at an engine.
type attempt struct {
	query        *query
	number       int // from 0
	engine       *engine
	sentAt       time.Duration
	lastHeard    time.Duration // latest progress
	ended        bool
	mayHaveRun   bool
	cancelled    bool // a Cancel was sent
	streaming    bool
	spilled      bool
	waiting      bool // its latest progress said so
	failed       bool // it ended in an error
	lostResponse bool // its response was lost: it is waited for no longer
	grantMB      float64
}

func newAttempt(q *query, e *engine, now time.Duration) *attempt {
	return &attempt{
		query: q, number: len(q.attempts), engine: e, sentAt: now, lastHeard: now, mayHaveRun: true,
	}
}

// errorCount returns the number of attempts that ended in an error.
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
	return slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.mayHaveRun })
}

func (q *query) wasSentTo(e *engine) bool {
	return slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.engine == e })
}

// expectedLatency is the usual latency of the query's class, scaled by the query's expected work, in ms.
func (q *query) expectedLatency() float64 {
	return q.class.latencyMS * q.workMS / q.class.workMS
}

// latencyObjective is the objective of the class, stretched by the query's expected work, in ms.
func (q *query) latencyObjective() float64 {
	c := q.class
	stretch := c.ObjectiveStretch * q.workMS / c.Threads
	return min(milliseconds(c.LatencyObjective)+stretch, milliseconds(c.Timeout))
}

// attempt looks an attempt up; nil where there is none.
func (g *Gateway) attempt(id uint64, number int) *attempt {
	q := g.queries[id]
	if q == nil || number < 0 || number >= len(q.attempts) {
		return nil
	}
	return q.attempts[number]
}
