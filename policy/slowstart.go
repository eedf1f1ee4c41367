package policy

import (
	"math"
	"time"
)

// Parameters of slow start.
const (
	// warmUpBudgetMargin is the fraction of an engine's budget that is used while it warms up.
	warmUpBudgetMargin = 0.7
	// warmUpBurst is the fraction of an overload window's budget that may be sent at once.
	warmUpBurst = 0.5
	// heavyFraction is the fraction of the budget of all gateways for a window from which a query is heavy.
	heavyFraction = 0.1
	// maxHeavyTurn is the longest turn of a heavy query, in overload windows.
	maxHeavyTurn = 1.0
	// warmUpCostFactor is the cost of a query to the budget, in multiples of its expected work.
	warmUpCostFactor = 1.3
)

// warmUp is the slow-start state of one engine.
type warmUp struct {
	until time.Duration // end of the warm-up; in the past: the engine is warm
	// turnsSince is the instant from which the gateways' turns are counted. The gateways take turns to send
	// wide queries, which need more than warmUpBurst of an overload window's budget.
	turnsSince time.Duration
	// budgetSpentUntil is the instant until which the budget of the overload windows is spent.
	budgetSpentUntil time.Duration
	// turnOffset is this gateway's position in the cycle of turns, from 0 to 1.
	turnOffset float64
	// restartPresumed is set while a connection that broke or timed out is the only sign of a restart.
	// previousUntil is the value of until before that restart was presumed.
	restartPresumed bool
	previousUntil   time.Duration
	reportedAt      time.Duration // time of the latest SlowStartChanged
}

// slowStart limits the load on engines that are warming up. All gateways together must not overload such an
// engine, so each may send an equal share of what the engine can take.
type slowStart struct {
	minCapacity float64       // smallest fraction of an engine's capacity after a start
	period      time.Duration // an engine is warm no later than this after a start
	// An engine that is warming up fails when it is sent overloadMultiple times its capacity for window. A
	// window of 0 means that engines do not fail.
	overloadMultiple float64
	window           time.Duration
	gateways         int           // number of gateways, including this one
	rank             int           // position of this gateway, from 1; 0: unknown
	startedAt        time.Duration // time of this gateway's first event
}

func newSlowStart(s *Settings) slowStart {
	return slowStart{
		minCapacity: s.Rules.WarmUpMinCapacity, period: s.Rules.WarmUpPeriod,
		overloadMultiple: s.Rules.OverloadMultiple, window: s.Rules.OverloadWindow,
		gateways: s.Gateways, rank: s.Rank,
	}
}

// capacityFraction returns a lower bound of the fraction of its full capacity that an engine has now. An
// engine that is warming up would stall under the load of a warm one.
func (s *slowStart) capacityFraction(e *engine, now time.Duration) float64 {
	remaining := float64(e.warmUp.until-now) / float64(max(s.period, 1))
	return 1 - (1-s.minCapacity)*min(max(remaining, 0), 1)
}

// isWarmingUp reports whether the engine has a budget now.
func (s *slowStart) isWarmingUp(e *engine, now time.Duration) bool {
	return now < e.warmUp.until && s.window > 0
}

// isNearStart reports whether the engine list shows a start of the engine within the last warm-up period.
func (s *slowStart) isNearStart(e *engine, now time.Duration) bool {
	return now < e.lastStart+s.period
}

// begin marks an engine as warming up until the given instant. Turns are counted from since, an instant
// that is the same, or nearly so, at all gateways. With a rank, no two gateways have the same turn.
func (s *slowStart) begin(e *engine, since, until, now time.Duration, random func() float64) {
	w := &e.warmUp
	if now >= w.until {
		w.budgetSpentUntil = max(w.budgetSpentUntil, now)
		w.turnsSince = since
		w.turnOffset = random()
		if s.rank > 0 {
			gateways := uint64(s.gateways)
			turn := (affinity(e.hash, 0) + uint64(s.rank)) % gateways
			w.turnOffset = float64(turn) / float64(gateways)
		}
	}
	w.until = until
}

// budgetMS returns the work that this gateway may send to a warming engine within one overload window, in
// milliseconds of thread time.
func (s *slowStart) budgetMS(e *engine) float64 {
	allGateways := warmUpBudgetMargin * s.overloadMultiple * s.minCapacity * e.cores * milliseconds(s.window)
	return allGateways / float64(s.gateways)
}

// windowsNeeded returns the number of overload windows whose budget a query of the expected work needs.
func (s *slowStart) windowsNeeded(workMS float64, e *engine) float64 {
	return warmUpCostFactor * workMS / s.budgetMS(e)
}

