package core

import (
	"slices"
	"time"

	"gannetspur/policy"
)

// RemoteSites takes requests to other sites, before the module hears of them or once it has turned
// them away. It is called on the core's goroutine, and may call back from within.
type RemoteSites interface {
	// ForwardOnArrival may take a request that has just come to another site, by Core.Forwarded,
	// or give it its final answer, by Core.CompleteForwarded. It reports whether it did either.
	ForwardOnArrival(r *Request) bool
	// ForwardRejected is the same for a request that the policy has just rejected.
	ForwardRejected(r *Request) bool
	// Drop gives up what is at another site: the request is over.
	Drop(r *Request)
	// AttemptStarted tells of an attempt at an engine of this site before it is made, Ended of its end.
	AttemptStarted(a *Attempt)
	AttemptEnded(a *Attempt, end Outcome, rep Report)
	// UpdateEngine tells of an engine's entry or of a change to it.
	UpdateEngine(e Engine)
}

// SetRemoteSites names who takes requests to other sites.
func (c *Core) SetRemoteSites(s RemoteSites) { c.sites = s }

// Forwarded marks that a request is at another site from now on, where no engine here has it. until
// is when it is given up at the latest. Exactly one of Settled, Here or the request's end follows.
func (c *Core) Forwarded(r *Request, until time.Duration) {
	c.stats.Add("away." + r.Class)
	r.crossed = c.clock.Now()
	r.away = c.timers.Add(until, func() {
		c.RecordRemoteSend(r, r.crossed)
		c.sites.Drop(r)
		c.CompleteForwarded(r, Answer{Verdict: Failed})
	})
}

// IsForwarded tells whether a request is at another site.
func (c *Core) IsForwarded(r *Request) bool { return r.away != nil }

// RecordRemoteSend marks that a request may have run at another site, where it was first sent at an
// instant.
func (c *Core) RecordRemoteSend(r *Request, at time.Duration) {
	if first := r.FirstSentAt(); first == 0 || at < first {
		r.PriorSentAt = at
	}
}

// CompleteForwarded gives a request its final answer on word of another site.
func (c *Core) CompleteForwarded(r *Request, a Answer) {
	r.away.Stop()
	r.away = nil
	if c.requests[r.query] != r || r.answered {
		return
	}
	c.final(r.query, a)
	c.leave(r) // a copy of it may be out here
}

// ReturnForwarded has the policy take a request back that was at another site. Where it may
// have run there, RecordRemoteSend was called.
func (c *Core) ReturnForwarded(r *Request) {
	r.away.Stop()
	r.away = nil
	if c.requests[r.query] != r || r.answered || r.admitted {
		return
	}
	if a := r.turned; a != nil { // the policy had a hedge of it, and has given that up
		c.final(r.query, *a)
		return
	}
	c.readmit(r)
}

// Hedge has the policy take a request that is still at another site as well: the first
// complete response ends the other.
func (c *Core) Hedge(r *Request) {
	if c.requests[r.query] != r || r.answered || r.admitted || r.turned != nil {
		return
	}
	c.readmit(r)
}

// readmit gives a request to the policy under a new query number: the policy has forgotten
// the one that it rejected.
func (c *Core) readmit(r *Request) {
	delete(c.requests, r.query)
	c.last++
	r.query, r.base = c.last, len(r.tries)
	c.requests[r.query] = r
	c.admit(r)
}

// bringBack ends what another site has of a request that is over.
func (c *Core) bringBack(r *Request) {
	if r.away == nil {
		return
	}
	r.away.Stop()
	r.away = nil
	c.sites.Drop(r)
}

// givenUp takes the module's word that a request is not to be served here. Another site may
// have it, or be given it.
func (c *Core) givenUp(query uint64, a Answer) {
	r := c.requests[query]
	if r == nil || r.answered {
		return
	}
	r.admitted = false
	switch {
	case r.away != nil: // its end there decides
		r.turned = &a
		return
	case c.sites == nil:
	case a.Verdict == Rejected && r.out == 0 && c.sites.ForwardRejected(r):
		return
	case a.Verdict == Rejected && c.InDoubt(r) && !c.harmless(r, a.RetryAfter):
		// The module knows nothing of what ran elsewhere.
		a = Answer{Verdict: Failed}
	}
	c.final(query, a)
}

// againSoon is how much later than the hint a client may try again that was refused.
const againSoon = time.Second

// harmless tells whether a request that may have run can be tried again without harm, by a
// client that heeds the hint.
func (c *Core) harmless(r *Request, comeBack time.Duration) bool {
	class := c.classes[r.Class]
	switch class.Idempotency {
	case policy.Idempotent:
		return true
	case policy.IdempotentWithKey:
		by := c.lastRepeat(r)
		return class.DedupScope == policy.DedupAll && (by == 0 || c.clock.Now()+comeBack+againSoon < by)
	}
	return false
}

// SendCount is how often a request was sent to an engine, at any site, as far as is known here.
func (r *Request) SendCount() int { return r.sends() }

func (r *Request) sends() int { return r.PriorSends + len(r.tries) }

// FirstSentAt is when a request that may have run was first sent, at any site; 0: none was.
func (r *Request) FirstSentAt() time.Duration {
	if r.PriorSentAt > 0 {
		return r.PriorSentAt
	}
	if i := slices.IndexFunc(r.tries, mayHaveRun); i >= 0 {
		return r.tries[i].SentAt
	}
	return 0
}

// MayHaveRunHere tells whether an engine of this site may have run it.
func (r *Request) MayHaveRunHere() bool { return slices.ContainsFunc(r.tries, mayHaveRun) }

// NeverRan tells whether an attempt's end proves that it never ran.
func (a *Attempt) NeverRan() bool { return a.neverRan }
