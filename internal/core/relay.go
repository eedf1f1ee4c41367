package core

import (
	"slices"
	"time"

	"gannetspur/policy"
)

// Verdict is the kind of a final answer.
type Verdict uint8

// The three final answers.
const (
	Failed   Verdict = iota // no promise of what ran
	Rejected                // trying again is harmless
	Served
)

var verdictNames = [...]string{"failed", "refused", "served"}

func (v Verdict) String() string { return verdictNames[v] }

// Answer is a final answer.
type Answer struct {
	Verdict        Verdict
	RetryAfter     time.Duration // with Refused: not before this long from now; 0: unsaid
	DeadlinePassed bool          // the request's time was over
	Sent           bool          // it went to an engine at least once
	InDoubt        bool          // it may have run, and its class is not safe to repeat
	Result         Result        // with Served
	EngineError    error         // the latest of an engine; nil: there was none
}

// final gives the client its one answer, at once. A second one is passed by.
func (c *Core) final(query uint64, a Answer) {
	r := c.requests[query]
	if r == nil || r.answered {
		return
	}
	a.DeadlinePassed = a.Verdict != Served && c.clock.Now() >= r.Deadline-c.round
	a.InDoubt = c.InDoubt(r)
	if a.EngineError == nil {
		a.EngineError = r.engineError
	}
	a.Sent = a.Sent || r.PriorSentAt > 0 || len(r.tries) > 0
	c.stats.Add("answered." + a.Verdict.String() + "." + r.Class)
	c.counted(r, a.Verdict)
	if a.DeadlinePassed {
		c.stats.Add("answered-late." + r.Class)
	}
	c.close(r)
	c.bringBack(r)
	r.Client.Answer(r, a)
	c.forget(r)
}

// InDoubt tells whether a request that is open may have run and is not safe to repeat.
func (c *Core) InDoubt(r *Request) bool {
	return c.classes[r.Class].Idempotency != policy.Idempotent &&
		(r.PriorSentAt > 0 || r.away != nil || slices.ContainsFunc(r.tries, mayHaveRun))
}

func mayHaveRun(a *Attempt) bool { return !a.neverRan }

// Shutdown gives every open request its final answer, and each that still comes at once. For the very
// end of a stop, when those who wait would else be left with none.
func (c *Core) Shutdown() {
	c.stopped = true
	for query, r := range c.requests {
		if !r.answered {
			c.final(query, c.turnedAway(r))
			c.leave(r)
		}
	}
}

// turnedAway is the answer to a request that goes no further: a refusal unless it may have run and
// trying again could do harm.
func (c *Core) turnedAway(r *Request) Answer {
	if c.InDoubt(r) && !c.harmless(r, 0) {
		return Answer{Verdict: Failed}
	}
	return Answer{Verdict: Rejected}
}
