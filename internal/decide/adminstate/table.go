// Package adminstate merges discovery's state of each engine with what operators said of it. It
// does no I/O and reads no clock.
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
	// maxDisabled bounds the engines that are disabled at once, and so what a caller can make this
	// program keep.
	maxDisabled = 1024
	// maxOverrides bounds the overrides taken from other processes.
	maxOverrides = 2 * maxDisabled
	// keepEnabled is how long the override of an engine that was enabled again is kept: longer than
	// a slow start takes, or two processes serve side by side.
	keepEnabled = time.Hour
)

// Table holds which engines discovery lists and what operators said of them. Use New.
type Table struct {
	listed    map[string]bool // by discovery, not departed
	overrides Overrides
}

// New returns an empty table.
func New() *Table { return &Table{listed: map[string]bool{}, overrides: Overrides{}} }

// Clear forgets which engines are listed, as a full list follows. Overrides stay.
func (t *Table) Clear() { clear(t.listed) }

// Update takes an entry of discovery and returns the effective one: a disabled engine that is live
// counts as draining, and one that was enabled again counts as started at that time, unless
// discovery knows of a start since it was disabled. Guards against sending an engine its full
// share that was restarted while it was disabled: discovery need not tell of the restart.
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

// Disabled tells whether operators have disabled an engine.
func (t *Table) Disabled(id string) bool { return t.overrides[id].Disabled }

// ListedCount is the number of engines that discovery lists and that have not departed.
func (t *Table) ListedCount() int { return len(t.listed) }

// Disable takes an operator's call to take an engine out of use. It reports whether that changed
// anything: disabling twice is disabling once.
func (t *Table) Disable(now time.Duration, id string) (changed bool, err error) {
	switch {
	case t.Disabled(id):
		return false, nil
	case !t.listed[id]:
		return false, ErrUnknownEngine
	}
	t.dropOldEnabled(now)
	if t.disabledCount() >= maxDisabled {
		return false, ErrTooManyDisabled
	}
	t.overrides[id] = Override{Disabled: true, At: t.after(now, id)}
	return true, nil
}

// Enable takes an operator's call to use an engine again, also one that discovery no longer lists.
// It reports whether that changed anything.
func (t *Table) Enable(now time.Duration, id string) (changed bool, err error) {
	disabled := t.Disabled(id)
	switch {
	case !disabled && !t.listed[id]:
		return false, ErrUnknownEngine
	case !disabled:
		return false, nil
	}
	t.dropOldEnabled(now)
	t.overrides[id] = Override{At: t.after(now, id), DisabledSince: t.overrides[id].At}
	return true, nil
}

// after is the time of a new override: later than the engine's last one, also where the clock stood
// still.
func (t *Table) after(now time.Duration, id string) time.Duration {
	last, ok := t.overrides[id]
	if !ok {
		return now
	}
	return max(now, last.At+1)
}

// Overrides is a copy of what operators said.
func (t *Table) Overrides() Overrides { return maps.Clone(t.overrides) }

// Merge merges another process's overrides in, and returns the ids of the engines for which another
// one holds now, in order.
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

func (t *Table) disabledCount() (n int) {
	for _, override := range t.overrides {
		if override.Disabled {
			n++
		}
	}
	return n
}

// dropOldEnabled drops overrides of engines that were enabled long ago, which no longer matter.
func (t *Table) dropOldEnabled(now time.Duration) {
	maps.DeleteFunc(t.overrides, func(_ string, o Override) bool { return !o.Disabled && now-o.At > keepEnabled })
}
