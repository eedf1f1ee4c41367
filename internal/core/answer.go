package core

import "time"

// Verdict is the kind of a final answer.
type Verdict uint8

// The three verdicts.
const (
	Failed   Verdict = iota // no promise of what ran
	Rejected                // a retry is harmless
	Served
)

var verdictNames = [...]string{"failed", "refused", "served"}

// String is the verdict's name in counters.
func (v Verdict) String() string { return verdictNames[v] }

// Answer is a final answer, or a part of a streaming request's.
type Answer struct {
	Verdict        Verdict
	RetryAfter     time.Duration // with Rejected: not before this long from now; 0: no hint
	DeadlinePassed bool          // the request's time was over
	Sent           bool          // it went to an engine at least once
	InDoubt        bool          // it may have run, and its class is not safe to repeat
	Result         Result        // with Served
	EngineError    error         // the latest of an engine; nil: there was none
}

// answer gives the client its one final answer, at once. A second one is ignored.
func (c *Core) answer(query uint64, a Answer) {
	r := c.requests.byQuery[query]
	if r == nil || r.answered {
		return
	}
	a.DeadlinePassed = a.Verdict != Served && c.clock.Now() >= r.Deadline-c.callInterval
	a.InDoubt = c.InDoubt(r)
	if a.EngineError == nil {
		a.EngineError = r.engineError
	}
	a.Sent = a.Sent || r.PriorSentAt > 0 || len(r.attempts) > 0
	c.counters.Add("answered." + a.Verdict.String() + "." + r.Class)
	c.figures.countAnswer(r.Class, a.Verdict)
	if a.DeadlinePassed {
		c.counters.Add("answered-late." + r.Class)
	}
	c.requests.markAnswered(r)
	c.abandonForwarded(r)
	r.Client.Answer(r, a)
	c.forgetIfDone(r)
}
