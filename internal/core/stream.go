package core

import (
	"time"

	"gannetspur/policy"
)

// StreamingClient is a client whose request goes on: it is given each part of the answer. The final
// Answer comes as for any other request.
type StreamingClient interface {
	Client
	PartialAnswer(r *Request, a Answer)
}

// StreamingLinks is links that carry requests that go on.
type StreamingLinks interface {
	// Continue puts the request's statement, a new one, on the attempt's connection.
	Continue(a *Attempt)
}

// RelayPart passes on an answer of an attempt that goes on. The module hears once that it does: it
// neither moves it nor ends it by the deadline from then on.
func (c *Core) RelayPart(a *Attempt, rep Report) {
	r := a.Request
	s, ok := r.Client.(StreamingClient)
	if a.ended || r.answered || !ok {
		return
	}
	a.timer.Stop()
	if !a.began {
		a.began = true
		c.tell(policy.StreamStarted{Query: r.query, Attempt: a.n})
	}
	s.PartialAnswer(r, Answer{Verdict: Served, Sent: true, Result: rep.Result, Detail: rep.Detail})
}

// Continue gives the engine of a request that goes on its next statement, to be answered within a
// time. It tells whether there is such an engine.
func (c *Core) Continue(r *Request, statement any, within time.Duration) bool {
	links, ok := c.links.(StreamingLinks)
	if !ok || r.answered || len(r.tries) == 0 {
		return false
	}
	a := r.tries[len(r.tries)-1]
	if a.ended || !a.began {
		return false
	}
	r.Statement = statement
	a.timer = c.timers.Add(c.clock.Now()+max(within, time.Millisecond), func() { c.drop(a, OutcomeTimeout) })
	links.Continue(a)
	return true
}
