package core

import "time"

// RemoteSites forwards requests to other sites: when they arrive, before the policy hears of them,
// and once the policy has rejected them. It may call the core back from within its methods.
type RemoteSites interface {
	// ForwardOnArrival may take a request that has just come to another site, by Core.Forwarded,
	// or give it its final answer, by Core.CompleteForwarded. It reports whether it did either.
	ForwardOnArrival(r *Request) bool
	// ForwardRejected is the same for a request that the policy has just rejected.
	ForwardRejected(r *Request) bool
	// Drop gives up what is at another site: the request is over.
	Drop(r *Request)
	// AttemptStarted reports an attempt at an engine of this site before it is made.
	AttemptStarted(a *Attempt)
	// AttemptEnded reports its end.
	AttemptEnded(a *Attempt, outcome Outcome, rep Report)
	// UpdateEngine reports an engine's entry or a change to it.
	UpdateEngine(e Engine)
}

// Forwarded marks that a request is at another site from now on, while no engine here has it. It is
// given up there at the time until. Exactly one of CompleteForwarded, ReturnForwarded and the
// request's end follows.
func (c *Core) Forwarded(r *Request, until time.Duration) {
	c.counters.Add("away." + r.Class)
	r.remote.since = c.clock.Now()
	r.remote.timer = c.timers.Add(until, func() {
		c.RecordRemoteSend(r, r.remote.since)
		c.sites.Drop(r)
		c.CompleteForwarded(r, Answer{Verdict: Failed})
	})
}

// isForwarded tells whether a request is at another site.
func (c *Core) isForwarded(r *Request) bool { return r.remote.timer != nil }

// RecordRemoteSend marks that a request may have run at another site, where it was first sent at
// the given time.
func (c *Core) RecordRemoteSend(r *Request, at time.Duration) {
	if first := r.FirstSentAt(); first == 0 || at < first {
		r.PriorSentAt = at
	}
}

// CompleteForwarded gives a request the final answer of another site.
func (c *Core) CompleteForwarded(r *Request, a Answer) {
	r.remote.clear()
	if !c.requests.open(r) {
		return
	}
	c.answer(r.query, a)
	c.withdraw(r) // a hedge of it may be out here
}

// ReturnForwarded has the policy take a request back that was at another site. Where it may have
// run there, RecordRemoteSend was called.
func (c *Core) ReturnForwarded(r *Request) {
	r.remote.clear()
	if !c.requests.open(r) || r.admitted {
		return
	}
	if r.remote.policyAnswer != nil {
		c.answer(r.query, *r.remote.policyAnswer)
		return
	}
	c.readmit(r)
}

// Hedge has the policy take a request that is still at another site as well: the first complete
// response ends the other.
func (c *Core) Hedge(r *Request) {
	if !c.requests.open(r) || r.admitted || r.remote.policyAnswer != nil {
		return
	}
	c.readmit(r)
}

// readmit gives a request to the policy as a new query: the policy has forgotten the one that it
// rejected.
func (c *Core) readmit(r *Request) {
	c.requests.renumber(r)
	c.admit(r)
}

// abandonForwarded gives up what another site has of a request that is over.
func (c *Core) abandonForwarded(r *Request) {
	if !c.isForwarded(r) {
		return
	}
	r.remote.clear()
	c.sites.Drop(r)
}

// takePolicyAnswer takes the policy's answer to a request that is not to be served here. Another
// site may have the request, or be given it; otherwise it is the final answer.
func (c *Core) takePolicyAnswer(query uint64, a Answer) {
	r := c.requests.byQuery[query]
	if r == nil || r.answered {
		return
	}
	r.admitted = false
	switch {
	case c.isForwarded(r): // the other site's answer decides
		r.remote.policyAnswer = &a
		return
	case c.sites == nil:
	case a.Verdict == Rejected && r.outstanding == 0 && c.sites.ForwardRejected(r):
		return
	case a.Verdict == Rejected && c.InDoubt(r) && !c.safeToRetry(r, a.RetryAfter):
		// The policy knows nothing of what ran at another site.
		a = Answer{Verdict: Failed}
	}
	c.answer(query, a)
}
