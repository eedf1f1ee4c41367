package core

import (
	"maps"
	"slices"
	"strings"

	"gannetspur/internal/decide/adminstate"
	"gannetspur/policy"
)

// Snapshot is the state of a core apart from its requests. A live upgrade transfers it to the core
// of the new process, encoded as CBOR.
type Snapshot struct {
	Engines   []Engine             `cbor:"Engines"`           // as reported by discovery, sorted by id
	Learned   policy.Snapshot      `cbor:"Learned"`           // state that the policy learned
	Overrides adminstate.Overrides `cbor:"Bans"`              // engines that operators disabled or enabled
	SentIDs   []string             `cbor:"SentIDs,omitempty"` // of requests that may have run and must not run again
}

// Snapshot returns a copy of the core's state apart from its requests.
func (c *Core) Snapshot() Snapshot {
	byID := func(a, b Engine) int { return strings.Compare(a.ID, b.ID) }
	return Snapshot{
		Engines: slices.SortedFunc(maps.Values(c.endpoints.engines), byID),
		Learned: c.policy.gateway.Snapshot(), Overrides: c.Overrides(),
		SentIDs: c.sentIDs.IDs(),
	}
}

// Restore loads the state of another core with the same settings. It replaces the endpoint list, and
// must be called before any request is accepted.
func (c *Core) Restore(s Snapshot) {
	c.MergeOverrides(s.Overrides)
	for _, id := range s.SentIDs {
		c.sentIDs.Record(c.clock.Now(), id)
	}
	c.policy.gateway.Restore(c.clock.Now(), s.Learned)
	c.UpdateEndpoints(policy.ListFull, s.Engines)
}
