package core

import (
	"gannetspur/internal/decide/adminstate"
	"gannetspur/policy"
)

// endpointList holds the engines as discovery reported them, and what operators said of them.
type endpointList struct {
	engines map[string]Engine // that discovery lists and that have not departed
	admin   *adminstate.Table
}

func newEndpointList() endpointList {
	return endpointList{engines: map[string]Engine{}, admin: adminstate.New()}
}

// set keeps an entry as discovery reported it.
func (l *endpointList) set(e Engine) {
	if e.State == policy.EngineDeparted {
		delete(l.engines, e.ID)
		return
	}
	l.engines[e.ID] = e
}

// usable tells whether an attempt may still be written to an engine.
func (l *endpointList) usable(id string) bool {
	return !l.admin.Disabled(id) && l.engines[id].State == policy.EngineLive
}

// UpdateEndpoints takes the endpoint list of discovery, or a change to it.
func (c *Core) UpdateEndpoints(mode policy.ListMode, engines []Engine) {
	c.counters.Add("roster.events")
	update := policy.EngineList{Mode: mode}
	before := c.endpoints.engines
	if mode == policy.ListFull || mode == policy.ListCached {
		c.endpoints.engines = map[string]Engine{}
		c.endpoints.admin.Clear()
	}
	for _, e := range engines {
		update.Engines = append(update.Engines, c.publish(e).Engine)
		c.endpoints.set(e)
	}
	c.retireUnlisted(before)
	c.notifyPolicy(update)
}

// retireUnlisted tells links and sites that engines have departed which a full list no longer has.
// Guards against connections to them that stay open.
func (c *Core) retireUnlisted(before map[string]Engine) {
	for id, e := range before {
		if _, listed := c.endpoints.engines[id]; !listed && e.State != policy.EngineDeparted {
			e.State = policy.EngineDeparted
			c.updateEngine(e)
		}
	}
}

// publish merges the operators' overrides into an entry of discovery and tells links and sites of
// it, before the policy may name the engine in a send.
func (c *Core) publish(e Engine) Engine {
	e.Engine = c.endpoints.admin.Update(e.Engine)
	c.updateEngine(e)
	return e
}

func (c *Core) updateEngine(e Engine) {
	c.links.UpdateEngine(e)
	if c.sites != nil {
		c.sites.UpdateEngine(e)
	}
}
