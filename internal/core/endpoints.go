package core

import (
	"time"

	"gannetspur/internal/decide/adminstate"
	"gannetspur/policy"
)

// endpointList holds the engines as discovery reported them, and the operators' overrides.
type endpointList struct {
	engines map[string]Engine // engines that discovery lists and that have not departed, by id
	admin   *adminstate.Table
}

func newEndpointList() endpointList {
	return endpointList{engines: map[string]Engine{}, admin: adminstate.New()}
}

// apply stores an entry as discovery reported it, or removes that of a departed engine.
func (l *endpointList) apply(e Engine) {
	if e.State == policy.EngineDeparted {
		delete(l.engines, e.ID)
		return
	}
	l.engines[e.ID] = e
}

// usable reports whether attempts may be written to an engine: it is live and not disabled.
func (l *endpointList) usable(id string) bool {
	return !l.admin.Disabled(id) && l.engines[id].State == policy.EngineLive
}

// placement returns where an engine is according to the list, and an empty placement if it is not listed.
func (l *endpointList) placement(id string) policy.Placement {
	e := l.engines[id]
	return policy.Placement{Engine: e.ID, Zone: e.Zone, Cell: e.Cell}
}

// UpdateEndpoints applies an endpoint list of discovery, or changes to one.
func (c *Core) UpdateEndpoints(mode policy.ListMode, engines []Engine) {
	c.counters.Inc("roster.events")
	update := policy.EngineList{Mode: mode}
	before := c.endpoints.engines
	if mode == policy.ListFull || mode == policy.ListCached {
		c.endpoints.engines = map[string]Engine{}
		c.endpoints.admin.Clear()
	}
	for _, e := range engines {
		if previous, known := before[e.ID]; len(before) > 0 && (!known || previous.State != e.State || previous.Started != e.Started) {
			c.logChange(e)
		}
		update.Engines = append(update.Engines, c.publish(e).Engine)
		c.endpoints.apply(e)
	}
	c.markUnlistedDeparted(before)
	c.starts.Forget(len(c.endpoints.engines), func(id string) bool { return c.endpoints.engines[id].ID != "" })
	c.notifyPolicy(update)
}

// EndpointsUnavailable tells the policy that discovery does not answer, and for how long the list may have been out of date.
func (c *Core) EndpointsUnavailable(silentFor time.Duration) {
	c.counters.Inc("roster.unavailable")
	c.notifyPolicy(policy.EngineList{Mode: policy.ListFailed, SilentFor: silentFor})
}

// EndpointsCurrent tells the policy that the list is up to date again.
func (c *Core) EndpointsCurrent() {
	c.notifyPolicy(policy.EngineList{Mode: policy.ListChanges})
}

// logChange logs what discovery reports of an engine that is new or has changed.
func (c *Core) logChange(e Engine) {
	attributes := []any{"engine", e.ID, "state", e.State.String(), "addr", e.Addr}
	if e.StartKnown {
		attributes = append(attributes, "started_ago", c.clock.Now()-e.Started)
	}
	c.log.Info("endpoint.changed", attributes...)
}

// markUnlistedDeparted reports as departed, to the backend and the other sites, the engines that a
// full list no longer has. Otherwise connections to them would stay open.
func (c *Core) markUnlistedDeparted(before map[string]Engine) {
	for id, e := range before {
		if _, listed := c.endpoints.engines[id]; !listed && e.State != policy.EngineDeparted {
			e.State = policy.EngineDeparted
			c.logChange(e)
			c.updateEngine(e)
		}
	}
}

// publish converts the start of an entry of discovery to the core's clock, applies the operators'
// overrides, and reports the result to the backend and the other sites. This comes before the policy
// learns of the entry: a send to the engine may follow at once.
func (c *Core) publish(e Engine) Engine {
	if e.StartKnown {
		e.ReportedStart = e.Started
		e.Started = c.starts.Observe(c.clock.Now(), e.ID, e.ReportedStart)
	}
	e.Engine = c.endpoints.admin.Update(e.Engine)
	c.updateEngine(e)
	return e
}

func (c *Core) updateEngine(e Engine) {
	c.backend.UpdateEngine(e)
	if c.sites != nil {
		c.sites.UpdateEngine(e)
	}
}
