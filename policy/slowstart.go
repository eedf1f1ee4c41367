package policy

import (
	"math"
	"time"
)

const (
	warmUpBudgetMargin = 0.7             // fraction of an engine's budget that is used while it warms up
	warmUpBurst        = 0.5             // fraction of an overload window's budget that may go at once
	warmUpCostFactor   = 1.3             // a query counts this much over its expected work
	minRestartTime     = 2 * time.Second // in which no engine ends and serves again
)

// warmUp is what a gateway knows of an engine's slow start.
type warmUp struct {
	until            time.Duration
	turnsSince       time.Duration // instant from which turns to send it wide queries are counted
	budgetSpentUntil time.Duration
	turnOffset       float64 // this gateway's place among the turns, 0 to 1
	// restartPresumed is set while only a broken connection speaks for a restart; untilBefore is the value of
	// until before it.
	restartPresumed bool
	untilBefore     time.Duration
}

// slowStart holds the rule on engines that warm up: all gateways together must not overload one, so that each
// may send an equal share of what the engine bears.
type slowStart struct {
	minCapacity      float64
	period           time.Duration
	overloadMultiple float64
	window           time.Duration
	gateways         int
	rank             int
	startedAt        time.Duration // when this gateway took its first event
}

func newSlowStart(s *Settings) slowStart {
	return slowStart{
		minCapacity: s.Rules.WarmUpMinCapacity, period: s.Rules.WarmUpPeriod,
		overloadMultiple: s.Rules.OverloadMultiple, window: s.Rules.OverloadWindow,
		gateways: s.Gateways, rank: s.Rank,
	}
}

// capacity is the smallest fraction of its full capacity that an engine has now: one that warms up would
// stall under the load of a warm one.
func (s *slowStart) capacity(e *engine, now time.Duration) float64 {
	left := float64(e.warmUp.until-now) / float64(max(s.period, 1))
	return 1 - (1-s.minCapacity)*min(max(left, 0), 1)
}

// isNearStart tells whether the list says that the engine started within the warm-up period.
func (s *slowStart) isNearStart(e *engine, now time.Duration) bool {
	return now < e.lastStart+s.period
}

// begin takes an engine as warming up. Its turns are counted from an instant that all gateways know, or
// nearly so; with a rank, no two gateways have the same turn.
func (s *slowStart) begin(e *engine, since, until, now time.Duration, random func() float64) {
	w := &e.warmUp
	if now >= w.until {
		w.budgetSpentUntil = max(w.budgetSpentUntil, now)
		w.turnsSince = since
		w.turnOffset = random()
		if s.rank > 0 {
			gateways := uint64(s.gateways)
			place := (affinity(e.hash, 0) + uint64(s.rank)) % gateways
			w.turnOffset = float64(place) / float64(gateways)
		}
	}
	w.until = until
}

// budgetMS is the work that this gateway may send an engine that warms up within an overload window.
func (s *slowStart) budgetMS(e *engine) float64 {
	overload := warmUpBudgetMargin * s.overloadMultiple * s.minCapacity * e.cores * milliseconds(s.window)
	return overload / float64(s.gateways)
}

// windows is the number of overload windows whose budget the query takes.
func (s *slowStart) windows(q *query, e *engine) float64 {
	return warmUpCostFactor * q.workMS / s.budgetMS(e)
}

// allows tells whether the query is within the budget. One that takes more than half of a window's budget
// goes once in the windows that pay for it, in this gateway's turn, which lasts until the next gateway's, or
// longer for small ones: budgets that pile up over the windows would be spent by all gateways at once.
func (s *slowStart) allows(q *query, e *engine, now time.Duration) bool {
	w := &e.warmUp
	switch {
	case now >= w.until || s.window <= 0:
		return true
	case now < s.startedAt+s.window: // what was sent before a restart of this gateway is unknown
		return false
	}
	windows := s.windows(q, e)
	if windows <= warmUpBurst {
		return w.budgetSpentUntil <= now+time.Duration((warmUpBurst-windows)*float64(s.window))
	}
	sinceTurn := float64(now-w.turnsSince)/float64(s.window)/windows - w.turnOffset
	turnLength := windows / float64(s.gateways)
	isTurn := sinceTurn >= 0 && math.Mod(sinceTurn, 1)*windows < max(turnLength, warmUpBurst/turnLength)
	return w.budgetSpentUntil <= now && isTurn
}

// spend takes the query's cost from the budget.
func (s *slowStart) spend(q *query, e *engine, now time.Duration) {
	w := &e.warmUp
	if now >= w.until {
		return
	}
	w.budgetSpentUntil = max(w.budgetSpentUntil, now) + time.Duration(s.windows(q, e)*float64(s.window))
}

// presumeRestart takes an engine as restarted after a failed connection: the list reports a restart only
// seconds later.
func (g *Gateway) presumeRestart(e *engine, result Result) {
	w := &e.warmUp
	e.health.connectionLostAt = g.now
	if result == ResultConnectFailed {
		w.restartPresumed = false // a refused connection is proof enough
	} else if !w.restartPresumed {
		w.restartPresumed = true
		w.untilBefore = w.until
	}
	until := max(w.until, g.now+g.slowStart.period)
	g.slowStart.begin(e, g.now, until, g.now, g.random.Float64)
}

// disproveRestart takes that back, on contact about an attempt that was sent after the connection broke,
// sooner than a process restarts. Guards against starving an engine that only lost a connection.
func (g *Gateway) disproveRestart(a *attempt) {
	e := a.engine
	w := &e.warmUp
	lostAt := e.health.connectionLostAt
	if w.restartPresumed && a.sentAt > lostAt && g.now < lostAt+minRestartTime {
		w.restartPresumed = false
		w.until = w.untilBefore
	}
}
