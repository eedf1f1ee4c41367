package core

import (
	"time"

	"gannetspur/internal/timerqueue"
	"gannetspur/policy"
)

// minTimeout is the shortest timeout of an attempt. Shorter timeouts are raised to it.
const minTimeout = time.Millisecond

// Attempt is one send of a request to one engine.
type Attempt struct {
	Request      *Request
	Engine       string        // engine id, not an address: a new engine may reuse that of a departed one
	Timeout      time.Duration // time from SentAt in which the engine has to answer
	SentAt       time.Duration // time on the core's clock
	MemoryMB     float64       // memory granted to the attempt; 0: the engine chooses
	Priority     int           // priority granted by the policy
	BackendState BackendState  // state kept by the backend; nil once the attempt has ended

	placement     policy.Placement // of the engine when the attempt was sent; empty if it is not listed
	number        int              // the policy's number of the attempt within its query, from 0
	ended         bool
	neverRan      bool              // the outcome proves that the engine did not run it; false if streaming
	written       bool              // BeginWrite returned true: the backend may have written it completely
	sitesNotified bool              // RemoteSites.AttemptStarted was called
	streaming     bool              // a part of its answer was relayed, and more follow
	writeDeadline time.Duration     // from this time on it may not be written; 0: no limit
	timer         *timerqueue.Timer // ends the attempt as timed out
}

// Ended reports whether the attempt has ended.
func (a *Attempt) Ended() bool { return a.ended }

// NeverRan reports whether the attempt ended with an outcome that proves that it never ran.
func (a *Attempt) NeverRan() bool { return a.neverRan }

func (a *Attempt) mayHaveRun() bool { return !a.neverRan }

// MustAwaitEngine reports whether a cancelled attempt stays in flight until its engine can no longer
// run it. This holds for an answered request with a SerialKey: the next request with that key must
// not be sent before. A hung engine reads the cancellation only when it resumes, and the pause
// between requests of a key, which the settings define, covers network delays only. The next attempt
// of the same request does not have to wait.
func (a *Attempt) MustAwaitEngine() bool { return a.Request.SerialKey != "" && a.Request.answered }

// send starts an attempt. Every attempt ends exactly once, in EndAttempt, also if it can't be sent
// or its connection breaks.
func (c *Core) send(r *Request, s policy.Send) {
	a := &Attempt{
		Request: r, Engine: s.Engine, Timeout: s.Timeout, SentAt: c.clock.Now(),
		MemoryMB: r.grantedMB, Priority: r.priority, placement: c.endpoints.placement(s.Engine), number: len(r.attempts) - r.firstAttempt,
	}
	a.writeDeadline = c.keyedWriteDeadline(r)
	r.attempts = append(r.attempts, a)
	r.outstanding++
	c.counters.Inc("sent." + r.Class)
	if len(r.attempts) > 1 {
		c.counters.Inc("sent-again." + r.Class)
	}
	alreadyAnswered := r.answered // the policy decided on the send before it learned of the answer
	overBudget := r.MaxSends > 0 && r.SendCount() > r.MaxSends
	if alreadyAnswered || overBudget {
		c.EndAttempt(a, OutcomeNotSent, Report{})
		return
	}
	if c.sites != nil {
		a.sitesNotified = true
		c.sites.AttemptStarted(a)
	}
	c.recordSent(r)
	c.changeSentKey(r, c.describe(a), false)
	c.startTimeout(a, a.SentAt, s.Timeout)
	c.reportAttempts(r)
	c.backend.Send(a)
}

// startTimeout sets the timer that ends the attempt as timed out. The timeout begins at the time
// start, and is at least minTimeout.
func (c *Core) startTimeout(a *Attempt, start, timeout time.Duration) {
	a.timer = c.timers.Add(start+max(timeout, minTimeout), func() { c.cancel(a, OutcomeTimeout) })
}

// applyGrant sets the memory of the request's next attempts, and the priority of all its attempts.
func (c *Core) applyGrant(r *Request, g policy.Grant) {
	r.grantedMB = g.MemoryMB
	if r.priority == g.Priority {
		return
	}
	r.priority = g.Priority
	for _, a := range r.attempts {
		if !a.ended {
			a.Priority = g.Priority
			c.backend.SetPriority(a, g.Priority)
		}
	}
}

// cancelByNumber cancels the attempt of a request that has the given number in the policy. EndAttempt
// ignores an outcome that the engine still reports.
func (c *Core) cancelByNumber(r *Request, number int) {
	a := r.attemptByNumber(number)
	if a == nil || a.ended {
		return
	}
	c.cancel(a, OutcomeCancelled)
}

// cancel cancels an attempt and ends it with the outcome, unless the backend must wait until the
// engine can no longer run it: the backend then ends it.
func (c *Core) cancel(a *Attempt, outcome Outcome) {
	over := c.backend.Cancel(a)
	if !over {
		a.timer.Stop()
		c.counters.Inc("settling." + a.Request.Class)
		return
	}
	if !a.written { // it was still waiting for a connection
		outcome = OutcomeNotSent
	}
	c.EndAttempt(a, outcome, Report{})
}

// ReportProgress passes an engine's progress message for an attempt in flight to the policy.
func (c *Core) ReportProgress(a *Attempt, kind policy.ProgressKind, value float64) {
	if a.ended {
		return
	}
	c.counters.Inc("notes")
	c.notifyPolicy(policy.AttemptProgress{Query: a.Request.queryNumber, Attempt: a.number, Kind: kind, Value: value})
}

// BeginWrite reports whether the backend may write an attempt to its connection, and if so, counts the
// attempt as written. The backend calls it right before the write that completes the attempt, because
// an attempt that was not completely written can't have run. If BeginWrite returns false, the backend
// must end the attempt with OutcomeNotSent. The reasons are: the client has disconnected or got its
// answer; the idempotency key's window is about to end and an earlier attempt may have run; or the
// engine began to drain, departed or was disabled while the attempt waited for a connection. A further
// statement of a streaming attempt goes to its engine in any state: it belongs to what runs there.
func (c *Core) BeginWrite(a *Attempt) bool {
	if a.Request.answered || isDisconnected(a.Request.Client) {
		return false
	}
	windowClosed := a.writeDeadline > 0 && c.clock.Now() >= a.writeDeadline
	usable := a.streaming || c.endpoints.usable(a.Engine)
	if windowClosed || !usable {
		return false
	}
	c.stats.attemptsWritten++
	a.written = true
	return true
}

// isDisconnected reports whether a client detected that it is disconnected, if it can.
func isDisconnected(client Client) bool {
	detector, ok := client.(DisconnectDetector)
	return ok && detector.Disconnected()
}
