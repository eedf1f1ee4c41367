package core

import "gannetspur/policy"

// policyLoop feeds events to the policy one at a time: a Gateway must not be called from within a
// call, so events that come up meanwhile wait.
type policyLoop struct {
	gateway *policy.Gateway
	waiting []policy.Event
	actions []policy.Action // reused by each call
	running bool
}

// notifyPolicy hands an event to the policy and carries out what it decides.
func (c *Core) notifyPolicy(ev policy.Event) {
	loop := &c.policy
	loop.waiting = append(loop.waiting, ev)
	if loop.running {
		return
	}
	loop.running = true
	for len(loop.waiting) > 0 {
		next := loop.waiting[0]
		loop.waiting = loop.waiting[1:]
		loop.actions = loop.gateway.Handle(c.clock.Now(), next, loop.actions[:0])
		for _, a := range loop.actions {
			c.execute(a)
		}
	}
	loop.waiting = loop.waiting[:0]
	loop.running = false
	c.forgetFinished()
}

// execute carries out one action of the policy. Actions on what is over are skipped, as the policy
// may not know yet.
func (c *Core) execute(action policy.Action) {
	switch a := action.(type) {
	case policy.Send:
		if r := c.requests.byQuery[a.Query]; r != nil {
			c.send(r, a)
		}
	case policy.Grant:
		if r := c.requests.byQuery[a.Query]; r != nil {
			c.grant(r, a)
		}
	case policy.Cancel:
		if r := c.requests.byQuery[a.Query]; r != nil {
			c.cancelByNumber(r, a.Attempt)
		}
	case policy.Reject:
		c.takePolicyAnswer(a.Query, Answer{Verdict: Rejected, RetryAfter: a.RetryAfter})
	case policy.Fail:
		c.takePolicyAnswer(a.Query, Answer{Verdict: Failed})
	case policy.SetTimer:
		c.timers.Add(c.clock.Now()+a.After, func() { c.notifyPolicy(policy.TimerFired{Token: a.Token}) })
	case policy.Log:
		c.log.Info("policy", "text", a.Text)
	case policy.RequestLoadReport:
		c.requestLoadReport(a.Engine)
	case policy.Subscribe: // the core is always subscribed
		c.counters.Add("policy.ignored")
	}
}

func (c *Core) requestLoadReport(engine string) {
	reporter, ok := c.links.(LoadReporter)
	if !ok { // engines of this wire protocol have no answer to it
		c.counters.Add("policy.ignored")
		return
	}
	c.counters.Add("probes.sent")
	reporter.RequestLoadReport(engine)
}

// EndLoadReport ends a request for a load report: the engine answered, with its load where it reported
// one, or it did not.
func (c *Core) EndLoadReport(engine string, outcome Outcome, load policy.LoadReport) {
	c.counters.Add("probes.ended." + outcome.String())
	c.notifyPolicy(policy.LoadReportReceived{Engine: engine, Result: outcome.PolicyResult(), Load: load})
}
