package core

import (
	"time"

	"gannetspur/policy"
)

// StreamingClient is a client whose request goes on behind its first answer, as a transaction does.
type StreamingClient interface {
	Client
	// PartialAnswer gives one part. The final Answer comes as for any other request.
	PartialAnswer(r *Request, a Answer)
}

// RelayPart passes on an answer of an attempt that goes on. The policy hears of it with the first:
// from then on it neither moves the attempt nor ends it by the deadline.
func (c *Core) RelayPart(a *Attempt, rep Report) {
	r := a.Request
	client, ok := r.Client.(StreamingClient)
	if a.ended || r.answered || !ok {
		return
	}
	a.timer.Stop()
	if !a.streaming {
		a.streaming = true
		c.notifyPolicy(policy.StreamStarted{Query: r.query, Attempt: a.number})
	}
	client.PartialAnswer(r, Answer{Verdict: Served, Sent: true, Result: rep.Result, EngineError: rep.EngineError})
}

// Continue gives the engine of a streaming request its next statement, to be answered within the
// time-out. It reports whether there is such an engine.
func (c *Core) Continue(r *Request, statement Statement, timeout time.Duration) bool {
	links, ok := c.links.(StreamingLinks)
	if !ok || r.answered || len(r.attempts) == 0 {
		return false
	}
	a := r.attempts[len(r.attempts)-1]
	if a.ended || !a.streaming {
		return false
	}
	r.Statement = statement
	c.startTimeout(a, c.clock.Now(), timeout)
	links.Continue(a)
	return true
}
