package core

import "gannetspur/policy"

// Backend carries attempts to engines over one wire protocol.
type Backend interface {
	// Send starts an attempt. The backend calls Core.EndAttempt when the attempt ends.
	Send(a *Attempt)
	// Cancel cancels an attempt that has not ended, and reports whether the attempt is over.
	// If a.MustAwaitEngine() is true and the engine may still run the attempt, Cancel returns false,
	// and the backend calls Core.EndAttempt once the engine can no longer run it.
	Cancel(a *Attempt) bool
	// SetPriority changes the priority of an attempt in flight.
	SetPriority(a *Attempt, priority int)
	// UpdateEngine adds an engine to the endpoint list or changes its entry.
	UpdateEngine(e Engine)
}

// LoadReporter is implemented by a Backend that can ask engines for their load.
type LoadReporter interface {
	// RequestLoadReport asks an engine for a load report. The backend calls Core.EndLoadReport once
	// for each request.
	RequestLoadReport(engine string)
}

// StreamingBackend is implemented by a Backend that supports streaming requests: those with more
// statements and answers after the first, such as transactions.
type StreamingBackend interface {
	// Continue sends the next statement, a.Request.Statement, on the attempt's connection.
	Continue(a *Attempt)
}

// Engine is an entry of the endpoint list: the policy's view of an engine, and its address.
type Engine struct {
	policy.Engine
	Addr string `cbor:"Addr"` // network address that the engine listens on
}
