package core

import (
	"maps"
	"slices"
	"strings"

	"gannetspur/internal/decide/adminstate"
	"gannetspur/internal/decide/enginestart"
	"gannetspur/internal/decide/sentkeys"
	"gannetspur/policy"
)

// Snapshot is the state of a core apart from its requests. A live upgrade transfers it to the core
// of the new process, encoded as CBOR.
type Snapshot struct {
	Engines   []Engine             `cbor:"Engines"`            // as reported by discovery, sorted by id
	Learned   policy.Snapshot      `cbor:"Learned"`            // state that the policy learned
	Overrides adminstate.Overrides `cbor:"Bans"`               // engines that operators disabled or enabled
	Starts    enginestart.Starts   `cbor:"Starts,omitempty"`   // on the clock of this process
	SentIDs   []string             `cbor:"SentIDs,omitempty"`  // of requests that may have run and must not run again
	SentKeys  []SentKey            `cbor:"SentKeys,omitempty"` // of requests whose repeats only some engines drop
}

// Snapshot returns a copy of the core's state apart from its requests.
func (c *Core) Snapshot() Snapshot {
	byID := func(a, b Engine) int { return strings.Compare(a.ID, b.ID) }
	return Snapshot{
		Engines: slices.SortedFunc(maps.Values(c.endpoints.engines), byID),
		Learned: c.policy.gateway.Snapshot(), Overrides: c.Overrides(),
		Starts: c.starts.Snapshot(), SentIDs: c.sentIDs.IDs(), SentKeys: encodeSentKeys(c.SentKeys()),
	}
}

// Restore loads the state of another core with the same settings. It replaces the endpoint list, and
// must be called before any request is accepted.
func (c *Core) Restore(s Snapshot) {
	c.MergeOverrides(s.Overrides)
	for _, id := range s.SentIDs {
		c.RecordSentID(id, c.clock.Now())
	}
	for _, sent := range s.SentKeys {
		c.ApplySentKey(sent.Change())
	}
	c.restoreStarts(s)
	c.policy.gateway.Restore(c.clock.Now(), s.Learned)
	c.UpdateEndpoints(policy.ListFull, s.Engines)
}

// restoreStarts loads the starts of engines. A version that did not record them took each start as discovery
// reported it.
func (c *Core) restoreStarts(s Snapshot) {
	starts := enginestart.Starts{}
	for _, e := range s.Engines {
		if e.StartKnown {
			starts[e.ID] = enginestart.Start{Reported: e.Started, At: e.Started}
		}
	}
	maps.Copy(starts, s.Starts)
	c.starts.Restore(starts)
}

// encodeSentKeys encodes the remembered idempotency keys.
func encodeSentKeys(changes []sentkeys.Change) (encoded []SentKey) {
	for _, change := range changes {
		encoded = append(encoded, NewSentKey(change))
	}
	return encoded
}
