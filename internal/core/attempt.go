package core

import (
	"time"

	"gannetspur/internal/timerqueue"
	"gannetspur/policy"
)

// minTimeout bounds the time-out of an attempt from below.
const minTimeout = time.Millisecond

// Attempt is one send of a request to one engine.
type Attempt struct {
	Request   *Request
	Engine    string        // by id: a new engine may have the address of a departed one
	Timeout   time.Duration // from SentAt
	SentAt    time.Duration
	MemoryMB  float64 // to grant; 0: the engine chooses
	Priority  int
	LinkState LinkState // of the links that carry it; nil once it has ended

	number        int // the policy's, counted from 0
	ended         bool
	neverRan      bool          // its outcome proves it
	written       bool          // its link was about to write it completely
	sitesNotified bool          // the remote sites have heard of it
	streaming     bool          // a part of its answer has come, and it goes on
	notAfter      time.Duration // it may not be written later; 0: no such limit
	timer         *timerqueue.Entry
}

// Ended tells whether the attempt is over.
func (a *Attempt) Ended() bool { return a.ended }

// NeverRan tells whether the attempt's outcome proves that it never ran.
func (a *Attempt) NeverRan() bool { return a.neverRan }

func (a *Attempt) mayHaveRun() bool { return !a.neverRan }

// MustAwaitEngine reports whether a cancelled attempt counts as in flight until its engine is
// certain to be through with it: its request is answered, and the next one of its SerialKey may go
// out only then. An engine that hangs reads a cancel once it is back; the pause that settings give
// a key covers the network alone. Where the request goes on, its own next attempt is not held up.
func (a *Attempt) MustAwaitEngine() bool { return a.Request.SerialKey != "" && a.Request.answered }

// send begins an attempt. Every attempt ends once, in EndAttempt, however its link fares.
func (c *Core) send(r *Request, s policy.Send) {
	a := &Attempt{
		Request: r, Engine: s.Engine, Timeout: s.Timeout, SentAt: c.clock.Now(),
		MemoryMB: r.grantedMB, Priority: r.priority, number: len(r.attempts) - r.firstAttempt,
	}
	a.notAfter = c.lastKeyedWrite(r)
	r.attempts = append(r.attempts, a)
	r.outstanding++
	c.counters.Add("sent." + r.Class)
	if len(r.attempts) > 1 {
		c.counters.Add("sent-again." + r.Class)
	}
	disconnected := r.answered // the policy asked before it heard of that
	overBudget := r.MaxSends > 0 && r.SendCount() > r.MaxSends
	if disconnected || overBudget {
		c.EndAttempt(a, OutcomeNotSent, Report{})
		return
	}
	if c.sites != nil {
		a.sitesNotified = true
		c.sites.AttemptStarted(a)
	}
	c.startTimeout(a, a.SentAt, s.Timeout)
	if c.observers.firstSend != nil && len(r.attempts) == 1 {
		c.observers.firstSend(r, a.SentAt)
	}
	c.links.Send(a)
}

// startTimeout has the attempt end as timed out, counted from a time.
func (c *Core) startTimeout(a *Attempt, from, timeout time.Duration) {
	a.timer = c.timers.Add(from+max(timeout, minTimeout), func() { c.cancel(a, OutcomeTimeout) })
}

// grant sets the memory of the next attempts, and the priority of all.
func (c *Core) grant(r *Request, g policy.Grant) {
	r.grantedMB = g.MemoryMB
	if r.priority == g.Priority {
		return
	}
	r.priority = g.Priority
	for _, a := range r.attempts {
		if !a.ended {
			a.Priority = g.Priority
			c.links.SetPriority(a, g.Priority)
		}
	}
}

// cancelByNumber gives one attempt up; an outcome that is on its way comes too late.
func (c *Core) cancelByNumber(r *Request, number int) {
	a := r.attempt(number)
	if a == nil || a.ended {
		return
	}
	c.cancel(a, OutcomeCancelled)
}

// cancel gives an attempt up, which ends it unless its engine has to be through with it first.
func (c *Core) cancel(a *Attempt, outcome Outcome) {
	over := c.links.Cancel(a)
	if !over {
		a.timer.Stop()
		c.counters.Add("settling." + a.Request.Class)
		return
	}
	if !a.written { // it waited for a connection all the time
		outcome = OutcomeNotSent
	}
	c.EndAttempt(a, outcome, Report{})
}

// ReportProgress tells the policy of an attempt that is out.
func (c *Core) ReportProgress(a *Attempt, kind policy.ProgressKind, value float64) {
	if a.ended {
		return
	}
	c.counters.Add("notes")
	c.notifyPolicy(policy.AttemptProgress{Query: a.Request.query, Attempt: a.number, Kind: kind, Value: value})
}

// BeginWrite is asked by links right before they write an attempt completely, and counts it: an attempt
// that was not written has never run. It ends as not sent where BeginWrite returns false: its
// client has disconnected or has its answer, the window of its idempotency key is about to close
// behind an earlier attempt that may have run, or its engine drains or was disabled while it
// waited for a connection.
func (c *Core) BeginWrite(a *Attempt) bool {
	if a.Request.answered || disconnected(a.Request.Client) {
		return false
	}
	windowClosed := a.notAfter > 0 && c.clock.Now() >= a.notAfter
	if windowClosed || !c.endpoints.usable(a.Engine) {
		return false
	}
	c.figures.attemptsWritten++
	a.written = true
	return true
}

func disconnected(client Client) bool {
	detector, ok := client.(DisconnectDetector)
	return ok && detector.Disconnected()
}
