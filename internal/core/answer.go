package core

import "time"

// Verdict is the kind of a final answer.
type Verdict uint8

// Verdicts of a final answer.
const (
	Failed   Verdict = iota // the request may or may not have run
	Rejected                // the request was not served; retrying it is safe
	Served                  // the answer is a complete response
)

var verdictNames = [...]string{"failed", "refused", "served"}

// String returns the verdict's name in counters.
func (v Verdict) String() string { return verdictNames[v] }

// Answer is a final answer, or one part of a streaming request's answer.
type Answer struct {
	Verdict    Verdict
	RetryAfter time.Duration // for Rejected: how long the client should wait at least before a retry; 0: no hint
	// DeadlinePassed means that the request was not served, and that its deadline has passed or is at
	// most one period of the event loop away.
	DeadlinePassed bool
	Sent           bool   // the request was sent to an engine at least once
	InDoubt        bool   // the request may have run and is not idempotent
	Result         Result // for Served: the response
	EngineError    error  // latest error reported by an engine; nil if there was none
}

// answer gives the client its final answer. It does nothing if the request is already answered.
func (c *Core) answer(queryNumber uint64, a Answer) {
	r := c.requests.byNumber[queryNumber]
	if r == nil || r.answered {
		return
	}
	a.DeadlinePassed = a.Verdict != Served && c.clock.Now() >= r.Deadline-c.callInterval
	a.InDoubt = c.InDoubt(r)
	if a.EngineError == nil {
		a.EngineError = r.engineError
	}
	a.Sent = a.Sent || r.mayHaveRunElsewhere() || len(r.attempts) > 0
	c.counters.Inc("answered." + a.Verdict.String() + "." + r.Class)
	c.stats.countAnswer(r.Class, a.Verdict)
	if a.DeadlinePassed {
		c.counters.Inc("answered-late." + r.Class)
	}
	c.requests.markAnswered(r)
	c.dropForwarded(r)
	r.Client.Answer(r, a)
	c.forgetIfDone(r)
}
