// Package backend holds what the backends of all protocols share: the set of
// engines, and which connections lead to each.
package backend

import (
	"slices"
	"time"

	"gannetspur/internal/core"
	"gannetspur/internal/netio"
	"gannetspur/policy"
)

// Connection is one connection to an engine, from the start of its dial.
type Connection interface {
	comparable
	// Retire makes the connection accept no more attempts, and close once nothing is open on it.
	Retire()
}

// EngineSet holds the engines of the endpoint list by ID: a new engine may have the address of one
// that has departed.
type EngineSet[C Connection] struct{ engines map[string]*Engine[C] }

// Engine is one engine with its connections.
type Engine[C Connection] struct {
	ID, Addr    string
	Connections []C
	startedAt   time.Duration
}

// NewEngineSet returns an empty set.
func NewEngineSet[C Connection]() *EngineSet[C] {
	return &EngineSet[C]{engines: map[string]*Engine[C]{}}
}

// Get returns the engine with this ID, or nil if the endpoint list has none.
func (s *EngineSet[C]) Get(id string) *Engine[C] { return s.engines[id] }

// Update applies an entry of the endpoint list. It retires the connections to an engine that has
// moved, restarted or departed.
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
		// A connection that ends at once removes itself from the list.
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

// Remove drops a connection that has ended.
func (e *Engine[C]) Remove(ended C) {
	e.Connections = slices.DeleteFunc(e.Connections, func(other C) bool { return other == ended })
}

// DialOutcome returns the outcome of the attempts that waited for a dial that has failed.
func DialOutcome(err error) core.Outcome {
	switch {
	case netio.IsConnectionRefused(err):
		return core.OutcomeConnectionRefused
	case netio.IsDescriptorShortage(err):
		return core.OutcomeNoDescriptor
	}
	return core.OutcomeConnectTimeout
}
