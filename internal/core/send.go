package core

import (
	"time"

	"gannetspur/policy"
)

// windowMargin is how long before the end of a key's window the last repeat is
// written, so that it arrives within it.
const windowMargin = 50 * time.Millisecond

// send begins an attempt. Every attempt ends once, in EndAttempt, however its link fares.
func (c *Core) send(r *Request, s policy.Send) {
	a := &Attempt{
		Request: r, Engine: s.Engine, Timeout: s.Timeout, SentAt: c.clock.Now(),
		MemoryMB: r.grant, Priority: r.priority, n: len(r.tries) - r.base,
	}
	a.notAfter = c.lastRepeat(r)
	r.tries = append(r.tries, a)
	r.out++
	c.stats.Add("sent." + r.Class)
	if len(r.tries) > 1 {
		c.stats.Add("sent-again." + r.Class)
	}
	if r.answered { // the module asked before it heard that the client has left
		c.EndAttempt(a, OutcomeNotSent, Report{})
		return
	}
	if r.MaxSends > 0 && r.sends() > r.MaxSends { // repeats don't multiply over sites
		c.EndAttempt(a, OutcomeNotSent, Report{})
		return
	}
	if c.sites != nil {
		a.told = true
		c.sites.AttemptStarted(a)
	}
	a.timer = c.timers.Add(a.SentAt+max(s.Timeout, time.Millisecond), func() { c.drop(a, OutcomeTimeout) })
	if c.sending != nil && len(r.tries) == 1 {
		c.sending(r, a.SentAt)
	}
	c.links.Send(a)
}

// lastRepeat is when a keyed request may be written again at the latest; 0 where
// nothing of it may have run. The module holds the window too, but not the time
// that a connection takes to come up: a repeat must not wait it out.
func (c *Core) lastRepeat(r *Request) time.Duration {
	class := c.classes[r.Class]
	if class.Idempotency != policy.IdempotentWithKey {
		return 0
	}
	if r.PriorSentAt > 0 {
		return max(r.PriorSentAt+class.DedupWindow-windowMargin, 1)
	}
	for _, a := range r.tries {
		if !a.neverRan {
			return max(a.SentAt+class.DedupWindow-windowMargin, 1)
		}
	}
	return 0
}

// grant sets what the next sends get, and the priority of those that are out.
func (c *Core) grant(r *Request, g policy.Grant) {
	r.grant = g.MemoryMB
	if r.priority == g.Priority {
		return
	}
	r.priority = g.Priority
	for _, a := range r.tries {
		if !a.ended {
			a.Priority = g.Priority
			c.links.SetPriority(a, g.Priority)
		}
	}
}

// cancel gives one attempt up; an end that is on its way comes too late.
func (c *Core) cancel(r *Request, n int) {
	n += r.base
	if n < r.base || n >= len(r.tries) || r.tries[n].ended {
		return
	}
	c.drop(r.tries[n], OutcomeCancelled)
}

// drop gives an attempt up, which ends it unless it has to be certain that its engine is through with it.
func (c *Core) drop(a *Attempt, end Outcome) {
	if c.links.Cancel(a) {
		if !a.wrote { // it waited for a connection all the time
			end = OutcomeNotSent
		}
		c.EndAttempt(a, end, Report{})
		return
	}
	a.timer.Stop()
	c.stats.Add("settling." + a.Request.Class)
}

// MustAwaitEngine tells whether an attempt that is given up counts as out until its engine is certain to be
// through with it: its request is answered, and the next of its key may go out only then. An engine that
// hangs reads a cancel when it is back; the rest that settings give a key covers the way there alone. Where
// the request goes on, its own next attempt is not held up.
func (a *Attempt) MustAwaitEngine() bool { return a.Request.SerialKey != "" && a.Request.answered }
