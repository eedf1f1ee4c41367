package core

import (
	"time"

	"gannetspur/policy"
)

// Report is what came with the end of an attempt.
type Report struct {
	Result      Result        // the complete response, for frontends of the same wire protocol
	Work        time.Duration // that the engine spent; 0: not reported
	MemoryMB    float64       // that the engine used; 0: not reported
	LoadReport  policy.LoadReport
	EngineError error // for frontends of the same wire protocol; nil: there was none
}

// EndAttempt ends an attempt. The first call counts; a late answer behind a time-out or a cancel is
// ignored.
func (c *Core) EndAttempt(a *Attempt, outcome Outcome, rep Report) {
	if a.ended {
		c.counters.Add("end-ignored." + outcome.String())
		return
	}
	r := a.Request
	a.ended = true
	a.timer.Stop()
	a.LinkState = nil
	a.neverRan = outcome.PolicyResult().NeverRan()
	r.outstanding--
	c.counters.Add("ended." + outcome.String())
	if a.sitesNotified {
		c.sites.AttemptEnded(a, outcome, rep)
	}
	c.keepEngineError(a, rep.EngineError)
	c.observeCost(a, outcome, rep)
	c.answerByOutcome(r, outcome, rep)
	c.notifyPolicy(policy.AttemptEnded{
		Query: r.query, Attempt: a.number, Result: policyResult(a, outcome), Elapsed: c.clock.Now() - a.SentAt,
		Final: r.answered, Work: rep.Work, MemoryMB: rep.MemoryMB, Load: rep.LoadReport,
	})
	c.forgetIfDone(r)
}

// keepEngineError keeps an engine's latest error for the final answer. An attempt that never ran
// says nothing of a request that may have run before and is not safe to repeat: its error must not
// stand for that of the attempt in doubt.
func (c *Core) keepEngineError(a *Attempt, engineError error) {
	r := a.Request
	if a.mayHaveRun() || engineError != nil && !c.InDoubt(r) {
		r.engineError = engineError
	}
}

// observeCost tells the cost observer of an attempt. How long a stream took depends on its client.
func (c *Core) observeCost(a *Attempt, outcome Outcome, rep Report) {
	if c.observers.cost == nil || a.Request.CostContext == nil || a.streaming {
		return
	}
	elapsed := c.clock.Now() - a.SentAt
	switch outcome {
	case OutcomeServed:
		c.observers.cost.AttemptServed(a.Request, rep, elapsed)
	case OutcomeTimeout:
		c.observers.cost.AttemptTimedOut(a.Request, elapsed)
	}
}

// answerByOutcome gives the final answer where the outcome settles the request whatever the policy
// would do next.
func (c *Core) answerByOutcome(r *Request, outcome Outcome, rep Report) {
	switch outcome {
	case OutcomeServed:
		c.answer(r.query, Answer{Verdict: Served, Result: rep.Result})
	case OutcomeStatementRejected, OutcomeResultTooLarge: // another engine would say the same
		c.answer(r.query, Answer{Verdict: Failed})
	}
}

// policyResult is what the policy hears of an attempt's outcome. A stream that was served counts as
// cancelled: how long its client took says nothing of the engine.
func policyResult(a *Attempt, outcome Outcome) policy.Result {
	if a.streaming && outcome == OutcomeServed {
		return policy.ResultCancelled
	}
	return outcome.PolicyResult()
}
