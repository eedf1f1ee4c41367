// Package backend holds the code that the backends of all protocols share: the set of engines with
// their connections, and the outcomes of failed dials.
package backend

import (
	"slices"
	"time"

	"gannetspur/internal/core"
	"gannetspur/internal/netio"
	"gannetspur/policy"
)

// Connection is one connection to an engine. It exists from the start of its dial.
type Connection interface {
	comparable
	// Retire makes the connection accept no more attempts and close once none is in flight on it.
	Retire()
}

// EngineSet holds the engines of the endpoint list by ID. The address is not the key because a new
// engine may have the address of a departed one.
type EngineSet[C Connection] struct{ engines map[string]*Engine[C] }

// Engine is one engine with its connections.
type Engine[C Connection] struct {
	ID, Addr    string
	Connections []C           // being dialed or open; Remove drops a closed one
	startedAt   time.Duration // start time from the endpoint list; differs after a restart
}

// NewEngineSet returns an empty set.
func NewEngineSet[C Connection]() *EngineSet[C] {
	return &EngineSet[C]{engines: map[string]*Engine[C]{}}
}

// Get returns the engine with this ID, or nil if it is not in the endpoint list.
func (s *EngineSet[C]) Get(id string) *Engine[C] { return s.engines[id] }

// Update applies an entry of the endpoint list. It retires all connections to an engine whose address
// or start time has changed, or that has departed.
func (s *EngineSet[C]) Update(entry core.Engine) {
	departed := entry.State == policy.EngineDeparted
	known := s.engines[entry.ID]
	if known == nil {
		if !departed {
			s.engines[entry.ID] = &Engine[C]{ID: entry.ID, Addr: entry.Addr, startedAt: entry.Started}
		}
		return
	}
	if departed || entry.Addr != known.Addr || entry.Started != known.startedAt {
		// Iterates over a copy: a connection that closes at once removes itself from the slice.
		for _, connection := range slices.Clone(known.Connections) {
			connection.Retire()
		}
	}
	known.Addr = entry.Addr
	known.startedAt = entry.Started
	if departed {
		delete(s.engines, entry.ID)
	}
}

// Remove removes a closed connection.
func (e *Engine[C]) Remove(closed C) {
	e.Connections = slices.DeleteFunc(e.Connections, func(other C) bool { return other == closed })
}

// DialOutcome returns the outcome of attempts whose connection could not be dialed because of err. An
// error of any other kind counts as a connect timeout.
func DialOutcome(err error) core.Outcome {
	switch {
	case netio.IsConnectionRefused(err):
		return core.OutcomeConnectionRefused
	case netio.IsDescriptorShortage(err):
		return core.OutcomeNoDescriptor
	}
	return core.OutcomeConnectTimeout
}
