package policy

import (
	"fmt"
	"slices"
	"time"
)

// Parameters of outlier detection.
const (
	// silenceIntervals is the number of progress intervals without progress after which an engine counts as
	// silent.
	silenceIntervals = 2.6
	// lostResponseIntervals is the same for one attempt while others on the engine make progress.
	lostResponseIntervals = 2.2
	// lostWaitingIntervals is the same for an attempt that waits: engines report less often on these.
	lostWaitingIntervals = 13.0
	// lostResponsesToBlock is the number of lost responses of a class that block the class on an engine.
	lostResponsesToBlock = 2
	// The following are the weights of one failure in the fault rate, which is from 0 to 1.
	failedConnectionWeight = 0.4
	errorWeight            = failedConnectionWeight / 2
	overdueWeight          = failedConnectionWeight / 4
	// ejectionFaultRate is the fault rate above which an engine is ejected.
	ejectionFaultRate = 0.6
	// faultDecayPeriods is the number of control periods in which a fault rate decays to 1/e.
	faultDecayPeriods = 40
	// trialIntervalFactor is the time between the trials of an ejected engine, in multiples of the silence
	// timeout.
	trialIntervalFactor = 2
	// readmittedLimitDivisor divides the baseline to give the limit of a readmitted engine.
	readmittedLimitDivisor = 4
)

// ejectionReason is the reason for an ejection, as it is logged.
type ejectionReason string

const (
	ejectedForConnections ejectionReason = "connections fail"
	ejectedForErrors      ejectionReason = "it answers with errors"
	ejectedForSilence     ejectionReason = "all attempts are silent"
	ejectedForOverdue     ejectionReason = "responses are overdue"
)

// health is the outlier detection state of one engine. An ejected engine receives only trial queries.
type health struct {
	lastHeard        time.Duration // time of the latest message from the engine
	connectionLostAt time.Duration // time of the latest failed connection; 0: never
	faultRate        float64       // fraction of recent attempts that failed
	ejected          bool
	// ejectedForFaults is set if faults, not silence, caused the ejection. The engine must then serve a
	// query before it is readmitted.
	ejectedForFaults bool
	nextTrialAt      time.Duration // earliest time of the next trial of an ejected engine
	// lostResponses counts the lost responses of each class since the latest progress or response of the
	// class.
	lostResponses map[*class]int
	// blockedUntil holds, for each blocked class, the earliest time of the next trial.
	blockedUntil map[*class]time.Duration
}

// decayFaultRate lowers the fault rate by one control period. Without decay, an engine that is avoided
// because of its faults would be avoided forever.
func (h *health) decayFaultRate() { h.faultRate -= h.faultRate / faultDecayPeriods }

// detectSilence ejects an engine that has sent no message for the silence timeout while at least two of its
// attempts are silent, or for twice as long while only one is. Attempts that stream do not count. It detects
// hung engines and broken network paths. Time in which the gateway process itself was paused does not count,
// as a pause makes all engines appear silent at once. Where engines report no progress, it checks for
// overdue attempts instead.
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

// checkLostResponse retries a query if its engine has long reported no progress of it but still reports on
// other queries. It detects responses that never arrive, and engines where one class is stuck while others
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
	if g.now-e.health.lastHeard > g.silenceTimeout { // handled by detectSilence: the whole engine is silent
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

// checkOverdue replaces the checks of progress where engines report none. It moves an attempt that has
// taken longer than the usual variation of the latency explains, provided that a new attempt can still meet
// the latency objective. It detects lost responses, bad plans and hung engines.
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

// isBlocked reports whether a class is blocked on the engine because it is stuck there. After a while, one
// query of the class at a time may run as a trial.
func (g *Gateway) isBlocked(e *engine, c *class) bool {
	h := &e.health
	if h.lostResponses[c] < lostResponsesToBlock {
		return false
	}
	return g.now < h.blockedUntil[c] || slices.ContainsFunc(e.inFlight, func(a *attempt) bool {
		return a.query.class == c && a.sentAt >= h.blockedUntil[c]
	})
}

// recordContact records progress or a response of an attempt, which shows that the engine is up and that
// the class runs on it.
func (g *Gateway) recordContact(a *attempt) {
	delete(a.engine.health.lostResponses, a.query.class)
	g.readmit(a.engine)
	g.disproveRestart(a)
}

// recordFault adds an error or a failed connection to the engine's fault rate, and ejects the engine if the
// rate is too high. A single fault ejects no engine. The rate catches crashed engines and those that fail
// fast, which would otherwise seem to have the most free capacity.
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

// readmit ends the ejection of an engine that has sent a message, and starts it with a low limit. An engine
// that was ejected for faults must serve a query first.
func (g *Gateway) readmit(e *engine) {
	if !e.health.ejected || e.health.ejectedForFaults {
		return
	}
	e.health.ejected = false
	e.limit = max(minLimit, e.baseline/readmittedLimitDivisor)
	g.emit(Log{Text: fmt.Sprintf("engine %s readmitted", e.id)})
}

// startTrial reports whether an ejected engine may get the query as a trial, which shows whether the engine
// has recovered, and schedules the next trial. A trial is the first attempt of an idempotent query, and the
// only attempt in flight at the engine.
func (g *Gateway) startTrial(q *query, e *engine) bool {
	isOnly := len(e.inFlight)+len(q.attempts) == 0
	if q.class.Idempotency != Idempotent || !isOnly || g.now < e.health.nextTrialAt || !g.maySend(q, e) {
		return false
	}
	e.health.nextTrialAt = g.now + trialIntervalFactor*g.silenceTimeout
	return true
}

// recordConnectionFailure records a connection that failed or broke. Attempts that end together because one
// connection broke count as a single fault.
func (g *Gateway) recordConnectionFailure(e *engine, result Result) {
	isNewFault := g.now-e.health.connectionLostAt >= tickInterval || result != ResultConnectionLost
	if isNewFault {
		g.recordFault(e, failedConnectionWeight, ejectedForConnections)
	}
	// If the engine has just sent a message on another connection, only the new connection is slow.
	if result == ResultConnectTimeout && g.now-e.health.lastHeard < minRestartTime {
		return
	}
	g.presumeRestart(e, result)
}
