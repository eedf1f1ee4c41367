package policy

import "time"

// Parameters of presumed restarts.
const (
	// minRestartTime is the shortest time in which most engine processes can end and serve again.
	minRestartTime = 2 * time.Second
	// maxReportDelay is the longest time from a start until the engine list reports it.
	maxReportDelay = 7 * time.Second
)

// presumeRestart treats an engine as restarted after a failed connection, since the engine list reports a
// restart only seconds later.
func (g *Gateway) presumeRestart(e *engine, result Result) {
	w := &e.warmUp
	before := *w
	e.health.connectionLostAt = g.now
	evidence := RestartPresumed
	if result == ResultConnectFailed {
		evidence = RestartProven
		w.restartPresumed = false
	} else if !w.restartPresumed {
		w.restartPresumed = true
		w.previousUntil = w.until
	}
	until := max(w.until, g.now+g.slowStart.period)
	g.slowStart.begin(e, g.now, until, g.now, g.random.Float64)
	switch {
	case g.now >= before.until || w.restartPresumed != before.restartPresumed:
		g.reportSlowStart(e, evidence, &before)
	case g.now-before.reportedAt >= g.slowStart.window:
		g.reportSlowStart(e, BrokeInSlowStart, &before)
	}
}

// presumeUnreportedRestarts treats engines as restarted whose connections broke so shortly before the engine
// list was lost that it may not have reported a restart yet, although they have answered since.
func (g *Gateway) presumeUnreportedRestarts(silentFor time.Duration) {
	for _, e := range g.engines {
		w := &e.warmUp
		lostAt := e.health.connectionLostAt
		mayBeUnreported := lostAt > 0 && lostAt > g.now-silentFor-maxReportDelay
		if g.now < w.until || !mayBeUnreported || lostAt+g.slowStart.period <= g.now {
			continue
		}
		before := *w
		w.restartPresumed = true
		w.previousUntil = w.until
		g.chargeRecentWork(e)
		g.slowStart.begin(e, lostAt, lostAt+g.slowStart.period, g.now, g.random.Float64)
		g.reportSlowStart(e, RestartPresumed, &before)
	}
}

// disproveRestart withdraws a presumed restart after progress or a response of an attempt that was sent
// after the connection broke, sooner than most processes can restart. It prevents an engine that only lost
// a connection from being starved of queries. A faster restart is in the engine list soon, unless that is
// lost.
func (g *Gateway) disproveRestart(a *attempt) {
	e := a.engine
	w := &e.warmUp
	lostAt := e.health.connectionLostAt
	if !g.isListLost && w.restartPresumed && a.sentAt > lostAt && g.now < lostAt+minRestartTime {
		before := *w
		w.restartPresumed = false
		w.until = w.previousUntil
		g.reportSlowStart(e, RestartDisproved, &before)
	}
}
