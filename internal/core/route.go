package core

import "gannetspur/policy"

// route carries out one action of the module. Actions on what is over are
// passed by, as the module may not know yet.
func (c *Core) route(action policy.Action) {
	switch a := action.(type) {
	case policy.Send:
		if r := c.requests[a.Query]; r != nil {
			c.send(r, a)
		}
	case policy.Grant:
		if r := c.requests[a.Query]; r != nil {
			c.grant(r, a)
		}
	case policy.Cancel:
		if r := c.requests[a.Query]; r != nil {
			c.cancel(r, a.Attempt)
		}
	case policy.Reject:
		c.givenUp(a.Query, Answer{Verdict: Rejected, RetryAfter: a.RetryAfter})
	case policy.Fail:
		c.givenUp(a.Query, Answer{Verdict: Failed})
	case policy.SetTimer:
		c.timers.Add(c.clock.Now()+a.After, func() { c.tell(policy.TimerFired{Token: a.Token}) })
	case policy.Log:
		c.log.Info("policy", "says", a.Text)
	case policy.RequestLoadReport:
		if p, ok := c.links.(LoadReporter); ok {
			c.stats.Add("probes.sent")
			p.RequestLoadReport(a.Engine)
		} else { // engines of this wire have no answer to one
			c.stats.Add("policy.ignored")
		}
	case policy.Subscribe: // the roster tells unasked
		c.stats.Add("policy.ignored")
	}
}
