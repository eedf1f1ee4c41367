package core

import (
	"time"

	"gannetspur/policy"
)

// RemoteSites forwards requests to other sites, either when they arrive, before the policy sees them,
// or after the policy rejected them. Its methods may call the core back.
type RemoteSites interface {
	// ForwardOnArrival is called for each newly accepted request. It may forward the request, by
	// calling Core.Forwarded, or answer it, by calling Core.CompleteForwarded. It reports whether it
	// did either.
	ForwardOnArrival(r *Request) bool
	// ForwardRejected is the same for a request that the policy has just rejected.
	ForwardRejected(r *Request) bool
	// Drop cancels a forwarded request at the other site, because the request is over or its time
	// there has ended.
	Drop(r *Request)
	// AttemptStarted reports an attempt at an engine of this site, right before it is sent.
	AttemptStarted(a *Attempt)
	// AttemptEnded reports the end of an attempt that AttemptStarted reported.
	AttemptEnded(a *Attempt, outcome Outcome, report Report)
	// SharesDeduplication reports whether the engines of all sites drop each other's repeats of an idempotency
	// key.
	SharesDeduplication() bool
	// UpdateEngine adds an engine of this site to the endpoint list or changes its entry.
	UpdateEngine(e Engine)
}

// BeginForwarding is called right before a request is written to the link to another site, which may run it from
// then on. Forwarded or ForwardingFailed must follow.
func (c *Core) BeginForwarding(r *Request) {
	r.remote.forwardedAt = c.clock.Now()
	r.remote.begun = true
	c.changeSentKey(r, c.remoteAttempt(r, r.remote.forwardedAt), false)
	c.reportAttempts(r)
}

// ForwardingFailed reports that a request was not written to the link after BeginForwarding.
func (c *Core) ForwardingFailed(r *Request) {
	r.remote.begun = false
	c.changeSentKey(r, c.remoteAttempt(r, r.remote.forwardedAt), true)
	c.reportAttempts(r)
}

// Forwarded marks a request as forwarded to another site. No engine of this site may have an attempt
// of it in flight. Exactly one of the following ends this state: a call of CompleteForwarded, a call of
// ReturnForwarded, or the end of the request. If none has come by the time until, the core cancels the
// request at the other site and answers that it failed.
func (c *Core) Forwarded(r *Request, until time.Duration) {
	c.counters.Inc("away." + r.Class)
	c.recordSent(r)
	if !r.remote.begun {
		c.BeginForwarding(r)
	}
	r.remote.timer = c.timers.Add(until, func() {
		c.RecordRemoteSend(r, r.remote.forwardedAt)
		c.sites.Drop(r)
		c.CompleteForwarded(r, Answer{Verdict: Failed})
	})
}

// isForwarded reports whether a request is at another site.
func (c *Core) isForwarded(r *Request) bool { return r.remote.timer != nil }

// RecordRemoteSend records that a request may have run at another site, where it was first sent to an
// engine at the given time.
func (c *Core) RecordRemoteSend(r *Request, at time.Duration) {
	c.recordPriorAttempt(r, c.remoteAttempt(r, at))
}

// RecordRemoteNeverRan records that a request did not run at the other site that it was forwarded to last.
func (c *Core) RecordRemoteNeverRan(r *Request) {
	c.changeSentKey(r, c.remoteAttempt(r, r.remote.forwardedAt), true)
}

// RecordLocalSend records that a request may have run at an unknown engine of this site, to which it was first sent
// at the given time.
func (c *Core) RecordLocalSend(r *Request, at time.Duration) {
	class := c.classes[r.Class]
	c.recordPriorAttempt(r, policy.PriorAttempt{SentAt: at, Scope: class.DedupScope, Window: class.DedupWindow})
}

// CompleteForwarded gives a request the final answer of another site, and cancels its attempts here.
func (c *Core) CompleteForwarded(r *Request, a Answer) {
	r.remote.clear()
	if !c.requests.isOpen(r) {
		return
	}
	c.answer(r.queryNumber, a)
	c.cancelInFlight(r) // Hedge may have started an attempt here
}

// ReturnForwarded passes a request back to this site's policy, because the other site did not serve
// it. If the request may have run there, RecordRemoteSend must be called first. If Hedge has passed
// the request to the policy already, the policy continues with it, or its rejection of it becomes the
// final answer.
func (c *Core) ReturnForwarded(r *Request) {
	r.remote.clear()
	c.reportAttempts(r)
	if !c.requests.isOpen(r) || r.admitted {
		return
	}
	if r.remote.policyAnswer != nil {
		c.answer(r.queryNumber, *r.remote.policyAnswer)
		return
	}
	c.readmit(r)
}

// Hedge passes a request to this site's policy while it is still at another site. The first complete
// response is the answer, and the other execution is cancelled. Hedge does nothing if the policy has
// the request or has answered it already.
func (c *Core) Hedge(r *Request) {
	if !c.requests.isOpen(r) || r.admitted || r.remote.policyAnswer != nil {
		return
	}
	c.readmit(r)
}

// readmit passes a request to the policy under a new query number: the policy keeps nothing about a
// query that it rejected.
func (c *Core) readmit(r *Request) {
	c.requests.renumber(r)
	c.admit(r)
}

// dropForwarded cancels a request at the other site, if it is at one.
func (c *Core) dropForwarded(r *Request) {
	if !c.isForwarded(r) {
		return
	}
	r.remote.clear()
	c.sites.Drop(r)
}

// handlePolicyAnswer handles the policy's decision to reject or fail a request. It becomes the final
// answer, unless another site has the request or it can now be forwarded to one.
func (c *Core) handlePolicyAnswer(queryNumber uint64, a Answer) {
	r := c.requests.byNumber[queryNumber]
	if r == nil || r.answered {
		return
	}
	r.admitted = false
	switch {
	case c.isForwarded(r): // wait for the other site's answer
		r.remote.policyAnswer = &a
		return
	case c.sites == nil:
	case a.Verdict == Rejected && r.outstanding == 0 && c.sites.ForwardRejected(r):
		return
	case a.Verdict == Rejected && c.InDoubt(r) && !c.safeToRetry(r, a.RetryAfter):
		// The policy does not know that the request may have run at another site.
		a = Answer{Verdict: Failed}
	}
	c.answer(queryNumber, a)
}
