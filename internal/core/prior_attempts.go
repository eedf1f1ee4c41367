package core

import (
	"slices"
	"time"

	"gannetspur/policy"
)

// AttemptsThatMayHaveRun returns the sends after which a request may have run, those of other processes and at
// other sites included. Each one restricts where and until when a request with an idempotency key may be sent
// again.
func (c *Core) AttemptsThatMayHaveRun(r *Request) []policy.PriorAttempt {
	attempts := slices.Clone(r.PriorAttempts)
	for _, a := range r.attempts {
		if a.mayHaveRun() {
			attempts = append(attempts, c.describe(a))
		}
	}
	if r.remote.begun {
		attempts = append(attempts, c.remoteAttempt(r, r.remote.forwardedAt))
	}
	return attempts
}

// describe describes an attempt to other processes, and to later requests with its idempotency key.
func (c *Core) describe(a *Attempt) policy.PriorAttempt {
	class := c.classes[a.Request.Class]
	return policy.PriorAttempt{SentAt: a.SentAt, Placement: a.placement, Scope: class.DedupScope, Window: class.DedupWindow}
}

// remoteAttempt describes a send of a request to an engine of another site.
func (c *Core) remoteAttempt(r *Request, at time.Duration) policy.PriorAttempt {
	class := c.classes[r.Class]
	attempt := policy.PriorAttempt{SentAt: at, OtherSite: true, Scope: class.DedupScope, Window: class.DedupWindow}
	if !c.sharesDeduplicationAcrossSites() {
		attempt.Scope = policy.DedupCell
	}
	return attempt
}

// sharesDeduplicationAcrossSites reports whether engines here drop repeats of what engines of other sites have run.
func (c *Core) sharesDeduplicationAcrossSites() bool {
	return c.sites != nil && c.sites.SharesDeduplication()
}

// recordPriorAttempt adds an attempt to those of other processes and sites.
func (c *Core) recordPriorAttempt(r *Request, attempt policy.PriorAttempt) {
	if !slices.Contains(r.PriorAttempts, attempt) {
		r.PriorAttempts = append(r.PriorAttempts, attempt)
	}
}

// mayHaveRunElsewhere reports whether a process that died or another site may have run the request itself.
func (r *Request) mayHaveRunElsewhere() bool {
	return slices.ContainsFunc(r.PriorAttempts, func(a policy.PriorAttempt) bool { return !a.EarlierRequest })
}

// reportAttempts notifies the observer that AttemptsThatMayHaveRun has changed for a request.
func (c *Core) reportAttempts(r *Request) {
	if c.observers.attemptsChanged != nil && !r.answered {
		c.observers.attemptsChanged(r)
	}
}

// adoptPriorAttempts sets the attempts that a process that died made for a request. It reports whether a repeat may be
// possible: the class has the same idempotency here as there, as otherwise either the earlier attempt or the
// next one lacks the key by which engines would recognize the repeat.
func (c *Core) adoptPriorAttempts(r *Request, orphan *Orphan) bool {
	r.PriorAttempts = orphan.Attempts
	for i, attempt := range r.PriorAttempts {
		if attempt.OtherSite && !c.sharesDeduplicationAcrossSites() {
			r.PriorAttempts[i].Scope = policy.DedupCell
		}
	}
	return len(orphan.Attempts) == 0 || orphan.Idempotency == c.classes[r.Class].Idempotency
}
