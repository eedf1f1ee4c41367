package core

import (
	"gannetspur/internal/decide/adminstate"
	"gannetspur/policy"
)

// DisableEngine takes an engine out of use until EnableEngine, as an operator requested. It returns
// adminstate.ErrUnknownEngine or adminstate.ErrTooManyDisabled if it can't.
func (c *Core) DisableEngine(id string) error {
	changed, err := c.endpoints.admin.Disable(c.clock.Now(), id)
	if changed {
		c.overrideChanged(id)
	}
	return err
}

// EnableEngine reverts DisableEngine. It returns adminstate.ErrUnknownEngine if it can't.
func (c *Core) EnableEngine(id string) error {
	changed, err := c.endpoints.admin.Enable(c.clock.Now(), id)
	if changed {
		c.overrideChanged(id)
	}
	return err
}

func (c *Core) overrideChanged(id string) {
	c.counters.Inc("bans.called")
	c.log.Info("override.changed", "engine", id, "disabled", c.endpoints.admin.Disabled(id))
	c.republish([]string{id})
	if c.observers.overridesChanged != nil {
		c.observers.overridesChanged()
	}
}

// Overrides returns the engines that operators disabled or enabled.
func (c *Core) Overrides() adminstate.Overrides { return c.endpoints.admin.Overrides() }

// MergeOverrides merges the overrides of another process into those of this one, and reports whether
// any override changed.
func (c *Core) MergeOverrides(other adminstate.Overrides) bool {
	changed := c.endpoints.admin.Merge(other)
	if len(changed) == 0 {
		return false
	}
	c.log.Info("override.merged", "engines", changed)
	c.republish(changed)
	return true
}

// republish reports the entries of engines whose override changed to the backend, the other sites and
// the policy.
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
