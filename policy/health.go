package policy

import (
	"fmt"
	"slices"
	"time"
)

const (
	silenceIntervals       = 2.6  // progress intervals without progress after which an engine is silent
	lostResponseIntervals  = 2.2  // the same for one attempt, while others make progress
	lostWaitingIntervals   = 13.0 // the same for an attempt that waits, of which engines report less often
	lostResponsesToBlock   = 2    // lost responses of a class that block it on an engine
	failedConnectionWeight = 0.4  // in the fault rate
	errorWeight            = failedConnectionWeight / 2
	overdueWeight          = failedConnectionWeight / 4
	ejectionFaultRate      = 0.6
	faultFadeTicks         = 40 // resizes over which a fault rate fades
	trialIntervalFactor    = 2  // silence timeouts between the trials of an ejected engine
	readmittedLimitDivisor = 4  // of the baseline
)

// ejectionReason is why an engine was ejected, for the log.
type ejectionReason string

const (
	ejectedForConnections ejectionReason = "connections fail"
	ejectedForErrors      ejectionReason = "it answers with errors"
	ejectedForSilence     ejectionReason = "all attempts are silent"
	ejectedForOverdue     ejectionReason = "responses are overdue"
)

// health is the outlier detection of one engine. An ejected engine gets trials alone.
type health struct {
	lastHeard        time.Duration // latest message from it
	connectionLostAt time.Duration // 0: never
	faultRate        float64       // fraction of its latest attempts that failed
	ejected          bool
	ejectedForFaults bool // not for silence: it must serve before it is readmitted
	nextTrialAt      time.Duration
	lostResponses    map[*class]int           // since the latest progress or response of the class
	blockedUntil     map[*class]time.Duration // for classes that are blocked, the time of the next trial
}

// fade lowers the fault rate with time: an engine that is avoided for its faults would be so for ever.
func (h *health) fade() { h.faultRate -= h.faultRate / faultFadeTicks }

// detectSilence ejects an engine when all its attempts have gone silent, a single one for twice as long.
// Guards against hung engines and broken network paths. Time in which this gateway itself was paused doesn't
// count, as it silences all engines at once.
func (g *Gateway) detectSilence(e *engine) {
	if len(e.inFlight) == 0 {
		return
	}
	silentAttempts := 0
	for _, a := range e.inFlight {
		if g.settings.ProgressInterval == 0 {
			g.checkOverdue(a)
		} else if !a.streaming {
			if g.now-max(a.lastHeard, g.ticker.resumedAt) > g.silenceTimeout {
				silentAttempts++
			}
			g.checkLostResponse(a)
		}
	}
	silence := g.now - max(e.health.lastHeard, e.inFlight[0].sentAt, g.ticker.resumedAt)
	isSilent := silentAttempts >= 2 && silence > g.silenceTimeout ||
		silentAttempts == 1 && silence > 2*g.silenceTimeout
	if !isSilent {
		return
	}
	g.eject(e, ejectedForSilence)
	for _, a := range e.inFlight {
		if a.query.class.Idempotency == Idempotent {
			g.retryElsewhere(a)
		}
	}
}

// checkLostResponse retries a query whose engine reports progress of others and has long reported none of it.
// Guards against responses that never arrive, and against an engine where one class is stuck while others
// run.
func (g *Gateway) checkLostResponse(a *attempt) {
	e, c := a.engine, a.query.class
	intervals := lostResponseIntervals
	if a.waiting {
		intervals = lostWaitingIntervals
	}
	silence := float64(g.now - max(a.lastHeard, g.ticker.resumedAt))
	if silence < intervals*float64(g.settings.ProgressInterval) || a.lostResponse || a.cancelled {
		return
	}
	if g.now-e.health.lastHeard > g.silenceTimeout { // the whole engine is silent
		return
	}
	a.lostResponse = true
	e.health.lostResponses[c]++
	if e.health.lostResponses[c] >= lostResponsesToBlock {
		e.health.blockedUntil[c] = g.now + trialIntervalFactor*g.silenceTimeout
	}
	if c.Idempotency != NotIdempotent {
		g.retryElsewhere(a)
	}
}

