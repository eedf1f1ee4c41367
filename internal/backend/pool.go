// Package engine keeps what all kinds of engine links share: which engines there
// are, and which links lead to each.
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
	// Retire has the link take no more, and close once nothing is open on it.
	Retire()
}

// EngineSet holds the engines of the roster by id: a new engine may have the address
// of a gone one.
type EngineSet[L Connection] struct{ engines map[string]*Engine[L] }

// Engine is one engine with its links.
type Engine[L Connection] struct {
	ID, Addr    string
	Connections []L
	started     time.Duration
}

// NewEngineSet returns an empty pool.
func NewEngineSet[L Connection]() *EngineSet[L] {
	return &EngineSet[L]{engines: map[string]*Engine[L]{}}
}

// Get looks an engine up; nil if the roster has none of this id.
func (p *EngineSet[L]) Get(id string) *Engine[L] { return p.engines[id] }

// Update takes an entry of the roster. Links to an engine that has moved, has
// started anew or is gone are retired.
func (p *EngineSet[L]) Update(e core.Engine) {
	old := p.engines[e.ID]
	if old == nil {
		if e.State != policy.EngineDeparted {
			p.engines[e.ID] = &Engine[L]{ID: e.ID, Addr: e.Addr, started: e.Started}
		}
		return
	}
	if e.State == policy.EngineDeparted || e.Addr != old.Addr || e.Started != old.started {
		for _, l := range slices.Clone(old.Connections) {
			l.Retire()
		}
	}
	old.Addr, old.started = e.Addr, e.Started
	if e.State == policy.EngineDeparted {
		delete(p.engines, e.ID)
	}
}

// Remove takes a link out that has ended.
func (e *Engine[L]) Remove(l L) {
	e.Connections = slices.DeleteFunc(e.Connections, func(o L) bool { return o == l })
}

// DialOutcome tells how a failed dial ends what waited for it.
func DialOutcome(err error) core.Outcome {
	switch {
	case netio.IsConnectionRefused(err):
		return core.OutcomeConnectionRefused
	case netio.IsDescriptorShortage(err):
		return core.OutcomeNoDescriptor
	}
	return core.OutcomeConnectTimeout
}
