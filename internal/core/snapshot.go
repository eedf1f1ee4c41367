package core

import (
	"maps"
	"slices"
	"strings"

	"gannetspur/internal/decide/adminstate"
	"gannetspur/policy"
)

// Snapshot is what a core knows beside its requests. A live upgrade hands it to the core of the
// next process, encoded as CBOR by the names of its fields.
type Snapshot struct {
	Engines   []Engine             `cbor:"Engines"` // as discovery reported them, in order of id
	Learned   policy.Snapshot      `cbor:"Learned"`
	Overrides adminstate.Overrides `cbor:"Bans"`
}

// Snapshot is a copy of what the core knows.
func (c *Core) Snapshot() Snapshot {
	byID := func(a, b Engine) int { return strings.Compare(a.ID, b.ID) }
	return Snapshot{
		Engines: slices.SortedFunc(maps.Values(c.endpoints.engines), byID),
		Learned: c.policy.gateway.Snapshot(), Overrides: c.Overrides(),
	}
}

// Restore takes what another core of the same settings knew, in place of the endpoint list so far.
// No request may have been accepted yet.
func (c *Core) Restore(s Snapshot) {
	c.MergeOverrides(s.Overrides)
	c.policy.gateway.Restore(c.clock.Now(), s.Learned)
	c.UpdateEndpoints(policy.ListFull, s.Engines)
}
