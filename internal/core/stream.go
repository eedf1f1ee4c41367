package core

import (
	"time"

	"gannetspur/policy"
)

// StreamingClient is the client of a streaming request. It receives partial answers before the final
// one, as in a transaction of several statements.
type StreamingClient interface {
	Client
	// PartialAnswer delivers one part of the answer. Client.Answer delivers the final answer.
	PartialAnswer(r *Request, a Answer)
}

// RelayPart passes a partial answer of an attempt to its client, and stops the attempt's timeout. The
// first part marks the attempt as streaming: the policy then neither retries it elsewhere nor ends it
// at the deadline. RelayPart does nothing if the attempt has ended, the request is answered or its
// client is not a StreamingClient.
func (c *Core) RelayPart(a *Attempt, report Report) {
	r := a.Request
	client, ok := r.Client.(StreamingClient)
	if a.ended || r.answered || !ok {
		return
	}
	a.timer.Stop()
	if !a.streaming {
		a.streaming = true
		c.notifyPolicy(policy.StreamStarted{Query: r.queryNumber, Attempt: a.number})
	}
	client.PartialAnswer(r, Answer{Verdict: Served, Sent: true, Result: report.Result, EngineError: report.EngineError})
}

// Continue sends the next statement of a streaming request to its engine, which has to answer within
// the timeout. It returns false if the request is answered or has no streaming attempt in flight, or
// if the backend does not support streaming.
func (c *Core) Continue(r *Request, statement Statement, timeout time.Duration) bool {
	backend, ok := c.backend.(StreamingBackend)
	if !ok || r.answered || len(r.attempts) == 0 {
		return false
	}
	a := r.attempts[len(r.attempts)-1]
	if a.ended || !a.streaming {
		return false
	}
	r.Statement = statement
	c.startTimeout(a, c.clock.Now(), timeout)
	c.notifyPolicy(policy.StreamContinued{Query: r.queryNumber, Attempt: a.number})
	backend.Continue(a)
	return true
}
