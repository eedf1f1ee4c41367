package core

import "gannetspur/policy"

// Links carries attempts to engines.
type Links interface {
	// Send begins an attempt; Core.EndAttempt ends it.
	Send(a *Attempt)
	// Cancel gives an attempt up that has not ended, and reports whether it is over. One that
	// MustAwaitEngine is not over while its engine may still run it; Core.EndAttempt follows once
	// the engine can't.
	Cancel(a *Attempt) bool
	// SetPriority changes the priority of an attempt that is out.
	SetPriority(a *Attempt, priority int)
	// UpdateEngine reports an engine's entry or a change to it.
	UpdateEngine(e Engine)
}

// LoadReporter is Links that can ask engines for their load.
type LoadReporter interface {
	// RequestLoadReport asks an engine; Core.EndLoadReport ends it, once.
	RequestLoadReport(engine string)
}

// StreamingLinks is Links that can carry requests which go on behind their first answer.
type StreamingLinks interface {
	// Continue puts the request's statement, a new one, on the attempt's connection.
	Continue(a *Attempt)
}

// Engine is an entry of the endpoint list: the policy's part of it, and the address.
type Engine struct {
	policy.Engine
	Addr string `cbor:"Addr"` // where it listens
}
