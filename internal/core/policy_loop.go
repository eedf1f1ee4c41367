package core

import "gannetspur/policy"

// policyLoop passes events to the policy one at a time. Carrying out the policy's actions can cause
// further events. They are queued, because Gateway.Handle must not be called recursively.
type policyLoop struct {
	gateway *policy.Gateway
	pending []policy.Event  // events to handle next, in order
	actions []policy.Action // buffer reused by each call of Handle
	running bool            // notifyPolicy is running, further up the stack
}

// notifyPolicy passes an event to the policy and carries out the resulting actions.
func (c *Core) notifyPolicy(event policy.Event) {
	loop := &c.policy
	loop.pending = append(loop.pending, event)
	if loop.running {
		return
	}
	loop.running = true
	for len(loop.pending) > 0 {
		next := loop.pending[0]
		loop.pending = loop.pending[1:]
		loop.actions = loop.gateway.Handle(c.clock.Now(), next, loop.actions[:0])
		for _, a := range loop.actions {
			c.execute(a)
		}
	}
	loop.pending = loop.pending[:0]
	loop.running = false
	c.forgetFinished()
}

// execute carries out one action of the policy. It ignores actions on a request that has ended: the
// policy may not have learned of the end yet.
func (c *Core) execute(action policy.Action) {
	switch a := action.(type) {
	case policy.Send:
		if r := c.requests.byNumber[a.Query]; r != nil {
			c.send(r, a)
		}
	case policy.Grant:
		if r := c.requests.byNumber[a.Query]; r != nil {
			c.applyGrant(r, a)
		}
	case policy.Cancel:
		if r := c.requests.byNumber[a.Query]; r != nil {
			c.cancelByNumber(r, a.Attempt)
		}
	case policy.Reject:
		c.handlePolicyAnswer(a.Query, Answer{Verdict: Rejected, RetryAfter: a.RetryAfter})
	case policy.Fail:
		c.handlePolicyAnswer(a.Query, Answer{Verdict: Failed})
	case policy.SetTimer:
		c.setPolicyTimer(a)
	case policy.Log:
		c.log.Info("policy", "text", a.Text)
	case policy.SlowStartChanged:
		c.logSlowStart(a)
	case policy.RequestLoadReport:
		c.requestLoadReport(a.Engine)
	case policy.Subscribe: // the core is always subscribed
		c.counters.Inc("policy.ignored")
	}
}

// setPolicyTimer sets a timer of the policy. The timer of a request is stopped when the request is removed: clients
// may name a wait that is much longer than the time to the answer.
func (c *Core) setPolicyTimer(a policy.SetTimer) {
	timer := c.timers.Add(c.clock.Now()+a.After, func() { c.notifyPolicy(policy.TimerFired{Token: a.Token}) })
	queryNumber, ok := policy.QueryOfTimer(a.Token)
	if !ok {
		return
	}
	if r := c.requests.byNumber[queryNumber]; r != nil {
		r.policyTimer.Stop()
		r.policyTimer = timer
	}
}

// logSlowStart logs what the policy takes the slow start of an engine to be, and counts it by its evidence.
func (c *Core) logSlowStart(change policy.SlowStartChanged) {
	c.counters.Inc("slowstart." + string(change.Evidence))
	c.log.Info("slowstart", "engine", change.Engine, "evidence", string(change.Evidence),
		"warm_in", change.WarmIn, "before", change.PreviousWarmIn, "budget_spent_for", change.BudgetSpentFor,
		"sent", change.Sent.Statements, "retries", change.Sent.Retries, "work_ms", int64(change.Sent.WorkMS))
}

func (c *Core) requestLoadReport(engine string) {
	reporter, ok := c.backend.(LoadReporter)
	if !ok { // this wire protocol has no load reports
		c.counters.Inc("policy.ignored")
		return
	}
	c.counters.Inc("probes.sent")
	reporter.RequestLoadReport(engine)
}

// EndLoadReport ends a LoadReporter.RequestLoadReport. The outcome tells whether the engine answered;
// load is the reported load, if any.
func (c *Core) EndLoadReport(engine string, outcome Outcome, load policy.LoadReport) {
	c.counters.Inc("probes.ended." + outcome.String())
	c.notifyPolicy(policy.LoadReportReceived{Engine: engine, Result: outcome.PolicyResult(), Load: load})
}
