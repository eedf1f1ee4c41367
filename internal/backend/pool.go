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

// Link is one connection to an engine, from the start of its dial.
type Link interface {
	comparable
	// Retire has the link take no more, and close once nothing is open on it.
	Retire()
}

// Pool holds the engines of the roster by id: a new engine may have the address
// of a gone one.
type Pool[L Link] struct{ engines map[string]*Engine[L] }

// Engine is one engine with its links.
type Engine[L Link] struct {
	ID, Addr string
	Links    []L
	started  time.Duration
}

// NewPool returns an empty pool.
func NewPool[L Link]() *Pool[L] { return &Pool[L]{engines: map[string]*Engine[L]{}} }

// Get looks an engine up; nil if the roster has none of this id.
func (p *Pool[L]) Get(id string) *Engine[L] { return p.engines[id] }

// Engine takes an entry of the roster. Links to an engine that has moved, has
// started anew or is gone are retired.
func (p *Pool[L]) Engine(e core.Engine) {
	old := p.engines[e.ID]
	if old == nil {
		if e.State != policy.EngineDeparted {
			p.engines[e.ID] = &Engine[L]{ID: e.ID, Addr: e.Addr, started: e.Started}
		}
		return
	}
	if e.State == policy.EngineDeparted || e.Addr != old.Addr || e.Started != old.started {
		for _, l := range slices.Clone(old.Links) {
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
	e.Links = slices.DeleteFunc(e.Links, func(o L) bool { return o == l })
}

// DialEnd tells how a failed dial ends what waited for it.
func DialEnd(err error) core.Outcome {
	switch {
	case netio.IsConnectionRefused(err):
		return core.OutcomeConnectionRefused
	case netio.IsDescriptorShortage(err):
		return core.OutcomeNoDescriptor
	}
	return core.OutcomeConnectTimeout
}
