package core

import (
	"slices"
	"time"

	"gannetspur/policy"
)

// RemoteSites takes requests to other sites, before the module hears of them or once it has turned
// them away. It is called on the core's goroutine, and may call back from within.
type RemoteSites interface {
	// Forward may take a request to another site, by Away, or settle it, by Settled. It tells
	// whether it did either. turned: the module has just turned it away.
	Forward(r *Request, turned bool) bool
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

// ReturnForwarded has the module take a request that was at another site, or is there still (copy). Where
// it may have run there, Crossed was called.
func (c *Core) ReturnForwarded(r *Request, copy bool) {
	if !copy {
		r.away.Stop()
		r.away = nil
	}
	if c.requests[r.query] != r || r.answered || r.admitted {
		return
	}
	if a := r.turned; a != nil { // the module had a copy of it, and has given that up
		if !copy {
			c.final(r.query, *a)
		}
		return
	}
	// To the module it is a new query: it has forgotten the one that it turned away.
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
	case a.Verdict == Rejected && r.out == 0 && c.sites.Forward(r, true):
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
