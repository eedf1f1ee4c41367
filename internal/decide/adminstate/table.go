// Package adminstate combines the state of each engine in service discovery with the operators'
// decisions to disable and enable engines. It does no I/O and reads no clock.
package adminstate

import (
	"errors"
	"maps"
	"slices"
	"time"

	"gannetspur/policy"
)

// Errors of Disable and Enable.
var (
	ErrUnknownEngine   = errors.New("there is no engine of this id")
	ErrTooManyDisabled = errors.New("too many engines are disabled")
)

const (
	// maxDisabled bounds the number of engines that are disabled at the same time, and so the memory
	// that callers can make this program use.
	maxDisabled = 1024
	// maxOverrides is the number of overrides from which Merge ignores overrides for further engines.
	maxOverrides = 2 * maxDisabled
	// enabledRetention is how long the override of an engine that was enabled again is kept. It is
	// longer than the slow start of an engine, and than the time that two processes run side by side.
	enabledRetention = time.Hour
)

// Table holds the engines that discovery lists and the operators' overrides for them. Create it with New.
type Table struct {
	listed    map[string]bool // ids of the engines that discovery lists and that have not departed
	overrides Overrides
}

// New returns an empty table.
func New() *Table { return &Table{listed: map[string]bool{}, overrides: Overrides{}} }

// Clear removes all listed engines before a full list from discovery. Overrides stay.
func (t *Table) Clear() { clear(t.listed) }

// Update records an engine's entry in discovery and returns the effective entry. A live engine that is
// disabled counts as draining. An engine that was enabled again counts as started at that time, unless
// discovery reports a start since it was disabled: the engine may have been restarted in the meantime
// without a report from discovery, and must then not get its full share of queries at once.
func (t *Table) Update(e policy.Engine) policy.Engine {
	if e.State == policy.EngineDeparted {
		delete(t.listed, e.ID)
		return e
	}
	t.listed[e.ID] = true
	override, ok := t.overrides[e.ID]
	if !ok {
		return e
	}
	wasDisabled := !override.Disabled && override.DisabledSince > 0
	startKnown := e.StartKnown && e.Started >= override.DisabledSince
	switch {
	case override.Disabled && e.State == policy.EngineLive:
		e.State = policy.EngineDraining
	case wasDisabled && !startKnown:
		e.Started = override.At
		e.StartKnown = true
	}
	return e
}

// Disabled reports whether an engine is disabled by an operator.
func (t *Table) Disabled(id string) bool { return t.overrides[id].Disabled }

// ListedCount returns the number of engines that discovery lists and that have not departed.
func (t *Table) ListedCount() int { return len(t.listed) }

// Disable disables an engine for an operator. It reports whether that changed anything; an engine that
// is already disabled stays as it is. It returns ErrUnknownEngine for an engine that discovery doesn't
// list, and ErrTooManyDisabled if the limit is reached.
func (t *Table) Disable(now time.Duration, id string) (changed bool, err error) {
	switch {
	case t.Disabled(id):
		return false, nil
	case !t.listed[id]:
		return false, ErrUnknownEngine
	}
	t.dropExpiredEnables(now)
	if t.disabledCount() >= maxDisabled {
		return false, ErrTooManyDisabled
	}
	t.overrides[id] = Override{Disabled: true, At: t.nextOverrideTime(now, id)}
	return true, nil
}

// Enable enables an engine for an operator, even if discovery no longer lists it. It reports whether that
// changed anything. It returns ErrUnknownEngine for an engine that is neither listed nor disabled.
func (t *Table) Enable(now time.Duration, id string) (changed bool, err error) {
	disabled := t.Disabled(id)
	switch {
	case !disabled && !t.listed[id]:
		return false, ErrUnknownEngine
	case !disabled:
		return false, nil
	}
	t.dropExpiredEnables(now)
	t.overrides[id] = Override{At: t.nextOverrideTime(now, id), DisabledSince: t.overrides[id].At}
	return true, nil
}

// nextOverrideTime returns the time of a new override for an engine. It is later than that of the last
// one even if the clock has not advanced.
func (t *Table) nextOverrideTime(now time.Duration, id string) time.Duration {
	last, ok := t.overrides[id]
	if !ok {
		return now
	}
	return max(now, last.At+1)
}

// Overrides returns a copy of all overrides.
func (t *Table) Overrides() Overrides { return maps.Clone(t.overrides) }

// Merge merges the overrides of another process into the table. It returns the ids of the engines whose
// override has changed, in sorted order. New overrides beyond the limit are ignored.
func (t *Table) Merge(others Overrides) (changed []string) {
	for id, other := range others {
		own, known := t.overrides[id]
		if known && own.Merge(other) == own {
			continue
		}
		if !known && len(t.overrides) >= maxOverrides {
			continue
		}
		t.overrides[id] = other
		changed = append(changed, id)
	}
	slices.Sort(changed)
	return changed
}

// disabledCount returns the number of disabled engines.
func (t *Table) disabledCount() (n int) {
	for _, override := range t.overrides {
		if override.Disabled {
			n++
		}
	}
	return n
}

// dropExpiredEnables drops the overrides of engines that were enabled again longer than enabledRetention
// ago. They no longer have an effect.
func (t *Table) dropExpiredEnables(now time.Duration) {
	maps.DeleteFunc(t.overrides, func(_ string, o Override) bool { return !o.Disabled && now-o.At > enabledRetention })
}
