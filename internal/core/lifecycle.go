package core

import (
	"time"

	"gannetspur/policy"
)

// normalPriority is an attempt's priority unless the policy grants another.
const normalPriority = 1

// Orphan is what is known, beside its bytes, of a request that a process left behind when it died.
type Orphan struct {
	ReceivedAt  time.Duration // when its last byte came, or a little later
	FirstSentAt time.Duration // when it first went to an engine; 0: never
	MustFail    bool          // it may not be sent any more
}

// Accept takes a request whose last byte has come. From here on one final answer is owed. The
// answer may be given before Accept returns.
func (c *Core) Accept(r *Request) {
	c.register(r)
	if c.shutdown {
		c.answer(r.query, c.shutdownAnswer(r))
		return
	}
	if c.sites != nil && c.sites.ForwardOnArrival(r) {
		return
	}
	c.admit(r)
}

// AcceptOrphan takes a request whose bytes may come from a process that has died: orphan is what
// is known of that, or nil.
func (c *Core) AcceptOrphan(r *Request, orphan *Orphan) {
	if orphan == nil {
		c.Accept(r)
		return
	}
	r.PriorSentAt = orphan.FirstSentAt
	if orphan.MustFail {
		c.failOrphan(r)
		return
	}
	c.Accept(r)
}

// failOrphan takes a request that a process left behind when it died and that may not be sent any
// more. Its client gets that answer at once.
func (c *Core) failOrphan(r *Request) {
	c.register(r)
	c.answer(r.query, Answer{Verdict: Failed})
}

func (c *Core) register(r *Request) {
	r.priority = normalPriority
	c.requests.add(r)
	c.counters.Add("taken." + r.Class)
}

// admit puts a request before the policy, which sends or rejects it.
func (c *Core) admit(r *Request) {
	r.admitted = true
	c.notifyPolicy(policy.QueryArrived{
		Query: r.query, Class: r.Class, Key: r.SerialKey, DataSet: r.DataSet, Deadline: r.Deadline,
		Work: r.Work, MemoryMB: r.MemoryMB, Repeat: r.ClientRetry,
	})
}

// ClientDisconnected tells that the client has stopped waiting: nothing is owed any more.
func (c *Core) ClientDisconnected(r *Request) {
	if !c.requests.open(r) {
		return
	}
	c.counters.Add("gone." + r.Class)
	c.requests.markAnswered(r)
	c.abandonForwarded(r)
	c.withdraw(r)
}

// withdraw has the policy give up what is in flight of a request that is owed no answer any more.
func (c *Core) withdraw(r *Request) {
	c.notifyPolicy(policy.ClientDisconnected{Query: r.query})
	for _, a := range r.attempts {
		if a.streaming && !a.ended { // the policy leaves a stream to its end
			c.cancel(a, OutcomeCancelled)
		}
	}
	c.forgetIfDone(r)
}

// Shutdown gives every open request its final answer, and each that still comes at once. It is for
// the very end of a stop, when clients that wait would otherwise be left with none.
func (c *Core) Shutdown() {
	c.shutdown = true
	for query, r := range c.requests.byQuery {
		if !r.answered {
			c.answer(query, c.shutdownAnswer(r))
			c.withdraw(r)
		}
	}
}

// shutdownAnswer rejects a request, unless it may have run and a retry could do harm.
func (c *Core) shutdownAnswer(r *Request) Answer {
	if c.InDoubt(r) && !c.safeToRetry(r, 0) {
		return Answer{Verdict: Failed}
	}
	return Answer{Verdict: Rejected}
}