// checkOverdue stands in for progress where engines report none: an attempt that takes longer than responses
// scatter is moved while a new one can meet the objective. Guards against lost responses, bad plans and hung
// engines.
func (g *Gateway) checkOverdue(a *attempt) {
	q := a.query
	elapsed := milliseconds(g.now - max(a.sentAt, g.ticker.resumedAt))
	expected := q.expectedLatency()
	isOverdue := elapsed > expected*(1+deviationsUntilOverdue*q.class.latencyDeviation)
	if !isOverdue || q.class.Idempotency != Idempotent {
		return
	}
	sinceFirst := milliseconds(g.now - q.attempts[0].sentAt)
	if sinceFirst+expected < q.latencyObjective() && g.moveAttempt(a) {
		g.recordFault(a.engine, overdueWeight, ejectedForOverdue)
	}
}

// isBlocked tells whether a class is stuck on the engine. After a while one query at a time is a trial.
func (g *Gateway) isBlocked(e *engine, c *class) bool {
	h := &e.health
	if h.lostResponses[c] < lostResponsesToBlock {
		return false
	}
	return g.now < h.blockedUntil[c] || slices.ContainsFunc(e.inFlight, func(a *attempt) bool {
		return a.query.class == c && a.sentAt >= h.blockedUntil[c]
	})
}

// recordContact notes progress or a response of an attempt: the engine is up, and the class runs on it.
func (g *Gateway) recordContact(a *attempt) {
	delete(a.engine.health.lostResponses, a.query.class)
	g.readmit(a.engine)
	g.disproveRestart(a)
}

// recordFault counts an error or a failed connection; a single one ejects nobody. Guards against crashed
// engines and against those that fail fast, which would look like the ones with the most room.
func (g *Gateway) recordFault(e *engine, weight float64, reason ejectionReason) {
	h := &e.health
	h.faultRate += (1 - h.faultRate) * weight
	if h.faultRate > ejectionFaultRate {
		h.ejectedForFaults = true
		g.eject(e, reason)
	}
}

func (g *Gateway) eject(e *engine, reason ejectionReason) {
	if e.health.ejected {
		return
	}
	e.health.ejected = true
	e.health.nextTrialAt = g.now + trialIntervalFactor*g.silenceTimeout
	text := fmt.Sprintf("engine %s ejected: %s; %d attempts in flight", e.id, reason, len(e.inFlight))
	g.emit(Log{Text: text})
}

// readmit ends an ejection on a message from the engine, with a small limit. An engine that was ejected for
// faults must serve a query first.
func (g *Gateway) readmit(e *engine) {
	if !e.health.ejected || e.health.ejectedForFaults {
		return
	}
	e.health.ejected = false
	e.limit = max(minLimit, e.baseline/readmittedLimitDivisor)
	g.emit(Log{Text: fmt.Sprintf("engine %s readmitted", e.id)})
}

// takeTrial lets an ejected engine have one idempotent query now and then, to find out whether it is back.
func (g *Gateway) takeTrial(q *query, e *engine) bool {
	isIdle := len(e.inFlight)+len(q.attempts) == 0
	if q.class.Idempotency != Idempotent || !isIdle || g.now < e.health.nextTrialAt || !g.maySend(q, e) {
		return false
	}
	e.health.nextTrialAt = g.now + trialIntervalFactor*g.silenceTimeout
	return true
}

// recordConnectionFailure counts a connection that failed or broke. Attempts that end together on one broken
// connection are one fault.
func (g *Gateway) recordConnectionFailure(e *engine, result Result) {
	isNewFault := g.now-e.health.connectionLostAt >= tickInterval || result != ResultConnectionLost
	if isNewFault {
		g.recordFault(e, failedConnectionWeight, ejectedForConnections)
	}
	// Where the engine has just spoken on another connection, this one alone is late.
	if result == ResultConnectTimeout && g.now-e.health.lastHeard < minRestartTime {
		return
	}
	g.presumeRestart(e, result)
}
