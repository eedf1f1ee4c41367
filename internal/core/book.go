package core

import "gannetspur/policy"

// EndAttempt ends an attempt. The first call counts; a late answer after a time-out or
// a cancel is passed by.
func (c *Core) EndAttempt(a *Attempt, end Outcome, rep Report) {
	if a.ended {
		c.stats.Add("end-ignored." + end.String())
		return
	}
	a.ended = true
	a.timer.Stop()
	a.LinkState = nil
	r := a.Request
	r.out--
	a.neverRan = end.PolicyResult().NeverRan()
	c.stats.Add("ended." + end.String())
	if a.told {
		c.sites.AttemptEnded(a, end, rep)
	}
	// Of what may have run and is not safe to repeat, the word of an attempt that never
	// ran says nothing: it must not stand for the one in doubt.
	if !a.neverRan || rep.EngineError != nil && !c.InDoubt(r) {
		r.engineError = rep.EngineError
	}
	if c.learner != nil && r.CostContext != nil && !a.began {
		switch elapsed := c.clock.Now() - a.SentAt; end {
		case OutcomeServed:
			c.learner.AttemptServed(r, rep, elapsed)
		case OutcomeTimeout:
			c.learner.AttemptTimedOut(r, elapsed)
		}
	}
	switch end {
	case OutcomeServed:
		c.final(r.query, Answer{Verdict: Served, Result: rep.Result})
	case OutcomeStatementRejected, OutcomeResultTooLarge: // another engine would say the same
		c.final(r.query, Answer{Verdict: Failed})
	}
	result := end.PolicyResult()
	if a.began && end == OutcomeServed { // how long its client took tells nothing of the engine
		result = policy.ResultCancelled
	}
	c.tell(policy.AttemptEnded{
		Query: r.query, Attempt: a.n, Result: result, Elapsed: c.clock.Now() - a.SentAt,
		Final: r.answered, Work: rep.Work, MemoryMB: rep.MemoryMB, Load: rep.LoadReport,
	})
	c.forget(r)
}

// ReportProgress tells of an attempt that is out.
func (c *Core) ReportProgress(a *Attempt, kind policy.ProgressKind, value float64) {
	if a.ended {
		return
	}
	c.stats.Add("notes")
	c.tell(policy.AttemptProgress{Query: a.Request.query, Attempt: a.n, Kind: kind, Value: value})
}

// EndLoadReport ends a probe: the engine answered, with its load where it told that, or it did not.
func (c *Core) EndLoadReport(engine string, end Outcome, load policy.LoadReport) {
	c.stats.Add("probes.ended." + end.String())
	c.tell(policy.LoadReportReceived{Engine: engine, Result: end.PolicyResult(), Load: load})
}

// forget drops a request that is answered and has nothing out, once no event
// waits: until then the module may still name it, and each send is owed an end.
func (c *Core) forget(r *Request) {
	switch {
	case !r.answered || r.out > 0:
	case c.busy:
		c.over = append(c.over, r)
	default:
		if _, ok := c.requests[r.query]; ok && c.learner != nil && r.CostContext != nil {
			c.learner.RequestDone(r)
		}
		delete(c.requests, r.query)
	}
}
