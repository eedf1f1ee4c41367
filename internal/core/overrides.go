package core

import (
	"gannetspur/internal/decide/adminstate"
	"gannetspur/policy"
)

// DisableEngine takes an engine out of use on the operators' call. Its error is
// adminstate.ErrUnknownEngine or adminstate.ErrTooManyDisabled.
func (c *Core) DisableEngine(id string) error {
	changed, err := c.endpoints.admin.Disable(c.clock.Now(), id)
	if changed {
		c.overrideChanged(id)
	}
	return err
}

// EnableEngine undoes DisableEngine. Its error is adminstate.ErrUnknownEngine.
func (c *Core) EnableEngine(id string) error {
	changed, err := c.endpoints.admin.Enable(c.clock.Now(), id)
	if changed {
		c.overrideChanged(id)
	}
	return err
}

func (c *Core) overrideChanged(id string) {
	c.counters.Add("bans.called")
	c.log.Info("override.changed", "engine", id, "disabled", c.endpoints.admin.Disabled(id))
	c.republish([]string{id})
	if c.observers.overridesChanged != nil {
		c.observers.overridesChanged()
	}
}

// Overrides are what operators said of engines.
func (c *Core) Overrides() adminstate.Overrides { return c.endpoints.admin.Overrides() }

// MergeOverrides merges in what operators said to another process, and reports whether that changed
// anything.
func (c *Core) MergeOverrides(other adminstate.Overrides) bool {
	changed := c.endpoints.admin.Merge(other)
	if len(changed) == 0 {
		return false
	}
	c.log.Info("override.merged", "engines", changed)
	c.republish(changed)
	return true
}

// republish tells anew of engines for which another override holds now.
func (c *Core) republish(ids []string) {
	update := policy.EngineList{Mode: policy.ListChanges}
	for _, id := range ids {
		if e, ok := c.endpoints.engines[id]; ok {
			update.Engines = append(update.Engines, c.publish(e).Engine)
		}
	}
	if len(update.Engines) > 0 {
		c.notifyPolicy(update)
	}
}
