package core

import (
	"time"

	"gannetspur/policy"
)

// Report is the data that arrived with the end of an attempt or with a part of its answer.
type Report struct {
	Result      Result            // the response, in the form of the wire protocol; nil if there is none
	Work        time.Duration     // processing time reported by the engine; 0: not reported
	MemoryMB    float64           // memory use reported by the engine; 0: not reported
	LoadReport  policy.LoadReport // load reported by the engine; see LoadReport.Reported
	EngineError error             // the engine's error, in the form of the wire protocol; nil if there is none
}

// EndAttempt ends an attempt. Only the first call for an attempt counts: an answer that arrives after
// a timeout or cancellation is ignored.
func (c *Core) EndAttempt(a *Attempt, outcome Outcome, report Report) {
	if a.ended {
		c.counters.Inc("end-ignored." + outcome.String())
		return
	}
	r := a.Request
	a.ended = true
	a.timer.Stop()
	a.BackendState = nil
	a.neverRan = policyResult(a, outcome).NeverRan()
	r.outstanding--
	c.counters.Inc("ended." + outcome.String())
	if a.sitesNotified {
		c.sites.AttemptEnded(a, outcome, report)
	}
	if a.neverRan {
		c.changeSentKey(r, c.describe(a), true)
		c.reportAttempts(r)
	}
	c.recordEngineError(a, report.EngineError)
	c.observeCost(a, outcome, report)
	c.answerByOutcome(r, outcome, report)
	c.notifyPolicy(policy.AttemptEnded{
		Query: r.queryNumber, Attempt: a.number, Result: policyResult(a, outcome), Elapsed: c.clock.Now() - a.SentAt,
		Final: r.answered, Work: report.Work, MemoryMB: report.MemoryMB, Load: report.LoadReport,
	})
	c.forgetIfDone(r)
}

// recordEngineError stores the engine's error for the final answer. An attempt that may have run
// replaces the stored error, by none if it has none. The error of an attempt that never ran replaces
// it only if the request is not in doubt: otherwise the client would conclude that the request had no
// effect, although an earlier attempt may have run.
func (c *Core) recordEngineError(a *Attempt, engineError error) {
	r := a.Request
	if a.mayHaveRun() || engineError != nil && !c.InDoubt(r) {
		r.engineError = engineError
	}
}

// observeCost notifies the cost observer of an attempt's end. It skips streaming attempts, whose
// duration depends on the client.
func (c *Core) observeCost(a *Attempt, outcome Outcome, report Report) {
	if c.observers.cost == nil || a.Request.CostContext == nil || a.streaming {
		return
	}
	elapsed := c.clock.Now() - a.SentAt
	switch outcome {
	case OutcomeServed:
		c.observers.cost.AttemptServed(a.Request, report, elapsed)
	case OutcomeTimeout:
		c.observers.cost.AttemptTimedOut(a.Request, elapsed)
	}
}

// answerByOutcome gives the final answer if the outcome alone determines it, regardless of the
// policy.
func (c *Core) answerByOutcome(r *Request, outcome Outcome, report Report) {
	switch outcome {
	case OutcomeServed:
		c.answer(r.queryNumber, Answer{Verdict: Served, Result: report.Result})
	case OutcomeStatementRejected, OutcomeResultTooLarge: // another engine would give the same result
		c.answer(r.queryNumber, Answer{Verdict: Failed})
	}
}

// policyResult returns the result that is reported to the policy for an attempt's outcome. A served
// streaming attempt is reported as cancelled, because its duration depends on the client and must not
// count for or against the engine. The outcome of a streaming attempt concerns its last statement, so
// it never proves that the attempt did not run: the statements before have run.
func policyResult(a *Attempt, outcome Outcome) policy.Result {
	result := outcome.PolicyResult()
	switch {
	case !a.streaming:
		return result
	case outcome == OutcomeServed:
		return policy.ResultCancelled
	case result.NeverRan():
		return policy.ResultUnknown
	}
	return result
}
