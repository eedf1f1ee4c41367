// Package enginestart converts the start times that discovery reports to the clock of this process. An engine reports
// its start by its own wall clock, which may differ from this process's clock by any amount, as either may have been
// stepped. The package does no I/O and reads no clock.
package enginestart

import (
	"maps"
	"time"
)

const (
	// maxClockError is the largest difference between the clocks of two machines: each may be an hour off.
	maxClockError = 2 * time.Hour
	// minForgotten is the number of starts of engines that are no longer listed from which these are forgotten.
	minForgotten = 1024
)

// Start is the latest start of an engine.
type Start struct {
	Reported time.Duration `cbor:"1,keyasint"` // by the engine's clock
	// At is the latest time, on this process's clock, at which the engine can have started.
	At time.Duration `cbor:"2,keyasint"`
}

// Starts are the latest starts by the id of the engine.
type Starts map[string]Start

// Tracker remembers the latest start of each engine. Create it with New.
type Tracker struct {
	starts       Starts
	warmUpPeriod time.Duration
}

// New returns a tracker for engines that are warm no later than warmUpPeriod after a start.
func New(warmUpPeriod time.Duration) *Tracker {
	return &Tracker{starts: Starts{}, warmUpPeriod: warmUpPeriod}
}

// Observe records the start that discovery reports for an engine at the time now, and returns the latest time at which
// the engine can have started. A reported time that differs from the one before is a new start, also if it is earlier.
// That of an engine that was not known before counts as long ago only if no error of the clocks explains its age.
func (t *Tracker) Observe(now time.Duration, id string, reported time.Duration) (startedBy time.Duration) {
	known, ok := t.starts[id]
	if ok && known.Reported == reported {
		return known.At
	}
	at := now
	if isLongAgo := now-reported >= maxClockError+t.warmUpPeriod; !ok && isLongAgo {
		at = reported
	}
	t.starts[id] = Start{Reported: reported, At: at}
	return at
}

// Forget drops the starts of engines that are not listed, once there are many of them.
func (t *Tracker) Forget(listed int, isListed func(id string) bool) {
	if len(t.starts)-listed < minForgotten {
		return
	}
	maps.DeleteFunc(t.starts, func(id string, _ Start) bool { return !isListed(id) })
}

// Snapshot returns a copy of all starts.
func (t *Tracker) Snapshot() Starts { return maps.Clone(t.starts) }

// Restore adds the starts that another process with the same clock has recorded.
func (t *Tracker) Restore(starts Starts) { maps.Copy(t.starts, starts) }
