package core

import "gannetspur/policy"

// End ends an attempt. The first call counts; a late answer after a time-out or
// a cancel is passed by.
func (c *Core) End(a *Attempt, end End, rep Report) {
	if a.ended {
		c.stats.Add("end-ignored." + end.String())
		return
	}
	a.ended = true
	a.timer.Stop()
	a.Link = nil
	r := a.Request
	r.out--
	a.neverRan = end.Result().NeverRan()
	c.stats.Add("ended." + end.String())
	if a.told {
		c.sites.Ended(a, end, rep)
	}
	// Of what may have run and is not safe to repeat, the word of an attempt that never
	// ran says nothing: it must not stand for the one in doubt.
	if !a.neverRan || rep.Detail != nil && !c.Doubt(r) {
		r.detail = rep.Detail
	}
	if c.learner != nil && r.Note != nil && !a.began {
		switch elapsed := c.clock.Now() - a.Sent; end {
		case EndServed:
			c.learner.Served(r, rep, elapsed)
		case EndTimeout:
			c.learner.GivenUp(r, elapsed)
		}
	}
	switch end {
	case EndServed:
		c.final(r.query, Answer{Verdict: Served, Result: rep.Result})
	case EndRejected, EndTooLarge: // another engine would say the same
		c.final(r.query, Answer{Verdict: Failed})
	}
	result := end.Result()
	if a.began && end == EndServed { // how long its client took tells nothing of the engine
		result = policy.ResultCancelled
	}
	c.tell(policy.AttemptEnded{
		Query: r.query, Attempt: a.n, Result: result, Elapsed: c.clock.Now() - a.Sent,
		Final: r.answered, Work: rep.Work, MemoryMB: rep.MemoryMB, Load: rep.Load,
	})
	c.forget(r)
}

// Note tells of an attempt that is out.
func (c *Core) Note(a *Attempt, kind policy.ProgressKind, value float64) {
	if a.ended {
		return
	}
	c.stats.Add("notes")
	c.tell(policy.AttemptProgress{Query: a.Request.query, Attempt: a.n, Kind: kind, Value: value})
}

// Probed ends a probe: the engine answered, with its load where it told that, or it did not.
func (c *Core) Probed(engine string, end End, load policy.LoadReport) {
	c.stats.Add("probes.ended." + end.String())
	c.tell(policy.LoadReportReceived{Engine: engine, Result: end.Result(), Load: load})
}

// forget drops a request that is answered and has nothing out, once no event
// waits: until then the module may still name it, and each send is owed an end.
func (c *Core) forget(r *Request) {
	switch {
	case !r.answered || r.out > 0:
	case c.busy:
		c.over = append(c.over, r)
	default:
		if _, ok := c.requests[r.query]; ok && c.learner != nil && r.Note != nil {
			c.learner.Over(r)
		}
		delete(c.requests, r.query)
	}
}
