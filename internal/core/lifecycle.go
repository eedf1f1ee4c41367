package core

import (
	"time"

	"gannetspur/policy"
)

// normalPriority is the priority of attempts until the policy grants another.
const normalPriority = 1

// Orphan describes a request that was open in a process when that process died.
type Orphan struct {
	ReceivedAt time.Duration         // when its last byte was received, or slightly later
	Attempts   []policy.PriorAttempt // the sends after which it may have run
	// Idempotency is that of its class in the settings of the process that died. It means nothing without Attempts.
	Idempotency policy.Idempotency
	MustFail    bool // it must not be sent again
	// PartlyAnswered means that its client has received a part of the answer, or is about to. Only
	// frontends read it.
	PartlyAnswered bool
}

// Accept starts processing a request that was received completely. Unless it disconnects, the client
// gets exactly one final answer, possibly before Accept returns.
func (c *Core) Accept(r *Request) {
	c.register(r)
	c.recallSentKeys(r)
	if c.shutdown {
		c.answer(r.queryNumber, c.shutdownAnswer(r))
		return
	}
	if c.sites != nil && c.sites.ForwardOnArrival(r) {
		return
	}
	c.admit(r)
}

// AcceptOrphan is Accept for a request that may have been received by a process that died. orphan
// describes what that process did with it, and is nil for an ordinary request.
func (c *Core) AcceptOrphan(r *Request, orphan *Orphan) {
	if orphan == nil {
		c.Accept(r)
		return
	}
	mayRepeat := c.adoptPriorAttempts(r, orphan)
	c.rememberPriorAttempts(r)
	if orphan.MustFail || !mayRepeat {
		c.failOrphan(r)
		return
	}
	if len(r.PriorAttempts) > 0 {
		c.counters.Inc("orphans.resent." + r.Class)
	}
	c.Accept(r)
}

// failOrphan accepts an orphan that must not be sent again, and answers at once that it failed.
func (c *Core) failOrphan(r *Request) {
	c.counters.Inc("orphans.failed." + r.Class)
	c.register(r)
	c.answer(r.queryNumber, Answer{Verdict: Failed})
}

func (c *Core) register(r *Request) {
	r.priority = normalPriority
	c.requests.add(r)
	c.counters.Inc("taken." + r.Class)
}

// admit passes a request to the policy, which sends or rejects it.
func (c *Core) admit(r *Request) {
	r.admitted = true
	c.notifyPolicy(policy.QueryArrived{
		Query: r.queryNumber, Class: r.Class, Key: r.SerialKey, DataSet: r.DataSet, Deadline: r.Deadline,
		Work: r.Work, MemoryMB: r.MemoryMB, ClientRetry: r.ClientRetry, PriorAttempts: c.AttemptsThatMayHaveRun(r),
	})
}

// ClientDisconnected cancels a request whose client no longer waits. The client gets no answer.
func (c *Core) ClientDisconnected(r *Request) {
	if !c.requests.isOpen(r) {
		return
	}
	c.counters.Inc("gone." + r.Class)
	c.requests.markAnswered(r)
	c.dropForwarded(r)
	c.cancelInFlight(r)
}

// cancelInFlight cancels the attempts of a request that needs no answer any more.
func (c *Core) cancelInFlight(r *Request) {
	c.notifyPolicy(policy.ClientDisconnected{Query: r.queryNumber})
	for _, a := range r.attempts {
		if a.streaming && !a.ended { // the policy does not cancel streaming attempts
			c.cancel(a, OutcomeCancelled)
		}
	}
	c.forgetIfDone(r)
}

// Shutdown gives every open request its final answer. Requests accepted later are answered at once.
// It is called last when the process stops: clients that still wait would otherwise get no answer.
func (c *Core) Shutdown() {
	c.shutdown = true
	for queryNumber, r := range c.requests.byNumber {
		if !r.answered {
			c.answer(queryNumber, c.shutdownAnswer(r))
			c.cancelInFlight(r)
		}
	}
}

// shutdownAnswer rejects a request, which permits the client to retry it, or fails one that may have
// run and is not safe to retry.
func (c *Core) shutdownAnswer(r *Request) Answer {
	if c.InDoubt(r) && !c.safeToRetry(r, 0) {
		return Answer{Verdict: Failed}
	}
	return Answer{Verdict: Rejected}
}