// allows reports whether a query of the expected work is within the engine's warm-up budget. A query that
// needs more than warmUpBurst of a window's budget may be sent once in as many windows as pay for it, and
// only during this gateway's turn. A turn lasts until that of the next gateway, or longer for small
// queries. Without turns, all gateways would spend the budgets that accumulate over these windows at the
// same time. heaviestMS is the expected work of a query of the heaviest class.
func (s *slowStart) allows(workMS, heaviestMS float64, e *engine, now time.Duration) bool {
	w := &e.warmUp
	if now < s.startedAt+s.window { // work sent before a restart of this gateway is unknown
		return false
	}
	windows := s.windowsNeeded(workMS, e)
	if windows <= warmUpBurst {
		return w.budgetSpentUntil <= now+time.Duration((warmUpBurst-windows)*float64(s.window))
	}
	cycle, maxTurn := s.turnCycle(windows, heaviestMS, e)
	sinceTurn := float64(now-w.turnsSince)/float64(s.window)/cycle - w.turnOffset
	turnLength := cycle / float64(s.gateways)
	turnLength = max(turnLength, min(warmUpBurst/turnLength, maxTurn))
	if turnLength > 1 { // a window lies between the queries of two gateways
		turnLength = max(turnLength-1, turnLength/2)
	}
	isTurn := sinceTurn >= 0 && math.Mod(sinceTurn, 1)*cycle < turnLength
	return w.budgetSpentUntil <= now && isTurn
}

// turnCycle returns the number of windows in which each gateway has one turn to send a query that needs the
// given number of windows, and the longest turn in windows. For queries that need much of the budget of all
// gateways, few of which may come at once, the turns must not overlap: those of all classes share the cycle
// of the heaviest class, and cycles are powers of two, so that gateways whose expectations differ agree.
func (s *slowStart) turnCycle(windows, heaviestMS float64, e *engine) (cycle, maxTurn float64) {
	ofAllGateways := windows / float64(s.gateways)
	if ofAllGateways < heavyFraction {
		return windows, math.Inf(1)
	}
	if ofAllGateways >= warmUpBurst {
		windows = max(windows, s.windowsNeeded(heaviestMS, e))
	}
	_, exponent := math.Frexp(windows)
	return math.Ldexp(1, exponent), maxHeavyTurn
}

// spend deducts the cost of a query of the expected work from the engine's warm-up budget.
func (s *slowStart) spend(workMS float64, e *engine, now time.Duration) {
	w := &e.warmUp
	cost := time.Duration(s.windowsNeeded(workMS, e) * float64(s.window))
	w.budgetSpentUntil = max(w.budgetSpentUntil, now) + cost
}

// isWithinBudget reports whether the budget of the engine, if it has one now, permits the query.
func (g *Gateway) isWithinBudget(q *query, e *engine) bool {
	if !g.slowStart.isWarmingUp(e, g.now) {
		return true
	}
	if q.budgetCost == (budgetCost{}) {
		q.budgetCost = budgetCost{workMS: g.sentWorkMS(q), heaviestMS: g.heaviestWorkMS()}
	}
	return g.slowStart.allows(q.budgetCost.workMS, q.budgetCost.heaviestMS, e, g.now)
}

// budgetCost is what the budgets of all engines take a query to need.
type budgetCost struct {
	workMS     float64 // expected work
	heaviestMS float64 // expected work of a query of the heaviest class
}

// heaviestWorkMS returns the expected work of a query of the class with the most work.
func (g *Gateway) heaviestWorkMS() (heaviest float64) {
	for _, c := range g.classes {
		heaviest = max(heaviest, c.workMS*c.unserved.factor(0))
	}
	return heaviest
}

// recordSentWork records that a statement of the attempt is sent to its engine, and charges it to the
// engine's budget, if it has one now.
func (g *Gateway) recordSentWork(a *attempt) {
	e := a.engine
	e.recentWork.record(sentWork{attempt: a, at: g.now}, g.slowStart.window)
	if g.slowStart.isWarmingUp(e, g.now) {
		g.slowStart.spend(g.sentWorkMS(a.query), e, g.now)
	}
}

// chargeRecentWork charges an engine's budget with what was sent to it within the latest overload window
// while it counted as warm. What was sent before its connection broke went to the process that has ended.
func (g *Gateway) chargeRecentWork(e *engine) {
	w := &e.warmUp
	if g.slowStart.window <= 0 || g.slowStart.isWarmingUp(e, g.now) {
		return
	}
	e.recentWork.prune(g.now - g.slowStart.window)
	for _, sent := range e.recentWork.sends {
		if sent.at > e.health.connectionLostAt {
			g.slowStart.spend(g.sentWorkMS(sent.attempt.query), e, sent.at)
		}
	}
	w.budgetSpentUntil = min(w.budgetSpentUntil, g.now+g.slowStart.window) // older work no longer counts
}
